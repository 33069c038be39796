//! How fast each model of a service has been of late, at all its engines together.

use std::{collections::HashMap, time::Duration};

use crate::prefill::{self, Coefficients, Filter, Prompt};

/// How much one answer moves a mean.
const SMOOTHING: f64 = 0.1;

/// The pace of all models.
#[derive(Debug, Default)]
pub struct Estimator {
    models: HashMap<(String, String), Model>,
}

#[derive(Debug)]
struct Model {
    filter: Filter,
    /// Seconds from one event to the next.
    event_interval: Option<f64>,
}

/// The pace of a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// How fast it reads.
    pub coefficients: Coefficients,
    event_interval: f64,
}

/// A first event that came.
#[derive(Debug, Clone, Copy)]
pub struct FirstEvent {
    /// The prompt that was read for it.
    pub prompt: Prompt,
    /// How many requests ran beside it.
    pub outstanding: u32,
    /// The work that waited before it.
    pub queue_delay: Duration,
    /// When it came, after the request was sent.
    pub elapsed: Duration,
}

impl Estimate {
    /// The time to the first event of a request that is sent now.
    pub fn first_event(&self, prompt: Prompt, outstanding: u32, queue_delay: Duration) -> Duration {
        self.coefficients.first_event(prompt, outstanding) + queue_delay
    }

    /// The time that `events` take after the first.
    pub fn remaining_events(&self, n_events: u64) -> Duration {
        prefill::saturating_seconds(self.event_interval * n_events as f64)
    }
}

impl Estimator {
    /// The pace of `model`, which costs `weight` of the dearest one's price.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_gateway::{latency::{FirstEvent, Estimator}, prefill::Prompt};
    /// let (mut estimator, prompt) = (Estimator::default(), Prompt::new(8_000, 0));
    /// let queue_delay = Duration::from_millis(500);
    /// let first = FirstEvent { prompt, outstanding: 3, queue_delay, elapsed: Duration::from_secs(1) };
    /// (0..50).for_each(|_| estimator.record_first_event("engines", "large", 1.0, first));
    /// let idle = estimator.estimate("engines", "large", 1.0).first_event(prompt, 3, Duration::ZERO);
    /// assert!(idle.abs_diff(Duration::from_millis(500)) < Duration::from_millis(20), "{idle:?}");
    /// ```
    pub fn estimate(&self, service: &str, model: &str, relative_price: f64) -> Estimate {
        let key = (service.to_owned(), model.to_owned());
        let Some(it) = self.models.get(&key) else {
            return Estimate {
                coefficients: Filter::new(relative_price).coefficients(),
                event_interval: 0.0,
            };
        };
        Estimate {
            coefficients: it.filter.coefficients(),
            event_interval: it.event_interval.unwrap_or(0.0),
        }
    }

    /// A first event came.
    pub fn record_first_event(
        &mut self,
        service: &str,
        model: &str,
        relative_price: f64,
        event: FirstEvent,
    ) {
        let it = self.entry(service, model, relative_price);
        it.filter.update(event.prompt, event.outstanding, event.queue_delay, event.elapsed);
    }

    /// An answer of `events` ended `took` after its first event.
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
            let mean =
                self.entry(service, model, relative_price).event_interval.get_or_insert(interval);
            *mean += SMOOTHING * (interval - *mean);
        }
    }

    fn entry(&mut self, service: &str, model: &str, relative_price: f64) -> &mut Model {
        let new = || Model { filter: Filter::new(relative_price), event_interval: None };
        self.models.entry((service.to_owned(), model.to_owned())).or_insert_with(new)
    }
}
