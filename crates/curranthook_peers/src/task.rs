//! Background tasks of a node.

pub(crate) mod documents;
pub(crate) mod gossip;
pub(crate) mod journal;

use std::{future::Future, sync::Arc, time::Duration};

use async_io::Timer;
use curranthook_http::timeout;
use futures_lite::future;
use rand::RngExt;

use crate::{member::Identity, node::Node, rpc};

/// How long one attempt of a leaving node to store its lines may take before it sends them to
/// peers.
const SHUTDOWN_FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a leaving node tries to hand over its lines; if the store is down and no peer is
/// reachable, they are lost after that.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause between two attempts to hand over lines.
const HANDOVER_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// The largest relative deviation of a pause from its nominal length, so that nodes that were
/// started together don't all call at once.
const JITTER_RATIO: f64 = 0.2;

/// Starts all tasks; each ends when the node stops.
pub(crate) fn spawn_all(node: &Arc<Node>) {
    spawn(node, gossip::run);
    spawn(node, gossip::join);
    spawn(node, gossip::poll_vm_list);
    spawn(node, documents::poll_table);
    spawn(node, documents::bootstrap);
    spawn(node, journal::replicate_new_lines);
    spawn(node, journal::flush);
    spawn(node, journal::store_orphans);
}

fn spawn<F: Future<Output = ()> + Send + 'static>(
    node: &Arc<Node>,
    task: impl FnOnce(Arc<Node>) -> F,
) {
    let stop = node.stop().clone();
    let task = task(Arc::clone(node));
    node.setup.ex.spawn(future::or(async move { stop.wait().await }, task)).detach();
}

/// Sleeps for `duration`, with jitter.
pub(crate) async fn sleep_with_jitter(duration: Duration) {
    let factor = rand::rng().random_range(1.0 - JITTER_RATIO..=1.0 + JITTER_RATIO);
    Timer::after(duration.mul_f64(factor)).await;
}

/// Stores all bill lines or sends them to peers, and announces the departure to the peers.
pub(crate) async fn leave(node: &Node) {
    let start = node.setup.clock.now();
    while !is_handed_over(node).await {
        let elapsed = node.setup.clock.now().saturating_duration_since(start);
        if HANDOVER_TIMEOUT < elapsed {
            let n_lines = node.journal().n_lines() + node.replicas().n_lines();
            log::error!(
                "{n_lines} bill lines could be neither stored nor handed over to a peer before shutdown"
            );
            break;
        }
        // Peers that started recently may not have been contacted yet.
        gossip::exchange(node).await;
        sleep_with_jitter(HANDOVER_RETRY_INTERVAL).await;
    }
    let own = node.members().own_identity().clone();
    let calls = node
        .members()
        .alive()
        .into_iter()
        .map(|it| announce_departure(node, own.clone(), it.identity));
    join_all(calls).await;
}

/// Stores all lines or, while the store is down, replicates them to peers. Returns whether each
/// line is stored or has been replicated.
async fn is_handed_over(node: &Node) -> bool {
    let objects = &*node.setup.objects;
    let flush = async {
        node.journal().flush(objects).await;
        node.replicas().flush(objects).await;
    };
    let _timed_out = timeout::run(SHUTDOWN_FLUSH_TIMEOUT, flush).await;
    if node.journal().n_lines() + node.replicas().n_lines() == 0 {
        return true;
    }
    journal::hand_over(node).await
}

async fn announce_departure(node: &Node, own: Identity, peer: Identity) {
    let _best_effort = node.call::<()>(peer.addr, "leaving", &own, rpc::TIMEOUT).await;
}

/// Runs futures concurrently and returns their outputs in order.
pub(crate) async fn join_all<F: Future>(futures: impl Iterator<Item = F>) -> Vec<F::Output> {
    let mut running: Vec<_> = futures.map(|it| (Box::pin(it), None)).collect();
    future::poll_fn(|cx| {
        let mut all_done = true;
        for (future, output) in &mut running {
            if output.is_none() {
                match future.as_mut().poll(cx) {
                    std::task::Poll::Ready(it) => *output = Some(it),
                    std::task::Poll::Pending => all_done = false,
                }
            }
        }
        if all_done { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
    running.into_iter().filter_map(|(_, output)| output).collect()
}
