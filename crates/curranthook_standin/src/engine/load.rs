//! The load that an engine reports, delayed by a configurable lag.

use std::time::{Duration, Instant};

/// Delays the reported load.
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

    /// Returns the load to report now, sampled at least `lag` ago.
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
