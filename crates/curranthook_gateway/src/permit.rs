//! How the nodes of a fleet share the rate that one endpoint takes from all of them.
//!
//! No node sees what the others send. So a few nodes hold a permit for a part of the rate each, and the
//! others pass the endpoint over. Rendezvous hashing tells all nodes alike who holds them, without a
//! message; the part of a node that is lost or cut off stays unused.

use std::time::{Duration, Instant};

use curranthook_policy::hash;

/// How long a permit holds before it's worked out again, as nodes come and go.
const PERMIT_EXPIRY: Duration = Duration::from_secs(1);

/// The least time between two requests of `node` to `endpoint`, all as hashes, if the fleet of `nodes` may
/// send it `rate` requests a second; none if the node may send none.
///
/// Guards against many nodes that find the same idle endpoint at once.
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
    let n_holders = nodes.len().min(rate as usize).max(1);
    let interval = Duration::try_from_secs_f64(n_holders as f64 / rate).ok()?;
    (rank < n_holders).then_some(interval)
}

/// What this node may send to an endpoint, and has sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Share {
    permit: Option<Permit>,
    /// When the next request is due; any time if there is none.
    due: Option<Instant>,
    /// How many requests may be sent before they are due.
    burst: u32,
}

#[derive(Debug, Clone, Copy)]
struct Permit {
    /// The least time between two requests; none if there may be none.
    interval: Option<Duration>,
    since: Instant,
}

impl Share {
    /// Whether the node has to work out its permit again.
    pub fn is_outdated(&self, now: Instant) -> bool {
        self.permit.is_none_or(|it| it.since + PERMIT_EXPIRY <= now)
    }

    /// Sets the least time between two requests; none if there may be none.
    pub fn set_interval(&mut self, interval: Option<Duration>, now: Instant) {
        self.permit = Some(Permit { interval, since: now });
    }

    /// Whether a request may be sent now; none may before the node knows its permit.
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

    /// The least time between two requests; none if there may be none.
    pub fn interval(&self) -> Option<Duration> {
        self.permit?.interval
    }

    /// A request was sent.
    pub fn sent(&mut self, now: Instant) {
        let due = self.due.map_or(now, |at| at.max(now));
        self.due = Some(due + self.interval().unwrap_or_default());
    }

    /// Nothing may be sent before then.
    pub fn defer(&mut self, until: Instant) {
        let ahead = self.interval().unwrap_or_default() * self.burst;
        self.due = self.due.max(Some(until + ahead));
    }

    /// Lets `burst` requests be sent before they are due, if fewer than that were sent before.
    pub fn with_burst(self, burst: u32) -> Self {
        Self { burst, ..self }
    }
}
