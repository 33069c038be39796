//! The slow start of an endpoint.
//!
//! An endpoint that has just started crashes under the load of a warm one. It also looks idle, so
//! every node would choose it. Its accepted rate therefore bounds the requests of the whole fleet,
//! whose nodes share the rate by [`permit`](crate::permit).

use std::time::Instant;

use crate::permit::Share;

/// The share of the rate that is granted. The rest covers requests that are delayed on their way,
/// and nodes that do not know of each other yet.
const GRANTED_SHARE: f64 = 0.75;

/// The requests per second that the fleet may send to an endpoint in slow start that accepts
/// `rate`.
///
/// ```
/// # use curranthook_gateway::slow_start;
/// assert!(slow_start::granted(8.0) < 8.0);
/// ```
pub fn granted(rate: f64) -> f64 {
    rate * GRANTED_SHARE
}

/// The slow start of an endpoint, and this node's share of its rate.
#[derive(Debug, Clone, Copy)]
pub struct SlowStart {
    until: Instant,
    /// This node's share of the rate during the slow start.
    pub share: Share,
}

impl SlowStart {
    /// A slow start that lasts until `until`.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::slow_start::SlowStart;
    /// let (now, s) = (Instant::now(), Duration::from_secs(1));
    /// let it = SlowStart::new(now + 3 * s);
    /// assert!(!it.admits(now), "no requests before the node knows its permit");
    /// assert!(it.is_over(now + 3 * s) && it.admits(now + 3 * s));
    /// ```
    pub fn new(until: Instant) -> Self {
        Self { until, share: Share::default() }
    }

    /// Changes the end of the slow start.
    pub fn set_end(&mut self, until: Instant) {
        self.until = until;
    }

    /// Whether the slow start has ended, so that the endpoint accepts the load of a warm one.
    pub fn is_over(&self, now: Instant) -> bool {
        self.until <= now
    }

    /// Whether the permit has to be recomputed.
    pub fn is_outdated(&self, now: Instant) -> bool {
        !self.is_over(now) && self.share.is_outdated(now)
    }

    /// Whether a request may be sent now.
    pub fn admits(&self, now: Instant) -> bool {
        self.is_over(now) || self.share.admits(now)
    }
}
