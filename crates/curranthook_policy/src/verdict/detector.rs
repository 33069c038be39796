//! Detects a mean that falls below, or rises above, a bound.
//!
//! For samples in [0, 1] with mean `m` at or above the bound `b`, the likelihood ratio `(p/b)^s *
//! ((1-p)/(1-b))^(n-s)` with `p < b`, over `n` samples of sum `s`, is a supermartingale: by
//! convexity a bounded sample gives no larger expected ratio than a coin flip of the same mean. So
//! the ratio is evidence against the bound that may be evaluated after each sample. It only needs
//! sums, so counts of other nodes can be added as they arrive.
//!
//! As the fall may begin at any sample, evidence is summed over all starts (Shiryaev-Roberts): `R
//! <- (R + w) * ratio`. `R` minus `w` per sample is a supermartingale, so within `1/w` samples `R`
//! exceeds `c` with a probability of at most `1/c`.

/// The direction of a change for the worse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Direction {
    Fall,
    Rise,
}

/// The means tested as alternative hypotheses, as fractions of the bound.
const ALTERNATIVE_FRACTIONS: [f64; 4] = [0.15, 0.35, 0.55, 0.75];
/// The part of the evidence that starts with the first sample, so that a version that is bad from
/// the beginning is detected sooner.
const INITIAL_SHARE: f64 = 0.3;
/// The minimum distance of bounds from 0 and 1.
const BOUND_MARGIN: f64 = 0.005;

/// Evidence that a mean lies on the bad side of a bound.
#[derive(Debug)]
pub(crate) struct Detector {
    direction: Direction,
    /// The weight of a change starting at any one sample, for each alternative.
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

    /// Adds `n` samples with the sum `sum`. The bound may differ between calls, as long as it
    /// doesn't depend on these samples.
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

    /// How far the evidence exceeds its resting level, from 0 (calm) to 1.
    pub(crate) fn urgency(&self) -> f64 {
        /// The multiple of the resting level up to which urgency is 0.
        const CALM_FACTOR: f64 = 3.0;
        /// The multiple of the resting level from which on urgency is 1.
        const URGENT_FACTOR: f64 = 6.0;
        let resting_evidence = self.start_weight * ALTERNATIVE_FRACTIONS.len() as f64;
        let factor = self.evidence() / resting_evidence;
        ((factor.ln() - CALM_FACTOR.ln()) / (URGENT_FACTOR.ln() - CALM_FACTOR.ln())).clamp(0.0, 1.0)
    }
}
