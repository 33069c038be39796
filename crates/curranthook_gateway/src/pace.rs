//! How fast each model of a service has been of late, at all its engines together.

use std::{collections::HashMap, time::Duration};

use crate::prefill::{self, Filter, Prompt, Speed};

/// How much one answer moves a mean.
const SMOOTHING: f64 = 0.1;

/// The pace of all models.
#[derive(Debug, Default)]
pub struct Paces {
    models: HashMap<(String, String), Model>,
}

#[derive(Debug)]
struct Model {
    filter: Filter,
    /// Seconds from one event to the next.
    event: Option<f64>,
}

/// The pace of a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// How fast it reads.
    pub speed: Speed,
    event: f64,
}

/// A first event that came.
#[derive(Debug, Clone, Copy)]
pub struct First {
    /// The prompt that was read for it.
    pub prompt: Prompt,
    /// How many requests ran beside it.
    pub busy: u32,
    /// The work that waited before it.
    pub waited: Duration,
    /// When it came, after the request was sent.
    pub took: Duration,
}

impl Pace {
    /// The time to the first event of a request that is sent now.
    pub fn first(&self, prompt: Prompt, busy: u32, waiting: Duration) -> Duration {
        self.speed.first(prompt, busy) + waiting
    }

    /// The time that `events` take after the first.
    pub fn rest(&self, events: u64) -> Duration {
        prefill::seconds(self.event * events as f64)
    }
}

impl Paces {
    /// The pace of `model`, which costs `weight` of the dearest one's price.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_gateway::{pace::{First, Paces}, prefill::Prompt};
    /// let (mut paces, prompt) = (Paces::default(), Prompt::new(8_000, 0));
    /// let waited = Duration::from_millis(500);
    /// let first = First { prompt, busy: 3, waited, took: Duration::from_secs(1) };
    /// (0..50).for_each(|_| paces.began("engines", "large", 1.0, first));
    /// let idle = paces.of("engines", "large", 1.0).first(prompt, 3, Duration::ZERO);
    /// assert!(idle.abs_diff(Duration::from_millis(500)) < Duration::from_millis(20), "{idle:?}");
    /// ```
    pub fn of(&self, service: &str, model: &str, weight: f64) -> Pace {
        let key = (service.to_owned(), model.to_owned());
        let Some(it) = self.models.get(&key) else {
            return Pace { speed: Filter::new(weight).speed(), event: 0.0 };
        };
        Pace { speed: it.filter.speed(), event: it.event.unwrap_or(0.0) }
    }

    /// A first event came.
    pub fn began(&mut self, service: &str, model: &str, weight: f64, first: First) {
        let it = self.entry(service, model, weight);
        it.filter.learn(first.prompt, first.busy, first.waited, first.took);
    }

    /// An answer of `events` ended `took` after its first event.
    pub fn ended(&mut self, service: &str, model: &str, weight: f64, events: u32, took: Duration) {
        if 1 < events {
            let each = took.as_secs_f64() / f64::from(events - 1);
            let mean = self.entry(service, model, weight).event.get_or_insert(each);
            *mean += SMOOTHING * (each - *mean);
        }
    }

    fn entry(&mut self, service: &str, model: &str, weight: f64) -> &mut Model {
        let new = || Model { filter: Filter::new(weight), event: None };
        self.models.entry((service.to_owned(), model.to_owned())).or_insert_with(new)
    }
}
