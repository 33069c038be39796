//! Estimates the recent latency of each model of a service, over all of its engines.

use std::{collections::HashMap, time::Duration};

use crate::load::prefill::{self, Coefficients, Filter, Prompt};

/// The weight of a new observation in the moving average of event intervals, from 0 to 1.
const SMOOTHING_FACTOR: f64 = 0.1;

/// The latency estimates of all models.
#[derive(Debug, Default)]
pub struct Estimator {
    models: HashMap<(String, String), Model>,
}

#[derive(Debug)]
struct Model {
    filter: Filter,
    /// The moving average of the time between two events, in seconds.
    event_interval_s: Option<f64>,
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
    /// (0..50).for_each(|_| estimator.record_first_event("engines", "large", 1.0, first));
    /// let idle = estimator
    ///     .estimate("engines", "large", 1.0)
    ///     .time_to_first_event(prompt, 3, Duration::ZERO);
    /// assert!(idle.abs_diff(Duration::from_millis(500)) < Duration::from_millis(20), "{idle:?}");
    /// ```
    pub fn estimate(&self, service: &str, model: &str, relative_price: f64) -> Estimate {
        let key = (service.to_owned(), model.to_owned());
        let Some(it) = self.models.get(&key) else {
            return Estimate {
                coefficients: Filter::new(relative_price).coefficients(),
                event_interval_s: 0.0,
            };
        };
        Estimate {
            coefficients: it.filter.coefficients(),
            event_interval_s: it.event_interval_s.unwrap_or(0.0),
        }
    }

    /// Updates the estimate for `model` with the time to a first event.
    pub fn record_first_event(
        &mut self,
        service: &str,
        model: &str,
        relative_price: f64,
        event: FirstEvent,
    ) {
        let it = self.model_mut(service, model, relative_price);
        it.filter.update(event.prompt, event.outstanding, event.queue_delay, event.elapsed);
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

    /// The state of `model`, created from the prior on first use.
    fn model_mut(&mut self, service: &str, model: &str, relative_price: f64) -> &mut Model {
        let new = || Model { filter: Filter::new(relative_price), event_interval_s: None };
        self.models.entry((service.to_owned(), model.to_owned())).or_insert_with(new)
    }
}
