//! How many requests may be sent a second time, by service.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// The fleet's bound on repeats, of which each node takes its part.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides, for the whole fleet.
    pub slack: f64,
    /// The span over which both are counted.
    pub window: Duration,
}

/// The part of the bound that is used. What is left covers requests that cross the edges of the
/// window and nodes that don't know of each other yet.
const USABLE_SHARE: f64 = 0.8;
/// The span of one counter.
const COUNTER_SPAN: Duration = Duration::from_millis(500);

/// The repeats of a node.
///
/// ```
/// # use std::time::{Duration, Instant};
/// # use curranthook_gateway::retry_budget::{Limit, Budget};
/// let limit = Limit { ratio: 0.5, slack: 0.0, window: Duration::from_secs(10) };
/// let (mut budget, now) = (Budget::new(limit), Instant::now());
/// (0..10).for_each(|_| budget.record_request("engines", now));
/// assert_eq!((0..10).filter(|_| budget.try_spend("engines", 1, now)).count(), 4);
/// ```
#[derive(Debug)]
pub struct Budget {
    limit: Limit,
    services: HashMap<String, VecDeque<Counter>>,
}

#[derive(Debug)]
struct Counter {
    since: Instant,
    requests: f64,
    retries: f64,
}

impl Budget {
    /// A budget under `bound`.
    pub fn new(limit: Limit) -> Self {
        Self { limit, services: HashMap::new() }
    }

    /// A request for `service` came.
    pub fn record_request(&mut self, service: &str, now: Instant) {
        self.counter(service, now).requests += 1.0;
    }

    /// Takes one repeat, if there is one left for this node of `n_nodes`.
    pub fn try_spend(&mut self, service: &str, n_nodes: usize, now: Instant) -> bool {
        let Limit { ratio, slack, .. } = self.limit;
        self.counter(service, now);
        let counters = &self.services[service];
        let requests: f64 = counters.iter().map(|it| it.requests).sum();
        let retries: f64 = counters.iter().map(|it| it.retries).sum();
        let allowed = USABLE_SHARE * (ratio * requests + slack / n_nodes.max(1) as f64);
        if allowed < retries + 1.0 {
            return false;
        }
        self.counter(service, now).retries += 1.0;
        true
    }

    fn counter(&mut self, service: &str, now: Instant) -> &mut Counter {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), VecDeque::new());
        }
        let list = self.services.get_mut(service).expect("it was inserted above");
        let window = self.limit.window;
        while list.front().is_some_and(|it| window < now.saturating_duration_since(it.since)) {
            list.pop_front();
        }
        let is_current = |it: &Counter| now.saturating_duration_since(it.since) < COUNTER_SPAN;
        if !list.back().is_some_and(is_current) {
            list.push_back(Counter { since: now, requests: 0.0, retries: 0.0 });
        }
        list.back_mut().expect("a current counter was pushed")
    }
}
