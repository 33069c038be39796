//! Limits the number of retries per service.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use serde::Serialize;

/// The limit on the retries of a whole fleet. Retries per request apply at each node to its own
/// requests; the additional ones are divided among the nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, for the whole fleet.
    pub slack: f64,
    /// The sliding window over which requests and retries are counted.
    pub window: Duration,
}

/// The share of the limit that is used. The rest covers requests that cross the edges of the window
/// and nodes that do not know of each other yet.
const USABLE_SHARE: f64 = 0.8;
/// The time span that one counter of the sliding window covers.
const COUNTER_SPAN: Duration = Duration::from_millis(500);

/// The retry budget of a node.
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

/// A service's requests and retries at one node, and what the node may make of the latter.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Standing {
    /// The requests in the window.
    pub requests: f64,
    /// The retries in the window.
    pub retries: f64,
    /// The retries that the node may make in the window.
    pub allowed: f64,
    /// The number of nodes that divide the additional retries.
    pub n_nodes: usize,
}

#[derive(Debug)]
struct Counter {
    started_at: Instant,
    requests: f64,
    retries: f64,
}

impl Budget {
    /// Creates a budget under `limit`.
    pub fn new(limit: Limit) -> Self {
        Self { limit, services: HashMap::new() }
    }

    /// Counts a request for `service`.
    pub fn record_request(&mut self, service: &str, now: Instant) {
        self.counter(service, now).requests += 1.0;
    }

    /// Takes one retry from the budget, if this node, one of `n_nodes`, has one left.
    pub fn try_spend(&mut self, service: &str, n_nodes: usize, now: Instant) -> bool {
        let standing = self.standing(service, n_nodes, now);
        if standing.allowed < standing.retries + 1.0 {
            return false;
        }
        self.counter(service, now).retries += 1.0;
        true
    }

    /// What this node, one of `n_nodes`, has made and may make in the window.
    pub fn standing(&mut self, service: &str, n_nodes: usize, now: Instant) -> Standing {
        let Limit { ratio, slack, .. } = self.limit;
        self.counter(service, now);
        let counters = &self.services[service];
        let requests: f64 = counters.iter().map(|it| it.requests).sum();
        let retries = counters.iter().map(|it| it.retries).sum();
        let allowed = USABLE_SHARE * (ratio * requests + slack / n_nodes.max(1) as f64);
        Standing { requests, retries, allowed, n_nodes }
    }

    /// The current counter of `service`. Drops counters that have left the window.
    fn counter(&mut self, service: &str, now: Instant) -> &mut Counter {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), VecDeque::new());
        }
        let counters = self.services.get_mut(service).expect("it was inserted above");
        let window = self.limit.window;
        while counters
            .front()
            .is_some_and(|it| window < now.saturating_duration_since(it.started_at))
        {
            counters.pop_front();
        }
        let is_current = |it: &Counter| now.saturating_duration_since(it.started_at) < COUNTER_SPAN;
        if !counters.back().is_some_and(is_current) {
            counters.push_back(Counter { started_at: now, requests: 0.0, retries: 0.0 });
        }
        counters.back_mut().expect("a current counter was pushed")
    }
}
