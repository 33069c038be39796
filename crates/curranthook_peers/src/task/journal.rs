//! Bringing bill lines to peers and into the store.

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

/// How long lines are gathered while earlier ones are on their way to the peers. Callers wait for
/// this, so a line that finds none on its way goes at once: each in a call of its own while there
/// are few, many in one call while there are many.
const BATCH_DELAY: Duration = Duration::from_millis(1);
/// How many peers hold each line.
const REPLICATION_FACTOR: usize = 2;
/// How long lines that are with this node alone are held for a peer or the store to come back.
const RETRY_WINDOW: Duration = Duration::from_secs(2);
/// The pause between two attempts then.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The time between looks for silent owners.
const ORPHAN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Sends new lines to peers.
pub(crate) async fn replicate(node: Arc<Node>) {
    // Each group on its way holds a clone.
    let in_flight = Arc::new(());
    loop {
        node.journal().wait_for_lines().await;
        if 1 < Arc::strong_count(&in_flight) {
            async_io::Timer::after(BATCH_DELAY).await;
        }
        let Some(group) = node.journal().take_group() else { continue };
        let node = Arc::clone(&node);
        // A frozen peer must not hold up the lines that come after these.
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

/// Brings lines to safety and tries again for a while when nobody can be reached.
///
/// Peers that are replaced or paused are back within a second or two, and a VM that is lost
/// before would take answers along that callers have and nobody pays for. A node that knows no
/// other waits for nothing.
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

/// Two peers, else other peers and the store at once; then there's nothing left to try.
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

/// Stores lines, at a rate of puts that doesn't grow with the fleet.
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
            // The store is out; a hurry must not turn this into a loop without a pause.
            sleep_with_jitter(node.tuning().flush_interval).await;
        }
    }
}

/// Tells the holders what is stored. Also when nothing could be: while the store is out they
/// hear that the owner lives, and don't all try to store its lines too.
async fn send_heartbeats(node: &Node) {
    let heartbeat = node.journal().heartbeat();
    // Taken, not read: a peer that gets new lines while this runs must not be forgotten below.
    let holders = std::mem::take(&mut *node.replica_holders.lock());
    let calls =
        holders.iter().map(|addr| node.call::<()>(*addr, "replicate", &heartbeat, rpc::TIMEOUT));
    // One that misses this takes the owner for silent and stores the lines again, harmlessly.
    let _best_effort = join_all(calls).await;
    if 0 < node.journal().n_lines() {
        node.replica_holders.lock().extend(holders);
    }
}

/// Brings lines to peers again that have lost copies or never had enough.
///
/// An outage of the store lasts longer than some VMs do. Were lines copied only once, those that
/// were written down while no peer was in reach, or whose holders have been replaced since,
/// would be lost with this VM.
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

/// How many copies lines should have. Peers that are known and not met yet count: they may be
/// reached a moment later, and lines left with one copy till then would keep only that one.
fn target_copies(node: &Node) -> usize {
    node.members().fleet_size().saturating_sub(1).clamp(1, REPLICATION_FACTOR)
}

/// Stores the lines of owners that are gone.
pub(crate) async fn store_orphans(node: Arc<Node>) {
    loop {
        sleep_with_jitter(ORPHAN_CHECK_INTERVAL).await;
        if !node.replicas().store_orphans(node.members(), &*node.setup.objects).await {
            replicate_orphans(&node).await;
        }
    }
}

/// Brings lines of owners that are gone to the nodes that keep them.
///
/// While the store is out such lines live on replicas only, and those are lost or replaced like
/// any other VM. Nobody would copy the lines anew, and they would get fewer until none is left.
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

/// Brings the lines that can't be stored to peers before this node leaves: its own, and those
/// that it keeps for others. Says whether each has a peer that keeps it.
///
/// An owner that is gone has no copies but its replicas'. While the store is out, VMs are
/// replaced as on any other day; were a replica's lines left behind with it, the last
/// replacement of the owner's two replicas would take them off the bill.
pub(crate) async fn hand_over(node: &Node) -> bool {
    let peers: Vec<_> = node.members().replica_candidates().into_iter().map(|it| it.addr).collect();
    let mut all_replicated = true;
    for batch in node.journal().unstored().into_iter().chain(node.replicas().batches()) {
        all_replicated &= hand_over_batch(node, &peers, &batch).await;
    }
    all_replicated
}

async fn hand_over_batch(node: &Node, peers: &[SocketAddr], batch: &Batch) -> bool {
    for pair in peers.chunks(REPLICATION_FACTOR) {
        if 0 < replicate_to(node, pair, batch, rpc::TIMEOUT).await {
            return true;
        }
    }
    false
}
