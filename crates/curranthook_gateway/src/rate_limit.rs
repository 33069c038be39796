//! The rate that an endpoint names in its answers: what it takes from all nodes together.
//!
//! The fleet shares it by [`permit`]. Who holds the permits changes from rotation to rotation, so
//! that each node sends a request now and then and hears whether the endpoint still names a limit. A node
//! that hears of a change tells others (see [`load_reports`](crate::load_reports)).

use std::time::{Duration, Instant};

use curranthook_policy::hash;

use crate::permit::{self, Share};

/// How long the same nodes hold the permits of an endpoint.
const ROTATION: Duration = Duration::from_secs(4);
/// The part of the rate that is handed out. What is left covers requests that are sent before they are due,
/// and nodes that don't know of each other yet.
const GRANTED: f64 = 0.85;
/// How many requests a node may send before they are due. Requests come at random, and what can't be sent
/// the moment it comes is refused or burdens other endpoints, while permits go unused.
const BURST: u32 = 1;
/// The least rate that is handed out, in requests a second: some node has to ask an endpoint that takes
/// nothing whether it still does.
const MIN_RATE: f64 = 0.25;

/// What an endpoint said of its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Notice {
    /// The requests a second that it takes; none if it names no limit.
    pub rate: Option<f64>,
    /// When it said so, by the store's clock.
    pub at: Duration,
}

/// The limit of an endpoint, as one node takes part in it.
#[derive(Debug, Clone, Copy)]
pub struct RateLimit {
    /// The requests a second that the endpoint takes from all nodes.
    pub rate: f64,
    share: Share,
    rotation: Option<u64>,
}

/// The least time between two requests of `node` to `endpoint`, all as hashes, if the fleet of `nodes` may
/// send it `rate` requests a second; none if it's not this node's rotation.
///
/// Guards against an endpoint in need that gets from each node what it takes from all of them.
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

/// The requests a second that the fleet may send to an endpoint that names `rate`.
///
/// ```
/// # use curranthook_gateway::rate_limit;
/// assert!(rate_limit::granted(1.5) < 1.5);
/// assert!(0.0 < rate_limit::granted(0.0));
/// ```
pub fn granted(rate: f64) -> f64 {
    (rate * GRANTED).max(MIN_RATE)
}

/// The rotation at a time of the store's clock.
pub fn rotation(time: Duration) -> u64 {
    time.as_secs() / ROTATION.as_secs()
}

impl RateLimit {
    /// A limit of `rate` requests a second that was named just now.
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
        Self { rate, share: Share::default().with_burst(BURST), rotation: None }
    }

    /// The same limit at another rate.
    pub fn with_rate(self, rate: f64) -> Self {
        Self { rate, rotation: None, ..self }
    }

    /// Whether the node has to work out its permit again.
    pub fn is_outdated(&self, rotation: u64, now: Instant) -> bool {
        self.rotation != Some(rotation) || self.share.is_outdated(now)
    }

    /// Sets the least time between two requests in a rotation; none if there may be none.
    pub fn set_interval(&mut self, interval: Option<Duration>, rotation: u64, now: Instant) {
        let had_permit = self.share.interval().is_some();
        self.rotation = Some(rotation);
        self.share.set_interval(interval, now);
        if let Some(interval) = interval.filter(|_| !had_permit) {
            // Whoever held the permit before may have used it just now.
            self.share.defer(now + interval / 2);
        }
    }

    /// Whether a request may be sent now.
    pub fn admits(&self, now: Instant) -> bool {
        self.share.admits(now)
    }

    /// A request was sent.
    pub fn sent(&mut self, now: Instant) {
        self.share.sent(now);
    }
}
