//! How much an account may ask for.

use std::time::{Duration, Instant};

use curranthook_settings::config::Limit;

/// The part of a fleet's limit that is spread evenly; the rest follows demand. A node that an
/// account turns to suddenly has this much until its demand is known.
const EVEN_PART: f64 = 0.25;
/// The time over which demand is averaged.
const DEMAND_SPAN: Duration = Duration::from_secs(5);

/// A token bucket with this node's share of an account's limit.
///
/// ```
/// # use std::time::Instant;
/// # use curranthook_policy::limit::Bucket;
/// # use curranthook_settings::config::Limit;
/// let now = Instant::now();
/// let limit = Limit { requests: 1.0, burst: 2.0, weight: 1.0 };
/// let mut bucket = Bucket::new(&limit, 1, now);
/// assert!(bucket.take(now).is_ok());
/// assert!(bucket.take(now).is_ok());
/// let retry_after = bucket.take(now).unwrap_err();
/// assert_eq!(retry_after.as_secs(), 1);
/// ```
#[derive(Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    share: f64,
    tokens: f64,
    at: Instant,
    demand: f64,
}

impl Bucket {
    /// A full bucket with an even share among `nodes`.
    pub fn new(limit: &Limit, nodes: usize, now: Instant) -> Self {
        let mut bucket =
            Self { rate: 0.0, burst: 0.0, share: 0.0, tokens: 0.0, at: now, demand: 0.0 };
        bucket.set_limit(limit, nodes);
        bucket.tokens = bucket.capacity();
        bucket
    }

    /// Takes over a limit or a number of nodes that changed; the share is even again.
    pub fn set_limit(&mut self, limit: &Limit, nodes: usize) {
        self.rate = limit.requests.max(0.0);
        self.burst = limit.burst.max(0.0);
        self.share = 1.0 / nodes.max(1) as f64;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Moves the share to where demand is: `fleet` is the demand on all nodes, this one
    /// included. Shares worked out from the same figures add up to the limit.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use curranthook_policy::limit::Bucket;
    /// # use curranthook_settings::config::Limit;
    /// let mut bucket = Bucket::new(&Limit::default(), 4, Instant::now());
    /// bucket.set_share(30.0, 30.0, 4);
    /// assert!(0.8 < bucket.share());
    /// ```
    pub fn set_share(&mut self, own: f64, fleet: f64, nodes: usize) {
        let even = 1.0 / nodes.max(1) as f64;
        let wanted = if 0.0 < fleet { (own / fleet).clamp(0.0, 1.0) } else { even };
        self.share = EVEN_PART * even + (1.0 - EVEN_PART) * wanted;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// This node's part of the limit, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Requests a second that were asked for here of late, granted or not.
    pub fn demand(&self) -> f64 {
        self.demand
    }

    /// Takes one request, or says when the next one will be granted.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let since = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.tokens = (self.tokens + since * self.rate * self.share).min(self.capacity());
        self.count(since);

        if self.tokens < 1.0 {
            return Err(self.wait());
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// A bucket that held less than one request could never grant any.
    fn capacity(&self) -> f64 {
        (self.burst * self.share).max(1.0)
    }

    fn count(&mut self, since: f64) {
        let span = DEMAND_SPAN.as_secs_f64();
        self.demand = self.demand * (-since / span).exp() + 1.0 / span;
    }

    fn wait(&self) -> Duration {
        const LONGEST: f64 = 3_600.0;
        let rate = self.rate * self.share;
        if rate <= 0.0 {
            return Duration::from_secs_f64(LONGEST);
        }
        Duration::from_secs_f64(((1.0 - self.tokens) / rate).min(LONGEST))
    }
}
