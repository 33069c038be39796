//! The tree through which changes of the store's rows reach all nodes.
//!
//! The store limits and charges for calls, so one node, the root, watches it for the fleet. In a
//! large fleet, the root has relays below it, about as many as each relay has leaves: the square
//! root of the number of nodes. Every node derives the tree from the nodes' rows. The tree only
//! determines which node to query first. Replies contain the age of their information, and a node
//! whose parents are unavailable or out of date watches the store itself.

use std::{collections::HashMap, time::Duration};

use curranthook_policy::hash;
use curranthook_types::domain;

/// Up to this many nodes, each node watches the store itself.
const MAX_NODES_WITHOUT_TREE: usize = 12;
/// Up to this many nodes, there are no relays and all other nodes wait at the root.
const MAX_NODES_WITHOUT_RELAYS: usize = 24;
/// The number of nodes that can act as the root, including the root itself.
const ROOT_CANDIDATES: usize = 3;
/// A node counts as strong if its capacity is at least this ratio of the largest one.
const STRONG_CAPACITY_RATIO: f64 = 0.5;
/// The maximum number of leaves of a strong relay, as a multiple of the number in an even tree.
const MAX_LEAVES_RATIO: usize = 4;
/// The number of relays that are parents of a leaf.
const RELAYS_PER_LEAF: usize = 3;
/// The maximum age of a root's information, that is, the time since the store's last answer to it.
/// A child of an older root changes to another parent; even then, a configuration takes effect
/// within two seconds.
const ROOT_MAX_AGE: Duration = Duration::from_millis(1_400);
/// The maximum age of a relay's information. It is longer than a root's, because a relay receives
/// answers from its root only at intervals.
pub const RELAY_MAX_AGE: Duration = Duration::from_millis(2_200);

/// A node of the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Node<'a> {
    /// The node's name.
    pub name: &'a str,
    /// The capacity for relaying rows to other nodes, in Mbit/s.
    pub capacity: f64,
    /// The failure domain, if known.
    pub domain: Option<&'a domain::Id>,
}

/// A node that another node queries for changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Parent<'a> {
    /// The node's name.
    pub name: &'a str,
    /// The maximum age of the parent's information.
    pub max_age: Duration,
}

/// The parents of `node`, in order of preference; none if it watches the store itself. The nodes
/// with the largest capacity become roots and relays, so that no small node has to serve many
/// others.
///
/// ```
/// # use curranthook_gateway::replication::relays::{self, Node};
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
/// assert!(names[..10].contains(roots[0]), "the root is one of the large nodes");
/// ```
pub fn parents<'a>(node: &str, nodes: &[Node<'a>]) -> Vec<Parent<'a>> {
    if !are_used(nodes.len()) {
        return Vec::new();
    }
    let ranked = rank_nodes(nodes);
    // A starting node is not among `nodes` until it has read its own row.
    let rank = ranked.iter().position(|it| it.name == node).unwrap_or(nodes.len());
    let relays = &ranked[1..=n_relays(nodes)];
    if rank <= relays.len() || nodes.len() <= MAX_NODES_WITHOUT_RELAYS {
        let roots = ranked.iter().take(rank.min(ROOT_CANDIDATES));
        return roots.map(|it| Parent { name: it.name, max_age: ROOT_MAX_AGE }).collect();
    }
    let own_hash = hash::bytes(node.as_bytes());
    let own_domain = ranked.get(rank).and_then(|it| it.domain);
    let mut relays = relays.to_vec();
    // Traffic between failure domains is charged for.
    relays.sort_by_key(|it| (own_domain != it.domain, hash::pair(own_hash, name_hash(it))));
    let relays = relays.into_iter().take(RELAYS_PER_LEAF);
    relays.map(|it| Parent { name: it.name, max_age: RELAY_MAX_AGE }).collect()
}

/// The nodes in order of preference as roots and relays: by decreasing capacity, but alternating
/// between failure domains, so that the loss of one domain leaves some of them, and no relay serves
/// many leaves of other domains.
fn rank_nodes<'a>(nodes: &[Node<'a>]) -> Vec<Node<'a>> {
    let mut ranked = nodes.to_vec();
    ranked.sort_by(|a, b| {
        b.capacity.total_cmp(&a.capacity).then_with(|| name_hash(a).cmp(&name_hash(b)))
    });
    let mut n_in_domain = HashMap::new();
    let mut interleaved: Vec<_> = ranked
        .into_iter()
        .map(|it| {
            let n = n_in_domain.entry(it.domain).or_insert(0_usize);
            *n += 1;
            (*n, it)
        })
        .collect();
    interleaved.sort_by_key(|(n, _)| *n);
    interleaved.into_iter().map(|(_, it)| it).collect()
}

fn name_hash(node: &Node<'_>) -> u64 {
    hash::bytes(node.name.as_bytes())
}

/// Whether a fleet of `n_nodes` uses the tree.
pub fn are_used(n_nodes: usize) -> bool {
    MAX_NODES_WITHOUT_TREE < n_nodes
}

/// The number of relays: the square root of the number of nodes, but no weak nodes if the strong
/// ones can serve all leaves. A relay on a weak link would delay its own callers whenever many rows
/// change.
fn n_relays(nodes: &[Node<'_>]) -> usize {
    let floor = nodes.len().isqrt();
    let sqrt = if floor * floor < nodes.len() { floor + 1 } else { floor };
    let max_capacity = nodes.iter().map(|it| it.capacity).fold(0.0, f64::max);
    let n_strong =
        nodes.iter().filter(|it| max_capacity * STRONG_CAPACITY_RATIO <= it.capacity).count();
    // The strongest node is the root of the tree.
    let n_strong_relays = n_strong.saturating_sub(1);
    if sqrt <= n_strong_relays * MAX_LEAVES_RATIO { sqrt.min(n_strong_relays) } else { sqrt }
}
