//! The node's role in the tree of relays, and which of its parents can be asked.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::{Gateway, event::Event, fleet, relays, signal::Signal, store::Error};

/// How long a parent that failed is not asked.
const PARENT_COOLDOWN: Duration = Duration::from_secs(4);
/// The same for a parent that is out of date. It may have missed a single answer of the store.
const STALE_COOLDOWN: Duration = Duration::from_millis(600);
/// The maximum number of parents asked before the store itself.
const MAX_PARENTS_ASKED: usize = 2;

/// State shared by the watches of a node's tables.
#[derive(Debug, Default)]
pub struct Shared {
    /// Wakes calls that are waiting at a store after an outage, because their answers may never
    /// arrive.
    pub(super) store_recovered: Signal,
    /// Parents that failed, by name.
    failed_parents: Mutex<HashMap<String, Failure>>,
    /// Wakes calls that wait at parents when one has failed.
    pub(super) parent_failed: Signal,
}

/// The failure of a parent.
#[derive(Debug, Clone, Copy)]
struct Failure {
    /// Until when it is not asked.
    until: Instant,
    /// Whether the parent did answer, but was out of date.
    is_stale: bool,
}

impl Shared {
    pub(super) fn is_failed(&self, parent: &str, now: Instant) -> bool {
        self.failed_parents.lock().get(parent).is_some_and(|it| now <= it.until)
    }

    /// Whether a parent recently answered that it is out of date.
    fn is_stale(&self, parent: &str, now: Instant) -> bool {
        self.failed_parents.lock().get(parent).is_some_and(|it| now <= it.until && it.is_stale)
    }

    /// Records the failure of a parent, which is then not asked for a while.
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

/// A node to ask.
pub(super) struct Parent {
    pub(super) name: String,
    pub(super) addr: SocketAddr,
    pub(super) max_age: Duration,
}

/// The role of a node in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// Watches the store for itself, as all nodes of a small fleet do.
    Single,
    /// Watches the store for other nodes.
    Root,
    /// Waits at parents.
    Child,
}

/// The node's role, and the parents that can be asked now.
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
    let available = available.take(MAX_PARENTS_ASKED).map(|it| Parent {
        name: it.name.to_owned(),
        addr: peers[it.name].peers,
        max_age: it.max_age,
    });
    (role, available.collect())
}

/// Waits until the node's role is no longer `role`. Otherwise, the root of a fleet that has grown
/// would keep waiting as in a small fleet, and be out of date for its children.
pub(super) async fn role_changed(gateway: &Gateway, shared: &Shared, role: Role) {
    loop {
        let changed = gateway.rows_changed.wait();
        if role_and_parents(gateway, shared).0 != role {
            return;
        }
        changed.await;
    }
}

/// Whether all relays that a leaf asks do answer, but none has heard from the store recently. They
/// call the store themselves, so it is probably unavailable or slow for all nodes.
pub(super) fn are_relays_stale(gateway: &Gateway, shared: &Shared) -> bool {
    let now = gateway.now();
    let peers = gateway.peers.lock();
    let nodes = relay_nodes(&peers);
    let parents = relays::parents(&gateway.settings.node, &nodes);
    let is_leaf = parents.iter().all(|it| it.max_age == relays::RELAY_MAX_AGE);
    is_leaf && parents.iter().take(MAX_PARENTS_ASKED).all(|it| shared.is_stale(it.name, now))
}

fn relay_nodes(peers: &HashMap<String, fleet::Node>) -> Vec<relays::Node<'_>> {
    peers
        .iter()
        .map(|(name, it)| relays::Node { name, capacity: it.capacity, domain: it.domain.as_ref() })
        .collect()
}
