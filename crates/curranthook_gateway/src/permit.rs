//! Splits the request rate that one endpoint accepts from the whole fleet among its nodes.
//!
//! No node sees the requests that the others send. So a few nodes hold a permit each for a part of
//! the rate, and the others do not use the endpoint. Every node computes the holders by rendezvous
//! hashing, without a message. The part of a node that has crashed or lost its connections stays
//! unused.
//!
//! Callers do not spread evenly over the nodes, and may all be at one. So a node without a permit
//! that is due borrows one for each request from a holder (see [`lending`]).

pub mod lenders;
pub mod lending;
pub mod usage;

use std::time::{Duration, Instant};

use curranthook_policy::hash;

/// How long a permit is valid before it is recomputed, as nodes join and leave.
const PERMIT_EXPIRY: Duration = Duration::from_secs(1);

/// The minimum interval between two requests from `node` to `endpoint` if all `nodes` together may
/// send it `rate` requests per second; none if the node may send no requests. Nodes and endpoints
/// are given as hashes.
///
/// Without permits, many nodes would choose the same idle endpoint at once.
///
/// ```
/// # use curranthook_gateway::permit;
/// let nodes: Vec<u64> = (0..80).collect();
/// let holders = |it: &&u64| permit::interval(8.0, 7, **it, &nodes).is_some();
/// assert_eq!(nodes.iter().filter(holders).count(), 8);
/// ```
pub fn interval(rate: f64, endpoint: u64, node: u64, nodes: &[u64]) -> Option<Duration> {
    let weight = |node: u64| hash::pair(endpoint, node);
    let rank = nodes.iter().filter(|it| weight(node) < weight(**it)).count();
    let n_holders = n_holders(rate, nodes.len());
    let interval = Duration::try_from_secs_f64(n_holders as f64 / rate).ok()?;
    (rank < n_holders).then_some(interval)
}

/// The nodes that hold a permit for `endpoint`: those for which [`interval`] returns one.
///
/// ```
/// # use curranthook_gateway::permit;
/// let nodes: Vec<u64> = (0..80).collect();
/// let holders = permit::holders(8.0, 7, &nodes);
/// assert_eq!(holders.len(), 8);
/// assert!(holders.iter().all(|it| permit::interval(8.0, 7, *it, &nodes).is_some()));
/// ```
pub fn holders(rate: f64, endpoint: u64, nodes: &[u64]) -> Vec<u64> {
    let n_holders = n_holders(rate, nodes.len()).min(nodes.len());
    let mut nodes = nodes.to_vec();
    if n_holders < nodes.len() {
        let weight = |node: &u64| std::cmp::Reverse(hash::pair(endpoint, *node));
        nodes.select_nth_unstable_by_key(n_holders, weight);
        nodes.truncate(n_holders);
    }
    nodes
}

fn n_holders(rate: f64, n_nodes: usize) -> usize {
    n_nodes.min(rate as usize).max(1)
}

/// Whose permit a request is sent under.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner {
    /// That of the node that sends it.
    Sender,
    /// That of a node that has lent it, and has counted the request.
    Lender,
}

/// This node's share of an endpoint's rate: its permit, and when its next request is due.
#[derive(Debug, Clone, Copy, Default)]
pub struct Share {
    permit: Option<Permit>,
    /// When the next request is due; none if it may be sent at any time.
    due: Option<Instant>,
    /// The number of requests that may be sent before they are due.
    burst: u32,
}

#[derive(Debug, Clone, Copy)]
struct Permit {
    /// The minimum interval between two requests; none if the node may send no requests.
    interval: Option<Duration>,
    since: Instant,
}

impl Share {
    /// Whether the permit has to be recomputed.
    pub fn is_outdated(&self, now: Instant) -> bool {
        self.permit.is_none_or(|it| it.since + PERMIT_EXPIRY <= now)
    }

    /// Sets the minimum interval between two requests; none if the node may send no requests.
    pub fn set_interval(&mut self, interval: Option<Duration>, now: Instant) {
        self.permit = Some(Permit { interval, since: now });
    }

    /// Whether a request may be sent now. Always false before the permit is known.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::permit::Share;
    /// let (now, s) = (Instant::now(), Duration::from_secs(1));
    /// let mut it = Share::default();
    /// assert!(!it.admits(now));
    /// it.set_interval(Some(s), now);
    /// assert!(it.admits(now));
    /// it.sent(now);
    /// assert!(!it.admits(now + s / 2) && it.admits(now + s));
    ///
    /// let mut it = it.with_burst(1);
    /// assert!(it.admits(now));
    /// it.sent(now);
    /// assert!(!it.admits(now) && it.admits(now + s));
    /// ```
    pub fn admits(&self, now: Instant) -> bool {
        let Some(interval) = self.interval() else { return false };
        self.due.is_none_or(|at| at <= now + interval * self.burst)
    }

    /// The minimum interval between two requests; none if the node may send no requests.
    pub fn interval(&self) -> Option<Duration> {
        self.permit?.interval
    }

    /// The time until a request may be sent; none if the node holds no permit.
    pub fn due_in(&self, now: Instant) -> Option<Duration> {
        let ahead = self.interval()? * self.burst;
        Some(self.due.map_or(Duration::ZERO, |at| at.saturating_duration_since(now + ahead)))
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, now: Instant) {
        let due = self.due.map_or(now, |at| at.max(now));
        self.due = Some(due + self.interval().unwrap_or_default());
    }

    /// Delays the next request until `until`, even if a burst is allowed.
    pub fn defer(&mut self, until: Instant) {
        let ahead = self.interval().unwrap_or_default() * self.burst;
        self.due = self.due.max(Some(until + ahead));
    }

    /// Lets up to `burst` requests be sent before they are due.
    pub fn with_burst(self, burst: u32) -> Self {
        Self { burst, ..self }
    }
}
