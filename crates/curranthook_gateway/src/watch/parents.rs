//! The node's place in the tree of relays, and which of its parents may be asked.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::{Gateway, event::Event, fleet, relays, signal::Signal, store::Error};

/// How long a parent that failed isn't asked.
const PARENT_COOLDOWN: Duration = Duration::from_secs(4);
/// The same for one that is out of date. It may have missed a single answer of the store.
const STALE_COOLDOWN: Duration = Duration::from_millis(600);
/// How many parents are asked before the store itself.
const MAX_PARENTS_ASKED: usize = 2;

/// What the watches of a node's tables tell each other.
#[derive(Debug, Default)]
pub struct Shared {
    /// Wakes calls that wait at a store that has been away, as their answers may never come.
    pub(super) returned: Signal,
    /// Until when parents that failed aren't asked.
    failed_parents: Mutex<HashMap<String, Failed>>,
    /// Wakes calls that wait at parents when one has failed.
    pub(super) parent_failed: Signal,
}

/// A parent that failed.
#[derive(Debug, Clone, Copy)]
struct Failed {
    /// Until when it isn't asked.
    until: Instant,
    /// Whether it answered, that it's out of date.
    is_stale: bool,
}

impl Shared {
    pub(super) fn is_failed(&self, parent: &str, now: Instant) -> bool {
        self.failed_parents.lock().get(parent).is_some_and(|it| now <= it.until)
    }

    /// Whether a parent said lately that it's out of date itself.
    fn is_stale(&self, parent: &str, now: Instant) -> bool {
        self.failed_parents.lock().get(parent).is_some_and(|it| now <= it.until && it.is_stale)
    }

    /// A parent failed, and isn't asked for a while.
    pub(super) fn failed(&self, gateway: &Gateway, parent: String, error: &Error) {
        let why = error.to_string();
        let is_stale = matches!(error, Error::Stale(_));
        let pause = if is_stale { STALE_COOLDOWN } else { PARENT_COOLDOWN };
        gateway.log.write(&Event::Dependency { name: &parent, state: "failed", why: &why });
        let failed = Failed { until: gateway.now() + pause, is_stale };
        self.failed_parents.lock().insert(parent, failed);
        self.parent_failed.wake();
    }
}

/// A node to ask.
pub(super) struct Parent {
    pub(super) name: String,
    pub(super) addr: SocketAddr,
    pub(super) max_age: Duration,
}

/// What a node does for the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// It watches the store for itself, as all do in a small fleet.
    Single,
    /// It watches the store for others.
    Root,
    /// It waits at parents.
    Child,
}

/// The node's place in the fleet, and the parents that may be asked now.
pub(super) fn place(gateway: &Gateway, shared: &Shared) -> (Role, Vec<Parent>) {
    let now = gateway.now();
    let peers = gateway.peers.lock();
    let nodes = nodes(&peers);
    if !relays::are_used(nodes.len()) {
        return (Role::Single, Vec::new());
    }
    let all = relays::parents(&gateway.settings.node, &nodes);
    let role = if all.is_empty() { Role::Root } else { Role::Child };
    let well = all.iter().filter(|it| !shared.is_failed(it.name, now));
    let well = well.take(MAX_PARENTS_ASKED).map(|it| Parent {
        name: it.name.to_owned(),
        addr: peers[it.name].peers,
        max_age: it.max_age,
    });
    (role, well.collect())
}

/// Waits until the node's role is another than `role`. The root of a fleet that has grown would
/// otherwise wait as in a small one, and be out of date for its children.
pub(super) async fn role_changed(gateway: &Gateway, shared: &Shared, role: Role) {
    loop {
        let changed = gateway.rows_changed.wait();
        if place(gateway, shared).0 != role {
            return;
        }
        changed.await;
    }
}

/// Whether all relays that a leaf asks answer, and none has heard from the store. They ask it themselves,
/// so it's likely away, or slow, for all nodes alike.
pub(super) fn are_relays_stale(gateway: &Gateway, shared: &Shared) -> bool {
    let now = gateway.now();
    let peers = gateway.peers.lock();
    let nodes = nodes(&peers);
    let parents = relays::parents(&gateway.settings.node, &nodes);
    let is_leaf = parents.iter().all(|it| it.max_age == relays::RELAY_MAX_AGE);
    is_leaf && parents.iter().take(MAX_PARENTS_ASKED).all(|it| shared.is_stale(it.name, now))
}

fn nodes(peers: &HashMap<String, fleet::Node>) -> Vec<relays::Node<'_>> {
    peers
        .iter()
        .map(|(name, it)| relays::Node { name, capacity: it.capacity, domain: it.domain.as_ref() })
        .collect()
}
