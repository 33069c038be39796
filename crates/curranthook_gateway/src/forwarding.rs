//! Forwarding of requests to other nodes, by a node that is cut off from all endpoints of a service
//! while its callers, the store and other nodes still reach it.
//!
//! - [`reach`] decides whether the node is cut off; [`probe`] connects to a few endpoints to find
//!   out;
//! - [`candidates`] are the nodes that requests are forwarded to;
//! - [`head`] contains the headers that nodes add to each other's requests;
//! - [`server`] accepts forwarded requests. A node serves them like those of its own callers, but
//!   never forwards them again.

pub mod candidates;
pub mod head;
pub mod probe;
pub mod reach;
pub mod server;

use std::sync::{Arc, atomic::AtomicUsize};

use parking_lot::Mutex;

use self::{
    candidates::Candidates,
    reach::{Reach, State},
};
use crate::Gateway;

/// The state of this module.
#[derive(Debug, Default)]
pub struct Forwarding {
    /// Which services this node is cut off from.
    pub reach: Mutex<Reach>,
    /// The nodes that requests are forwarded to.
    pub candidates: Mutex<Candidates>,
    /// The key with which nodes recognize each other; none before it has been read.
    key: Mutex<Option<Arc<str>>>,
    /// The number of forwarded requests that this node serves.
    pub n_accepted: Arc<AtomicUsize>,
}

impl Forwarding {
    /// Sets the key with which nodes recognize each other.
    pub fn set_key(&self, key: &str) {
        *self.key.lock() = Some(key.into());
    }

    /// The key with which nodes recognize each other.
    pub fn key(&self) -> Option<Arc<str>> {
        self.key.lock().clone()
    }
}

/// Whether this node is cut off from a service.
pub fn is_cut_off(gateway: &Gateway, service: &str) -> bool {
    gateway.forwarding.reach.lock().state(service) == State::CutOff
}

/// Whether requests for a service are forwarded to other nodes: this node is cut off, and some node
/// has not refused requests lately. If all have, the endpoints themselves are down.
pub fn is_used(gateway: &Gateway, service: &str) -> bool {
    if !is_cut_off(gateway, service) || gateway.forwarding.key().is_none() {
        return false;
    }
    let (settings, now) = (&gateway.settings, gateway.now());
    let peers = gateway.peers.lock();
    let mut candidates = gateway.forwarding.candidates.lock();
    candidates.refresh(&peers, (&settings.node, &settings.domain), now, &mut rand::rng());
    candidates.is_any_available(now)
}
