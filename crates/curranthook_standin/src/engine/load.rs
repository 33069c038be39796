//! The load that an engine reports, which is old.

use std::time::{Duration, Instant};

/// The load report.
#[derive(Debug)]
pub(super) struct Load {
    lag: Duration,
    shown: usize,
    sampled: Option<(Instant, usize)>,
}

impl Load {
    pub(super) fn new(lag: Duration) -> Self {
        Self { lag, shown: 0, sampled: None }
    }

    /// The load to report now: one sampled at least the lag ago.
    pub(super) fn report(&mut self, actual: usize, now: Instant) -> usize {
        if self.lag.is_zero() {
            return actual;
        }
        match self.sampled {
            Some((at, load)) if self.lag <= now.saturating_duration_since(at) => {
                self.shown = load;
                self.sampled = Some((now, actual));
            }
            Some(_) => {}
            None => self.sampled = Some((now, actual)),
        }
        self.shown
    }
}
