//! The log of a node's decisions, one line of JSON per event.
//!
//! [`Log`] writes them without making requests wait.

mod log;

use std::net::SocketAddr;

use curranthook_policy::poison::Fingerprint;
use serde::Serialize;

use crate::{load::work::N_PRIORITIES, retry_budget::Standing, rollouts::Basis, steps::Route};

pub use self::log::Log;

/// The answers of both versions of a rollout on a route.
#[derive(Debug, Serialize)]
pub struct RouteAnswers {
    /// The route's name; empty for the sum of routes that are not told apart.
    pub route: String,
    /// The share of requests that fail at any version.
    pub usual_share: f64,
    /// The answers.
    #[serde(flatten)]
    pub answers: Route,
}

/// A decision that affected a request, or a change of the node's state.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
#[expect(missing_docs, reason = "the fields are listed in docs/OPERATIONS.md")]
pub enum Event<'a> {
    /// The process started.
    Started {
        version: &'a str,
        callers: SocketAddr,
        readiness: SocketAddr,
        peers: Option<SocketAddr>,
        metrics: Option<SocketAddr>,
    },
    /// The process received a signal to stop.
    Stopping { in_flight: usize },
    /// The process is about to exit.
    Stopped { in_flight: usize },
    /// The settings were reloaded.
    Reloaded { changed: &'a str },
    /// A new configuration is in force.
    Configuration { version: u64, before: u64, routes: usize, era: u16, rev: u64, from: &'a str },
    /// A configuration of a lower version than the `known` one was received, and is not in force.
    ConfigurationIgnored { version: u64, known: u64, era: u16, rev: u64, from: &'a str },
    /// The fleet's rows were read for the first time; `start` is which processes may have run before.
    FleetRead { start: &'a str, nodes: usize },
    /// A node was added to those that divide the fleet's limits, or removed from them.
    Member { node: &'a str, state: &'a str, nodes: usize },
    /// A row of the store could not be decoded.
    RowRejected { table: &'a str, why: &'a str },
    /// The store, or a parent that relays its rows, failed or is available again.
    Dependency { name: &'a str, state: &'a str, why: &'a str },
    /// All rows of a table were read; `rows` of them were new to this node.
    TableRead { table: &'a str, rows: usize, era: u16, rev: u64, from: &'a str },
    /// The store or a parent was asked for changes of a table that a call which waits for them may
    /// have missed.
    SuspectCall { table: &'a str, changes: &'a str, from: &'a str },
    /// The store came back from a copy, with a lower revision than before or not; `withheld` rows
    /// are in an older state than this node knows.
    Era { table: &'a str, era: u16, rev: u64, known_rev: u64, withheld: usize },
    /// Other nodes were asked for rows that the store has lost, as this one first read a table in a
    /// later era than before; `rows` of theirs were new to it. None is known if nobody `answered`.
    LostRows {
        table: &'a str,
        era: u16,
        asked: usize,
        answered: usize,
        rows: usize,
        /// The time since the first of them read the table in that era.
        age_ms: Option<u128>,
    },
    /// An endpoint's entry was added, changed or removed.
    Endpoint {
        endpoint: &'a str,
        service: &'a str,
        state: &'a str,
        version: &'a str,
        /// The endpoint's start time in milliseconds since the Unix epoch; identifies the
        /// incarnation.
        born: Option<u64>,
        rev: u64,
    },
    /// An endpoint set, changed or withdrew a rate limit, in requests per second.
    RateLimit { endpoint: &'a str, rate: Option<f64>, from: &'a str },
    /// An endpoint reports that it is leaving.
    Leaving { endpoint: &'a str, from: &'a str },
    /// An endpoint's answer turned out to be longer than it stated.
    Surplus { endpoint: &'a str },
    /// An endpoint refused a request and asked this node to send it none for some time.
    Paused { endpoint: &'a str, length_ms: u64 },
    /// The endpoints of a service state how many rejections per second each of them can bear.
    Brittle { service: &'a str, max_rejections: f64, from: &'a str },
    /// A brittle endpoint rejected a request.
    BrittleRejected {
        endpoint: &'a str,
        room: Option<&'a str>,
        running: Option<u32>,
        waiting: Option<u32>,
        /// The requests that all nodes were known to have there, and those of this node, the
        /// rejected one included.
        known_requests: u32,
        own_in_flight: u32,
        /// If the endpoint stated free slots: the length of the prompt.
        prompt_tokens: Option<u64>,
        nodes: usize,
    },
    /// The evacuation of a failure domain was ordered or ended.
    Evacuation { domain: &'a str, state: &'a str, rev: u64, from: &'a str },
    /// A request was refused.
    Refused {
        request: &'a str,
        path: &'a str,
        status: u16,
        reason: &'a str,
        retry_after_ms: Option<u64>,
        configuration: Option<u64>,
        in_flight: usize,
    },
    /// A request was refused, as no endpoint can be expected to serve it.
    Overloaded {
        request: &'a str,
        route: &'a str,
        endpoint: &'a str,
        model: &'a str,
        level: u8,
        cause: &'a str,
        first_ms: u64,
        last_ms: u64,
        queue_ms: u64,
        /// The time since the model's last first event at this node.
        age_ms: Option<u64>,
        patience_ms: u64,
        left_ms: u64,
        used_ms: u64,
        /// Whether this node refused the request before.
        returned: bool,
        retry_after_ms: Option<u64>,
        configuration: u64,
    },
    /// A request was refused, as it fits into the memory of no engine.
    MemoryExceeded {
        request: &'a str,
        route: &'a str,
        model: &'a str,
        prompt_tokens: u64,
        output_tokens: u64,
        memory_tokens: u64,
        configuration: u64,
    },
    /// A request was sent to an endpoint.
    Sent {
        request: &'a str,
        route: &'a str,
        endpoint: &'a str,
        version: &'a str,
        #[serde(flatten)]
        basis: Option<&'a Basis>,
        model: &'a str,
        attempt: u32,
        busy: u32,
        /// The requests that other nodes have at the endpoint, and the age of the load that it was
        /// last seen to report, if known.
        others_in_flight: Option<u32>,
        load_age_ms: Option<u64>,
        /// Why a brittle endpoint is expected to accept the request.
        #[serde(skip_serializing_if = "Option::is_none")]
        room: Option<&'a str>,
        expected_ms: Option<u64>,
        #[serde(flatten)]
        contention: Option<Contention>,
        /// The slowdown expected of the endpoint and the age of its newest figure, if it reported
        /// one.
        #[serde(skip_serializing_if = "Option::is_none")]
        slowdown: Option<f64>,
        #[serde(skip_serializing_if = "Option::is_none")]
        slowdown_age_ms: Option<u64>,
        resumed_after: Option<u64>,
        left_ms: u64,
        configuration: u64,
    },
    /// An endpoint sent a header that is not recognized.
    HeaderUnknown { endpoint: &'a str, name: &'a str, value: &'a str },
    /// An attempt failed, or the endpoint answered with a server error.
    AttemptFailed {
        request: &'a str,
        endpoint: &'a str,
        why: &'a str,
        execution: &'a str,
        took_ms: u64,
        /// The running and the waiting requests that the endpoint reported in the answer, if any.
        #[serde(skip_serializing_if = "Option::is_none")]
        running: Option<u32>,
        #[serde(skip_serializing_if = "Option::is_none")]
        waiting: Option<u32>,
    },
    /// A response stated that its request was not for the endpoint that sent it.
    Misdirected {
        request: &'a str,
        endpoint: &'a str,
        /// The endpoint that sent the response, if it names itself.
        instance: Option<&'a str>,
        model: &'a str,
    },
    /// An endpoint gets no more requests as another one seems to have its address, or gets some again.
    Suspension {
        endpoint: &'a str,
        state: &'a str,
        cause: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        length_ms: Option<u64>,
    },
    /// A small model's answer was discarded in favour of a larger model's.
    Escalated {
        request: &'a str,
        model: &'a str,
        confidence: u8,
        first_ms: u64,
        last_ms: u64,
        price: f64,
    },
    /// A request is sent to an endpoint once more, from the retry budget.
    Retried {
        request: &'a str,
        service: &'a str,
        why: &'a str,
        #[serde(flatten, skip_serializing_if = "Option::is_none")]
        budget: Option<&'a Standing>,
        age_ms: u64,
    },
    /// A request was not retried.
    NotRepeated {
        request: &'a str,
        service: &'a str,
        why: &'a str,
        #[serde(flatten, skip_serializing_if = "Option::is_none")]
        budget: Option<&'a Standing>,
        age_ms: u64,
    },
    /// A request ended.
    Ended {
        request: &'a str,
        route: &'a str,
        status: u16,
        outcome: &'a str,
        endpoint: &'a str,
        attempts: u32,
        first_byte_ms: u64,
        /// The number of stream events forwarded to the caller, and the time of the last one.
        events: u32,
        last_event_ms: u64,
        took_ms: u64,
    },
    /// A request was forwarded to another node, as this one is cut off from the service.
    Forwarded {
        request: &'a str,
        node_asked: &'a str,
        attempt: u32,
        result: &'a str,
        left_ms: u64,
        took_ms: u64,
    },
    /// Another node was asked to lend a permit for a request.
    PermitAsked {
        request: &'a str,
        service: &'a str,
        holder: SocketAddr,
        /// The endpoint that a request may be sent to; none if no permit was lent.
        #[serde(skip_serializing_if = "Option::is_none")]
        endpoint: Option<&'a str>,
        result: &'a str,
        took_ms: u64,
    },
    /// A request that claims to be forwarded did not come from a node of the fleet.
    ForwardRejected { path: &'a str },
    /// This node was cut off from the endpoints of a service, or reaches them again.
    Reach { service: &'a str, state: &'a str },
    /// A rollout reached a new phase.
    RollOut {
        service: &'a str,
        target: &'a str,
        phase: &'a str,
        new_answers: u64,
        new_bad: u64,
        old_answers: u64,
        old_bad: u64,
        /// Ratios of the new version's time to the first event, and between events, to the old
        /// version's.
        slower_first: f64,
        slower_rest: f64,
        /// The logarithm of the likelihood ratio of a good version to a bad one, by the failures.
        log_ratio: f64,
        /// The answers by route.
        routes: &'a [RouteAnswers],
        outcome: &'a str,
    },
    /// A connection was lost under a request, which is blamed if the endpoint crashed.
    PoisonCharged {
        request: &'a str,
        #[serde(serialize_with = "hex_bytes")]
        fingerprint: Fingerprint,
        endpoint: &'a str,
        /// The time since the response began, if it did.
        begun_ms: Option<u64>,
        outcome: &'a str,
    },
    /// The requests that this node blames for crashes were written to the store, or could not be.
    PoisonWritten { requests: usize, state: &'a str },
    /// This node learned from elsewhere that a request crashes endpoints, or that it does not.
    PoisonLearned {
        #[serde(serialize_with = "hex_bytes")]
        fingerprint: Fingerprint,
        state: &'a str,
        /// The time since the first crash.
        age_ms: u64,
        from: &'a str,
    },
    /// Endpoints were found to crash under a part of prompts, by this node or another.
    PartVerdict {
        #[serde(serialize_with = "hex")]
        part: u64,
        n_crashes: usize,
        /// The number of parts that the crashes do not tell apart.
        together: usize,
        first_crash_ms: u64,
        from: &'a str,
    },
    /// An answer showed that endpoints do not crash under a part.
    PartCleared {
        #[serde(serialize_with = "hex")]
        part: u64,
    },
    /// A request with a part under which endpoints crash was refused, or let through as a test.
    PartSuspected {
        request: &'a str,
        #[serde(serialize_with = "hex")]
        part: u64,
        state: &'a str,
    },
    /// A snapshot of latency estimates was written, taken or rejected.
    Snapshot {
        service: &'a str,
        state: &'a str,
        why: &'a str,
        rev: Option<u64>,
        age_ms: Option<u64>,
        models: usize,
    },
    /// Log lines were dropped since the last line that was written.
    LinesDropped { count: u64 },
}

fn hex<S: serde::Serializer>(hash: &u64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&format_args!("{hash:016x}"))
}

fn hex_bytes<S: serde::Serializer>(hash: &Fingerprint, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&format_args!("{:032x}", u128::from_be_bytes(*hash)))
}

/// What is known of the requests that compete for an endpoint with the one that is sent.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Contention {
    /// The level of the request's rank; 0 is the most urgent.
    pub level: u8,
    /// How long the waiting work is expected to delay the request.
    pub wait_ms: u64,
    /// The waiting work by the engine's priority.
    pub waiting_ms: [u64; N_PRIORITIES],
    /// The age of the oldest report of another node that the waiting work is based on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub waiting_age_ms: Option<u64>,
}
