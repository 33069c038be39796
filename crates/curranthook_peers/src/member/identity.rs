//! Who a node is.

use std::net::SocketAddr;

use curranthook_types::{domain, site, vm};
use serde::{Deserialize, Serialize};

/// Who a node is, as it says itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Fields", into = "Fields")]
pub struct Identity {
    /// Its VM.
    pub vm: vm::Id,
    /// Which process of that VM.
    pub incarnation: vm::Incarnation,
    /// Where peers reach it.
    pub addr: SocketAddr,
    /// Where it stands.
    pub domain: domain::Id,
    /// Its site.
    pub site: site::Id,
}

/// On the wire names would cost more than the values.
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
