//! Prefill time that waits at an endpoint, by priority, and how long it delays a request.
//!
//! Addresses bursts of long prompts of low urgency: engines admit more urgent requests first, so
//! the forecast of an urgent request must not count all the work that waits.

use std::{
    iter::Sum,
    ops::{Add, AddAssign},
    time::Duration,
};

/// The number of priorities of engines; 0 is served first.
pub const N_PRIORITIES: usize = 10;
/// The part of the waiting work that an engine has in progress, as a divisor. Work in progress
/// delays even the most urgent request.
const IN_PROGRESS_DIVISOR: u32 = 8;

/// Prefill time by the engine's priority.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work([Duration; N_PRIORITIES]);

impl Work {
    /// Work of a single priority. Priorities out of range are clamped.
    pub fn new(priority: u8, prefill: Duration) -> Self {
        let mut work = Self::default();
        work.0[usize::from(priority).min(N_PRIORITIES - 1)] = prefill;
        work
    }

    /// The sum over all priorities.
    pub fn total(&self) -> Duration {
        sum(&self.0)
    }

    /// The work of each priority, the most urgent first.
    pub fn by_priority(&self) -> [Duration; N_PRIORITIES] {
        self.0
    }

    /// How long the work delays a request of `priority`: work of its own and of more urgent
    /// priorities counts in full; of less urgent work, what is in progress.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_gateway::load::work::Work;
    /// let s = Duration::from_secs;
    /// let work = Work::new(2, s(1)) + Work::new(9, s(8));
    /// assert_eq!(work.wait(9), s(9));
    /// assert_eq!(work.wait(2), s(2));
    /// assert_eq!(work.wait(0), s(9) / 8);
    /// ```
    pub fn wait(&self, priority: u8) -> Duration {
        let n_ahead = (usize::from(priority) + 1).min(N_PRIORITIES);
        let (ahead, behind) = self.0.split_at(n_ahead);
        sum(ahead).saturating_add(sum(behind) / IN_PROGRESS_DIVISOR)
    }

    /// How long the work delays a request if priorities are ignored. Requests to small models only
    /// wait for the prefill that is in progress, since engines serve them first.
    pub fn wait_ignoring_priorities(&self, is_small_model: bool) -> Duration {
        if is_small_model { self.total() / IN_PROGRESS_DIVISOR } else { self.total() }
    }

    /// The work without `other`, of each priority at least zero.
    #[must_use]
    pub fn saturating_sub(mut self, other: Self) -> Self {
        for (mine, others) in self.0.iter_mut().zip(other.0) {
            *mine = mine.saturating_sub(others);
        }
        self
    }
}

fn sum(durations: &[Duration]) -> Duration {
    durations.iter().fold(Duration::ZERO, |sum, it| sum.saturating_add(*it))
}

/// Work of unknown priority counts as the most urgent.
impl From<Duration> for Work {
    fn from(prefill: Duration) -> Self {
        Self::new(0, prefill)
    }
}

impl AddAssign for Work {
    fn add_assign(&mut self, other: Self) {
        for (mine, others) in self.0.iter_mut().zip(other.0) {
            *mine = mine.saturating_add(others);
        }
    }
}

impl Add for Work {
    type Output = Self;

    fn add(mut self, other: Self) -> Self {
        self += other;
        self
    }
}

impl Sum for Work {
    fn sum<I: Iterator<Item = Self>>(works: I) -> Self {
        works.fold(Self::default(), Add::add)
    }
}
