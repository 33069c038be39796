//! The node's role in the tree of relays, and which of its parents it can query.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use super::MAX_PARENTS_QUERIED;
use crate::{
    Gateway,
    event::Event,
    signal::Signal,
    store::{Error, Table},
};

/// How long a parent is not queried after its first failure, and at most; doubles with each further
/// one. A parent that starts is available soon; one that is gone for good costs a failed call each
/// time.
const PARENT_COOLDOWN_RANGE: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_secs(4));
/// How long a parent is not queried after it replied that it is out of date. It may have missed
/// just one answer of the store.
const STALE_COOLDOWN: Duration = Duration::from_millis(600);

/// State shared by the watches of a node's tables.
#[derive(Debug, Default)]
pub struct Shared {
    /// Wakes tasks when an outage of the store ends. Answers to calls made during the outage may
    /// never arrive.
    pub(super) store_recovered: Signal,
    /// The tables for which the last calls failed.
    lost_tables: Mutex<Vec<Table>>,
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
    /// How long it is not queried.
    cooldown: Duration,
    /// Whether the parent replied that it is out of date.
    is_stale: bool,
}

impl Shared {
    pub(super) fn record_lost(&self, table: Table) {
        self.lost_tables.lock().push(table);
    }

    pub(super) fn record_recovered(&self, table: Table) {
        self.lost_tables.lock().retain(|it| *it != table);
    }

    /// Whether the last calls for this table failed.
    pub(super) fn is_lost(&self, table: Table) -> bool {
        self.lost_tables.lock().contains(&table)
    }

    /// Whether the last calls for any table failed.
    pub(super) fn is_any_lost(&self) -> bool {
        !self.lost_tables.lock().is_empty()
    }

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
        gateway.log.write(&Event::Dependency { name: &parent, state: "failed", why: &why });
        let now = gateway.now();
        {
            let mut failed_parents = self.failed_parents.lock();
            let known = failed_parents.get(&parent);
            // The calls for all tables fail at the same time.
            if !is_stale && known.is_some_and(|it| !it.is_stale && now <= it.until) {
                return;
            }
            let cooldown = match (is_stale, known) {
                (true, _) => STALE_COOLDOWN,
                (false, Some(it)) if !it.is_stale => it.cooldown * 2,
                (false, _) => PARENT_COOLDOWN_RANGE.0,
            };
            let cooldown = cooldown.min(PARENT_COOLDOWN_RANGE.1);
            let failure = Failure { until: now + cooldown, cooldown, is_stale };
            failed_parents.insert(parent, failure);
        }
        self.parent_failed.wake();
    }

    /// Records that a parent answered.
    pub(super) fn record_answer(&self, parent: &str) {
        self.failed_parents.lock().remove(parent);
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
    let Some(tree) = gateway.tree().filter(|it| it.is_used()) else {
        return (Role::Single, Vec::new());
    };
    let all = tree.parents(&gateway.settings.node, Some(&gateway.settings.domain));
    let role = if all.is_empty() { Role::Root } else { Role::Child };
    let available = all.iter().filter(|it| !shared.is_failed(it.name, now));
    let available =
        available.map(|it| Parent { name: it.name.to_owned(), addr: it.addr, max_age: it.max_age });
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

/// The number of nodes on this node's level of the tree; none in a tree without relays.
pub(super) fn n_siblings(gateway: &Gateway) -> Option<usize> {
    gateway.tree()?.n_siblings(&gateway.settings.node)
}

/// The number of nodes that query the same parents, if all of these reply that they are out of date.
/// As they call the store themselves, it is probably unavailable or slow for all nodes. None in
/// a tree without relays, and for the node that replaces the root.
pub(super) fn n_siblings_of_stale(gateway: &Gateway, shared: &Shared) -> Option<usize> {
    let (now, node) = (gateway.now(), &gateway.settings.node);
    let tree = gateway.tree()?;
    let parents = tree.parents(node, Some(&gateway.settings.domain));
    let queried: Vec<_> = parents.iter().take(MAX_PARENTS_QUERIED).collect();
    let are_stale = queried.iter().all(|it| shared.is_stale(it.name, now));
    if are_stale && queried.len() == MAX_PARENTS_QUERIED { tree.n_siblings(node) } else { None }
}
