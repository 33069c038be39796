//! The tree through which changes of the store's rows reach all nodes.
//!
//! The store limits and charges for calls, so one node, the root, watches it for the fleet. In a
//! large fleet, the root has relays below it, about as many as each relay has leaves: the square
//! root of the number of nodes. Every node derives the tree from the nodes' rows; the root stores it in
//! a row of its own, from which a starting node finds its parents before it has read the other rows.
//! The tree only determines which node to query first. Replies contain the age of their information, and a node
//! whose parents are unavailable or out of date watches the store itself.

use std::{cmp::Reverse, collections::HashMap, net::SocketAddr, time::Duration};

use curranthook_policy::hash;
use curranthook_types::domain;
use serde::{Deserialize, Serialize};

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
    /// The address for requests from other nodes.
    pub addr: SocketAddr,
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
    /// The address for requests from other nodes.
    pub addr: SocketAddr,
    /// The maximum age of the parent's information.
    pub max_age: Duration,
}

/// The upper levels of the tree, from which each node determines its parents.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tree {
    /// The number of nodes in the fleet.
    n_nodes: usize,
    /// The number of relays, which follow the root in `members`.
    n_relays: usize,
    /// The nodes that others query, the root first.
    members: Vec<Member>,
}

/// A root or relay, or a node that replaces the root.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Member {
    name: String,
    addr: SocketAddr,
    #[serde(default)]
    domain: Option<domain::Id>,
}

impl Tree {
    /// The tree of a fleet. The nodes with the largest capacity become roots and relays, so that no
    /// small node has to serve many others.
    ///
    /// ```
    /// # use curranthook_gateway::replication::relays::{Node, Tree};
    /// let names: Vec<_> = (0..80).map(|it| format!("node-{it}")).collect();
    /// let nodes = names.iter().enumerate().map(|(index, name)| Node {
    ///     name,
    ///     addr: ([127, 0, 0, 1], 7_000).into(),
    ///     capacity: if index < 10 { 200.0 } else { 10.0 },
    ///     domain: None,
    /// });
    /// let nodes: Vec<_> = nodes.collect();
    /// assert!(!Tree::new(&nodes[..5]).is_used(), "a small fleet has no tree");
    /// let tree = Tree::new(&nodes);
    /// let roots: Vec<_> = names.iter().filter(|it| tree.parents(it, None).is_empty()).collect();
    /// assert_eq!(roots.len(), 1);
    /// assert!(names[..10].contains(roots[0]), "the root is one of the large nodes");
    /// ```
    pub fn new(nodes: &[Node<'_>]) -> Self {
        let n_relays = if nodes.len() <= MAX_NODES_WITHOUT_RELAYS { 0 } else { n_relays(nodes) };
        let members = rank_nodes(nodes).into_iter().take(ROOT_CANDIDATES.max(1 + n_relays));
        let members = members.map(|it| Member {
            name: it.name.to_owned(),
            addr: it.addr,
            domain: it.domain.cloned(),
        });
        Self { n_nodes: nodes.len(), n_relays, members: members.collect() }
    }

    /// Whether the fleet is so large that it uses the tree.
    pub fn is_used(&self) -> bool {
        are_used(self.n_nodes)
    }

    /// Whether other nodes may query this one.
    pub fn has_member(&self, node: &str) -> bool {
        self.is_used() && self.members.iter().any(|it| it.name == node)
    }

    /// Whether `node` watches the store for the others.
    pub fn is_root(&self, node: &str) -> bool {
        self.is_used() && self.members.first().is_some_and(|it| it.name == node)
    }

    /// The number of nodes on the level of `node`, including itself; none in a tree without relays.
    pub fn n_siblings(&self, node: &str) -> Option<usize> {
        if self.n_relays == 0 {
            return None;
        }
        match self.rank(node) {
            Some(rank) if rank <= self.n_relays => Some(self.n_relays),
            _ => Some(self.n_nodes),
        }
    }

    /// The parents of `node` in order of preference; none if it watches the store itself. `domain`
    /// is its failure domain. A node that is not listed yet has parents, too.
    pub fn parents(&self, node: &str, domain: Option<&domain::Id>) -> Vec<Parent<'_>> {
        if !self.is_used() {
            return Vec::new();
        }
        let rank = self.rank(node).unwrap_or(usize::MAX);
        if rank <= self.n_relays || self.n_relays == 0 {
            let roots = self.members.iter().take(rank.min(ROOT_CANDIDATES));
            return roots.map(|it| it.parent(ROOT_MAX_AGE)).collect();
        }
        let own_hash = hash::bytes(node.as_bytes());
        let mut relays: Vec<_> = self.members.iter().skip(1).take(self.n_relays).collect();
        // Traffic between failure domains is charged for.
        relays.sort_by_cached_key(|it| {
            (domain != it.domain.as_ref(), hash::pair(own_hash, hash::bytes(it.name.as_bytes())))
        });
        let relays = relays.into_iter().take(RELAYS_PER_LEAF);
        relays.map(|it| it.parent(RELAY_MAX_AGE)).collect()
    }

    fn rank(&self, node: &str) -> Option<usize> {
        self.members.iter().position(|it| it.name == node)
    }
}

impl Member {
    fn parent(&self, max_age: Duration) -> Parent<'_> {
        Parent { name: &self.name, addr: self.addr, max_age }
    }
}

/// The nodes in order of preference as roots and relays: by decreasing capacity, but alternating
/// between failure domains, so that the loss of one domain leaves some of them, and no relay serves
/// many leaves of other domains.
fn rank_nodes<'a>(nodes: &[Node<'a>]) -> Vec<Node<'a>> {
    let mut ranked = nodes.to_vec();
    ranked.sort_by_cached_key(|it| {
        // Capacities are not negative, so that their order is that of their bits.
        (Reverse(it.capacity.max(0.0).to_bits()), hash::bytes(it.name.as_bytes()))
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
