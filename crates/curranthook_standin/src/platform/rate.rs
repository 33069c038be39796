//! A limit on calls per second.

use std::time::Instant;

/// A token bucket with a capacity of one second of calls.
#[derive(Debug)]
pub(super) struct Bucket {
    rate: Option<f64>,
    level: f64,
    at: Instant,
}

impl Bucket {
    pub(super) fn new(rate: Option<f64>, now: Instant) -> Self {
        Self { rate, level: rate.unwrap_or_default(), at: now }
    }

    pub(super) fn take(&mut self, now: Instant) -> bool {
        let Some(rate) = self.rate else { return true };
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.level = (self.level + passed * rate).min(rate);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
