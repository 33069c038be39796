//! How fast requests are sent to an endpoint in slow start.
//!
//! An endpoint that has just started crashes under the load of a warm one, and it looks idle, so every
//! node would choose it. The rate that it takes is a bound on the whole fleet, of which no node sees the
//! others' part. So a few nodes hold a permit for a part of the rate each, and the others pass the endpoint
//! over. Rendezvous hashing tells all nodes alike who holds them, without a message; the part of a node
//! that is lost or cut off stays unused.

use std::time::{Duration, Instant};

use curranthook_policy::hash;

/// The part of the tolerated rate that is handed out. What is left covers requests that are held up on
/// their way and nodes that don't know of each other yet.
const USED: f64 = 0.75;
/// How long a permit holds before it's worked out again, as nodes come and go.
const PERMIT_EXPIRY: Duration = Duration::from_secs(1);

/// The least time between two requests of `node` to `endpoint`, all as hashes, if the fleet of `nodes` may
/// send it `rate` requests a second; none if the node may send none.
///
/// Guards against many nodes that find the same idle endpoint at once.
///
/// ```
/// # use curranthook_gateway::slow_start;
/// let nodes: Vec<u64> = (0..80).collect();
/// let holders = |it: &&u64| slow_start::interval(8.0, 7, **it, &nodes).is_some();
/// assert_eq!(nodes.iter().filter(holders).count(), 6);
/// ```
pub fn interval(rate: f64, endpoint: u64, node: u64, nodes: &[u64]) -> Option<Duration> {
    let usable = rate * USED;
    let weight = |node: u64| hash::pair(endpoint, node);
    let rank = nodes.iter().filter(|it| weight(node) < weight(**it)).count();
    let n_holders = nodes.len().min(usable as usize).max(1);
    let interval = Duration::try_from_secs_f64(n_holders as f64 / usable).ok()?;
    (rank < n_holders).then_some(interval)
}

/// The slow start of an endpoint, as one node takes part in it.
#[derive(Debug, Clone, Copy)]
pub struct SlowStart {
    until: Instant,
    permit: Option<Permit>,
    last_sent: Option<Instant>,
}

/// What a node may send to an endpoint in slow start.
#[derive(Debug, Clone, Copy)]
struct Permit {
    /// The least time between two requests; none if there may be none.
    interval: Option<Duration>,
    since: Instant,
}

impl SlowStart {
    /// A slow start that lasts until then.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::slow_start::SlowStart;
    /// let (now, s) = (Instant::now(), Duration::from_secs(1));
    /// let mut it = SlowStart::new(now + 3 * s);
    /// assert!(!it.admits(now), "nothing before the node knows its part");
    /// it.set_interval(Some(s), now);
    /// assert!(it.admits(now));
    /// it.sent(now);
    /// assert!(!it.admits(now + s / 2) && it.admits(now + s));
    /// assert!(it.is_over(now + 3 * s));
    /// ```
    pub fn new(until: Instant) -> Self {
        Self { until, permit: None, last_sent: None }
    }

    /// Sets when it ends.
    pub fn set_end(&mut self, until: Instant) {
        self.until = until;
    }

    /// Whether the endpoint takes any load by now.
    pub fn is_over(&self, now: Instant) -> bool {
        self.until <= now
    }

    /// Whether the node has to work out its part again.
    pub fn is_outdated(&self, now: Instant) -> bool {
        let expiry = self.permit.map(|it| it.since + PERMIT_EXPIRY);
        !self.is_over(now) && expiry.is_none_or(|at| at <= now)
    }

    /// Sets the least time between two requests; none if there may be none.
    pub fn set_interval(&mut self, interval: Option<Duration>, now: Instant) {
        self.permit = Some(Permit { interval, since: now });
    }

    /// Whether a request may be sent now.
    pub fn admits(&self, now: Instant) -> bool {
        if self.is_over(now) {
            return true;
        }
        let Some(interval) = self.permit.and_then(|it| it.interval) else { return false };
        self.last_sent.is_none_or(|at| at + interval <= now)
    }

    /// A request was sent.
    pub fn sent(&mut self, now: Instant) {
        self.last_sent = Some(now);
    }
}
