//! Bringing bill lines to peers and into the store.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use curranthook_http::timeout;
use curranthook_types::bill::Origin;
use futures_lite::future;

use crate::{
    journal::{Durability, FALLBACK_TIMEOUT, Group, REPLICATE_TIMEOUT},
    node::Node,
    replica::{Batch, FLEET_PUTS},
    rpc,
    task::{join_all, pause},
};

/// How long lines are gathered while earlier ones are on their way to the peers. Callers wait for
/// this, so a line that finds none on its way goes at once: each in a call of its own while there
/// are few, many in one call while there are many.
const GATHER: Duration = Duration::from_millis(1);
/// How many peers hold each line.
const COPIES: usize = 2;
/// How long lines that are with this node alone are held for a peer or the store to come back.
const HOLD: Duration = Duration::from_secs(2);
/// The pause between two attempts then.
const HOLD_PAUSE: Duration = Duration::from_millis(100);
/// The time between looks for silent owners.
const SWEEP: Duration = Duration::from_secs(1);

/// Sends new lines to peers.
pub(crate) async fn replicate(node: Arc<Node>) {
    // Each group on its way holds a clone.
    let on_their_way = Arc::new(());
    loop {
        node.journal().wait_for_lines().await;
        if 1 < Arc::strong_count(&on_their_way) {
            async_io::Timer::after(GATHER).await;
        }
        let Some(group) = node.journal().take_group() else { continue };
        let node = Arc::clone(&node);
        // A frozen peer must not hold up the lines that come after these.
        let (ex, token) = (Arc::clone(&node.setup.ex), Arc::clone(&on_their_way));
        ex.spawn(async move {
            secure(&node, group).await;
            drop(token);
        })
        .detach();
    }
}

async fn secure(node: &Node, group: Group) {
    let durability = if group.batch.lines.is_empty() {
        Durability::Stored
    } else {
        hold(node, &group.batch).await
    };
    group.close(durability, node.counters());
}

/// Brings lines to safety and tries again for a while when nobody can be reached.
///
/// Peers that are replaced or paused are back within a second or two, and a VM that is lost
/// before would take answers along that callers have and nobody pays for. A node that knows no
/// other waits for nothing.
async fn hold(node: &Node, batch: &Batch) -> Durability {
    let start = node.setup.clock.now();
    loop {
        let durability = bring(node, batch).await;
        let held = node.setup.clock.now().saturating_duration_since(start);
        if durability != Durability::LocalOnly || node.members().fleet_size() <= 1 || HOLD < held {
            return durability;
        }
        pause(HOLD_PAUSE).await;
    }
}

/// Two peers, else other peers and the store at once; then there's nothing left to try.
async fn bring(node: &Node, batch: &Batch) -> Durability {
    let peers: Vec<_> = node.members().replica_candidates().into_iter().map(|it| it.addr).collect();
    let (first, others) = peers.split_at(COPIES.min(peers.len()));
    let n_held = send(node, first, batch, REPLICATE_TIMEOUT).await;
    if COPIES <= n_held {
        return Durability::Replicated(n_held);
    }
    node.journal().request_flush();
    let others = &others[..(COPIES - n_held).min(others.len())];
    let store = async { node.journal().store(batch, &*node.setup.objects).await };
    let store = timeout::run(FALLBACK_TIMEOUT, store);
    let send = send(node, others, batch, FALLBACK_TIMEOUT);
    let (stored, n_more) = future::zip(store, send).await;
    if stored != Ok(true) && n_held + n_more < enough(node) {
        node.journal().mark_under_replicated(batch);
    }
    match (stored, n_held + n_more) {
        (_, n) if COPIES <= n => Durability::Replicated(n),
        (Ok(true), _) => Durability::Stored,
        (_, 0) => Durability::LocalOnly,
        (_, n) => Durability::Replicated(n),
    }
}

async fn send(node: &Node, peers: &[SocketAddr], batch: &Batch, limit: Duration) -> usize {
    node.holders.lock().extend(peers);
    let calls = peers.iter().map(|addr| node.call::<()>(*addr, "replicate", batch, limit));
    join_all(calls).await.into_iter().filter(Result::is_ok).count()
}

/// Stores lines, at a rate of puts that doesn't grow with the fleet.
pub(crate) async fn flush(node: Arc<Node>) {
    loop {
        let by_fleet = Duration::from_secs_f64(node.members().fleet_size() as f64 / FLEET_PUTS);
        let interval = pause(node.tuning().flush_interval.max(by_fleet));
        future::or(interval, node.journal().wait_for_flush_request()).await;
        if node.journal().n_lines() == 0 {
            continue;
        }
        let flushed = node.journal().flush(&*node.setup.objects).await;
        mark(&node).await;
        if !flushed {
            copy_anew(&node).await;
            // The store is out; a hurry must not turn this into a loop without a pause.
            pause(node.tuning().flush_interval).await;
        }
    }
}

/// Tells the holders what is stored. Also when nothing could be: while the store is out they
/// hear that the owner lives, and don't all try to store its lines too.
async fn mark(node: &Node) {
    let mark = node.journal().heartbeat();
    // Taken, not read: a peer that gets new lines while this runs must not be forgotten below.
    let holders = std::mem::take(&mut *node.holders.lock());
    let calls = holders.iter().map(|addr| node.call::<()>(*addr, "replicate", &mark, rpc::TIMEOUT));
    // One that misses this takes the owner for silent and stores the lines again, harmlessly.
    let _best_effort = join_all(calls).await;
    if 0 < node.journal().n_lines() {
        node.holders.lock().extend(holders);
    }
}

/// Brings lines to peers again that have lost copies or never had enough.
///
/// An outage of the store lasts longer than some VMs do. Were lines copied only once, those that
/// were written down while no peer was in reach, or whose holders have been replaced since,
/// would be lost with this VM.
async fn copy_anew(node: &Node) {
    let alive: BTreeSet<_> =
        node.members().alive().into_iter().map(|it| it.identity.addr).collect();
    let has_lost_holder = {
        let mut holders = node.holders.lock();
        let n_before = holders.len();
        holders.retain(|it| alive.contains(it));
        holders.len() < n_before
    };
    if has_lost_holder {
        node.journal().mark_all_under_replicated();
    }
    let mut peers: Vec<_> =
        node.members().replica_candidates().into_iter().map(|it| it.addr).collect();
    peers.truncate(COPIES);
    for batch in node.journal().take_under_replicated() {
        if send(node, &peers, &batch, FALLBACK_TIMEOUT).await < enough(node) {
            node.journal().mark_under_replicated(&batch);
        }
    }
}

/// How many copies lines should have. Peers that are known and not met yet count: they may be
/// reached a moment later, and lines left with one copy till then would keep only that one.
fn enough(node: &Node) -> usize {
    node.members().fleet_size().saturating_sub(1).clamp(1, COPIES)
}

/// Stores the lines of owners that are gone.
pub(crate) async fn sweep(node: Arc<Node>) {
    loop {
        pause(SWEEP).await;
        if !node.replicas().sweep(node.members(), &*node.setup.objects).await {
            pass_on(&node).await;
        }
    }
}

/// Brings lines of owners that are gone to the nodes that keep them.
///
/// While the store is out such lines live on replicas only, and those are lost or replaced like
/// any other VM. Nobody would copy the lines anew, and they would get fewer until none is left.
async fn pass_on(node: &Node) {
    let orphans = node.replicas().orphans(node.members());
    node.passed.lock().retain(|(origin, _)| orphans.iter().any(|(it, _)| it == origin));
    for (origin, batches) in orphans {
        for replica in node.members().orphan_replicas(&origin.vm) {
            let process = Origin { vm: replica.vm.clone(), incarnation: replica.incarnation };
            let step = (origin.clone(), process);
            if replica == *node.members().own_identity() || node.passed.lock().contains(&step) {
                continue;
            }
            let mut n_replicated = 0;
            for batch in &batches {
                n_replicated += send(node, &[replica.addr], batch, rpc::TIMEOUT).await;
            }
            if n_replicated == batches.len() {
                node.passed.lock().insert(step);
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
    let mut all_kept = true;
    for batch in node.journal().unstored().into_iter().chain(node.replicas().batches()) {
        all_kept &= hand_over_batch(node, &peers, &batch).await;
    }
    all_kept
}

async fn hand_over_batch(node: &Node, peers: &[SocketAddr], batch: &Batch) -> bool {
    for pair in peers.chunks(COPIES) {
        if 0 < send(node, pair, batch, rpc::TIMEOUT).await {
            return true;
        }
    }
    false
}
