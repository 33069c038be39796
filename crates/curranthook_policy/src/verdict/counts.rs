//! Totals over the answers of a version.

use serde::{Deserialize, Serialize};

use crate::verdict::{Outcome, Sample};

/// Totals over the answers of a version since a node started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// The number of ratings.
    pub n: u64,
    /// The sum of ratings.
    pub sum: f64,
    /// The sum of squared ratings.
    pub squares: f64,
    /// The number of calls, rated or not.
    pub calls: u64,
    /// The number of calls that ended in an error.
    pub errors: u64,
    /// The number of tokens of all answers.
    pub tokens: u64,
    /// The sum of answer lengths on a scale from 0 to 1: the base-2 logarithm of the number of
    /// tokens, divided by 16.
    pub lengths: f64,
}

impl Counts {
    /// The mean rating.
    ///
    /// ```
    /// # use curranthook_policy::verdict::Counts;
    /// assert_eq!(Counts { n: 2, sum: 1.0, ..Counts::default() }.mean(), Some(0.5));
    /// assert_eq!(Counts::default().mean(), None);
    /// ```
    pub fn mean(&self) -> Option<f64> {
        (0 < self.n).then(|| self.sum / self.n as f64)
    }

    /// The standard error of the mean rating; 1 with fewer than two ratings.
    ///
    /// ```
    /// # use curranthook_policy::verdict::Counts;
    /// let it = Counts { n: 100, sum: 50.0, squares: 50.0, ..Counts::default() };
    /// assert!((it.standard_error() - 0.05).abs() < 0.001);
    /// ```
    pub fn standard_error(&self) -> f64 {
        if self.n < 2 {
            return 1.0;
        }
        let n = self.n as f64;
        let mean = self.sum / n;
        ((self.squares / n - mean * mean).max(0.0) / (n - 1.0)).sqrt()
    }

    /// The share of calls that ended in an error.
    pub fn error_rate(&self) -> Option<f64> {
        (0 < self.calls).then(|| self.errors as f64 / self.calls as f64)
    }

    /// The mean answer length, on the scale of [`Self::lengths`].
    pub fn mean_length(&self) -> Option<f64> {
        let n = self.answers();
        (0 < n).then(|| self.lengths / n as f64)
    }

    /// The number of calls that were answered.
    pub fn answers(&self) -> u64 {
        self.calls.saturating_sub(self.errors)
    }

    /// Adds two counts.
    ///
    /// ```
    /// # use curranthook_policy::verdict::Counts;
    /// let one = Counts { n: 1, sum: 0.5, calls: 1, ..Counts::default() };
    /// assert_eq!(one.plus(&one).calls, 2);
    /// ```
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            n: self.n + other.n,
            sum: self.sum + other.sum,
            squares: self.squares + other.squares,
            calls: self.calls + other.calls,
            errors: self.errors + other.errors,
            tokens: self.tokens + other.tokens,
            lengths: self.lengths + other.lengths,
        }
    }

    /// The difference to `earlier`, an older count of the same origin.
    pub fn minus(&self, earlier: &Self) -> Self {
        let n = self.n.saturating_sub(earlier.n);
        let calls = self.calls.saturating_sub(earlier.calls);
        Self {
            n,
            sum: (self.sum - earlier.sum).clamp(0.0, n as f64),
            squares: (self.squares - earlier.squares).clamp(0.0, n as f64),
            calls,
            errors: self.errors.saturating_sub(earlier.errors).min(calls),
            tokens: self.tokens.saturating_sub(earlier.tokens),
            lengths: (self.lengths - earlier.lengths).clamp(0.0, calls as f64),
        }
    }

    /// Whether this count is older than `other`, of the same origin. Both numbers only grow.
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.calls, self.n) < (other.calls, other.n)
    }
}

impl From<Sample> for Counts {
    fn from(sample: Sample) -> Self {
        let rating = sample.rating.filter(|it| it.is_finite()).map(|it| it.clamp(0.0, 1.0));
        let sum = rating.unwrap_or(0.0);
        let (calls, errors) = match sample.outcome {
            Outcome::Answered => (1, 0),
            Outcome::Error => (1, 1),
            Outcome::RatedLater => (0, 0),
        };
        let is_answer = sample.outcome == Outcome::Answered;
        Self {
            n: u64::from(rating.is_some()),
            sum,
            squares: sum * sum,
            calls,
            errors,
            tokens: if is_answer { sample.tokens } else { 0 },
            lengths: if is_answer { log_scale(sample.tokens) } else { 0.0 },
        }
    }
}

fn log_scale(tokens: u64) -> f64 {
    const MAX_LOG2_TOKENS: f64 = 16.0;
    ((tokens as f64 + 1.0).log2() / MAX_LOG2_TOKENS).min(1.0)
}
