//! Which nodes read the store for the others.
//!
//! If each node of a large fleet waited at the store, each change would be answered once for
//! each node, and the store bounds and charges for calls. So a few nodes read it, and the others
//! wait for changes at one of those, which says how old its knowledge is.

use curranthook_policy::hash;
use curranthook_types::domain;

/// Up to this many nodes, all of them read the store.
const ALL: usize = 12;
/// How many nodes one reader serves.
const PER_READER: usize = 16;
/// The least number of readers of a larger fleet, so that the loss of a few leaves some.
const MIN_READERS: usize = 4;

/// A node that may be a reader.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Node<'a> {
    /// Its name.
    pub name: &'a str,
    /// How much it can carry for others.
    pub capacity: f64,
    /// Its failure domain, if it's known.
    pub domain: Option<&'a domain::Id>,
}

/// The readers that `node` may ask, the first choice first; none if it reads the store itself.
/// Readers are the nodes that can carry most, so that no small one has to serve many others.
///
/// ```
/// # use curranthook_gateway::readers::{self, Node};
/// let names: Vec<_> = (0..80).map(|it| format!("node-{it}")).collect();
/// let nodes = names.iter().enumerate().map(|(index, name)| Node {
///     name,
///     capacity: if index < 10 { 200.0 } else { 10.0 },
///     domain: None,
/// });
/// let nodes: Vec<_> = nodes.collect();
/// assert!(readers::of("node-1", &nodes[..5]).is_empty(), "a small fleet has no readers");
/// let own: Vec<_> = names.iter().filter(|it| readers::of(it, &nodes).is_empty()).collect();
/// assert_eq!(own.len(), 5);
/// assert!(own.iter().all(|it| names[..10].contains(it)), "they are among the large nodes");
/// ```
pub fn of<'a>(node: &str, nodes: &[Node<'a>]) -> Vec<&'a str> {
    if is_small(nodes.len()) {
        return Vec::new();
    }
    let mut ranked = nodes.to_vec();
    let seed = |it: &Node<'_>| hash::bytes(it.name.as_bytes());
    ranked.sort_by(|a, b| b.capacity.total_cmp(&a.capacity).then_with(|| seed(a).cmp(&seed(b))));
    ranked.truncate(count(nodes.len()) as usize);
    if ranked.iter().any(|it| it.name == node) {
        return Vec::new();
    }
    let own = hash::bytes(node.as_bytes());
    let home = nodes.iter().find(|it| it.name == node).and_then(|it| it.domain);
    // Rows are sent to each follower; what crosses failure domains is charged for.
    ranked.sort_by_key(|it| (home != it.domain, hash::pair(own, seed(it))));
    ranked.into_iter().map(|it| it.name).collect()
}

/// Whether all nodes of a fleet of that size read the store.
pub fn is_small(n_nodes: usize) -> bool {
    n_nodes <= ALL
}

/// How many nodes of a fleet of that size read the store.
///
/// ```
/// # use curranthook_gateway::readers;
/// assert_eq!(readers::count(6), 6);
/// assert_eq!(readers::count(82), 6);
/// assert_eq!(readers::count(1_800), 113);
/// ```
pub fn count(n_nodes: usize) -> u32 {
    let readers = match is_small(n_nodes) {
        true => n_nodes,
        false => n_nodes.div_ceil(PER_READER).max(MIN_READERS),
    };
    u32::try_from(readers).unwrap_or(u32::MAX)
}
