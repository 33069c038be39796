//! Which nodes read the store for the others.
//!
//! If each node of a large fleet waited at the store, each change would be answered once for
//! each node, and the store bounds and charges for calls. So a few nodes read it, and the others
//! wait for changes at one of those, which says how old its knowledge is.

use curranthook_policy::hash;

/// Up to this many nodes, all of them read the store.
const ALL: usize = 12;
/// How many nodes one reader serves.
const PER_READER: usize = 16;
/// The least number of readers of a larger fleet, so that the loss of a few leaves some.
const MIN_READERS: usize = 4;

/// The readers that `node` may ask, the first choice first; none if it reads the store itself.
///
/// ```
/// # use curranthook_gateway::readers;
/// let small = ["a", "b", "c"];
/// assert!(readers::of("a", &small).is_empty());
/// let large: Vec<_> = (0..80).map(|it| format!("node-{it}")).collect();
/// let large: Vec<_> = large.iter().map(String::as_str).collect();
/// let n_readers = large.iter().filter(|it| readers::of(it, &large).is_empty()).count();
/// assert_eq!(n_readers, 5);
/// ```
pub fn of<'a>(node: &str, nodes: &[&'a str]) -> Vec<&'a str> {
    if is_small(nodes.len()) {
        return Vec::new();
    }
    let mut ranked = nodes.to_vec();
    ranked.sort_by_key(|it| hash::bytes(it.as_bytes()));
    ranked.truncate(count(nodes.len()) as usize);
    if ranked.contains(&node) {
        return Vec::new();
    }
    let own = hash::bytes(node.as_bytes());
    ranked.sort_by_key(|it| hash::pair(own, hash::bytes(it.as_bytes())));
    ranked
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
