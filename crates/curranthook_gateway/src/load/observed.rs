//! When each model's last first event was observed, which tells how sure its latency estimate is.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// The maximum number of models. Callers may name any model; those that exceed the limit count as
/// never observed, and their estimates are not shared with other nodes.
const MAX_MODELS: usize = 256;

/// The times of the last observations.
#[derive(Debug, Default)]
pub struct Observations {
    models: HashMap<(String, String), Instant>,
}

impl Observations {
    /// Records that a first event of `model` was observed.
    pub fn record(&mut self, service: &str, model: &str, now: Instant) {
        let key = (service.to_owned(), model.to_owned());
        if self.models.len() < MAX_MODELS || self.models.contains_key(&key) {
            self.models.insert(key, now);
        }
    }

    /// The time since the last observation; none if there was none.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::load::observed::Observations;
    /// let (mut observations, now) = (Observations::default(), Instant::now());
    /// observations.record("engines", "small", now);
    /// let later = now + Duration::from_secs(2);
    /// assert_eq!(observations.age("engines", "small", later), Some(Duration::from_secs(2)));
    /// assert_eq!(observations.age("engines", "large", later), None);
    /// ```
    pub fn age(&self, service: &str, model: &str, now: Instant) -> Option<Duration> {
        let at = self.models.get(&(service.to_owned(), model.to_owned()))?;
        Some(now.saturating_duration_since(*at))
    }
}
