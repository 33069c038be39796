//! How many requests this node sends under permits, its own and borrowed ones.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// The time in which a recorded request loses all but 1/e of its weight.
const MEMORY: Duration = Duration::from_secs(1);

/// The recent rate of requests under permits, by service.
///
/// Tells how much of a rate that all nodes share this node gets, wherever callers are.
///
/// ```
/// # use std::time::{Duration, Instant};
/// # use curranthook_gateway::permit::usage::Usage;
/// let (mut usage, mut now) = (Usage::default(), Instant::now());
/// for _ in 0..100 {
///     usage.record("engines", now);
///     now += Duration::from_millis(100);
/// }
/// assert!((9.0..11.0).contains(&usage.rate("engines", now)));
/// assert_eq!(usage.rate("others", now), 0.0);
/// ```
#[derive(Debug, Default)]
pub struct Usage {
    services: HashMap<String, Decayed>,
}

#[derive(Debug, Clone, Copy)]
struct Decayed {
    sum: f64,
    at: Instant,
}

impl Decayed {
    fn sum_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at);
        self.sum * (-elapsed.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}

impl Usage {
    /// Records a request to `service`.
    pub fn record(&mut self, service: &str, now: Instant) {
        let sum = self.services.get(service).map_or(0.0, |it| it.sum_at(now)) + 1.0;
        match self.services.get_mut(service) {
            Some(it) => *it = Decayed { sum, at: now },
            None => _ = self.services.insert(service.to_owned(), Decayed { sum, at: now }),
        }
    }

    /// The recent requests per second to `service`.
    pub fn rate(&self, service: &str, now: Instant) -> f64 {
        let sum = self.services.get(service).map_or(0.0, |it| it.sum_at(now));
        sum / MEMORY.as_secs_f64()
    }
}
