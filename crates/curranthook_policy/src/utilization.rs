//! The share of the engines' time that requests of each priority take.
//!
//! Addresses load at which urgent requests take most of a capacity that is short: engines serve
//! them first even if they arrive later, so queued work that is less urgent takes a multiple of its
//! own time. A forecast that counts only what is queued is too short by that factor.

use std::time::{Duration, Instant};

/// The number of priorities that engines distinguish; 0 is served first.
const N_PRIORITIES: usize = 10;
/// The time in which recorded work loses all but 1/e of its weight. A node sees a few requests per
/// second, so a much shorter time makes the share too uncertain.
const MEMORY: Duration = Duration::from_secs(5);
/// The largest share that is expected to last. With a larger one, an error of a few percent would
/// change the expected time by a multiple.
const MAX_SHARE: f64 = 0.8;

/// The engine time that recent requests of each priority took.
#[derive(Debug, Clone, Default)]
pub struct Utilization {
    /// The decayed sums of engine time by priority, in seconds.
    work: [f64; N_PRIORITIES],
    updated_at: Option<Instant>,
}

impl Utilization {
    /// Records a request of `priority` at its engine that takes `engine_time`.
    pub fn record(&mut self, priority: u8, engine_time: Duration, now: Instant) {
        let decay = self.decay(now);
        self.work.iter_mut().for_each(|it| *it *= decay);
        self.work[usize::from(priority).min(N_PRIORITIES - 1)] += engine_time.as_secs_f64();
        self.updated_at = self.updated_at.max(Some(now));
    }

    /// How long `queued` work takes if requests that are more urgent than `priority` continue to
    /// arrive. `n_engines` is the number of engines that serve the recorded requests; a fraction if
    /// they serve others too.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_policy::utilization::Utilization;
    /// let (mut utilization, mut now) = (Utilization::default(), Instant::now());
    /// for _ in 0..300 {
    ///     now += Duration::from_millis(100);
    ///     utilization.record(0, Duration::from_millis(50), now);
    /// }
    /// let queued = Duration::from_secs(2);
    /// let at = |priority| utilization.time_for(queued, priority, 1.0, now).as_secs_f64();
    /// assert_eq!(at(0), 2.0);
    /// assert!((3.8..4.2).contains(&at(1)), "half of the engine's time is left");
    /// ```
    pub fn time_for(
        &self,
        queued: Duration,
        priority: u8,
        n_engines: f64,
        now: Instant,
    ) -> Duration {
        let more_urgent: f64 = self.work.iter().take(usize::from(priority)).sum();
        let engine_time = n_engines * MEMORY.as_secs_f64();
        let share = (more_urgent * self.decay(now) / engine_time).clamp(0.0, MAX_SHARE);
        // A share of an unknown number of engines is not a number.
        let share = if share.is_nan() { 0.0 } else { share };
        Duration::try_from_secs_f64(queued.as_secs_f64() / (1.0 - share)).unwrap_or(Duration::MAX)
    }

    fn decay(&self, now: Instant) -> f64 {
        let elapsed = self.updated_at.map(|it| now.saturating_duration_since(it));
        (-elapsed.unwrap_or_default().as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}
