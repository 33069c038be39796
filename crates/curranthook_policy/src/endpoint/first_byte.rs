//! Times to the first byte of an endpoint's answers.

use std::time::Duration;

/// The number of recent times kept.
const MAX_SAMPLES: usize = 32;
/// The minimum number of measured times for a mean or a quantile to be used.
pub(crate) const MIN_SAMPLES: usize = 8;
/// The timeout used until enough times were measured.
pub(crate) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Recent times to the first byte, and their running mean.
#[derive(Debug, Default)]
pub(crate) struct FirstByte {
    recent: [f32; MAX_SAMPLES],
    n: usize,
    mean: f64,
    /// Computed when a time is added, which happens less often than it is read.
    timeout: Duration,
}

impl FirstByte {
    pub(crate) fn add(&mut self, first_byte: Duration) {
        const EWMA_WEIGHT: f64 = 0.2;
        let seconds = first_byte.as_secs_f64();
        self.mean =
            if self.n == 0 { seconds } else { self.mean + EWMA_WEIGHT * (seconds - self.mean) };
        self.recent[self.n % MAX_SAMPLES] = seconds as f32;
        self.n += 1;
        self.timeout = self.compute_timeout();
    }

    /// Discards all times but the last, for an endpoint that was slow and has recovered.
    pub(crate) fn reset(&mut self) {
        let last = self.last();
        *self = Self::default();
        if let Some(last) = last {
            self.add(last);
        }
    }

    pub(crate) fn mean(&self) -> Option<f64> {
        (0 < self.n).then_some(self.mean)
    }

    pub(crate) fn last(&self) -> Option<Duration> {
        let last = self.n.checked_sub(1)?;
        Some(Duration::from_secs_f32(self.recent[last % MAX_SAMPLES]))
    }

    pub(crate) fn has_enough_samples(&self) -> bool {
        MIN_SAMPLES <= self.n
    }

    pub(crate) fn timeout(&self) -> Option<Duration> {
        self.has_enough_samples().then_some(self.timeout)
    }

    fn compute_timeout(&self) -> Duration {
        const QUANTILE: f64 = 0.95;
        const TIMEOUT_FACTOR: f32 = 3.0;
        const MIN_TIMEOUT: Duration = Duration::from_millis(50);
        const MAX_TIMEOUT: Duration = Duration::from_secs(10);

        let n = self.n.min(MAX_SAMPLES);
        let mut sorted = self.recent;
        let index = ((n - 1) as f64 * QUANTILE).round() as usize;
        let (_, quantile, _) = sorted[..n].select_nth_unstable_by(index, f32::total_cmp);
        let timeout = (*quantile * TIMEOUT_FACTOR).min(MAX_TIMEOUT.as_secs_f32());
        Duration::from_secs_f32(timeout).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}
