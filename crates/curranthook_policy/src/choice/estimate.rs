//! Estimates of a version's quality for one kind of work.

use std::time::{Duration, Instant};

use curranthook_types::{kind, version};
use serde::{Deserialize, Serialize};

/// The maximum weight of the evidence, in ratings. Older ratings decay, so that a change in quality
/// is noticed.
const MAX_WEIGHT_RATINGS: f64 = 500.0;
/// The time in which evidence loses half of its weight, so that a version that was not used for
/// long is tried again.
const EVIDENCE_HALF_LIFE: Duration = Duration::from_secs(6 * 3_600);
/// The weight of the quality claimed by the version's provider, in ratings.
const CLAIM_WEIGHT_RATINGS: f64 = 8.0;
/// The initial weight of [`DEFAULT_QUALITY`] for a version without a claimed quality, in ratings.
const DEFAULT_WEIGHT_RATINGS: f64 = 2.0;
/// The quality assumed of a version without a claimed quality.
const DEFAULT_QUALITY: f64 = 0.5;
/// With fewer ratings than this, the evidence neither proves nor refutes that a cascade meets the
/// target. Where a cascade is possible, the version's answers are rated before they are returned.
const SPARSE_RATINGS: f64 = 30.0;
/// With fewer ratings than this, every answer is rated.
const CONVERGED_RATINGS: f64 = 200.0;

/// Totals of ratings since a node started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// The number of ratings.
    pub n: u64,
    /// The sum of the ratings.
    pub sum: f64,
}

/// The ratings gathered by one node for one kind of work and version.
#[derive(Debug, Clone, PartialEq)]
pub struct Tally {
    /// The kind of work.
    pub kind: kind::Id,
    /// The version.
    pub version: version::Id,
    /// The ratings since the node started.
    pub counts: Counts,
}

/// Decaying evidence on the quality of one version for one kind of work.
#[derive(Debug, Default)]
pub(crate) struct Estimate {
    n: f64,
    sum: f64,
    updated_at: Option<Instant>,
    own: Counts,
    others: Counts,
}

impl Estimate {
    /// An estimate without evidence.
    pub(crate) const EMPTY: Self = Self {
        n: 0.0,
        sum: 0.0,
        updated_at: None,
        own: Counts { n: 0, sum: 0.0 },
        others: Counts { n: 0, sum: 0.0 },
    };

    pub(crate) fn add(&mut self, rating: f64, now: Instant) {
        let rating = if rating.is_finite() { rating.clamp(0.0, 1.0) } else { 0.0 };
        self.own.n += 1;
        self.own.sum += rating;
        self.add_weighted(1.0, rating, Some(now));
    }

    /// Adds the growth of `others` since the last merge. Both values are totals since a start, so a
    /// total that did not grow was merged before.
    pub(crate) fn merge(&mut self, others: Counts, now: Option<Instant>) {
        if others.n <= self.others.n {
            return;
        }
        let n = (others.n - self.others.n) as f64;
        let sum = (others.sum - self.others.sum).clamp(0.0, n);
        self.others = others;
        self.add_weighted(n, sum, now);
    }

    pub(crate) fn own(&self) -> Counts {
        self.own
    }

    pub(crate) fn posterior(&self, claim: Option<f64>, now: Option<Instant>) -> Posterior {
        let decay = self.decay(now);
        let (claim, weight) = match claim {
            Some(it) => (it.clamp(0.0, 1.0), CLAIM_WEIGHT_RATINGS),
            None => (DEFAULT_QUALITY, DEFAULT_WEIGHT_RATINGS),
        };
        let rated = self.n * decay;
        let n = rated + weight;
        Posterior { rated, n, mean: (self.sum * decay + claim * weight) / n }
    }

    fn add_weighted(&mut self, n: f64, sum: f64, now: Option<Instant>) {
        // A batch of many ratings counts for at most `MAX_WEIGHT_RATINGS`.
        let scale = (MAX_WEIGHT_RATINGS / n).min(1.0);
        let retained = self.decay(now) * (1.0 - n * scale / MAX_WEIGHT_RATINGS);
        self.n = self.n * retained + n * scale;
        self.sum = self.sum * retained + sum * scale;
        self.updated_at = self.updated_at.max(now);
    }

    fn decay(&self, now: Option<Instant>) -> f64 {
        let (Some(updated_at), Some(now)) = (self.updated_at, now) else {
            return 1.0;
        };
        let age = now.saturating_duration_since(updated_at);
        (-age.as_secs_f64() / EVIDENCE_HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// The estimated distribution of a version's quality at a given time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Posterior {
    rated: f64,
    n: f64,
    mean: f64,
}

impl Posterior {
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// The lower end of the Wilson score interval, which stays within [0, 1] and is conservative
    /// for few ratings.
    pub(crate) fn lower_bound(&self, z: f64) -> f64 {
        self.wilson_bound(z, -1.0)
    }

    /// The upper end of the Wilson score interval.
    pub(crate) fn upper_bound(&self, z: f64) -> f64 {
        self.wilson_bound(z, 1.0)
    }

    fn wilson_bound(&self, z: f64, sign: f64) -> f64 {
        let z_squared = z * z;
        let centre = self.mean + z_squared / (2.0 * self.n);
        let spread = z
            * (self.mean * (1.0 - self.mean) / self.n + z_squared / (4.0 * self.n * self.n)).sqrt();
        (centre + sign * spread) / (1.0 + z_squared / self.n)
    }

    /// The uncertainty of the mean: one over the square root of the weight of the evidence.
    pub(crate) fn uncertainty(&self) -> f64 {
        1.0 / self.n.sqrt()
    }

    /// The variance of the mean.
    pub(crate) fn variance(&self) -> f64 {
        self.mean * (1.0 - self.mean) / self.n
    }

    pub(crate) fn is_converged(&self) -> bool {
        CONVERGED_RATINGS <= self.rated
    }

    pub(crate) fn is_sparse(&self) -> bool {
        self.rated < SPARSE_RATINGS
    }
}
