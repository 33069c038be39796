//! Times to the first byte of an endpoint's answers.

use std::time::Duration;

/// How many recent times are kept.
const KEPT: usize = 32;
/// From this many times on, they are believed.
pub(crate) const ENOUGH: usize = 8;
/// The limit before enough is known.
pub(crate) const UNKNOWN: Duration = Duration::from_secs(2);

/// Recent times to the first byte, and their running mean.
#[derive(Debug, Default)]
pub(crate) struct FirstByte {
    recent: [f32; KEPT],
    n: usize,
    mean: f64,
    /// Worked out as a time is added, which is rarer than it is read.
    first_byte_timeout: Duration,
}

impl FirstByte {
    pub(crate) fn add(&mut self, took: Duration) {
        const WEIGHT: f64 = 0.2;
        let seconds = took.as_secs_f64();
        self.mean = if self.n == 0 { seconds } else { self.mean + WEIGHT * (seconds - self.mean) };
        self.recent[self.n % KEPT] = seconds as f32;
        self.n += 1;
        self.first_byte_timeout = self.limit();
    }

    /// Begins anew with one time, for an endpoint that was slow and is no longer.
    pub(crate) fn restart(&mut self) {
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
        Some(Duration::from_secs_f32(self.recent[last % KEPT]))
    }

    pub(crate) fn is_known(&self) -> bool {
        ENOUGH <= self.n
    }

    pub(crate) fn first_byte_timeout(&self) -> Option<Duration> {
        self.is_known().then_some(self.first_byte_timeout)
    }

    fn limit(&self) -> Duration {
        const QUANTILE: f64 = 0.95;
        const FACTOR: f32 = 3.0;
        const SHORTEST: Duration = Duration::from_millis(50);
        const LONGEST: Duration = Duration::from_secs(10);

        let n = self.n.min(KEPT);
        let mut sorted = self.recent;
        let place = ((n - 1) as f64 * QUANTILE).round() as usize;
        let (_, quantile, _) = sorted[..n].select_nth_unstable_by(place, f32::total_cmp);
        let limit = (*quantile * FACTOR).min(LONGEST.as_secs_f32());
        Duration::from_secs_f32(limit).clamp(SHORTEST, LONGEST)
    }
}
