//! What a node sees of the fleet, for `/status`.

use std::net::SocketAddr;

use serde::Serialize;

use crate::member::Identity;

/// A peer that is alive.
#[derive(Debug, Clone, Serialize)]
pub struct Contact {
    /// Who it is.
    pub identity: Identity,
    /// Calls to it that have failed since the last answer.
    pub failures: u32,
}

/// What a node sees of the fleet.
#[derive(Debug, Clone, Serialize)]
pub struct View {
    /// An estimate of the nodes in the fleet, this one included.
    pub fleet: usize,
    /// An estimate of the live nodes in this site, this one included.
    pub site_nodes: usize,
    /// Peers that answered this node's calls lately.
    pub alive: Vec<Contact>,
    /// Peers that this node can't reach.
    pub unreachable: Vec<SocketAddr>,
}
