//! One version as weighed for one request.

use std::time::Duration;

use crate::choice::estimate::Posterior;

/// One version as weighed for one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scored {
    /// Its place among the allowed ones.
    pub(crate) index: usize,
    pub(crate) cost: f64,
    pub(crate) posterior: Posterior,
    /// The expected time to the whole answer.
    pub(crate) duration: Duration,
}

impl Scored {
    /// The quality of `then` on what this version fails at, if they fail at the same requests.
    pub(crate) fn conditional_quality(&self, second: &Self) -> f64 {
        let (first, second) = (self.posterior.mean(), second.posterior.mean());
        if 1.0 <= first { second } else { ((second - first) / (1.0 - first)).clamp(0.0, 1.0) }
    }

    /// The expected cost with `then` as second stage: `c1 + p * c2`.
    pub(crate) fn cascade_cost(&self, second: &Self) -> f64 {
        self.cost + (1.0 - self.posterior.mean()) * second.cost
    }
}
