//! Endpoints that are leaving get no new work.
//!
//! Any one sign is enough to stop: the platform's list of VMs, the endpoint's own word on an
//! answer, or a refused connection (which [`crate::dispatch`] counts). The list lags, so its word
//! that a VM is live proves nothing: an endpoint is brought back only when it says itself, on
//! direct contact, that it isn't leaving.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use async_io::Timer;
use curranthook_http::Exchange;
use curranthook_platform::{Role, VmState, Vms};
use curranthook_types::header;
use futures_lite::future;
use parking_lot::Mutex;

use crate::Router;

/// How often the list is read. At several thousand nodes the platform couldn't bear it: see
/// `docs/CAPACITY.md`.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// How long an endpoint may take to say how it is.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Watches the list and the endpoints that are leaving, for as long as the process lives.
pub async fn run(router: Arc<Router>, vms: Arc<dyn Vms>) {
    let listed = Mutex::default();
    // Side by side: endpoints that are going away tend not to answer, and waiting for them must
    // not hold up the news that another one leaves.
    future::zip(poll_vm_list(&router, &*vms, &listed), reinstate(&router, &listed)).await;
}

async fn poll_vm_list(router: &Router, vms: &dyn Vms, listed: &Mutex<HashSet<SocketAddr>>) {
    loop {
        // While the platform is out, what it said last stays in force.
        if let Ok(list) = vms.all().await {
            let leaving: HashSet<SocketAddr> = list
                .iter()
                .filter(|it| it.role == Role::Endpoint && it.state == VmState::Leaving)
                .map(|it| it.address)
                .collect();
            router.dispatchers.mark_leaving(&leaving);
            *listed.lock() = leaving;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Asks marked endpoints that the list doesn't name. This goes on while the platform is out:
/// endpoints that restart one by one would otherwise all be left out in the end.
async fn reinstate(router: &Router, listed: &Mutex<HashSet<SocketAddr>>) {
    loop {
        Timer::after(POLL_INTERVAL).await;
        let mut marked = router.dispatchers.leaving();
        marked.retain(|it| !listed.lock().contains(it));
        for addr in marked {
            let call = Exchange::get(addr, "/healthz").with_timeout(STATUS_TIMEOUT);
            let Ok(res) = call.run(&router.pool).await else { continue };
            let is_leaving = res.headers().get(header::LEAVING).is_some_and(|it| it == "true");
            if res.status().is_success() && !is_leaving {
                router.dispatchers.clear_leaving(addr);
            }
        }
    }
}
