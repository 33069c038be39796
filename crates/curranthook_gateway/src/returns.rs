//! When callers may come back that were refused because no endpoint takes more for now.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// The longest time to come back that is told; by then the endpoints may take more.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// The times that were told, by service.
#[derive(Debug, Default)]
pub struct Returns {
    next: HashMap<String, Instant>,
}

impl Returns {
    /// Books a time for a caller, if this node may send the service `rate` requests a second. Each is told
    /// one of its own, so that not all come back at once to find the same few places taken.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::returns::Returns;
    /// let (mut returns, now, s) = (Returns::default(), Instant::now(), Duration::from_secs(1));
    /// assert_eq!(returns.book("engines", 0.5, now), 2 * s);
    /// assert_eq!(returns.book("engines", 0.5, now), 4 * s);
    /// assert_eq!(returns.book("engines", 0.5, now + 5 * s), 2 * s);
    /// ```
    pub fn book(&mut self, service: &str, rate: f64, now: Instant) -> Duration {
        let gap = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_WAIT).min(MAX_WAIT);
        let free = self.next.get(service).copied().unwrap_or(now).max(now);
        let time = (free + gap).min(now + MAX_WAIT);
        self.next.insert(service.to_owned(), time);
        time - now
    }
}
