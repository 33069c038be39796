//! Output speed of a version.

use std::time::Duration;

/// The running mean of the time per token, measured over complete answers.
#[derive(Debug)]
pub(crate) struct Speed {
    seconds_per_token: f64,
}

impl Speed {
    /// Assumed until the first answer was measured.
    pub(crate) const DEFAULT: Self = Self { seconds_per_token: 0.005 };

    pub(crate) fn new(duration: Duration, tokens: u64) -> Self {
        Self { seconds_per_token: per_token(duration, tokens) }
    }

    pub(crate) fn add(&mut self, duration: Duration, tokens: u64) {
        const SAMPLE_WEIGHT: f64 = 0.05;
        self.seconds_per_token +=
            SAMPLE_WEIGHT * (per_token(duration, tokens) - self.seconds_per_token);
    }

    pub(crate) fn expected_duration(&self, tokens: u64) -> Duration {
        const MAX_SECONDS: f64 = 86_400.0;
        Duration::from_secs_f64((self.seconds_per_token * tokens as f64).min(MAX_SECONDS))
    }
}

fn per_token(duration: Duration, tokens: u64) -> f64 {
    duration.as_secs_f64() / tokens.max(1) as f64
}
