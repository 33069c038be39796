//! How long a model takes to its first event, learned from those that came.
//!
//! The time grows with the tokens that are read, with how many pairs of them attend to each other
//! (for the longest prompts that is as much again) and with how many requests run beside them. How
//! fast, differs from deployment to deployment and from model to model, so a Kalman filter follows it
//! request by request from a prior.

use std::time::Duration;

use nalgebra::{SMatrix, SVector};

/// What the time is made of: a constant, tokens, pairs of tokens, requests that run.
const N_TERMS: usize = 4;
/// Ten thousand tokens, a hundred million pairs and ten requests are one each, so that all numbers
/// of the filter are of a like size.
const UNITS: (f64, f64, f64) = (1e4, 1e8, 10.0);
/// What is expected before anything is seen, in seconds by the units above; for tokens and pairs of
/// the dearest model, and of cheaper ones in proportion to their price.
const PRIOR_COEFFICIENTS: [f64; N_TERMS] = [0.05, 0.47, 0.0, 0.06];
/// How far off each of them may be.
const PRIOR_STD_DEV: [f64; N_TERMS] = [0.05, 0.3, 0.3, 0.06];
/// How much of that doubt comes back with each request, as engines and load change.
const VARIANCE_RECOVERY: f64 = 1e-3;
/// How far off a single time may be from what is right on average: seconds, and a part of it.
const OBSERVATION_NOISE: (f64, f64) = (0.02, 0.2);
/// By how many standard deviations a single time counts as off at the most. Requests that wait behind
/// another long prompt take any time.
const MAX_DEVIATION: f64 = 2.5;
/// The longest prompt that something is learned from. Callers may claim any length, and one that
/// claims a billion tokens and is answered at once would teach that reading takes no time.
const MAX_PROMPT_TOKENS: u64 = 1_000_000;

/// A prompt as an engine reads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// The tokens that are read.
    pub uncached: u64,
    /// The tokens before them that the engine keeps from earlier requests.
    pub cached: u64,
}

impl Prompt {
    /// A prompt of `tokens`, of which `kept` are kept.
    pub fn new(tokens: u64, cached: u64) -> Self {
        let cached = cached.min(tokens);
        Self { uncached: tokens - cached, cached }
    }

    /// In the filter's units.
    fn scaled_sizes(self) -> (f64, f64) {
        let (uncached, cached) = (self.uncached as f64, self.cached as f64);
        (uncached / UNITS.0, uncached * (cached + uncached / 2.0) / UNITS.1)
    }
}

/// What is known of a model's times.
#[derive(Debug, Clone)]
pub struct Filter {
    coefficients: SVector<f64, N_TERMS>,
    covariance: SMatrix<f64, N_TERMS, N_TERMS>,
    prior_variance: SVector<f64, N_TERMS>,
}

/// What a [`Filter`] says now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Coefficients([f64; N_TERMS]);

impl Filter {
    /// The filter of a model that costs `weight` of the dearest one's price.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_gateway::prefill::{Filter, Prompt};
    /// let mut filter = Filter::new(1.0);
    /// let prompt = Prompt::new(10_000, 0);
    /// let elapsed = Duration::from_millis(300);
    /// (0..50).for_each(|_| filter.update(prompt, 0, Duration::ZERO, elapsed));
    /// let expected = filter.coefficients().first_event(prompt, 0);
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

    /// What it says now.
    pub fn coefficients(&self) -> Coefficients {
        Coefficients(self.coefficients.into())
    }

    /// A first event came after `took`, beside `busy` requests. `waited` of that time was spent on
    /// other requests' prompts.
    pub fn update(
        &mut self,
        prompt: Prompt,
        outstanding: u32,
        queue_delay: Duration,
        elapsed: Duration,
    ) {
        if MAX_PROMPT_TOKENS < prompt.uncached.saturating_add(prompt.cached) {
            return;
        }
        let terms = terms(prompt, outstanding);
        let expected = self.coefficients.dot(&terms);
        let noise = OBSERVATION_NOISE.0 + OBSERVATION_NOISE.1 * expected.max(0.0);
        let gain = self.covariance * terms;
        let variance = terms.dot(&gain) + noise * noise;
        let max_error = MAX_DEVIATION * variance.sqrt();
        let error = elapsed.as_secs_f64() - queue_delay.as_secs_f64() - expected;
        let gain = gain / variance;
        self.coefficients += gain * error.clamp(-max_error, max_error);
        // No more tokens, pairs or requests make an engine faster. What looks so is somebody else's
        // part, which the next answers then show.
        self.coefficients.rows_mut(1, N_TERMS - 1).apply(|it| *it = it.max(0.0));
        self.covariance -= gain * (terms.transpose() * self.covariance);
        for it in 0..N_TERMS {
            let recovery = VARIANCE_RECOVERY * self.prior_variance[it];
            self.covariance[(it, it)] =
                (self.covariance[(it, it)] + recovery).min(self.prior_variance[it]);
        }
    }
}

impl Coefficients {
    /// The time that an engine takes for the prefill of a prompt.
    pub fn prefill_time(&self, prompt: Prompt) -> Duration {
        let (uncached, pairs) = prompt.scaled_sizes();
        saturating_seconds(self.0[1] * uncached + self.0[2] * pairs)
    }

    /// The time to the first event, once the engine has read all that waited before it.
    pub fn first_event(&self, prompt: Prompt, outstanding: u32) -> Duration {
        let delay = self.0[0] + self.0[3] * f64::from(outstanding) / UNITS.2;
        self.prefill_time(prompt) + saturating_seconds(delay)
    }

    /// By how much each request that runs delays the first event of another one.
    pub fn delay_per_running(&self) -> Duration {
        saturating_seconds(self.0[3] / UNITS.2)
    }
}

fn terms(prompt: Prompt, outstanding: u32) -> SVector<f64, N_TERMS> {
    let (uncached, pairs) = prompt.scaled_sizes();
    SVector::from([1.0, uncached, pairs, f64::from(outstanding) / UNITS.2])
}

/// That many seconds, some eleven days at most. A caller may claim a prompt or an answer of any length,
/// which is no number any more in the end, and no duration before.
pub(crate) fn saturating_seconds(it: f64) -> Duration {
    const MAX: f64 = 1e6;
    let it = if it.is_nan() { 0.0 } else { it.clamp(0.0, MAX) };
    Duration::from_secs_f64(it)
}
