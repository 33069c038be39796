//! Which node keeps the load account of an endpoint.
//!
//! In a large fleet nobody can tell everybody what it has waiting where: 71 nodes would get 700
//! reports a second each. Instead each endpoint has one owner, a node that hears of all work waiting there,
//! and nodes ask it before they send more. Rendezvous hashing over the known nodes gives all of them
//! the same owner without a message. Where they disagree, or an owner is lost, a request is placed
//! by what its own node knows; nothing else depends on it.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use curranthook_policy::hash;
use curranthook_types::endpoint;

/// Up to this many nodes, each tells all others what it has waiting, and no accounts are kept.
const MAX_BROADCAST_NODES: usize = 12;
/// How many questions in a row an owner may leave timeouts. One may be lost or late.
const MAX_UNANSWERED: u32 = 3;
/// How long a node that left them timeouts is passed over; about the time of a restart.
const SKIP_TIME: Duration = Duration::from_secs(4);

/// Whether a fleet of that size keeps accounts.
///
/// ```
/// # use curranthook_gateway::load_owners;
/// assert!(!load_owners::are_used(6));
/// assert!(load_owners::are_used(295));
/// ```
pub fn are_used(n_nodes: usize) -> bool {
    MAX_BROADCAST_NODES < n_nodes
}

/// The nodes that may keep accounts, and how well they answer.
#[derive(Debug, Default)]
pub struct Owners {
    nodes: Vec<Owner>,
    timeouts: HashMap<SocketAddr, Timeouts>,
}

/// A node that may keep accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Owner {
    node_hash: u64,
    addr: SocketAddr,
}

#[derive(Debug, Clone, Copy, Default)]
struct Timeouts {
    count: u32,
    skipped_until: Option<Instant>,
}

impl Owners {
    /// A node is reached at `addr`, or takes no reports.
    pub fn set_node(&mut self, node: &str, addr: Option<SocketAddr>) {
        let node_hash = hash::bytes(node.as_bytes());
        self.nodes.retain(|it| it.node_hash != node_hash);
        self.nodes.extend(addr.map(|addr| Owner { node_hash, addr }));
    }

    /// The address of the node that keeps the account of `endpoint`.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use curranthook_gateway::load_owners::Owners;
    /// let (mut ours, mut theirs) = (Owners::default(), Owners::default());
    /// for port in 1..=20 {
    ///     ours.set_node(&format!("node-{port}"), Some(([127, 0, 0, 1], port).into()));
    ///     theirs.set_node(&format!("node-{}", 21 - port), Some(([127, 0, 0, 1], 21 - port).into()));
    /// }
    /// let (endpoint, now) = ("engine-1".into(), Instant::now());
    /// assert!(ours.owner_of(&endpoint, now).is_some());
    /// assert_eq!(ours.owner_of(&endpoint, now), theirs.owner_of(&endpoint, now));
    /// ```
    pub fn owner_of(&self, endpoint: &endpoint::Id, now: Instant) -> Option<SocketAddr> {
        self.owner_of_subject(hash::bytes(endpoint.as_str().as_bytes()), now)
    }

    /// The address of the node that knows where the parts of `subject` were read.
    pub fn owner_of_subject(&self, subject: u64, now: Instant) -> Option<SocketAddr> {
        let answering = self.nodes.iter().filter(|it| !self.is_skipped(it.addr, now));
        answering.max_by_key(|it| hash::pair(subject, it.node_hash)).map(|it| it.addr)
    }

    /// A node record_answer a question.
    pub fn record_answer(&mut self, addr: SocketAddr) {
        self.timeouts.remove(&addr);
    }

    /// A node left a question timeouts.
    pub fn record_timeout(&mut self, addr: SocketAddr, now: Instant) {
        let it = self.timeouts.entry(addr).or_default();
        it.count += 1;
        if MAX_UNANSWERED <= it.count {
            *it = Timeouts { count: 0, skipped_until: Some(now + SKIP_TIME) };
        }
    }

    fn is_skipped(&self, addr: SocketAddr, now: Instant) -> bool {
        let skipped_until = self.timeouts.get(&addr).and_then(|it| it.skipped_until);
        skipped_until.is_some_and(|skipped_until| now < skipped_until)
    }
}
