//! The load that an engine reports, delayed by a configurable lag.

use std::time::{Duration, Instant};

/// Delays the reported load.
#[derive(Debug)]
pub(super) struct Load {
    lag: Duration,
    reported: usize,
    sample: Option<(Instant, usize)>,
}

impl Load {
    pub(super) fn new(lag: Duration) -> Self {
        Self { lag, reported: 0, sample: None }
    }

    /// Returns the load to report now, sampled at least `lag` ago.
    pub(super) fn report(&mut self, actual: usize, now: Instant) -> usize {
        if self.lag.is_zero() {
            return actual;
        }
        match self.sample {
            Some((at, load)) if self.lag <= now.saturating_duration_since(at) => {
                self.reported = load;
                self.sample = Some((now, actual));
            }
            Some(_) => {}
            None => self.sample = Some((now, actual)),
        }
        self.reported
    }
}
