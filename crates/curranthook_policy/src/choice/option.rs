//! One version as weighed for one request.

use std::time::Duration;

use crate::choice::estimate::Belief;

/// One version as weighed for one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scored {
    /// Its place among the allowed ones.
    pub(crate) place: usize,
    pub(crate) cost: f64,
    pub(crate) belief: Belief,
    /// The expected time to the whole answer.
    pub(crate) time: Duration,
}

impl Scored {
    /// The quality of `then` on what this version fails at, if they fail at the same requests.
    pub(crate) fn nested(&self, second: &Self) -> f64 {
        let (first, second) = (self.belief.mean(), second.belief.mean());
        if 1.0 <= first { second } else { ((second - first) / (1.0 - first)).clamp(0.0, 1.0) }
    }

    /// The expected cost with `then` as second stage: `c1 + p * c2`.
    pub(crate) fn cost_with(&self, second: &Self) -> f64 {
        self.cost + (1.0 - self.belief.mean()) * second.cost
    }
}
