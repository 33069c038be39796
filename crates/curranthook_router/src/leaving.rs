//! Endpoints that are leaving get no new work.
//!
//! Any one sign is enough to stop: the platform's list of VMs, the endpoint's own word on an
//! answer, or a refused connection (which [`crate::gate`] counts). The list lags, so its word
//! that a VM is live proves nothing: an endpoint is brought back only when it says itself, on
//! direct contact, that it isn't leaving.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use async_io::Timer;
use curranthook_http::Exchange;
use curranthook_platform::{Role, VmState, Vms};
use curranthook_types::header;

use crate::Router;

/// How often the list is read. At several thousand nodes the platform couldn't bear it: see
/// `docs/CAPACITY.md`.
const PERIOD: Duration = Duration::from_secs(2);

/// Watches the list, for as long as the process lives.
pub async fn run(router: Arc<Router>, vms: Arc<dyn Vms>) {
    loop {
        if let Ok(list) = vms.all().await {
            let leaving: HashSet<SocketAddr> = list
                .iter()
                .filter(|it| it.role == Role::Endpoint && it.state == VmState::Leaving)
                .map(|it| it.address)
                .collect();
            router.gates.mark_leaving(&leaving);
            bring_back(&router, &leaving).await;
        }
        Timer::after(PERIOD).await;
    }
}

async fn bring_back(router: &Router, leaving: &HashSet<SocketAddr>) {
    let marked = router.gates.leaving();
    for addr in marked.into_iter().filter(|it| !leaving.contains(it)) {
        let Ok(res) = Exchange::get(addr, "/healthz").run(&router.pool).await else { continue };
        let is_leaving = res.headers().get(header::LEAVING).is_some_and(|it| it == "true");
        if res.status().is_success() && !is_leaving {
            router.gates.clear_leaving(addr);
        }
    }
}
