//! Finds a mean that falls below, or rises above, a bound.
//!
//! For samples in [0, 1] with mean `m` at or above the bound `b`, the likelihood ratio
//! `(p/b)^s * ((1-p)/(1-b))^(n-s)` with `p < b`, over `n` samples of sum `s`, is a
//! supermartingale: by convexity a bounded sample is no worse than a coin of the same mean. So
//! it is evidence against the bound that may be looked at after each sample. It needs only
//! sums, so counts of other nodes can be taken in as they come.
//!
//! As the fall may begin at any sample, evidence is summed over all starts (Shiryaev and
//! Roberts): `R <- (R + w) * log_ratio`. `R` minus `w` a sample is a supermartingale, so within
//! `1/w` samples `R` exceeds `c` with a probability of at most `1/c`.

/// Which way is bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Direction {
    Fall,
    Rise,
}

/// Alternatives that are tried, as parts of the bound.
const ALTERNATIVE_FRACTIONS: [f64; 4] = [0.15, 0.35, 0.55, 0.75];
/// The part of the evidence that starts with the first sample: a version that is bad from the
/// beginning is found sooner.
const INITIAL_SHARE: f64 = 0.3;
/// Bounds are kept this far inside 0 and 1.
const BOUND_MARGIN: f64 = 0.005;

/// Evidence that a mean lies on the bad side of a bound.
#[derive(Debug)]
pub(crate) struct Detector {
    direction: Direction,
    /// The weight of a start at any one sample, for each alternative.
    start_weight: f64,
    evidence: [f64; ALTERNATIVE_FRACTIONS.len()],
}

impl Detector {
    pub(crate) fn new(direction: Direction, horizon: u64) -> Self {
        let alternative_weight = 1.0 / ALTERNATIVE_FRACTIONS.len() as f64;
        let start_weight = (1.0 - INITIAL_SHARE) / horizon.max(1) as f64 * alternative_weight;
        Self {
            direction,
            start_weight,
            evidence: [INITIAL_SHARE * alternative_weight; ALTERNATIVE_FRACTIONS.len()],
        }
    }

    /// Takes in `n` samples that add up to `sum`. The bound may differ from call to call, as
    /// long as it doesn't depend on these samples.
    pub(crate) fn add(&mut self, n: u64, sum: f64, bound: f64) {
        if n == 0 {
            return;
        }
        let n = n as f64;
        let (sum, bound) = match self.direction {
            Direction::Fall => (sum, bound),
            Direction::Rise => (n - sum, 1.0 - bound),
        };
        let bound = bound.clamp(BOUND_MARGIN, 1.0 - BOUND_MARGIN);
        for (evidence, fraction) in self.evidence.iter_mut().zip(ALTERNATIVE_FRACTIONS) {
            let mean = bound * fraction;
            let log_ratio = sum * fraction.ln() + (n - sum) * ((1.0 - mean) / (1.0 - bound)).ln();
            *evidence = ((*evidence + self.start_weight * n) * log_ratio.exp()).min(f64::MAX / 1e3);
        }
    }

    pub(crate) fn evidence(&self) -> f64 {
        self.evidence.iter().sum()
    }

    /// From 0 (calm) to 1: how far the evidence is above what it is at rest.
    pub(crate) fn urgency(&self) -> f64 {
        const CALM_FACTOR: f64 = 3.0;
        const URGENT_FACTOR: f64 = 6.0;
        let resting_evidence = self.start_weight * ALTERNATIVE_FRACTIONS.len() as f64;
        let factor = self.evidence() / resting_evidence;
        ((factor.ln() - CALM_FACTOR.ln()) / (URGENT_FACTOR.ln() - CALM_FACTOR.ln())).clamp(0.0, 1.0)
    }
}
