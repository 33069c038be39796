//! The rate limit that an endpoint reports in its answers: the requests per second that it accepts
//! from all nodes together.
//!
//! The fleet shares the rate by [`permit`]; a node without a permit borrows one. The holders of the
//! permits rotate, so that each node sends the endpoint some requests and learns from the answers
//! whether it still reports a limit. A node that learns of a change informs others (see
//! [`load_reports`](crate::load::reports)).

use std::time::{Duration, Instant};

use curranthook_policy::hash;

use crate::permit::{self, Share};

/// The time after which the permits of an endpoint rotate to other nodes.
const ROTATION_PERIOD: Duration = Duration::from_secs(4);
/// The share of the rate that is granted. The rest covers requests that are sent before they are
/// due, and nodes that do not know of each other yet.
const GRANTED_SHARE: f64 = 0.85;
/// The number of requests that a node may send before they are due. Requests arrive at random
/// times. Without a burst, a request that arrives a little early would be refused or add to the
/// load of other endpoints, while permits stay unused.
const MAX_BURST: u32 = 1;
/// The minimum rate that is granted, in requests per second. It provides probes of an endpoint that
/// reports a limit of zero, so that the end of the limit is detected.
const MIN_GRANTED_RATE: f64 = 0.25;

/// An endpoint's report about its rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Notice {
    /// The requests per second that the endpoint accepts; none if it reports no limit.
    pub rate: Option<f64>,
    /// When the endpoint made the report, by the store's clock.
    pub at: Duration,
}

/// The rate limit of an endpoint, and this node's share of it.
#[derive(Debug, Clone, Copy)]
pub struct RateLimit {
    /// The requests per second that the endpoint accepts from all nodes.
    pub rate: f64,
    share: Share,
    rotation: Option<u64>,
}

/// The minimum interval between two requests from `node` to `endpoint` if all `nodes` together may
/// send it `rate` requests per second; none if the node holds no permit in this rotation. Nodes and
/// endpoints are given as hashes.
///
/// Without permits, each node would send an overloaded endpoint as much as it accepts from all
/// nodes together.
///
/// ```
/// # use curranthook_gateway::rate_limit;
/// let nodes: Vec<u64> = (0..6).collect();
/// let holder = |rotation| {
///     nodes.iter().position(|it| rate_limit::interval(1.0, 7, rotation, *it, &nodes).is_some())
/// };
/// assert!((0..60).all(|rotation| holder(rotation).is_some()));
/// assert!((0..6).all(|node| (0..60).any(|rotation| holder(rotation) == Some(node))));
/// ```
pub fn interval(
    rate: f64,
    endpoint: u64,
    rotation: u64,
    node: u64,
    nodes: &[u64],
) -> Option<Duration> {
    permit::interval(granted(rate), hash::pair(endpoint, rotation), node, nodes)
}

/// The nodes that hold a permit for `endpoint` in a rotation: those for which [`interval`] returns
/// one.
pub fn holders(rate: f64, endpoint: u64, rotation: u64, nodes: &[u64]) -> Vec<u64> {
    permit::holders(granted(rate), hash::pair(endpoint, rotation), nodes)
}

/// The requests per second that the fleet may send to an endpoint that reports a limit of `rate`.
///
/// ```
/// # use curranthook_gateway::rate_limit;
/// assert!(rate_limit::granted(1.5) < 1.5);
/// assert!(0.0 < rate_limit::granted(0.0));
/// ```
pub fn granted(rate: f64) -> f64 {
    (rate * GRANTED_SHARE).max(MIN_GRANTED_RATE)
}

/// The number of the rotation at `time` of the store's clock.
pub fn rotation(time: Duration) -> u64 {
    time.as_secs() / ROTATION_PERIOD.as_secs()
}

impl RateLimit {
    /// A limit of `rate` requests per second, with no permit yet.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::rate_limit::RateLimit;
    /// let (now, s) = (Instant::now(), Duration::from_secs(1));
    /// let mut limit = RateLimit::new(1.0);
    /// assert!(limit.is_outdated(7, now));
    /// limit.set_interval(Some(s), 7, now);
    /// assert!(!limit.admits(now) && limit.admits(now + s / 2));
    /// assert!(limit.is_outdated(8, now));
    /// ```
    pub fn new(rate: f64) -> Self {
        Self { rate, share: Share::default().with_burst(MAX_BURST), rotation: None }
    }

    /// A limit under which no request is sent before it is due.
    pub fn without_burst(rate: f64) -> Self {
        Self { share: Share::default(), ..Self::new(rate) }
    }

    /// The same limit at another rate; its permit has to be recomputed.
    pub fn with_rate(self, rate: f64) -> Self {
        Self { rate, rotation: None, ..self }
    }

    /// Whether the permit has to be recomputed: it has expired, or `rotation` is another one.
    pub fn is_outdated(&self, rotation: u64, now: Instant) -> bool {
        self.rotation != Some(rotation) || self.share.is_outdated(now)
    }

    /// Sets the minimum interval between two requests in a rotation; none if the node may send no
    /// requests.
    pub fn set_interval(&mut self, interval: Option<Duration>, rotation: u64, now: Instant) {
        let had_permit = self.share.interval().is_some();
        self.rotation = Some(rotation);
        self.share.set_interval(interval, now);
        if let Some(interval) = interval.filter(|_| !had_permit) {
            // The previous holder of the permit may just have used it.
            self.share.defer(now + interval / 2);
        }
    }

    /// Whether a request may be sent now.
    pub fn admits(&self, now: Instant) -> bool {
        self.share.admits(now)
    }

    /// The time until a request may be sent; none if the node holds no permit.
    pub fn due_in(&self, now: Instant) -> Option<Duration> {
        self.share.due_in(now)
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, now: Instant) {
        self.share.sent(now);
    }
}
