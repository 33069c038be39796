//! The slow start of an endpoint.
//!
//! An endpoint that has just started crashes under the load of a warm one, and it looks idle, so every
//! node would choose it. The rate that it takes is a bound on the whole fleet, which shares it by
//! [`permit`](crate::permit).

use std::time::Instant;

use crate::permit::Share;

/// The part of the rate that is handed out. What is left covers requests that are held up on their way and
/// nodes that don't know of each other yet.
const GRANTED_SHARE: f64 = 0.75;

/// The requests a second that the fleet may send to an endpoint in slow start that takes `rate`.
///
/// ```
/// # use curranthook_gateway::slow_start;
/// assert!(slow_start::granted(8.0) < 8.0);
/// ```
pub fn granted(rate: f64) -> f64 {
    rate * GRANTED_SHARE
}

/// The slow start of an endpoint, as one node takes part in it.
#[derive(Debug, Clone, Copy)]
pub struct SlowStart {
    until: Instant,
    /// What this node may send meanwhile.
    pub share: Share,
}

impl SlowStart {
    /// A slow start that lasts until then.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::slow_start::SlowStart;
    /// let (now, s) = (Instant::now(), Duration::from_secs(1));
    /// let it = SlowStart::new(now + 3 * s);
    /// assert!(!it.admits(now), "nothing before the node knows its part");
    /// assert!(it.is_over(now + 3 * s) && it.admits(now + 3 * s));
    /// ```
    pub fn new(until: Instant) -> Self {
        Self { until, share: Share::default() }
    }

    /// Sets when it ends.
    pub fn set_end(&mut self, until: Instant) {
        self.until = until;
    }

    /// Whether the endpoint takes any load by now.
    pub fn is_over(&self, now: Instant) -> bool {
        self.until <= now
    }

    /// Whether the node has to work out its permit again.
    pub fn is_outdated(&self, now: Instant) -> bool {
        !self.is_over(now) && self.share.is_outdated(now)
    }

    /// Whether a request may be sent now.
    pub fn admits(&self, now: Instant) -> bool {
        self.is_over(now) || self.share.admits(now)
    }
}
