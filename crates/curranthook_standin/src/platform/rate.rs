//! A limit on calls per second.

use std::time::Instant;

/// A token bucket with a capacity of one second of calls.
#[derive(Debug)]
pub(super) struct Bucket {
    rate_per_second: Option<f64>,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    pub(super) fn new(rate: Option<f64>, now: Instant) -> Self {
        Self { rate_per_second: rate, tokens: rate.unwrap_or_default(), refilled_at: now }
    }

    pub(super) fn try_take(&mut self, now: Instant) -> bool {
        let Some(rate) = self.rate_per_second else { return true };
        let elapsed_seconds = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_seconds * rate).min(rate);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
