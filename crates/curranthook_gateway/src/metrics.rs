//! Counters and histograms, served as text.

use std::{sync::atomic::AtomicU64, time::Duration};

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

/// The label of a counter that is split by reason, result or state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Label {
    /// The reason, result or state.
    pub name: &'static str,
}

/// The labels of calls to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreLabels {
    /// Which rows were read or written.
    pub table: &'static str,
    /// How it ended.
    pub result: &'static str,
}

/// What a process counts.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    ended: Family<Label, Counter>,
    refusals: Family<Label, Counter>,
    retries: Family<Label, Counter>,
    store: Family<StoreLabels, Counter>,
    questions: Family<Label, Counter>,
    first_byte: Histogram,
    estimate_error: Histogram,
    whole: Histogram,
    /// The version of the configuration in force.
    pub configuration: Gauge<u64, AtomicU64>,
    /// The endpoints in the list.
    pub endpoints: Gauge,
    /// Requests under way.
    pub in_flight: Gauge,
    /// Log lines that were dropped and not yet reported.
    pub lines_dropped: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        // From 1 ms to 16 s in steps of two.
        let buckets = || Histogram::new(exponential_buckets(0.001, 2.0, 15));
        let it = Self {
            registry: Mutex::new(Registry::with_prefix("curranthook")),
            ended: Family::default(),
            refusals: Family::default(),
            retries: Family::default(),
            store: Family::default(),
            questions: Family::default(),
            first_byte: buckets(),
            // From 2 % to 10 times in steps of two.
            estimate_error: Histogram::new(exponential_buckets(0.02, 2.0, 10)),
            whole: buckets(),
            configuration: Gauge::default(),
            endpoints: Gauge::default(),
            in_flight: Gauge::default(),
            lines_dropped: Gauge::default(),
        };
        it.register();
        it
    }
}

impl Metrics {
    fn register(&self) {
        let mut all = self.registry.lock();
        all.register("requests", "Requests that ended, by outcome", self.ended.clone());
        all.register("refusals", "Requests ended by the node, by reason", self.refusals.clone());
        all.register("retries", "Further attempts, by reason", self.retries.clone());
        all.register("store_calls", "Calls to the store", self.store.clone());
        let help = "Questions about work waiting at endpoints, by result";
        all.register("questions", help, self.questions.clone());
        let unit = Unit::Seconds;
        let help = "Time to the first byte of an answer";
        all.register_with_unit("first_byte", help, unit.clone(), self.first_byte.clone());
        all.register_with_unit("answer", "Time to the end of an answer", unit, self.whole.clone());
        let help = "How far off first events were, as a part of what was expected";
        all.register("first_event_estimate_error", help, self.estimate_error.clone());
        let help = "Version of the configuration in force";
        all.register("configuration_version", help, self.configuration.clone());
        all.register("endpoints", "Endpoints in the list", self.endpoints.clone());
        all.register("in_flight", "Requests under way", self.in_flight.clone());
        let help = "Log lines that were dropped and not yet reported";
        all.register("log_lines_dropped", help, self.lines_dropped.clone());
    }

    /// Counts a request that ended.
    pub fn record_ended(&self, outcome: &'static str, took: Duration) {
        self.ended.get_or_create(&Label { name: outcome }).inc();
        self.whole.observe(took.as_secs_f64());
    }

    /// Counts a request that the node ended by itself.
    pub fn record_refusal(&self, reason: refusal::Reason) {
        self.refusals.get_or_create(&Label { name: reason.name() }).inc();
    }

    /// Counts a further attempt.
    pub fn record_retry(&self, reason: &'static str) {
        self.retries.get_or_create(&Label { name: reason }).inc();
    }

    /// Notes when the first byte of an answer came.
    pub fn record_first_byte(&self, took: Duration) {
        self.first_byte.observe(took.as_secs_f64());
    }

    /// Notes how far off the time was in which a first event was expected.
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
        };
        self.store.get_or_create(&StoreLabels { table, result }).inc();
    }

    /// Counts a question about the work that waits at endpoints: answered in time, or not.
    pub fn record_query(&self, result: &'static str) {
        self.questions.get_or_create(&Label { name: result }).inc();
    }

    /// All of them as text.
    ///
    /// ```
    /// let text = curranthook_gateway::metrics::Metrics::default().text();
    /// assert!(text.contains("curranthook_in_flight 0"));
    /// ```
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _never = encode(&mut text, &self.registry.lock());
        text
    }
}
