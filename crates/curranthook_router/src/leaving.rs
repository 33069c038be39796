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
const PERIOD: Duration = Duration::from_secs(2);

/// How long an endpoint may take to say how it is.
const LIMIT: Duration = Duration::from_secs(1);

/// Watches the list and the endpoints that are leaving, for as long as the process lives.
pub async fn run(router: Arc<Router>, vms: Arc<dyn Vms>) {
    let named = Mutex::default();
    // Side by side: endpoints that are going away tend not to answer, and waiting for them must
    // not hold up the news that another one leaves.
    future::zip(follow(&router, &*vms, &named), bring_back(&router, &named)).await;
}

async fn follow(router: &Router, vms: &dyn Vms, named: &Mutex<HashSet<SocketAddr>>) {
    loop {
        // While the platform is out, what it said last stays in force.
        if let Ok(list) = vms.all().await {
            let leaving: HashSet<SocketAddr> = list
                .iter()
                .filter(|it| it.role == Role::Endpoint && it.state == VmState::Leaving)
                .map(|it| it.address)
                .collect();
            router.dispatchers.mark_leaving(&leaving);
            *named.lock() = leaving;
        }
        Timer::after(PERIOD).await;
    }
}

/// Asks marked endpoints that the list doesn't name. This goes on while the platform is out:
/// endpoints that restart one by one would otherwise all be left out in the end.
async fn bring_back(router: &Router, named: &Mutex<HashSet<SocketAddr>>) {
    loop {
        Timer::after(PERIOD).await;
        let mut marked = router.dispatchers.leaving();
        marked.retain(|it| !named.lock().contains(it));
        for addr in marked {
            let call = Exchange::get(addr, "/healthz").with_timeout(LIMIT);
            let Ok(res) = call.run(&router.pool).await else { continue };
            let is_leaving = res.headers().get(header::LEAVING).is_some_and(|it| it == "true");
            if res.status().is_success() && !is_leaving {
                router.dispatchers.clear_leaving(addr);
            }
        }
    }
}
