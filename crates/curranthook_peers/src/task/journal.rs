//! Replicating bill lines to peers and writing them to the object store.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use curranthook_http::timeout;
use curranthook_types::bill::Origin;
use futures_lite::future;

use crate::{
    journal::{Durability, FALLBACK_TIMEOUT, Group, REPLICATE_TIMEOUT},
    node::Node,
    replica::{Batch, MAX_FLEET_PUTS_PER_SECOND},
    rpc,
    task::{join_all, sleep_with_jitter},
};

/// How long lines are collected into a batch while earlier lines are in flight to the peers.
/// Callers wait for this, so a line that finds none in flight is sent at once: under low load each
/// line gets a call of its own, under high load one call carries many.
const BATCH_DELAY: Duration = Duration::from_millis(1);
/// Number of peers to which each line is replicated.
const REPLICATION_FACTOR: usize = 2;
/// How long a caller of `record` waits while lines exist on this node only and are retried.
const RETRY_WINDOW: Duration = Duration::from_secs(2);
/// The pause between two retries.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The time between checks for owners that are presumed lost.
const ORPHAN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Sends new lines to peers.
pub(crate) async fn replicate_new_lines(node: Arc<Node>) {
    // Each group in flight holds a clone.
    let in_flight = Arc::new(());
    loop {
        node.journal().wait_for_lines().await;
        if 1 < Arc::strong_count(&in_flight) {
            async_io::Timer::after(BATCH_DELAY).await;
        }
        let Some(group) = node.journal().take_group() else { continue };
        let node = Arc::clone(&node);
        // A frozen peer must not delay the lines that come after these.
        let (ex, in_flight_guard) = (Arc::clone(&node.setup.ex), Arc::clone(&in_flight));
        ex.spawn(async move {
            replicate_group(&node, group).await;
            drop(in_flight_guard);
        })
        .detach();
    }
}

async fn replicate_group(node: &Node, group: Group) {
    let durability = if group.batch.lines.is_empty() {
        Durability::Stored
    } else {
        persist_with_retry(node, &group.batch).await
    };
    group.close(durability, node.counters());
}

/// Makes lines durable, and retries for [`RETRY_WINDOW`] when neither a peer nor the store can be
/// reached.
///
/// Peers that are replaced or paused are back within a second or two. If this VM were lost before
/// that, the bill lines of responses that callers already have would be lost with it. A node that
/// knows no peers doesn't wait.
async fn persist_with_retry(node: &Node, batch: &Batch) -> Durability {
    let start = node.setup.clock.now();
    loop {
        let durability = persist(node, batch).await;
        let elapsed = node.setup.clock.now().saturating_duration_since(start);
        if durability != Durability::LocalOnly
            || node.members().fleet_size() <= 1
            || RETRY_WINDOW < elapsed
        {
            return durability;
        }
        sleep_with_jitter(RETRY_INTERVAL).await;
    }
}

/// Sends lines to two peers; if that fails, to other peers and the store at once. There is no third
/// attempt.
async fn persist(node: &Node, batch: &Batch) -> Durability {
    let peers: Vec<_> = node.members().replica_candidates().into_iter().map(|it| it.addr).collect();
    let (first, others) = peers.split_at(REPLICATION_FACTOR.min(peers.len()));
    let n_copies = replicate_to(node, first, batch, REPLICATE_TIMEOUT).await;
    if REPLICATION_FACTOR <= n_copies {
        return Durability::Replicated(n_copies);
    }
    node.journal().request_flush();
    let others = &others[..(REPLICATION_FACTOR - n_copies).min(others.len())];
    let store = async { node.journal().store(batch, &*node.setup.objects).await };
    let store = timeout::run(FALLBACK_TIMEOUT, store);
    let replicate = replicate_to(node, others, batch, FALLBACK_TIMEOUT);
    let (stored, n_more_copies) = future::zip(store, replicate).await;
    if stored != Ok(true) && n_copies + n_more_copies < target_copies(node) {
        node.journal().mark_under_replicated(batch);
    }
    match (stored, n_copies + n_more_copies) {
        (_, n) if REPLICATION_FACTOR <= n => Durability::Replicated(n),
        (Ok(true), _) => Durability::Stored,
        (_, 0) => Durability::LocalOnly,
        (_, n) => Durability::Replicated(n),
    }
}

async fn replicate_to(
    node: &Node,
    peers: &[SocketAddr],
    batch: &Batch,
    timeout: Duration,
) -> usize {
    node.replica_holders.lock().extend(peers);
    let calls = peers.iter().map(|addr| node.call::<()>(*addr, "replicate", batch, timeout));
    join_all(calls).await.into_iter().filter(Result::is_ok).count()
}

/// Stores lines, at a total rate of puts that doesn't grow with the fleet.
pub(crate) async fn flush(node: Arc<Node>) {
    loop {
        let min_interval =
            Duration::from_secs_f64(node.members().fleet_size() as f64 / MAX_FLEET_PUTS_PER_SECOND);
        let interval = sleep_with_jitter(node.tuning().flush_interval.max(min_interval));
        future::or(interval, node.journal().wait_for_flush_request()).await;
        if node.journal().n_lines() == 0 {
            continue;
        }
        let flushed = node.journal().flush(&*node.setup.objects).await;
        send_heartbeats(&node).await;
        if !flushed {
            re_replicate(&node).await;
            // The store is down; flush requests must not turn this into a loop without a pause.
            sleep_with_jitter(node.tuning().flush_interval).await;
        }
    }
}

/// Notifies the replicas which lines are stored. This also happens when the store failed: during an
/// outage the heartbeat shows that the owner is alive, so that its replicas don't all try to store
/// its lines too.
async fn send_heartbeats(node: &Node) {
    let heartbeat = node.journal().heartbeat();
    // The set is emptied before the calls, so that a peer that gets new lines during them is added
    // and remains in the set afterwards.
    let holders = std::mem::take(&mut *node.replica_holders.lock());
    let calls =
        holders.iter().map(|addr| node.call::<()>(*addr, "replicate", &heartbeat, rpc::TIMEOUT));
    // A peer that misses the heartbeat assumes that the owner is silent and stores the lines again,
    // which is harmless.
    let _best_effort = join_all(calls).await;
    if 0 < node.journal().n_lines() {
        node.replica_holders.lock().extend(holders);
    }
}

/// Replicates lines again that have lost copies or never had enough.
///
/// An outage of the store may last longer than some VMs live. If lines were replicated only once,
/// those that were recorded while no peer was reachable, or whose replicas have been replaced
/// since, would be lost with this VM.
async fn re_replicate(node: &Node) {
    let alive: BTreeSet<_> =
        node.members().alive().into_iter().map(|it| it.identity.addr).collect();
    let has_lost_replica = {
        let mut holders = node.replica_holders.lock();
        let n_before = holders.len();
        holders.retain(|it| alive.contains(it));
        holders.len() < n_before
    };
    if has_lost_replica {
        node.journal().mark_all_under_replicated();
    }
    let mut peers: Vec<_> =
        node.members().replica_candidates().into_iter().map(|it| it.addr).collect();
    peers.truncate(REPLICATION_FACTOR);
    for batch in node.journal().take_under_replicated() {
        if replicate_to(node, &peers, &batch, FALLBACK_TIMEOUT).await < target_copies(node) {
            node.journal().mark_under_replicated(&batch);
        }
    }
}

/// How many copies lines should have. Peers that are known but not contacted yet count: they may
/// become reachable a moment later, and lines that had been replicated once until then would never
/// get a second copy.
fn target_copies(node: &Node) -> usize {
    node.members().fleet_size().saturating_sub(1).clamp(1, REPLICATION_FACTOR)
}

/// Stores the lines of owners that left, were replaced or are presumed lost.
pub(crate) async fn store_orphans(node: Arc<Node>) {
    loop {
        sleep_with_jitter(ORPHAN_CHECK_INTERVAL).await;
        if !node.replicas().store_orphans(node.members(), &*node.setup.objects).await {
            replicate_orphans(&node).await;
        }
    }
}

/// Sends the lines of lost owners to the nodes that are selected to replicate them.
///
/// While the store is down such lines exist on replicas only, and those VMs may be lost or replaced
/// like any other. Without this the number of copies would shrink until none is left.
async fn replicate_orphans(node: &Node) {
    let orphans = node.replicas().orphans(node.members());
    node.replicated_orphans.lock().retain(|(origin, _)| orphans.iter().any(|(it, _)| it == origin));
    for (origin, batches) in orphans {
        for replica in node.members().orphan_replicas(&origin.vm) {
            let target = Origin { vm: replica.vm.clone(), incarnation: replica.incarnation };
            let assignment = (origin.clone(), target);
            if replica == *node.members().own_identity()
                || node.replicated_orphans.lock().contains(&assignment)
            {
                continue;
            }
            let mut n_replicated = 0;
            for batch in &batches {
                n_replicated += replicate_to(node, &[replica.addr], batch, rpc::TIMEOUT).await;
            }
            if n_replicated == batches.len() {
                node.replicated_orphans.lock().insert(assignment);
            }
        }
    }
}

/// Sends the lines that can't be stored to peers before this node leaves: its own, and those that
/// it holds for peers. Returns whether each of them was accepted by a peer.
///
/// The lines of a lost owner exist on its replicas only. VMs are replaced during an outage of the
/// store too; if a replica left without handing over its lines, they would be lost from the bill
/// with the replacement of the owner's second replica.
pub(crate) async fn hand_over(node: &Node) -> bool {
    let peers: Vec<_> = node.members().replica_candidates().into_iter().map(|it| it.addr).collect();
    let mut all_replicated = true;
    for batch in node.journal().unstored().into_iter().chain(node.replicas().batches()) {
        all_replicated &= hand_over_batch(node, &peers, &batch).await;
    }
    all_replicated
}

async fn hand_over_batch(node: &Node, peers: &[SocketAddr], batch: &Batch) -> bool {
    for targets in peers.chunks(REPLICATION_FACTOR) {
        if 0 < replicate_to(node, targets, batch, rpc::TIMEOUT).await {
            return true;
        }
    }
    false
}
