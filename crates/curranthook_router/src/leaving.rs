//! Stops sending requests to endpoints that are leaving.
//!
//! Any one sign is enough to stop: the platform's list of VMs, the endpoint's own header on a
//! response, or a refused connection (which [`crate::dispatch`] handles). The list lags, so a VM
//! that it shows as live may be leaving: an endpoint is used again only when it reports on direct
//! contact that it is not leaving.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use async_io::Timer;
use curranthook_http::Exchange;
use curranthook_platform::{Role, VmState, Vms};
use curranthook_types::header;
use futures_lite::future;
use parking_lot::Mutex;

use crate::Router;

/// The interval at which the list of VMs is read. With several thousand nodes this would be too
/// much load for the platform: see `docs/CAPACITY.md`.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// How long an endpoint may take to report its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Polls the list and the leaving endpoints for as long as the process runs.
pub async fn run(router: Arc<Router>, vms: Arc<dyn Vms>) {
    let listed_as_leaving = Mutex::default();
    // Both run concurrently: endpoints that are shutting down often do not respond, and waiting for
    // them must not delay the detection of another one that is leaving.
    future::zip(
        poll_vm_list(&router, &*vms, &listed_as_leaving),
        reinstate(&router, &listed_as_leaving),
    )
    .await;
}

async fn poll_vm_list(
    router: &Router,
    vms: &dyn Vms,
    listed_as_leaving: &Mutex<HashSet<SocketAddr>>,
) {
    loop {
        // While the platform is down, its last list stays in effect.
        if let Ok(list) = vms.all().await {
            let leaving: HashSet<SocketAddr> = list
                .iter()
                .filter(|it| it.role == Role::Endpoint && it.state == VmState::Leaving)
                .map(|it| it.address)
                .collect();
            router.dispatchers.mark_leaving(&leaving);
            *listed_as_leaving.lock() = leaving;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Checks marked endpoints that the list does not show as leaving. This continues while the
/// platform is down: otherwise endpoints that restart one by one would all end up unused.
async fn reinstate(router: &Router, listed_as_leaving: &Mutex<HashSet<SocketAddr>>) {
    loop {
        Timer::after(POLL_INTERVAL).await;
        let mut marked = router.dispatchers.leaving();
        marked.retain(|it| !listed_as_leaving.lock().contains(it));
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
