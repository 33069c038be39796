//! Counters and histograms, exported in text format.

use std::{sync::atomic::AtomicU64, time::Duration};

use curranthook_policy::slowdown::Factor;
use parking_lot::Mutex;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};

use crate::{refusal, store};

/// The label of a counter that is split by reason, result or outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Label {
    /// The reason, result or outcome.
    pub name: &'static str,
}

/// The label of a counter that is split by the level of requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LevelLabel {
    /// The level of the requests' rank; 0 is the most urgent.
    pub level: u32,
}

/// The labels of what a node counts for the retry budget.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BudgetLabels {
    /// The service.
    pub service: String,
    /// What is counted.
    pub name: &'static str,
}

/// The labels of calls to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreLabels {
    /// The table that was read or written.
    pub table: &'static str,
    /// The result of the call.
    pub result: &'static str,
}

/// The metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    requests: Family<Label, Counter>,
    levels: Family<LevelLabel, Counter>,
    refusals: Family<Label, Counter>,
    retries: Family<Label, Counter>,
    retry_budget: Family<BudgetLabels, Counter>,
    suspect_calls: Family<Label, Counter>,
    last_resorts: Family<Label, Counter>,
    brittle_attempts: Family<Label, Counter>,
    poison: Family<Label, Counter>,
    reach: Family<Label, Counter>,
    forwarded: Family<Label, Counter>,
    permits: Family<Label, Counter>,
    store_calls: Family<StoreLabels, Counter>,
    sections: Family<Label, Counter>,
    lost_rows: Family<Label, Counter>,
    queries: Family<Label, Counter>,
    plain_queries: Family<Label, Counter>,
    slowdown_figures: Family<Label, Counter>,
    slowdown: Histogram,
    snapshots: Family<Label, Counter>,
    admissions: Family<Label, Counter>,
    first_byte_time: Histogram,
    estimate_error: Histogram,
    answer_time: Histogram,
    /// The version of the configuration in force.
    pub configuration: Gauge<u64, AtomicU64>,
    /// The number of nodes that divide the fleet's limits.
    pub nodes: Gauge,
    /// The number of known endpoints.
    pub endpoints: Gauge,
    /// The number of requests in flight.
    pub in_flight: Gauge,
    /// The number of log lines that were dropped and not yet reported.
    pub lines_dropped: Gauge,
    /// The number of callers' connections that were closed unread.
    pub connections_closed: Gauge,
    /// The number of callers' open connections.
    pub connections: Gauge,
    /// The memory that bodies of requests may still take, in bytes.
    pub request_memory: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        // From 1 ms to 16 s, each bucket twice as large as the one before.
        let buckets = || Histogram::new(exponential_buckets(0.001, 2.0, 15));
        let it = Self {
            registry: Mutex::new(Registry::with_prefix("curranthook")),
            requests: Family::default(),
            levels: Family::default(),
            refusals: Family::default(),
            retries: Family::default(),
            retry_budget: Family::default(),
            suspect_calls: Family::default(),
            last_resorts: Family::default(),
            brittle_attempts: Family::default(),
            poison: Family::default(),
            reach: Family::default(),
            forwarded: Family::default(),
            permits: Family::default(),
            store_calls: Family::default(),
            sections: Family::default(),
            lost_rows: Family::default(),
            queries: Family::default(),
            plain_queries: Family::default(),
            slowdown_figures: Family::default(),
            // Two buckets for each doubling.
            slowdown: Histogram::new(exponential_buckets(0.25, std::f64::consts::SQRT_2, 12)),
            snapshots: Family::default(),
            admissions: Family::default(),
            first_byte_time: buckets(),
            // From 2 % to 10 times the estimate, each bucket twice as large as the one before.
            estimate_error: Histogram::new(exponential_buckets(0.02, 2.0, 10)),
            answer_time: buckets(),
            configuration: Gauge::default(),
            nodes: Gauge::default(),
            endpoints: Gauge::default(),
            in_flight: Gauge::default(),
            lines_dropped: Gauge::default(),
            connections_closed: Gauge::default(),
            connections: Gauge::default(),
            request_memory: Gauge::default(),
        };
        it.register();
        it
    }
}

impl Metrics {
    fn register(&self) {
        let mut registry = self.registry.lock();
        registry.register("requests", "Requests that ended, by outcome", self.requests.clone());
        let help = "Requests by the level of their rank";
        registry.register("requests_by_level", help, self.levels.clone());
        registry.register(
            "refusals",
            "Requests ended by the node, by reason",
            self.refusals.clone(),
        );
        registry.register(
            "suspect_calls",
            "Calls for changes that seemed to be missed, by what they returned",
            self.suspect_calls.clone(),
        );
        registry.register("retries", "Further attempts, by reason", self.retries.clone());
        let help = "Requests and retries that count for the retry budget of a service";
        registry.register("retry_budget", help, self.retry_budget.clone());
        let help = "Attempts at a version that the rule did not allow, by rule";
        registry.register("last_resorts", help, self.last_resorts.clone());
        let help =
            "Attempts at brittle endpoints, by why they were expected to succeed, and rejected";
        registry.register("brittle_attempts", help, self.brittle_attempts.clone());
        let help = "Requests blamed for crashes of endpoints, by what was found out";
        registry.register("poison", help, self.poison.clone());
        let help = "Changes in whether the node reaches the endpoints of a service, by state";
        registry.register("reach", help, self.reach.clone());
        let help = "Requests forwarded to other nodes, by result, and received from them";
        registry.register("forwarded", help, self.forwarded.clone());
        let help = "Permits that other nodes were asked for, by result";
        registry.register("permits_asked", help, self.permits.clone());
        registry.register("store_calls", "Calls to the store", self.store_calls.clone());
        let help = "Replies with rows to other nodes, by whether they had to be encoded";
        registry.register("row_replies", help, self.sections.clone());
        let help = "Queries for rows that the store has lost, by whether a node answered";
        registry.register("lost_row_queries", help, self.lost_rows.clone());
        let help = "Questions about work waiting at endpoints, by result";
        registry.register("questions", help, self.queries.clone());
        let help = "Questions that include the requests at endpoints, by result";
        registry.register("plain_questions", help, self.plain_queries.clone());
        let help = "Figures of endpoints' slowdown that were received, by source";
        registry.register("slowdown_figures", help, self.slowdown_figures.clone());
        let help = "Slowdown expected of the endpoints that requests were sent to, 1 is usual";
        registry.register("slowdown", help, self.slowdown.clone());
        let help = "Snapshots of latency estimates that were written or read, by result";
        registry.register("snapshots", help, self.snapshots.clone());
        let help = "Decisions on requests before their first attempt, by reason";
        registry.register("admissions", help, self.admissions.clone());
        let unit = Unit::Seconds;
        let help = "Time to the first byte of an answer";
        registry.register_with_unit("first_byte", help, unit.clone(), self.first_byte_time.clone());
        registry.register_with_unit(
            "answer",
            "Time to the end of an answer",
            unit,
            self.answer_time.clone(),
        );
        let help = "How far off first events were, as a part of what was expected";
        registry.register("first_event_estimate_error", help, self.estimate_error.clone());
        let help = "Version of the configuration in force";
        registry.register("configuration_version", help, self.configuration.clone());
        let help = "Nodes that divide the fleet's limits";
        registry.register("nodes", help, self.nodes.clone());
        registry.register("endpoints", "Endpoints in the list", self.endpoints.clone());
        registry.register("in_flight", "Requests under way", self.in_flight.clone());
        let help = "Log lines that were dropped and not yet reported";
        registry.register("log_lines_dropped", help, self.lines_dropped.clone());
        let help = "Callers' connections closed unread, as others waited too long to be read";
        registry.register("connections_closed_unread", help, self.connections_closed.clone());
        let help = "Open connections of callers";
        registry.register("connections", help, self.connections.clone());
        let help = "Memory that bodies of requests may still take";
        let gauge = self.request_memory.clone();
        registry.register_with_unit("request_memory_free", help, Unit::Bytes, gauge);
    }

    /// Counts a request that ended, and its duration.
    pub fn record_ended(&self, outcome: &'static str, took: Duration) {
        self.requests.get_or_create(&Label { name: outcome }).inc();
        self.answer_time.observe(took.as_secs_f64());
    }

    /// Counts an admitted request by the level of its rank.
    pub fn record_level(&self, level: u8) {
        self.levels.get_or_create(&LevelLabel { level: level.into() }).inc();
    }

    /// Counts a request that the node refused.
    pub fn record_refusal(&self, reason: refusal::Reason) {
        self.refusals.get_or_create(&Label { name: reason.name() }).inc();
    }

    /// Counts a call for changes of a table that seemed to be missed.
    pub fn record_suspect_call(&self, changes: &'static str) {
        self.suspect_calls.get_or_create(&Label { name: changes }).inc();
    }

    /// Counts a retry.
    pub fn record_retry(&self, reason: &'static str) {
        self.retries.get_or_create(&Label { name: reason }).inc();
    }

    /// Counts a request for a service, a retry from its budget, or one for which none was left.
    pub fn record_retry_budget(&self, service: &str, name: &'static str) {
        let labels = BudgetLabels { service: service.to_owned(), name };
        self.retry_budget.get_or_create(&labels).inc();
    }

    /// Counts a request that was forwarded to another node, or received from one.
    pub fn record_forwarded(&self, result: &'static str) {
        self.forwarded.get_or_create(&Label { name: result }).inc();
    }

    /// Counts a permit that another node was asked for.
    pub fn record_permit(&self, result: &'static str) {
        self.permits.get_or_create(&Label { name: result }).inc();
    }

    /// Counts an attempt at a brittle endpoint, or its rejection.
    pub fn record_brittle_attempt(&self, name: &'static str) {
        self.brittle_attempts.get_or_create(&Label { name }).inc();
    }

    /// Counts what was found out about a request that may crash endpoints.
    pub fn record_poison(&self, name: &'static str) {
        self.poison.get_or_create(&Label { name }).inc();
    }

    /// Counts a change in whether the node reaches the endpoints of a service.
    pub fn record_reach(&self, state: &'static str) {
        self.reach.get_or_create(&Label { name: state }).inc();
    }

    /// Counts an attempt at a version that the rollout's rule does not allow.
    pub fn record_last_resort(&self, rule: &'static str) {
        self.last_resorts.get_or_create(&Label { name: rule }).inc();
    }

    /// Records the time to the first byte of an answer.
    pub fn record_first_byte(&self, took: Duration) {
        self.first_byte_time.observe(took.as_secs_f64());
    }

    /// Records the relative error of an estimate of the time to the first event.
    pub fn record_estimate(&self, expected: Duration, took: Duration) {
        let error = took.abs_diff(expected).as_secs_f64();
        self.estimate_error.observe(error / expected.as_secs_f64().max(f64::MIN_POSITIVE));
    }

    /// Counts a call to the store.
    pub fn record_store_call<T>(&self, table: store::Table, result: &Result<T, store::Error>) {
        let table = match table {
            store::Table::Operator => "operator",
            store::Table::Endpoints => "endpoints",
            store::Table::Fleet => "fleet",
        };
        let result = match result {
            Ok(_) => "ok",
            Err(store::Error::Down(_)) => "down",
            Err(store::Error::Lost(_)) => "lost",
            Err(store::Error::Garbled(_)) => "garbled",
            Err(store::Error::Stale(_)) => "stale",
            Err(store::Error::Compacted) => "compacted",
            Err(store::Error::EarlierEra { .. }) => "earlier_era",
        };
        self.store_calls.get_or_create(&StoreLabels { table, result }).inc();
    }

    /// Counts a reply with rows to another node.
    pub fn record_section(&self, result: &'static str) {
        self.sections.get_or_create(&Label { name: result }).inc();
    }

    /// Counts a query to other nodes for rows that the store has lost.
    pub fn record_lost_rows(&self, result: &'static str) {
        self.lost_rows.get_or_create(&Label { name: result }).inc();
    }

    /// Counts a query to a load owner by result. `in_flight` is whether it asks for the requests in
    /// flight, too.
    pub fn record_asked(&self, in_flight: bool, result: &'static str) {
        let queries = if in_flight { &self.plain_queries } else { &self.queries };
        queries.get_or_create(&Label { name: result }).inc();
    }

    /// Counts figures of endpoints' slowdown that were received.
    pub fn record_slowdown_figures(&self, source: &'static str, n: u64) {
        self.slowdown_figures.get_or_create(&Label { name: source }).inc_by(n);
    }

    /// Records the slowdown expected of an endpoint that a request is sent to.
    pub fn record_slowdown(&self, expected: Factor) {
        self.slowdown.observe(expected.value());
    }

    /// Counts a snapshot of latency estimates that was written or read.
    pub fn record_snapshot(&self, result: &'static str) {
        self.snapshots.get_or_create(&Label { name: result }).inc();
    }

    /// Counts the decision to admit or to refuse a request before its first attempt.
    pub fn record_admission(&self, reason: &'static str) {
        self.admissions.get_or_create(&Label { name: reason }).inc();
    }

    /// All metrics in text format.
    ///
    /// ```
    /// let text = curranthook_gateway::metrics::Metrics::default().text();
    /// assert!(text.contains("curranthook_in_flight 0"));
    /// ```
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _never = encode(&mut text, &self.registry.lock());
        text
    }
}
