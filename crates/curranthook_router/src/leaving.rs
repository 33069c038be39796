//! Stops sending requests to endpoints that are leaving.
//!
//! Any one sign is enough to stop: the platform's list of VMs, the endpoint's own header on a
//! response, or a refused connection (which [`crate::dispatch`] handles). The list lags, so a VM
//! that it shows as live may be leaving: an endpoint is used again only when it reports on direct
//! contact that it is not leaving.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_io::Timer;
use curranthook_http::{Exchange, timeout};
use curranthook_platform::{Role, VmState, Vms};
use curranthook_types::header;
use futures_lite::{FutureExt, future};

use crate::{Router, dispatch::Dispatcher};

/// The interval at which the list of VMs is read. With several thousand nodes this would be too
/// much load for the platform: see `docs/CAPACITY.md`.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// How long an endpoint may take to report its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a request that finds no other endpoint waits for those that are marked.
const RECHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// The minimum interval between two such checks of the same endpoints.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum number of endpoints that such a check asks.
const MAX_RECHECKED: usize = 8;

/// Polls the list and the leaving endpoints for as long as the process runs.
pub async fn run(router: Arc<Router>, vms: Arc<dyn Vms>) {
    // Both run concurrently: endpoints that are shutting down often do not respond, and waiting for
    // them must not delay the detection of another one that is leaving.
    future::zip(poll_vm_list(&router, &*vms), reinstate(&router)).await;
}

async fn poll_vm_list(router: &Router, vms: &dyn Vms) {
    loop {
        // While the platform is down, its last list stays in effect.
        if let Ok(list) = vms.all().await {
            let leaving = list
                .iter()
                .filter(|it| it.role == Role::Endpoint && it.state == VmState::Leaving)
                .map(|it| it.address)
                .collect();
            router.dispatchers.set_listed_as_leaving(leaving);
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Checks marked endpoints that the list does not show as leaving. This continues while the
/// platform is down: otherwise endpoints that restart one by one would all end up unused.
async fn reinstate(router: &Router) {
    loop {
        Timer::after(POLL_INTERVAL).await;
        for addr in router.dispatchers.leaving() {
            check(router, addr).await;
        }
    }
}

/// Clears the mark of an endpoint if it reports that it is not leaving.
async fn check(router: &Router, addr: SocketAddr) {
    let call = Exchange::get(addr, "/healthz").with_timeout(STATUS_TIMEOUT);
    let Ok(res) = call.run(&router.pool).await else { return };
    let is_leaving = res.headers().get(header::LEAVING).is_some_and(|it| it == "true");
    if res.status().is_success() && !is_leaving {
        router.dispatchers.clear_leaving(addr);
    }
}

/// Checks the marked endpoints of `dispatcher` at once, for a request that finds no other: one that
/// has restarted stays marked until the next poll. Returns whether an endpoint may be used again,
/// also after a check for another request a moment ago.
pub async fn recheck(router: &Router, dispatcher: &Dispatcher) -> bool {
    let marked = || {
        let marked = router.dispatchers.leaving().into_iter();
        marked.filter(|it| dispatcher.contains(*it)).collect::<Vec<_>>()
    };
    let before = marked();
    if before.is_empty() {
        return false;
    }
    let mut rechecked_at = dispatcher.rechecked_at.lock().await;
    let now = router.clock.now();
    if rechecked_at.is_none_or(|it| RECHECK_INTERVAL <= now.saturating_duration_since(it)) {
        *rechecked_at = Some(now);
        let checks = before.iter().take(MAX_RECHECKED).map(|it| check(router, *it));
        let all = checks.fold(future::ready(()).boxed(), |all, check| {
            async move { _ = future::zip(all, check).await }.boxed()
        });
        // Those that have reported by then are cleared.
        let _unanswered = timeout::run(RECHECK_TIMEOUT, all).await;
    }
    marked().len() < before.len()
}
