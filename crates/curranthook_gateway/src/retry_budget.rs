//! Limits the number of retries per service.
//!
//! The limit holds for the whole fleet in any window, and counts what processes did that have ended
//! since. No process knows that. So a node earns its retries as requests arrive and time passes, and
//! saves up little. A process that replaces another one begins with none: what ends with a process can
//! only be lost to the fleet, and isn't made once more.
//!
//! A fixed part of the additional retries is set aside for bursts. A process may make these at any time
//! in a window, but only while no other process of its node can have made any in the same window.

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

/// A node's part of the additional retries of a fleet. Callers may be at any node, and no node knows
/// what the others need.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// The fleet has this many nodes, this one included, each with an equal part.
    OneOf(usize),
    /// The node has no part, as its successor may have it already, or as it doesn't know the other
    /// nodes yet.
    None,
}

impl Part {
    fn of(self, slack: f64) -> f64 {
        match self {
            Self::OneOf(n_nodes) => slack / n_nodes.max(1) as f64,
            Self::None => 0.0,
        }
    }
}

/// The share of the limit that is used. The rest covers requests that cross the edges of the window,
/// nodes that do not know of each other yet, and what processes had saved up that have ended.
const USABLE_SHARE: f64 = 0.8;
/// The part of a window whose earnings a node may save up, beyond one retry.
const SAVED_SHARE: f64 = 0.1;
/// The part of a node's additional retries that is set aside for bursts, in whole retries.
const BURST_SHARE: f64 = 0.3;
/// The time within which the nodes of a fleet that starts learn of each other. Before that, a node's part
/// may be too large.
const JOIN_TIME: Duration = Duration::from_secs(2);
/// The time span that one counter of the sliding window covers.
const COUNTER_SPAN: Duration = Duration::from_millis(500);

/// The retry budget of a node.
///
/// ```
/// # use std::time::{Duration, Instant};
/// # use curranthook_gateway::retry_budget::{Budget, Limit, Part};
/// let limit = Limit { ratio: 0.5, slack: 0.0, window: Duration::from_secs(10) };
/// let (mut budget, now) = (Budget::new(limit, Instant::now()), Instant::now());
/// (0..10).for_each(|_| budget.record_request("engines", Part::OneOf(1), now));
/// let n_retries = (0..10).filter(|_| budget.try_spend("engines", Part::OneOf(1), now)).count();
/// assert_eq!(n_retries, 3, "one is left of the four that the requests earned");
/// ```
#[derive(Debug)]
pub struct Budget {
    limit: Limit,
    /// When the process started.
    started: Instant,
    /// Whether no process of this node ran before.
    is_first_process: bool,
    services: HashMap<String, Account>,
}

/// What a node knows of a service's retries.
#[derive(Debug)]
struct Account {
    /// The sliding window.
    counters: VecDeque<Counter>,
    /// The retries that were earned and not spent.
    saved: f64,
    /// The part of them that isn't spent while retries of the process before may be in the window.
    /// That one may have taken longer than a window to save up one retry, and spent it at its end.
    reserved: f64,
    /// Until when the node's part of the additional retries was earned.
    earned_until: Instant,
}

/// A node's additional retries in a window.
#[derive(Debug, Clone, Copy)]
struct Additional {
    /// Those that are earned over time.
    earned: f64,
    /// Those that are set aside for bursts: a whole number.
    burst: f64,
}

impl Additional {
    fn new(part: Part, limit: &Limit) -> Self {
        let all = USABLE_SHARE * part.of(limit.slack);
        let burst = (BURST_SHARE * all).floor();
        Self { earned: all - burst, burst }
    }
}

#[derive(Debug)]
struct Counter {
    started_at: Instant,
    requests: f64,
    retries: f64,
    /// Those of the retries that were set aside for bursts.
    burst: f64,
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
    /// The retries that the node has earned and not spent.
    pub available: f64,
    /// The retries set aside for bursts that the node may still make in the window.
    pub burst: f64,
    /// The number of nodes that divide the additional retries; 0 if this one has no part.
    pub n_nodes: usize,
}

impl Budget {
    /// Creates the budget of a process that starts at `now`, under `limit`.
    pub fn new(limit: Limit, now: Instant) -> Self {
        Self { limit, started: now, is_first_process: false, services: HashMap::new() }
    }

    /// Records that no process of this node ran before, so that this one may begin with as much as it
    /// may save up.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::retry_budget::{Budget, Limit, Part};
    /// let limit = Limit { ratio: 0.5, slack: 10.0, window: Duration::from_secs(10) };
    /// let mut budget = Budget::new(limit, Instant::now());
    /// assert!(!budget.try_spend("engines", Part::OneOf(1), Instant::now()));
    /// budget.record_first_process();
    /// assert!(budget.try_spend("engines", Part::OneOf(1), Instant::now()));
    /// ```
    pub fn record_first_process(&mut self) {
        self.is_first_process = true;
        self.services.values_mut().for_each(|it| it.saved = f64::INFINITY);
    }

    /// Counts a request for `service`, which earns retries.
    pub fn record_request(&mut self, service: &str, part: Part, now: Instant) {
        let earned = USABLE_SHARE * self.limit.ratio;
        let account = self.account(service, part, now);
        account.saved += earned;
        account.current_counter(now).requests += 1.0;
    }

    /// Takes one retry from the budget, if this node has one left.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::retry_budget::{Budget, Limit, Part};
    /// let (start, part) = (Instant::now(), Part::OneOf(4));
    /// let limit = Limit { ratio: 0.0, slack: 40.0, window: Duration::from_secs(10) };
    /// let mut budget = Budget::new(limit, start);
    /// assert!(!budget.try_spend("engines", part, start), "a process begins with none");
    /// assert!(budget.try_spend("engines", part, start + Duration::from_secs(3)));
    /// ```
    pub fn try_spend(&mut self, service: &str, part: Part, now: Instant) -> bool {
        let standing = self.standing(service, part, now);
        if standing.allowed < standing.retries + 1.0 {
            return false;
        }
        let is_earned = 1.0 <= standing.available;
        if !is_earned && standing.burst < 1.0 {
            return false;
        }
        let account = self.account(service, part, now);
        account.saved -= if is_earned { 1.0 } else { 0.0 };
        let counter = account.current_counter(now);
        counter.retries += 1.0;
        counter.burst += if is_earned { 0.0 } else { 1.0 };
        true
    }

    /// What this node has made and may make in the window.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::retry_budget::{Budget, Limit, Part};
    /// let limit = Limit { ratio: 0.5, slack: 0.0, window: Duration::from_secs(10) };
    /// let (mut budget, now) = (Budget::new(limit, Instant::now()), Instant::now());
    /// budget.record_request("engines", Part::OneOf(1), now);
    /// let standing = budget.standing("engines", Part::OneOf(1), now);
    /// assert_eq!((standing.requests, standing.allowed), (1.0, 0.4));
    /// ```
    pub fn standing(&mut self, service: &str, part: Part, now: Instant) -> Standing {
        let Limit { ratio, slack, .. } = self.limit;
        let burst_limit =
            if self.may_burst(now) { Additional::new(part, &self.limit).burst } else { 0.0 };
        let account = self.account(service, part, now);
        let requests = account.requests_since(None);
        let retries = account.counters.iter().map(|it| it.retries).sum();
        let n_burst: f64 = account.counters.iter().map(|it| it.burst).sum();
        let allowed = USABLE_SHARE * (ratio * requests + part.of(slack));
        let n_nodes = match part {
            Part::OneOf(n_nodes) => n_nodes,
            Part::None => 0,
        };
        let (available, burst) = (account.available(), (burst_limit - n_burst).max(0.0));
        Standing { requests, retries, allowed, available, burst, n_nodes }
    }

    /// Whether no other process of this node can have made retries that are still in the window.
    fn may_burst(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started);
        self.limit.window <= age || (self.is_first_process && JOIN_TIME <= age)
    }

    /// The account of `service`, with the node's part of the additional retries earned until `now`, and
    /// without what is too old.
    fn account(&mut self, service: &str, part: Part, now: Instant) -> &mut Account {
        if !self.services.contains_key(service) {
            let saved = if self.is_first_process { f64::INFINITY } else { 0.0 };
            self.services.insert(service.to_owned(), Account::new(saved, self.started));
        }
        let account = self.services.get_mut(service).expect("it was inserted above");
        let age = now.saturating_duration_since(self.started);
        let has_predecessor = age < self.limit.window && !self.is_first_process;
        account.earn(&self.limit, part, has_predecessor, now);
        account
    }
}

impl Account {
    fn new(saved: f64, started: Instant) -> Self {
        Self { counters: VecDeque::new(), saved, reserved: 0.0, earned_until: started }
    }

    /// Earns the node's part of the additional retries until `now`, and drops what is too old.
    /// `has_predecessor` is whether retries of the process before may be in the window.
    fn earn(&mut self, limit: &Limit, part: Part, has_predecessor: bool, now: Instant) {
        let is_old = |it: &Counter| limit.window < now.saturating_duration_since(it.started_at);
        while self.counters.front().is_some_and(is_old) {
            self.counters.pop_front();
        }
        let slack = Additional::new(part, limit).earned;
        if part != Part::None {
            let elapsed = now.saturating_duration_since(self.earned_until);
            self.saved += slack * elapsed.as_secs_f64() / limit.window.as_secs_f64();
            self.earned_until = self.earned_until.max(now);
        }
        let recent = self.requests_since(now.checked_sub(limit.window.mul_f64(SAVED_SHARE)));
        let recently_earned = USABLE_SHARE * limit.ratio * recent + slack * SAVED_SHARE;
        self.bound_savings(recently_earned, has_predecessor);
    }

    /// Bounds what is saved to one retry and `recently_earned` ones. A process that replaces another one
    /// reserves one more, but not if it has earned that much recently.
    fn bound_savings(&mut self, recently_earned: f64, has_predecessor: bool) {
        self.reserved = if has_predecessor { (1.0 - recently_earned).max(0.0) } else { 0.0 };
        self.saved = self.saved.min(1.0 + recently_earned + self.reserved);
    }

    /// The retries that may be made now.
    fn available(&self) -> f64 {
        self.saved - self.reserved
    }

    /// The requests in the window, of those counters that began at `since` or later.
    fn requests_since(&self, since: Option<Instant>) -> f64 {
        let counters = self.counters.iter();
        counters.filter(|it| since <= Some(it.started_at)).map(|it| it.requests).sum()
    }

    fn current_counter(&mut self, now: Instant) -> &mut Counter {
        let is_current = |it: &Counter| now.saturating_duration_since(it.started_at) < COUNTER_SPAN;
        if !self.counters.back().is_some_and(is_current) {
            self.counters.push_back(Counter {
                started_at: now,
                requests: 0.0,
                retries: 0.0,
                burst: 0.0,
            });
        }
        self.counters.back_mut().expect("a current counter was pushed")
    }
}
