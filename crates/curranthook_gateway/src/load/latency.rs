//! Estimates the recent latency of each model of a service, over all of its engines.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::load::prefill::{self, Coefficients, Filter, Prompt};

/// The weight of a new observation in the moving average of event intervals, from 0 to 1.
const SMOOTHING_FACTOR: f64 = 0.1;

/// The number of first events of a model after which its estimate may be shared with other nodes.
/// After 10, an estimate may still be nearer to the prior than to the engines.
const MIN_SHARED_EVENTS: u32 = 30;
/// The number of first events of a model from which a node keeps its own estimate instead of a
/// shared one. With fewer, an estimate is still near the prior.
const MIN_OWN_EVENTS: u32 = 5;
/// The maximum number of models whose shared estimates are kept.
const MAX_SHARED_MODELS: usize = 512;

/// The latency estimates of all models.
#[derive(Debug, Default)]
pub struct Estimator {
    models: HashMap<(String, String), Model>,
    /// What other nodes learned, by service and model. It replaces the prior of models of which
    /// this node has observed fewer than [`MIN_OWN_EVENTS`] first events.
    shared: HashMap<(String, String), Shared>,
}

/// What another node learned of a model.
#[derive(Debug, Clone, Copy)]
struct Shared {
    learned: Learned,
    /// When it becomes too old, given when that node last observed the model.
    expires_at: Instant,
}

#[derive(Debug)]
struct Model {
    filter: Filter,
    /// The number of first events that updated the filter.
    n_first_events: u32,
    /// The moving average of the time between two events, in seconds.
    event_interval_s: Option<f64>,
}

/// What a node has learned of a model, in the form that it shares with others.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    /// The coefficients of the time to the first event.
    pub coefficients: Coefficients,
    /// The time between two events, in seconds; none if no stream has been observed.
    #[serde(default)]
    pub event_interval_s: Option<f64>,
}

/// The estimated latency of a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// The coefficients of the time to the first event.
    pub coefficients: Coefficients,
    event_interval_s: f64,
}

/// An observation of the time to a first event.
#[derive(Debug, Clone, Copy)]
pub struct FirstEvent {
    /// The prompt of the request.
    pub prompt: Prompt,
    /// The number of concurrent requests at the endpoint.
    pub outstanding: u32,
    /// The prefill time of the work that was queued ahead of the request.
    pub queue_delay: Duration,
    /// The time from sending the request to its first event, divided by the slowdown that was
    /// expected of the endpoint.
    pub elapsed: Duration,
}

impl Estimate {
    /// The expected time to the first event of a request that is sent now.
    pub fn time_to_first_event(
        &self,
        prompt: Prompt,
        outstanding: u32,
        queue_delay: Duration,
    ) -> Duration {
        self.coefficients.time_to_first_event(prompt, outstanding) + queue_delay
    }

    /// The expected time from the first event to the last of `n_events` more.
    pub fn time_for_events(&self, n_events: u64) -> Duration {
        prefill::saturating_seconds(self.event_interval_s * n_events as f64)
    }
}

impl Estimator {
    /// The estimate for `model`, whose price relative to the most expensive model is
    /// `relative_price`.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_gateway::load::{latency::{FirstEvent, Estimator}, prefill::Prompt};
    /// let (mut estimator, prompt) = (Estimator::default(), Prompt::new(8_000, 0));
    /// let queue_delay = Duration::from_millis(500);
    /// let elapsed = Duration::from_secs(1);
    /// let first = FirstEvent { prompt, outstanding: 3, queue_delay, elapsed };
    /// for _ in 0..50 {
    ///     assert!(estimator.record_first_event("engines", "large", 1.0, first));
    /// }
    /// let idle = estimator
    ///     .estimate("engines", "large", 1.0)
    ///     .time_to_first_event(prompt, 3, Duration::ZERO);
    /// assert!(idle.abs_diff(Duration::from_millis(500)) < Duration::from_millis(20), "{idle:?}");
    /// ```
    pub fn estimate(&self, service: &str, model: &str, relative_price: f64) -> Estimate {
        let key = (service.to_owned(), model.to_owned());
        let Some(it) = self.models.get(&key) else {
            let new = self.new_model(&key, relative_price);
            return Estimate {
                coefficients: new.filter.coefficients(),
                event_interval_s: new.event_interval_s.unwrap_or(0.0),
            };
        };
        Estimate {
            coefficients: it.filter.coefficients(),
            event_interval_s: it.event_interval_s.unwrap_or(0.0),
        }
    }

    /// Updates the estimate for `model` with the time to a first event. Returns whether the event
    /// was used.
    pub fn record_first_event(
        &mut self,
        service: &str,
        model: &str,
        relative_price: f64,
        event: FirstEvent,
    ) -> bool {
        let it = self.model_mut(service, model, relative_price);
        let FirstEvent { prompt, outstanding, queue_delay, elapsed } = event;
        let is_used = it.filter.update(prompt, outstanding, queue_delay, elapsed);
        it.n_first_events = it.n_first_events.saturating_add(u32::from(is_used));
        is_used
    }

    /// Records a stream of `n_events` that ended `elapsed` after its first event. `elapsed` is
    /// divided by the lasting slowdown of the endpoint.
    pub fn record_stream(
        &mut self,
        service: &str,
        model: &str,
        relative_price: f64,
        n_events: u32,
        elapsed: Duration,
    ) {
        if 1 < n_events {
            let interval = elapsed.as_secs_f64() / f64::from(n_events - 1);
            let mean = self
                .model_mut(service, model, relative_price)
                .event_interval_s
                .get_or_insert(interval);
            *mean += SMOOTHING_FACTOR * (interval - *mean);
        }
    }

    /// What this node has learned of `model` itself; none if it has observed too few first events
    /// to share an estimate.
    pub fn learned(&self, service: &str, model: &str) -> Option<Learned> {
        let it = self.models.get(&(service.to_owned(), model.to_owned()))?;
        (MIN_SHARED_EVENTS <= it.n_first_events).then(|| Learned {
            coefficients: it.filter.coefficients(),
            event_interval_s: it.event_interval_s,
        })
    }

    /// Sets what other nodes have learned of a service's models and when that becomes too old, in
    /// place of what was set before. Estimates start from it instead of the prior, also those of
    /// models of which this node has observed fewer than `MIN_OWN_EVENTS` first events; others do
    /// not change. Returns the number of models that start from it.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::load::{latency::{Estimator, Learned}, prefill::Prompt};
    /// let mut estimator = Estimator::default();
    /// let coefficients = [0.1, 0.2, 0.0, 0.0].into();
    /// let learned = Learned { coefficients, event_interval_s: Some(0.02) };
    /// let expires_at = Instant::now() + Duration::from_secs(600);
    /// assert_eq!(estimator.set_shared("engines", [("large", learned, expires_at)]), 1);
    /// let estimate = estimator.estimate("engines", "large", 1.0);
    /// let expected = estimate.time_to_first_event(Prompt::new(10_000, 0), 0, Duration::ZERO);
    /// assert_eq!(expected.as_millis(), 300);
    /// ```
    pub fn set_shared<'a>(
        &mut self,
        service: &str,
        models: impl IntoIterator<Item = (&'a str, Learned, Instant)>,
    ) -> usize {
        self.shared.retain(|(of_service, _), _| of_service != service);
        let mut n_used = 0;
        for (model, learned, expires_at) in models {
            let key = (service.to_owned(), model.to_owned());
            let own = self.models.get_mut(&key);
            if MAX_SHARED_MODELS <= self.shared.len()
                || own.as_ref().is_some_and(|it| MIN_OWN_EVENTS <= it.n_first_events)
            {
                continue;
            }
            if let Some(own) = own {
                own.filter = own.filter.restarted_from(learned.coefficients);
                own.event_interval_s = learned.event_interval_s.or(own.event_interval_s);
            }
            self.shared.insert(key, Shared { learned, expires_at });
            n_used += 1;
        }
        n_used
    }

    /// Drops what other nodes have learned and is too old. Models that this node has not observed
    /// start from the prior again.
    pub fn drop_expired(&mut self, now: Instant) {
        self.shared.retain(|_, it| now < it.expires_at);
    }

    /// The state of `model`, created on first use.
    fn model_mut(&mut self, service: &str, model: &str, relative_price: f64) -> &mut Model {
        let key = (service.to_owned(), model.to_owned());
        if !self.models.contains_key(&key) {
            let new = self.new_model(&key, relative_price);
            self.models.insert(key.clone(), new);
        }
        self.models.get_mut(&key).expect("inserted above")
    }

    /// The state of a model that has not been observed: what other nodes have learned, or else the
    /// prior.
    fn new_model(&self, key: &(String, String), relative_price: f64) -> Model {
        let shared = self.shared.get(key).map(|it| it.learned);
        let filter = match shared {
            Some(it) => Filter::from_shared(relative_price, it.coefficients),
            None => Filter::new(relative_price),
        };
        let event_interval_s = shared.and_then(|it| it.event_interval_s);
        Model { filter, n_first_events: 0, event_interval_s }
    }
}
