//! The node's role in the tree of relays, and which of its parents it can query.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::{Gateway, event::Event, fleet, replication::relays, signal::Signal, store::Error};

/// How long a parent is not queried after it failed.
const PARENT_COOLDOWN: Duration = Duration::from_secs(4);
/// How long a parent is not queried after it replied that it is out of date. It may have missed
/// just one answer of the store.
const STALE_COOLDOWN: Duration = Duration::from_millis(600);
/// The maximum number of parents that are queried before the store is called itself.
const MAX_PARENTS_QUERIED: usize = 2;

/// State shared by the watches of a node's tables.
#[derive(Debug, Default)]
pub struct Shared {
    /// Wakes tasks when an outage of the store ends. Answers to calls made during the outage may
    /// never arrive.
    pub(super) store_recovered: Signal,
    /// Parents that failed, by name.
    failed_parents: Mutex<HashMap<String, Failure>>,
    /// Wakes tasks that wait for a parent's reply when a parent has failed.
    pub(super) parent_failed: Signal,
}

/// The failure of a parent.
#[derive(Debug, Clone, Copy)]
struct Failure {
    /// Until when the parent is not queried.
    until: Instant,
    /// Whether the parent replied that it is out of date.
    is_stale: bool,
}

impl Shared {
    pub(super) fn is_failed(&self, parent: &str, now: Instant) -> bool {
        self.failed_parents.lock().get(parent).is_some_and(|it| now <= it.until)
    }

    /// Whether a parent recently replied that it is out of date.
    fn is_stale(&self, parent: &str, now: Instant) -> bool {
        self.failed_parents.lock().get(parent).is_some_and(|it| now <= it.until && it.is_stale)
    }

    /// Records the failure of a parent, which is then not queried for the time of its cooldown.
    pub(super) fn record_failure(&self, gateway: &Gateway, parent: String, error: &Error) {
        let why = error.to_string();
        let is_stale = matches!(error, Error::Stale(_));
        let pause = if is_stale { STALE_COOLDOWN } else { PARENT_COOLDOWN };
        gateway.log.write(&Event::Dependency { name: &parent, state: "failed", why: &why });
        let failure = Failure { until: gateway.now() + pause, is_stale };
        self.failed_parents.lock().insert(parent, failure);
        self.parent_failed.wake();
    }
}

/// A parent that can be queried.
pub(super) struct Parent {
    pub(super) name: String,
    pub(super) addr: SocketAddr,
    pub(super) max_age: Duration,
}

/// The role of a node in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// Calls the store itself, as all nodes of a small fleet do.
    Single,
    /// Calls the store, and answers the queries of other nodes.
    Root,
    /// Queries its parents.
    Child,
}

/// The node's role, and the parents that it can query now, in order of preference.
pub(super) fn role_and_parents(gateway: &Gateway, shared: &Shared) -> (Role, Vec<Parent>) {
    let now = gateway.now();
    let peers = gateway.peers.lock();
    let nodes = relay_nodes(&peers);
    if !relays::are_used(nodes.len()) {
        return (Role::Single, Vec::new());
    }
    let all = relays::parents(&gateway.settings.node, &nodes);
    let role = if all.is_empty() { Role::Root } else { Role::Child };
    let available = all.iter().filter(|it| !shared.is_failed(it.name, now));
    let available = available.take(MAX_PARENTS_QUERIED).map(|it| Parent {
        name: it.name.to_owned(),
        addr: peers[it.name].peers,
        max_age: it.max_age,
    });
    (role, available.collect())
}

/// Waits until the node's role is no longer `role`. Without this, the root of a fleet that has
/// grown would finish a long poll with the long wait of a small fleet, and be out of date for its
/// children.
pub(super) async fn role_changed(gateway: &Gateway, shared: &Shared, role: Role) {
    loop {
        let changed = gateway.rows_changed.wait();
        if role_and_parents(gateway, shared).0 != role {
            return;
        }
        changed.await;
    }
}

/// Whether all relays that a leaf queries reply that they are out of date. As they call the store
/// themselves, it is probably unavailable or slow for all nodes.
pub(super) fn are_relays_stale(gateway: &Gateway, shared: &Shared) -> bool {
    let now = gateway.now();
    let peers = gateway.peers.lock();
    let nodes = relay_nodes(&peers);
    let parents = relays::parents(&gateway.settings.node, &nodes);
    let is_leaf = parents.iter().all(|it| it.max_age == relays::RELAY_MAX_AGE);
    is_leaf && parents.iter().take(MAX_PARENTS_QUERIED).all(|it| shared.is_stale(it.name, now))
}

fn relay_nodes(peers: &HashMap<String, fleet::Node>) -> Vec<relays::Node<'_>> {
    peers
        .iter()
        .map(|(name, it)| relays::Node { name, capacity: it.capacity, domain: it.domain.as_ref() })
        .collect()
}
