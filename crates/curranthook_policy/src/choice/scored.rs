//! Candidates scored for one request.

use std::time::Duration;

use crate::choice::estimate::Posterior;

/// A candidate with its estimated cost, quality and duration for one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scored {
    /// Its index among the candidates of the request.
    pub(crate) index: usize,
    pub(crate) cost: f64,
    pub(crate) posterior: Posterior,
    /// The expected time to the complete answer.
    pub(crate) duration: Duration,
}

impl Scored {
    /// The quality of `second` on requests that this version fails, assuming that both fail on the
    /// same requests.
    pub(crate) fn conditional_quality(&self, second: &Self) -> f64 {
        let (first, second) = (self.posterior.mean(), second.posterior.mean());
        if 1.0 <= first { second } else { ((second - first) / (1.0 - first)).clamp(0.0, 1.0) }
    }

    /// The expected cost with `second` as second stage: `c1 + p * c2`, where `p` is the probability
    /// that this version fails.
    pub(crate) fn cascade_cost(&self, second: &Self) -> f64 {
        self.cost + (1.0 - self.posterior.mean()) * second.cost
    }
}
