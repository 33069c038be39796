//! The tree by which changes of the store's rows reach all nodes.
//!
//! The store bounds and charges for calls, so one node, the root, watches it for the fleet. In a
//! large fleet the root has relays below it, about as many as each of them has leaves: the square root
//! of the fleet's size. Every node derives the tree from the rows of the nodes. It only says whom to
//! ask first: knowledge travels with its age, and a node whose parents are lost or out of date watches
//! the store itself.

use std::{collections::HashMap, time::Duration};

use curranthook_policy::hash;
use curranthook_types::domain;

/// Up to this many nodes, each watches the store itself.
const MAX_UNRELAYED: usize = 12;
/// Up to this many nodes, all others wait at the root.
const MAX_FLAT: usize = 24;
/// How many nodes may take the root's place, the root with them.
const ROOTS: usize = 3;
/// From which part of the largest capacity on a node counts as strong.
const STRONG: f64 = 0.5;
/// How many times as many leaves as in an even tree a strong relay may have.
const MAX_LOAD: usize = 4;
/// How many relays a leaf may ask.
const RELAYS_PER_LEAF: usize = 3;
/// How long ago a root may have heard from the store. Together with the change to another parent
/// this keeps a configuration in force within two seconds.
const ROOT_MAX_AGE: Duration = Duration::from_millis(1_400);
/// How long ago a relay may have. It hears from its root at intervals of its own.
pub const RELAY_MAX_AGE: Duration = Duration::from_millis(2_200);

/// A node of the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Node<'a> {
    /// Its name.
    pub name: &'a str,
    /// How much it can carry for others, in Mbit/s.
    pub capacity: f64,
    /// Its failure domain, if it's known.
    pub domain: Option<&'a domain::Id>,
}

/// A node at which another one waits for changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Parent<'a> {
    /// Its name.
    pub name: &'a str,
    /// How old its knowledge may be.
    pub max_age: Duration,
}

/// The parents of `node`, the first choice first; none if it watches the store itself. The nodes
/// that can carry most are roots and relays, so that no small one has to serve many others.
///
/// ```
/// # use curranthook_gateway::relays::{self, Node};
/// let names: Vec<_> = (0..80).map(|it| format!("node-{it}")).collect();
/// let nodes = names.iter().enumerate().map(|(index, name)| Node {
///     name,
///     capacity: if index < 10 { 200.0 } else { 10.0 },
///     domain: None,
/// });
/// let nodes: Vec<_> = nodes.collect();
/// assert!(relays::parents("node-1", &nodes[..5]).is_empty(), "a small fleet has no tree");
/// let roots: Vec<_> = names.iter().filter(|it| relays::parents(it, &nodes).is_empty()).collect();
/// assert_eq!(roots.len(), 1);
/// assert!(names[..10].contains(roots[0]), "it's one of the large nodes");
/// ```
pub fn parents<'a>(node: &str, nodes: &[Node<'a>]) -> Vec<Parent<'a>> {
    if !are_used(nodes.len()) {
        return Vec::new();
    }
    let ranked = ranked(nodes);
    // A node that starts isn't among them until its own row comes back to it.
    let rank = ranked.iter().position(|it| it.name == node).unwrap_or(nodes.len());
    let relays = &ranked[1..=n_relays(nodes)];
    if rank <= relays.len() || nodes.len() <= MAX_FLAT {
        let roots = ranked.iter().take(rank.min(ROOTS));
        return roots.map(|it| Parent { name: it.name, max_age: ROOT_MAX_AGE }).collect();
    }
    let own = hash::bytes(node.as_bytes());
    let home = ranked.get(rank).and_then(|it| it.domain);
    let mut relays = relays.to_vec();
    // What crosses failure domains is charged for.
    relays.sort_by_key(|it| (home != it.domain, hash::pair(own, seed(it))));
    let relays = relays.into_iter().take(RELAYS_PER_LEAF);
    relays.map(|it| Parent { name: it.name, max_age: RELAY_MAX_AGE }).collect()
}

/// The nodes by how well they suit as roots and relays: those of most capacity first, but in turn from
/// each failure domain, so that the loss of one leaves some and none serves many leaves of others.
fn ranked<'a>(nodes: &[Node<'a>]) -> Vec<Node<'a>> {
    let mut ranked = nodes.to_vec();
    ranked.sort_by(|a, b| b.capacity.total_cmp(&a.capacity).then_with(|| seed(a).cmp(&seed(b))));
    let mut n_seen = HashMap::new();
    let mut in_turn: Vec<_> = ranked
        .into_iter()
        .map(|it| {
            let n = n_seen.entry(it.domain).or_insert(0_usize);
            *n += 1;
            (*n, it)
        })
        .collect();
    in_turn.sort_by_key(|(n, _)| *n);
    in_turn.into_iter().map(|(_, it)| it).collect()
}

fn seed(node: &Node<'_>) -> u64 {
    hash::bytes(node.name.as_bytes())
}

/// Whether a fleet of that size has a tree.
pub fn are_used(n_nodes: usize) -> bool {
    MAX_UNRELAYED < n_nodes
}

/// How many relays a fleet has: the square root of its size, but no weak nodes if the strong ones can
/// carry all leaves. A relay on a weak link would delay its own callers whenever many rows change.
fn n_relays(nodes: &[Node<'_>]) -> usize {
    let floor = nodes.len().isqrt();
    let root = if floor * floor < nodes.len() { floor + 1 } else { floor };
    let most = nodes.iter().map(|it| it.capacity).fold(0.0, f64::max);
    let n_strong = nodes.iter().filter(|it| most * STRONG <= it.capacity).count();
    // The strongest of all is the root of the tree.
    let n_strong_relays = n_strong.saturating_sub(1);
    if root <= n_strong_relays * MAX_LOAD { root.min(n_strong_relays) } else { root }
}
