//! Spreads the `Retry-After` times of callers that were refused because the endpoints are
//! throttled or overloaded.

use std::{
    collections::HashMap,
    ops::RangeInclusive,
    time::{Duration, Instant},
};

/// The longest `Retry-After`; after that time the endpoints may admit more requests.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// The last reserved time slot per service.
#[derive(Debug, Clone, Default)]
pub struct Reservations {
    last_slots: HashMap<String, Instant>,
}

impl Reservations {
    /// Reserves the next time slot for a refused caller, if this node may send the service `rate`
    /// requests per second, and returns the time until the slot. Each caller gets a slot of its
    /// own; otherwise all would return at once and compete for the same few requests.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::retry_schedule::Reservations;
    /// let mut reservations = Reservations::default();
    /// let (now, s) = (Instant::now(), Duration::from_secs(1));
    /// assert_eq!(reservations.reserve("engines", 0.5, now), 2 * s);
    /// assert_eq!(reservations.reserve("engines", 0.5, now), 4 * s);
    /// assert_eq!(reservations.reserve("engines", 0.5, now + 5 * s), 2 * s);
    /// ```
    pub fn reserve(&mut self, service: &str, rate: f64, now: Instant) -> Duration {
        let interval =
            Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER);
        let last_slot = self.last_slots.get(service).copied().unwrap_or(now).max(now);
        let slot = (last_slot + interval).min(now + MAX_RETRY_AFTER);
        self.last_slots.insert(service.to_owned(), slot);
        slot - now
    }

    /// Reserves the next time slot within `window`, which is relative to `now`; none if all its
    /// slots are taken. `key` identifies the callers that share the `rate`.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::retry_schedule::Reservations;
    /// let mut reservations = Reservations::default();
    /// let (now, s) = (Instant::now(), Duration::from_secs(1));
    /// let mut reserve = || reservations.reserve_between("engines", 0.5, 3 * s..=6 * s, now);
    /// assert_eq!([reserve(), reserve(), reserve()], [Some(3 * s), Some(5 * s), None]);
    /// ```
    pub fn reserve_between(
        &mut self,
        key: &str,
        rate: f64,
        window: RangeInclusive<Duration>,
        now: Instant,
    ) -> Option<Duration> {
        let interval =
            Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER);
        let next =
            self.last_slots.get(key).map(|it| (*it + interval).saturating_duration_since(now));
        let after = next.unwrap_or_default().max(*window.start());
        if *window.end() < after {
            return None;
        }
        self.last_slots.insert(key.to_owned(), now + after);
        Some(after)
    }
}
