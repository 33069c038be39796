//! What is known of a version's quality for one kind of work.

use std::time::{Duration, Instant};

use curranthook_types::{kind, version};
use serde::{Deserialize, Serialize};

/// How many ratings the evidence is worth at most; older ones fade, so a change is noticed.
const MEMORY: f64 = 500.0;
/// Evidence loses half of its weight in this time, so a version left alone is tried again.
const HALF_LIFE: Duration = Duration::from_secs(6 * 3_600);
/// How many ratings the makers' claim is worth.
const CLAIM_WEIGHT: f64 = 8.0;
/// How many ratings a version without a claim starts with, at [`UNCLAIMED`].
const UNCLAIMED_WEIGHT: f64 = 2.0;
/// The quality assumed of a version without a claim.
const UNCLAIMED: f64 = 0.5;
/// Below this many ratings, little is concluded.
const THIN: f64 = 30.0;
/// Below this many ratings, every answer is rated.
const SETTLED: f64 = 200.0;

/// Ratings, summed up since a node started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// How many ratings.
    pub n: u64,
    /// Their sum.
    pub sum: f64,
}

/// The ratings that a node has gathered itself for one kind and version.
#[derive(Debug, Clone, PartialEq)]
pub struct Tally {
    /// The kind of work.
    pub kind: kind::Id,
    /// The version.
    pub version: version::Id,
    /// Its ratings since the node started.
    pub counts: Counts,
}

/// Faded evidence on one version and kind of work.
#[derive(Debug, Default)]
pub(crate) struct Estimate {
    n: f64,
    sum: f64,
    at: Option<Instant>,
    own: Counts,
    others: Counts,
}

impl Estimate {
    /// Nothing known.
    pub(crate) const EMPTY: Self = Self {
        n: 0.0,
        sum: 0.0,
        at: None,
        own: Counts { n: 0, sum: 0.0 },
        others: Counts { n: 0, sum: 0.0 },
    };

    pub(crate) fn add(&mut self, rating: f64, now: Instant) {
        let rating = if rating.is_finite() { rating.clamp(0.0, 1.0) } else { 0.0 };
        self.own.n += 1;
        self.own.sum += rating;
        self.absorb(1.0, rating, Some(now));
    }

    /// Adds what `others` has grown by. They are sums since a start, so one that has not grown
    /// was seen before.
    pub(crate) fn merge(&mut self, others: Counts, now: Option<Instant>) {
        if others.n <= self.others.n {
            return;
        }
        let n = (others.n - self.others.n) as f64;
        let sum = (others.sum - self.others.sum).clamp(0.0, n);
        self.others = others;
        self.absorb(n, sum, now);
    }

    pub(crate) fn own(&self) -> Counts {
        self.own
    }

    pub(crate) fn belief(&self, claim: Option<f64>, now: Option<Instant>) -> Belief {
        let fade = self.fade(now);
        let (claim, weight) = match claim {
            Some(it) => (it.clamp(0.0, 1.0), CLAIM_WEIGHT),
            None => (UNCLAIMED, UNCLAIMED_WEIGHT),
        };
        let rated = self.n * fade;
        let n = rated + weight;
        Belief { rated, n, mean: (self.sum * fade + claim * weight) / n }
    }

    fn absorb(&mut self, n: f64, sum: f64, now: Option<Instant>) {
        // Many ratings at once count for no more than the memory holds.
        let scale = (MEMORY / n).min(1.0);
        let keep = self.fade(now) * (1.0 - n * scale / MEMORY);
        self.n = self.n * keep + n * scale;
        self.sum = self.sum * keep + sum * scale;
        self.at = self.at.max(now);
    }

    fn fade(&self, now: Option<Instant>) -> f64 {
        let (Some(at), Some(now)) = (self.at, now) else {
            return 1.0;
        };
        let age = now.saturating_duration_since(at);
        (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// What is believed of a version's quality now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Belief {
    rated: f64,
    n: f64,
    mean: f64,
}

impl Belief {
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// The lower end of the Wilson score interval, which stays inside [0, 1] and is careful
    /// with few ratings.
    pub(crate) fn lower(&self, z: f64) -> f64 {
        self.bound(z, -1.0)
    }

    /// The upper end of the same interval.
    pub(crate) fn upper(&self, z: f64) -> f64 {
        self.bound(z, 1.0)
    }

    fn bound(&self, z: f64, sign: f64) -> f64 {
        let square = z * z;
        let centre = self.mean + square / (2.0 * self.n);
        let spread =
            z * (self.mean * (1.0 - self.mean) / self.n + square / (4.0 * self.n * self.n)).sqrt();
        (centre + sign * spread) / (1.0 + square / self.n)
    }

    /// How uncertain the mean is.
    pub(crate) fn spread(&self) -> f64 {
        1.0 / self.n.sqrt()
    }

    /// The variance of the mean.
    pub(crate) fn variance(&self) -> f64 {
        self.mean * (1.0 - self.mean) / self.n
    }

    pub(crate) fn is_converged(&self) -> bool {
        SETTLED <= self.rated
    }

    pub(crate) fn is_thin(&self) -> bool {
        self.rated < THIN
    }
}
