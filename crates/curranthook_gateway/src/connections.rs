//! The number of idle connections that a node keeps to an endpoint.
//!
//! An endpoint accepts a limited number of connections from all nodes together and resets further
//! ones. A node that kept every connection it has used would occupy capacity that other nodes need
//! for new connections.

/// The share of an endpoint's connections that may be idle; the rest is for requests in flight.
const IDLE_SHARE: f64 = 0.5;

/// The number of idle connections that each of `n_nodes` may keep to an endpoint that accepts
/// `max_connections` in total.
///
/// Guards against an endpoint that resets new connections because idle ones use up its limit, when
/// most other endpoints are gone and a large fleet sends its requests to the remaining ones.
///
/// ```
/// # use curranthook_gateway::connections;
/// assert_eq!(connections::max_idle(550, 81), 3);
/// assert_eq!(connections::max_idle(550, 1_800), 0);
/// ```
pub fn max_idle(max_connections: usize, n_nodes: usize) -> usize {
    (max_connections as f64 * IDLE_SHARE) as usize / n_nodes.max(1)
}
