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
const MAX_BROADCAST: usize = 12;
/// How many questions in a row an owner may leave unanswered. One may be lost or late.
const MAX_UNANSWERED: u32 = 3;
/// How long a node that left them unanswered is passed over; about the time of a restart.
const PAUSE: Duration = Duration::from_secs(4);

/// Whether a fleet of that size keeps accounts.
///
/// ```
/// # use curranthook_gateway::load_owners;
/// assert!(!load_owners::are_used(6));
/// assert!(load_owners::are_used(295));
/// ```
pub fn are_used(n_nodes: usize) -> bool {
    MAX_BROADCAST < n_nodes
}

/// The nodes that may keep accounts, and how well they answer.
#[derive(Debug, Default)]
pub struct Owners {
    nodes: Vec<Owner>,
    unanswered: HashMap<SocketAddr, Unanswered>,
}

/// A node that may keep accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Owner {
    seed: u64,
    addr: SocketAddr,
}

#[derive(Debug, Clone, Copy, Default)]
struct Unanswered {
    count: u32,
    until: Option<Instant>,
}

impl Owners {
    /// A node is reached at `addr`, or takes no reports.
    pub fn set(&mut self, node: &str, addr: Option<SocketAddr>) {
        let seed = hash::bytes(node.as_bytes());
        self.nodes.retain(|it| it.seed != seed);
        self.nodes.extend(addr.map(|addr| Owner { seed, addr }));
    }

    /// The address of the node that keeps the account of `endpoint`.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use curranthook_gateway::load_owners::Owners;
    /// let (mut ours, mut theirs) = (Owners::default(), Owners::default());
    /// for port in 1..=20 {
    ///     ours.set(&format!("node-{port}"), Some(([127, 0, 0, 1], port).into()));
    ///     theirs.set(&format!("node-{}", 21 - port), Some(([127, 0, 0, 1], 21 - port).into()));
    /// }
    /// let (endpoint, now) = ("engine-1".into(), Instant::now());
    /// assert!(ours.of(&endpoint, now).is_some());
    /// assert_eq!(ours.of(&endpoint, now), theirs.of(&endpoint, now));
    /// ```
    pub fn of(&self, endpoint: &endpoint::Id, now: Instant) -> Option<SocketAddr> {
        self.of_subject(hash::bytes(endpoint.as_str().as_bytes()), now)
    }

    /// The address of the node that knows where the parts of `subject` were read.
    pub fn of_subject(&self, subject: u64, now: Instant) -> Option<SocketAddr> {
        let answering = self.nodes.iter().filter(|it| !self.is_silent(it.addr, now));
        answering.max_by_key(|it| hash::pair(subject, it.seed)).map(|it| it.addr)
    }

    /// A node answered a question.
    pub fn answered(&mut self, addr: SocketAddr) {
        self.unanswered.remove(&addr);
    }

    /// A node left a question unanswered.
    pub fn missed(&mut self, addr: SocketAddr, now: Instant) {
        let it = self.unanswered.entry(addr).or_default();
        it.count += 1;
        if MAX_UNANSWERED <= it.count {
            *it = Unanswered { count: 0, until: Some(now + PAUSE) };
        }
    }

    fn is_silent(&self, addr: SocketAddr, now: Instant) -> bool {
        let until = self.unanswered.get(&addr).and_then(|it| it.until);
        until.is_some_and(|until| now < until)
    }
}
