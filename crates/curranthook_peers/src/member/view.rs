//! The fleet as a node sees it, for `/status`.

use std::net::SocketAddr;

use serde::Serialize;

use crate::member::Identity;

/// A peer that is alive.
#[derive(Debug, Clone, Serialize)]
pub struct Contact {
    /// The identity of the peer.
    pub identity: Identity,
    /// Number of calls to the peer that have failed since its last answer.
    pub failures: u32,
}

/// The fleet as a node sees it.
#[derive(Debug, Clone, Serialize)]
pub struct View {
    /// An estimate of the number of nodes in the fleet, including this one.
    #[serde(rename = "fleet")]
    pub fleet_size: usize,
    /// An estimate of the number of live nodes in this site, including this one.
    pub site_nodes: usize,
    /// Peers that recently answered calls from this node.
    pub alive: Vec<Contact>,
    /// Addresses of peers that this node currently can't reach.
    pub unreachable: Vec<SocketAddr>,
}
