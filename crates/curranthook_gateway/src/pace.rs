//! How fast each model of a service has been of late, at all its engines together.

use std::{collections::HashMap, time::Duration};

/// How much one answer moves the mean.
const SMOOTHING: f64 = 0.1;

/// The pace of all models.
#[derive(Debug, Default)]
pub struct Paces {
    models: HashMap<(String, String), Pace>,
}

/// The pace of a model.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pace {
    /// Seconds to the first event beyond those for reading the prompt; below zero where engines
    /// keep parts of the prompts.
    delay: Option<f64>,
    /// Seconds from one event to the next.
    event: Option<f64>,
}

impl Pace {
    /// The time to the first event of a prompt that takes `reading` to read, once it's sent.
    pub fn first(self, reading: Duration) -> Duration {
        seconds(reading.as_secs_f64() + self.delay.unwrap_or(0.0))
    }

    /// The time that `events` take after the first.
    pub fn rest(self, events: u64) -> Duration {
        seconds(self.event.unwrap_or(0.0) * events as f64)
    }
}

impl Paces {
    /// The pace of `model`.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_gateway::pace::Paces;
    /// let mut paces = Paces::default();
    /// paces.began("engines", "large", Duration::from_secs(1), Duration::from_millis(1_500));
    /// let pace = paces.of("engines", "large");
    /// assert_eq!(pace.first(Duration::from_secs(2)), Duration::from_millis(2_500));
    /// ```
    pub fn of(&self, service: &str, model: &str) -> Pace {
        let key = (service.to_owned(), model.to_owned());
        self.models.get(&key).copied().unwrap_or_default()
    }

    /// A first event came after `took`, of a prompt that takes `reading` to read.
    pub fn began(&mut self, service: &str, model: &str, reading: Duration, took: Duration) {
        let delay = took.as_secs_f64() - reading.as_secs_f64();
        smooth(&mut self.entry(service, model).delay, delay);
    }

    /// An answer of `events` ended `took` after its first event.
    pub fn ended(&mut self, service: &str, model: &str, events: u32, took: Duration) {
        if 1 < events {
            let each = took.as_secs_f64() / f64::from(events - 1);
            smooth(&mut self.entry(service, model).event, each);
        }
    }

    fn entry(&mut self, service: &str, model: &str) -> &mut Pace {
        self.models.entry((service.to_owned(), model.to_owned())).or_default()
    }
}

fn smooth(mean: &mut Option<f64>, value: f64) {
    let it = mean.get_or_insert(value);
    *it += SMOOTHING * (value - *it);
}

fn seconds(it: f64) -> Duration {
    Duration::from_secs_f64(it.max(0.0))
}
