//! How many connections a node keeps open to an endpoint.
//!
//! An endpoint takes a number of connections from all nodes together and resets further ones. A node
//! that kept each connection it has used would take places that the others need for new ones.

/// The part of an endpoint's connections that may be idle; the rest is for requests under way.
const IDLE_SHARE: f64 = 0.5;

/// How many idle connections each of `n_nodes` may keep to an endpoint that takes `max_connections` in all.
///
/// Guards against an endpoint that resets new connections because idle ones take up all its places, when
/// most others have left and a large fleet turns to it.
///
/// ```
/// # use curranthook_gateway::connections;
/// assert_eq!(connections::max_idle(550, 81), 3);
/// assert_eq!(connections::max_idle(550, 1_800), 0);
/// ```
pub fn max_idle(max_connections: usize, n_nodes: usize) -> usize {
    (max_connections as f64 * IDLE_SHARE) as usize / n_nodes.max(1)
}
