//! Probes whether this node reaches the endpoints of a service.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_io::Timer;
use curranthook_http::client::Freshness;
use curranthook_types::endpoint;
use futures_lite::future;
use rand::seq::IteratorRandom;

use super::reach::State;
use crate::{Gateway, event::Event};

/// The number of endpoints that are probed at a time.
const PROBES: usize = 3;
/// The interval between probes while the node is cut off.
const INTERVAL: Duration = Duration::from_millis(400);
/// How long a new connection must stay open to count as working.
const SETTLE_TIME: Duration = Duration::from_millis(8);

/// Records that a connection to an endpoint could not be opened, or was lost.
pub fn record_failure(gateway: &Arc<Gateway>, service: &str, endpoint: &endpoint::Id) {
    let now = gateway.now();
    // Only whether there are enough of them to suspect a partition matters.
    let n = super::reach::SUSPICIOUS_FAILURES;
    let n_endpoints = gateway.directory.lock().ready(service).take(n).count();
    let is_suspicious =
        gateway.forwarding.reach.lock().record_failure(service, endpoint, n_endpoints, now);
    if is_suspicious {
        log_state(gateway, service, "suspected");
        gateway.ex.spawn(run(Arc::clone(gateway), service.to_owned())).detach();
    }
}

/// Records that a new connection to an endpoint works.
pub fn record_connection(gateway: &Gateway, service: &str) {
    if gateway.forwarding.reach.lock().record_connection(service) {
        log_state(gateway, service, "reached");
    }
}

/// Probes endpoints until one is reached. After the first probes have failed, the node is cut off.
async fn run(gateway: Arc<Gateway>, service: String) {
    loop {
        let before = gateway.forwarding.reach.lock().state(&service);
        if before == State::Reached {
            return;
        }
        let addrs = sample(&gateway, &service);
        if addrs.is_empty() {
            return record_connection(&gateway, &service);
        }
        let probes: Vec<_> = addrs.iter().map(|it| connects(&gateway, *it)).collect();
        if any(probes).await {
            return record_connection(&gateway, &service);
        }
        if before == State::Suspected {
            gateway.forwarding.reach.lock().set_cut_off(&service);
            log_state(&gateway, &service, "cut_off");
        }
        Timer::after(INTERVAL).await;
    }
}

/// Some endpoints of a service at random, preferably ones to which no connection has failed.
fn sample(gateway: &Gateway, service: &str) -> Vec<SocketAddr> {
    let directory = gateway.directory.lock();
    let reach = gateway.forwarding.reach.lock();
    let (mut untried, mut failed) = (Vec::new(), Vec::new());
    for it in directory.ready(service) {
        let has_failed = reach.has_failed(service, &it.entry.id);
        if has_failed { &mut failed } else { &mut untried }.push(it.entry.addr);
    }
    let mut rng = rand::rng();
    let mut chosen = untried.into_iter().sample(&mut rng, PROBES);
    if chosen.is_empty() {
        chosen = failed.into_iter().sample(&mut rng, PROBES);
    }
    chosen
}

async fn connects(gateway: &Gateway, addr: SocketAddr) -> bool {
    let Ok(conn) = gateway.pool.take(addr, Freshness::New).await else { return false };
    let is_open = conn.wait_for_early_close(SETTLE_TIME).await.is_ok();
    if is_open {
        gateway.pool.put(conn);
    }
    is_open
}

/// Whether any of the futures returns true; returns as soon as one does.
async fn any(futures: Vec<impl Future<Output = bool>>) -> bool {
    let mut pending: Vec<_> = futures.into_iter().map(Box::pin).collect();
    future::poll_fn(|cx| {
        let mut is_reached = false;
        pending.retain_mut(|it| match it.as_mut().poll(cx) {
            std::task::Poll::Ready(result) => {
                is_reached |= result;
                false
            }
            std::task::Poll::Pending => true,
        });
        match is_reached || pending.is_empty() {
            true => std::task::Poll::Ready(is_reached),
            false => std::task::Poll::Pending,
        }
    })
    .await
}

fn log_state(gateway: &Gateway, service: &str, state: &'static str) {
    gateway.metrics.record_reach(state);
    gateway.log.write(&Event::Reach { service, state });
}
