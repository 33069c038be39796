//! Rate limits of client accounts, shared between the nodes of the fleet.

use std::time::{Duration, Instant};

use curranthook_settings::config::Limit;

/// The fraction of the fleet-wide limit that is split evenly between nodes; the rest follows
/// demand. If an account's traffic suddenly moves to a node, the node can grant its part of this
/// fraction until its measured demand has risen.
const EVEN_FRACTION: f64 = 0.25;
/// The time constant of the moving average of demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);

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
    /// The fleet-wide limit, in requests per second.
    rate: f64,
    /// The fleet-wide burst, in requests.
    burst: f64,
    share: f64,
    tokens: f64,
    updated_at: Instant,
    /// The moving average of requests per second on this node, granted or not.
    demand: f64,
}

impl Bucket {
    /// Creates a full bucket with an even share among `nodes`.
    pub fn new(limit: &Limit, nodes: usize, now: Instant) -> Self {
        let mut bucket =
            Self { rate: 0.0, burst: 0.0, share: 0.0, tokens: 0.0, updated_at: now, demand: 0.0 };
        bucket.set_limit(limit, nodes);
        bucket.tokens = bucket.capacity();
        bucket
    }

    /// Applies a changed limit or number of nodes; the share is even again.
    pub fn set_limit(&mut self, limit: &Limit, nodes: usize) {
        self.rate = limit.requests.max(0.0);
        self.burst = limit.burst.max(0.0);
        self.share = 1.0 / nodes.max(1) as f64;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Shifts the share towards demand. `fleet_demand` is the demand on all nodes, including this
    /// one. Shares computed from the same figures add up to the limit.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use curranthook_policy::limit::Bucket;
    /// # use curranthook_settings::config::Limit;
    /// let mut bucket = Bucket::new(&Limit::default(), 4, Instant::now());
    /// bucket.set_share(30.0, 30.0, 4);
    /// assert!(0.8 < bucket.share());
    /// ```
    pub fn set_share(&mut self, own_demand: f64, fleet_demand: f64, nodes: usize) {
        let even_share = 1.0 / nodes.max(1) as f64;
        let demand_share = if 0.0 < fleet_demand {
            (own_demand / fleet_demand).clamp(0.0, 1.0)
        } else {
            even_share
        };
        self.share = EVEN_FRACTION * even_share + (1.0 - EVEN_FRACTION) * demand_share;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// This node's share of the limit, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// The recent demand on this node in requests per second, granted or not.
    pub fn demand(&self) -> f64 {
        self.demand
    }

    /// Takes one token, or returns the time until the next one is available.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let elapsed_seconds = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.tokens = (self.tokens + elapsed_seconds * self.rate * self.share).min(self.capacity());
        self.count_demand(elapsed_seconds);

        if self.tokens < 1.0 {
            return Err(self.retry_after());
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// The capacity of the bucket, at least one token, since a smaller bucket could never grant a
    /// request.
    fn capacity(&self) -> f64 {
        (self.burst * self.share).max(1.0)
    }

    fn count_demand(&mut self, elapsed_seconds: f64) {
        let window_seconds = DEMAND_WINDOW.as_secs_f64();
        self.demand =
            self.demand * (-elapsed_seconds / window_seconds).exp() + 1.0 / window_seconds;
    }

    fn retry_after(&self) -> Duration {
        const MAX_RETRY_AFTER_SECONDS: f64 = 3_600.0;
        let rate = self.rate * self.share;
        if rate <= 0.0 {
            return Duration::from_secs_f64(MAX_RETRY_AFTER_SECONDS);
        }
        Duration::from_secs_f64(((1.0 - self.tokens) / rate).min(MAX_RETRY_AFTER_SECONDS))
    }
}
