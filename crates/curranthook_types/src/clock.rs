//! Clocks, passed as an interface so that tests can control time.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant, SystemTime},
};

/// A source of time.
pub trait Clock: std::fmt::Debug + Send + Sync {
    /// The monotonic time, for durations and timeouts.
    fn now(&self) -> Instant;
    /// The wall-clock time, for timestamps that other processes read.
    fn wall(&self) -> SystemTime;

    /// The wall-clock time in milliseconds since the Unix epoch.
    fn unix_millis(&self) -> u64 {
        let since_epoch = self.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }
}

/// The clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that advances only on calls of [`Manual::advance`].
///
/// ```
/// # use curranthook_types::clock::{Clock, Manual};
/// # use std::time::Duration;
/// let clock = Manual::default();
/// let start = clock.now();
/// clock.advance(Duration::from_secs(3));
/// assert_eq!(clock.now() - start, Duration::from_secs(3));
/// ```
#[derive(Debug)]
pub struct Manual {
    start: Instant,
    wall: SystemTime,
    elapsed_micros: AtomicU64,
}

impl Default for Manual {
    fn default() -> Self {
        Self { start: Instant::now(), wall: SystemTime::now(), elapsed_micros: AtomicU64::new(0) }
    }
}

impl Manual {
    /// Advances the clock by `step`, truncated to whole microseconds.
    pub fn advance(&self, step: Duration) {
        let micros = u64::try_from(step.as_micros()).unwrap_or(u64::MAX);
        self.elapsed_micros.fetch_add(micros, Ordering::SeqCst);
    }

    fn elapsed(&self) -> Duration {
        Duration::from_micros(self.elapsed_micros.load(Ordering::SeqCst))
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        self.wall + self.elapsed()
    }
}
