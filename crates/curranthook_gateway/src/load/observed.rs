//! When each model's last first event was observed, which tells how sure its latency estimate is.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{Gateway, load::latency::FirstEvent};

/// The maximum number of models. Callers may name any model; those that exceed the limit count as
/// never observed, and their estimates are not shared with other nodes.
const MAX_MODELS: usize = 256;

/// The times of the last observations.
#[derive(Debug, Default)]
pub struct Observations {
    models: HashMap<(String, String), Instant>,
}

/// Updates the latency estimate of `model` with a first event. Counts it as an observation if the
/// estimate used it and the answer is a success: an endpoint answers a request that it rejects
/// sooner than one that it serves.
pub fn record_first_event(
    gateway: &Gateway,
    service: &str,
    (model, relative_price): (&str, f64),
    event: FirstEvent,
    is_success: bool,
) {
    let is_used =
        gateway.latency_estimator.lock().record_first_event(service, model, relative_price, event);
    if is_used && is_success {
        gateway.observations.lock().record(service, model, gateway.now());
    }
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
