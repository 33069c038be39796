//! The identity of a node.

use std::net::SocketAddr;

use curranthook_types::{domain, site, vm};
use serde::{Deserialize, Serialize};

/// The identity of a node, as the node itself states it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Fields", into = "Fields")]
pub struct Identity {
    /// The VM of the node.
    pub vm: vm::Id,
    /// The process of that VM.
    pub incarnation: vm::Incarnation,
    /// The address at which peers reach the node.
    pub addr: SocketAddr,
    /// The failure domain of the node.
    pub domain: domain::Id,
    /// The site of the node.
    pub site: site::Id,
}

/// Serialized as a tuple, because field names would take more bytes than the values.
type Fields = (vm::Id, vm::Incarnation, SocketAddr, domain::Id, site::Id);

impl From<Fields> for Identity {
    fn from((vm, incarnation, addr, domain, site): Fields) -> Self {
        Self { vm, incarnation, addr, domain, site }
    }
}

impl From<Identity> for Fields {
    fn from(it: Identity) -> Self {
        (it.vm, it.incarnation, it.addr, it.domain, it.site)
    }
}
