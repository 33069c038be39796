//! Estimates a model's time to the first event, learned from observed first events.
//!
//! The time grows with the number of prefilled tokens, with the number of token pairs that attend
//! to each other (for the longest prompts the pairs take as much time as the tokens) and with the
//! number of concurrent requests. The rates differ between deployments and models, so a Kalman
//! filter tracks them from a prior, request by request.

use std::time::Duration;

use nalgebra::{SMatrix, SVector};
use serde::{Deserialize, Serialize};

/// The number of terms of the estimate: a constant, tokens, token pairs, concurrent requests.
const N_TERMS: usize = 4;
/// The numbers of tokens, token pairs and concurrent requests that make one unit, so that all
/// numbers in the filter are of similar magnitude.
const UNITS: (f64, f64, f64) = (1e4, 1e8, 10.0);
/// The coefficients before any observation, in seconds per unit. Those for tokens and token pairs
/// are for the most expensive model, and are scaled by the relative price for others.
const PRIOR_COEFFICIENTS: [f64; N_TERMS] = [0.05, 0.47, 0.0, 0.06];
/// The standard deviation of each prior coefficient, in seconds per unit.
const PRIOR_STD_DEV: [f64; N_TERMS] = [0.05, 0.3, 0.3, 0.06];
/// The standard deviation of coefficients that other nodes learned, as a share of that of the prior.
/// Some dozens of observations bring a filter below it.
const SHARED_STD_DEV: f64 = 0.5;
/// The share of the prior variance that is added back with each observation, since engines and load
/// change.
const VARIANCE_RECOVERY: f64 = 1e-3;
/// The standard deviation of a single observation: a constant in seconds, and a share of the
/// expected time.
const OBSERVATION_NOISE: (f64, f64) = (0.02, 0.2);
/// The largest error that an observation may have, in standard deviations; larger ones are clamped.
/// Requests that wait behind another long prompt may take any time.
const MAX_ERROR_STD_DEVS: f64 = 2.5;
/// The longest prompt that updates the estimate, in tokens. Callers may claim any length; a claim
/// of a billion tokens that is answered at once would make prefill seem to take no time.
const MAX_PROMPT_TOKENS: u64 = 1_000_000;

/// The size of a prompt, split by whether the engine has it cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// The number of tokens that the engine prefills.
    pub uncached: u64,
    /// The number of tokens before them that the engine has cached from earlier requests.
    pub cached: u64,
}

impl Prompt {
    /// A prompt of `tokens`, of which the first `cached` are cached.
    pub fn new(tokens: u64, cached: u64) -> Self {
        let cached = cached.min(tokens);
        Self { uncached: tokens - cached, cached }
    }

    /// The length of the whole prompt, in tokens.
    pub fn tokens(&self) -> u64 {
        self.uncached.saturating_add(self.cached)
    }

    /// The numbers of prefilled tokens and of token pairs, in [`UNITS`].
    fn scaled_sizes(self) -> (f64, f64) {
        let (uncached, cached) = (self.uncached as f64, self.cached as f64);
        (uncached / UNITS.0, uncached * (cached + uncached / 2.0) / UNITS.1)
    }
}

/// The Kalman filter of one model.
#[derive(Debug, Clone)]
pub struct Filter {
    coefficients: SVector<f64, N_TERMS>,
    covariance: SMatrix<f64, N_TERMS, N_TERMS>,
    prior_variance: SVector<f64, N_TERMS>,
}

/// The coefficients that a [`Filter`] estimates, in seconds per unit of each term.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Coefficients([f64; N_TERMS]);

impl Filter {
    /// Creates the filter of a model with `relative_price`, its price relative to the most
    /// expensive model.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_gateway::load::prefill::{Filter, Prompt};
    /// let mut filter = Filter::new(1.0);
    /// let prompt = Prompt::new(10_000, 0);
    /// let elapsed = Duration::from_millis(300);
    /// (0..50).for_each(|_| assert!(filter.update(prompt, 0, Duration::ZERO, elapsed)));
    /// let expected = filter.coefficients().time_to_first_event(prompt, 0);
    /// assert!(expected.abs_diff(elapsed) < Duration::from_millis(10), "{expected:?}");
    /// ```
    pub fn new(relative_price: f64) -> Self {
        let relative_price =
            if relative_price.is_finite() { relative_price.clamp(0.0, 1.0) } else { 1.0 };
        let scale = SVector::from([1.0, relative_price, relative_price, 1.0]);
        let prior_variance = SVector::from(PRIOR_STD_DEV).component_mul(&scale).map(|it| it * it);
        let coefficients = SVector::from(PRIOR_COEFFICIENTS).component_mul(&scale);
        Self { coefficients, covariance: SMatrix::from_diagonal(&prior_variance), prior_variance }
    }

    /// Creates the filter of a model from coefficients that other nodes learned. Their variance is
    /// less than the prior's, and more than that of a filter which learned from some dozens of
    /// observations.
    ///
    /// ```
    /// # use curranthook_gateway::load::prefill::{Coefficients, Filter};
    /// let learned = Coefficients::from([0.1, 0.2, 0.0, 0.03]);
    /// assert_eq!(Filter::from_shared(1.0, learned).coefficients(), learned);
    /// ```
    pub fn from_shared(relative_price: f64, coefficients: Coefficients) -> Self {
        Self::new(relative_price).restarted_from(coefficients)
    }

    /// A filter of the same model that starts from coefficients that other nodes learned, without
    /// what this one has learned.
    pub fn restarted_from(&self, coefficients: Coefficients) -> Self {
        let variance = self.prior_variance * (SHARED_STD_DEV * SHARED_STD_DEV);
        Self {
            coefficients: SVector::from(coefficients.0),
            covariance: SMatrix::from_diagonal(&variance),
            prior_variance: self.prior_variance,
        }
    }

    /// The current estimate.
    pub fn coefficients(&self) -> Coefficients {
        Coefficients(self.coefficients.into())
    }

    /// Updates the estimate with a first event that arrived after `elapsed`, with `outstanding`
    /// concurrent requests. `queue_delay` of that time was spent on the prompts of other requests.
    /// Returns whether the event was used; prompts over `MAX_PROMPT_TOKENS` are ignored.
    pub fn update(
        &mut self,
        prompt: Prompt,
        outstanding: u32,
        queue_delay: Duration,
        elapsed: Duration,
    ) -> bool {
        if MAX_PROMPT_TOKENS < prompt.tokens() {
            return false;
        }
        let terms = terms(prompt, outstanding);
        let expected = self.coefficients.dot(&terms);
        let noise = OBSERVATION_NOISE.0 + OBSERVATION_NOISE.1 * expected.max(0.0);
        let gain = self.covariance * terms;
        let variance = terms.dot(&gain) + noise * noise;
        let max_error = MAX_ERROR_STD_DEVS * variance.sqrt();
        let error = elapsed.as_secs_f64() - queue_delay.as_secs_f64() - expected;
        let gain = gain / variance;
        self.coefficients += gain * error.clamp(-max_error, max_error);
        // More tokens, pairs or requests never make an engine faster. A negative coefficient makes
        // up for another one that is too large; it is set to zero, and later observations correct
        // the other one.
        self.coefficients.rows_mut(1, N_TERMS - 1).apply(|it| *it = it.max(0.0));
        self.covariance -= gain * (terms.transpose() * self.covariance);
        for index in 0..N_TERMS {
            let recovery = VARIANCE_RECOVERY * self.prior_variance[index];
            self.covariance[(index, index)] =
                (self.covariance[(index, index)] + recovery).min(self.prior_variance[index]);
        }
        true
    }
}

impl From<[f64; N_TERMS]> for Coefficients {
    fn from(seconds: [f64; N_TERMS]) -> Self {
        Self(seconds)
    }
}

impl Coefficients {
    /// Whether a filter can continue from the coefficients: all are finite and at most `max_s`
    /// seconds per unit, and those that are rates are not negative.
    ///
    /// ```
    /// # use curranthook_gateway::load::prefill::Coefficients;
    /// assert!(Coefficients::from([-0.01, 0.2, 0.0, 0.03]).are_valid(60.0));
    /// assert!(!Coefficients::from([0.1, -0.2, 0.0, 0.03]).are_valid(60.0));
    /// assert!(!Coefficients::from([0.1, 0.2, f64::NAN, 0.03]).are_valid(60.0));
    /// ```
    pub fn are_valid(&self, max_s: f64) -> bool {
        let [constant, rates @ ..] = self.0;
        constant.abs() <= max_s && rates.iter().all(|it| (0.0..=max_s).contains(it))
    }

    /// The time that an engine takes to prefill a prompt.
    pub fn prefill_time(&self, prompt: Prompt) -> Duration {
        let (uncached, pairs) = prompt.scaled_sizes();
        saturating_seconds(self.0[1] * uncached + self.0[2] * pairs)
    }

    /// The time to the first event, without the time for prompts that are queued ahead.
    pub fn time_to_first_event(&self, prompt: Prompt, outstanding: u32) -> Duration {
        let delay = self.0[0] + self.0[3] * f64::from(outstanding) / UNITS.2;
        self.prefill_time(prompt) + saturating_seconds(delay)
    }

    /// The delay that each concurrent request adds to the first event of another one.
    pub fn delay_per_concurrent_request(&self) -> Duration {
        saturating_seconds(self.0[3] / UNITS.2)
    }
}

fn terms(prompt: Prompt, outstanding: u32) -> SVector<f64, N_TERMS> {
    let (uncached, pairs) = prompt.scaled_sizes();
    SVector::from([1.0, uncached, pairs, f64::from(outstanding) / UNITS.2])
}

/// Converts seconds to a duration, clamped to 1e6 s (about eleven days). Callers may claim prompts
/// and answers of any length, for which the result may be NaN or exceed what a `Duration` can hold.
pub(crate) fn saturating_seconds(seconds: f64) -> Duration {
    const MAX_SECONDS: f64 = 1e6;
    let seconds = if seconds.is_nan() { 0.0 } else { seconds.clamp(0.0, MAX_SECONDS) };
    Duration::from_secs_f64(seconds)
}
