//! How long a model takes to its first event, learned from those that came.
//!
//! The time grows with the tokens that are read, with how many pairs of them attend to each other
//! (for the longest prompts that is as much again) and with how many requests run beside them. How
//! fast, differs from deployment to deployment and from model to model, so a Kalman filter follows it
//! request by request from a prior.

use std::time::Duration;

use nalgebra::{SMatrix, SVector};

/// What the time is made of: a constant, tokens, pairs of tokens, requests that run.
const N: usize = 4;
/// Ten thousand tokens, a hundred million pairs and ten requests are one each, so that all numbers
/// of the filter are of a like size.
const UNITS: (f64, f64, f64) = (1e4, 1e8, 10.0);
/// What is expected before anything is seen, in seconds by the units above; for tokens and pairs of
/// the dearest model, and of cheaper ones in proportion to their price.
const PRIOR: [f64; N] = [0.05, 0.47, 0.0, 0.06];
/// How far off each of them may be.
const DOUBT: [f64; N] = [0.05, 0.3, 0.3, 0.06];
/// How much of that doubt comes back with each request, as engines and load change.
const DRIFT: f64 = 1e-3;
/// How far off a single time may be from what is right on average: seconds, and a part of it.
const NOISE: (f64, f64) = (0.02, 0.2);
/// By how many standard deviations a single time counts as off at the most. Requests that wait behind
/// another long prompt take any time.
const MAX_SURPRISE: f64 = 2.5;
/// The longest prompt that something is learned from. Callers may claim any length, and one that
/// claims a billion tokens and is answered at once would teach that reading takes no time.
const MAX_LEARNED: u64 = 1_000_000;

/// A prompt as an engine reads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// The tokens that are read.
    pub read: u64,
    /// The tokens before them that the engine keeps from earlier requests.
    pub kept: u64,
}

impl Prompt {
    /// A prompt of `tokens`, of which `kept` are kept.
    pub fn new(tokens: u64, kept: u64) -> Self {
        let kept = kept.min(tokens);
        Self { read: tokens - kept, kept }
    }

    /// In the filter's units.
    fn sizes(self) -> (f64, f64) {
        let (read, kept) = (self.read as f64, self.kept as f64);
        (read / UNITS.0, read * (kept + read / 2.0) / UNITS.1)
    }
}

/// What is known of a model's times.
#[derive(Debug, Clone)]
pub struct Filter {
    state: SVector<f64, N>,
    doubt: SMatrix<f64, N, N>,
    limit: SVector<f64, N>,
}

/// What a [`Filter`] says now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed([f64; N]);

impl Filter {
    /// The filter of a model that costs `weight` of the dearest one's price.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_gateway::prefill::{Filter, Prompt};
    /// let mut filter = Filter::new(1.0);
    /// let prompt = Prompt::new(10_000, 0);
    /// let took = Duration::from_millis(300);
    /// (0..50).for_each(|_| filter.learn(prompt, 0, Duration::ZERO, took));
    /// let expected = filter.speed().first(prompt, 0);
    /// assert!(expected.abs_diff(took) < Duration::from_millis(10), "{expected:?}");
    /// ```
    pub fn new(weight: f64) -> Self {
        let weight = if weight.is_finite() { weight.clamp(0.0, 1.0) } else { 1.0 };
        let scale = SVector::from([1.0, weight, weight, 1.0]);
        let limit = SVector::from(DOUBT).component_mul(&scale).map(|it| it * it);
        let state = SVector::from(PRIOR).component_mul(&scale);
        Self { state, doubt: SMatrix::from_diagonal(&limit), limit }
    }

    /// What it says now.
    pub fn speed(&self) -> Speed {
        Speed(self.state.into())
    }

    /// A first event came after `took`, beside `busy` requests. `waited` of that time was spent on
    /// other requests' prompts.
    pub fn learn(&mut self, prompt: Prompt, busy: u32, waited: Duration, took: Duration) {
        if MAX_LEARNED < prompt.read.saturating_add(prompt.kept) {
            return;
        }
        let x = parts(prompt, busy);
        let expected = self.state.dot(&x);
        let noise = NOISE.0 + NOISE.1 * expected.max(0.0);
        let gain = self.doubt * x;
        let variance = x.dot(&gain) + noise * noise;
        let bound = MAX_SURPRISE * variance.sqrt();
        let error = took.as_secs_f64() - waited.as_secs_f64() - expected;
        let gain = gain / variance;
        self.state += gain * error.clamp(-bound, bound);
        // No more tokens, pairs or requests make an engine faster. What looks so is somebody else's
        // part, which the next answers then show.
        self.state.rows_mut(1, N - 1).apply(|it| *it = it.max(0.0));
        self.doubt -= gain * (x.transpose() * self.doubt);
        for it in 0..N {
            let drift = DRIFT * self.limit[it];
            self.doubt[(it, it)] = (self.doubt[(it, it)] + drift).min(self.limit[it]);
        }
    }
}

impl Speed {
    /// The time that an engine takes for the prefill of a prompt.
    pub fn prefill(&self, prompt: Prompt) -> Duration {
        let (read, pairs) = prompt.sizes();
        seconds(self.0[1] * read + self.0[2] * pairs)
    }

    /// The time to the first event, once the engine has read all that waited before it.
    pub fn first(&self, prompt: Prompt, busy: u32) -> Duration {
        let rest = self.0[0] + self.0[3] * f64::from(busy) / UNITS.2;
        self.prefill(prompt) + seconds(rest)
    }

    /// By how much each request that runs delays the first event of another one.
    pub fn per_running(&self) -> Duration {
        seconds(self.0[3] / UNITS.2)
    }
}

fn parts(prompt: Prompt, busy: u32) -> SVector<f64, N> {
    let (read, pairs) = prompt.sizes();
    SVector::from([1.0, read, pairs, f64::from(busy) / UNITS.2])
}

/// That many seconds, some eleven days at most. A caller may claim a prompt or an answer of any length,
/// which is no number any more in the end, and no duration before.
pub(crate) fn seconds(it: f64) -> Duration {
    const MAX: f64 = 1e6;
    let it = if it.is_nan() { 0.0 } else { it.clamp(0.0, MAX) };
    Duration::from_secs_f64(it)
}
