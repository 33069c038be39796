//! When callers may come back that were refused because no endpoint takes more for now.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// The longest time to come back that is told; by then the endpoints may take more.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// The times that were told, by service.
#[derive(Debug, Default)]
pub struct Reservations {
    last_slots: HashMap<String, Instant>,
}

impl Reservations {
    /// Books a time for a caller, if this node may send the service `rate` requests a second. Each is told
    /// one of its own, so that not all come back at once to find the same few places taken.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::retry_schedule::Reservations;
    /// let (mut reservations, now, s) = (Reservations::default(), Instant::now(), Duration::from_secs(1));
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
}
