//! The figures of one run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{evidence::Evidence, plan, sample::Sample, scenario::Scenario, timing::Summary};

mod callers;
mod cost;
mod exposure;

/// What a report is made from.
#[derive(Debug)]
pub struct Run<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// The policy of the routers.
    pub policy: &'a str,
    /// The seed of arrivals and prompts.
    pub seed: u64,
    /// The requests.
    pub plan: &'a [plan::Request],
    /// What callers saw.
    pub samples: &'a [Sample],
    /// What endpoints and platform recorded.
    pub evidence: &'a Evidence,
}

/// The figures of one run. Requests of the warm-up are left out, but for exposure.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The scenario's name.
    pub scenario: String,
    /// The policy of the routers.
    pub policy: String,
    /// The seed of arrivals and prompts.
    pub seed: u64,
    /// The time measured, in seconds.
    pub seconds: f64,
    /// How requests ended.
    pub ends: Ends,
    /// Latencies from the intended time.
    pub latency: Latency,
    /// Refusals by reason.
    pub refusals: BTreeMap<String, Refused>,
    /// Ends with neither answer nor refusal, by cause.
    pub failures: BTreeMap<String, u64>,
    /// Quality of the answers by kind of work.
    pub quality: BTreeMap<String, Quality>,
    /// What the answers cost.
    pub cost: Cost,
    /// What the engines did.
    pub engines: Attempts,
    /// Answers by versions that had turned bad, were being tried, or were withdrawn.
    pub exposure: Vec<Exposure>,
    /// The phases of the arrivals.
    pub phases: Vec<Phase>,
    /// The client accounts.
    pub accounts: BTreeMap<String, Account>,
    /// Sessions that got answers of more than one version.
    pub split_sessions: u64,
    /// The routers' own counters, such as `retry.connect`, warm-up included.
    #[serde(default)]
    pub counters: BTreeMap<String, u64>,
    /// Processes that ended by themselves.
    pub died: Vec<String>,
}

/// How requests ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Ends {
    /// All requests.
    pub requests: u64,
    /// Whole answers.
    pub answered: u64,
    /// Whole answers within the deadline.
    pub in_time: u64,
    /// Typed refusals.
    pub refused: u64,
    /// Neither.
    pub failed: u64,
    /// Whole answers within the deadline, a second.
    pub goodput: f64,
}

/// Latencies from the intended time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// To the first token of streams.
    pub first_token: Summary,
    /// To the end of answers.
    pub whole: Summary,
    /// Between the tokens of streams.
    pub gap: Summary,
    /// To refusals.
    pub refusal: Summary,
}

/// Refusals of one reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    /// Those that say that the request didn't run.
    pub not_run: u64,
    /// Time to the refusal.
    pub latency: Summary,
}

/// Quality of the answers of one kind of work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Quality {
    /// The share wanted.
    pub target: f64,
    /// Answers with a marker.
    pub marked: u64,
    /// Those marked good.
    pub good: u64,
    /// The share of good ones.
    pub share: f64,
}

/// What the answers cost, in millionths of the site's currency.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// By the bill lines.
    pub billed: u64,
    /// By the engines' records, all attempts.
    pub engines: u64,
    /// For one who knows beforehand which version will do; answered requests only.
    pub oracle: u64,
    /// Requests with a bill line.
    pub n_billed: u64,
    /// Further lines of a request that has one; a double bill if compaction didn't drop it.
    pub n_repeated_lines: u64,
    /// Answered requests without a bill line.
    pub n_unbilled: u64,
    /// The engines' cost for each answered request.
    pub per_answer: f64,
    /// The bills' cost for each billed request.
    pub per_bill: f64,
    /// The engines' cost against the oracle's.
    pub against_oracle: f64,
    /// Answers whose marker isn't what the difficulty function says. Unless it's nearly none,
    /// the oracle's cost is worth nothing.
    pub n_mark_mismatches: u64,
}

/// What the engines did.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Attempts {
    /// Attempts recorded.
    pub attempts: u64,
    /// Requests that were attempted.
    pub requests: u64,
    /// Attempts beyond the first of each request: retries and escalations.
    pub again: u64,
    /// Attempts by version.
    pub by_version: BTreeMap<String, u64>,
    /// Attempts by outcome.
    pub by_outcome: BTreeMap<String, u64>,
    /// Engines whose record is lost, so that the counts above are too low.
    pub unread: Vec<String>,
}

/// Answers by one version after an event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Exposure {
    /// The event.
    pub event: String,
    /// The version.
    pub version: String,
    /// Its answers to requests sent after the event.
    pub answers: u64,
    /// Those marked bad.
    pub bad: u64,
    /// Attempts that engines began after the event, seen by callers or not.
    pub attempts: u64,
    /// Seconds from the event to the last such attempt.
    pub last_attempt_seconds: f64,
    /// Seconds from the event to the end of the arrivals.
    pub remaining_seconds: f64,
}

/// One phase of the arrivals.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Phase {
    /// Requests a second, as intended.
    pub rate: f64,
    /// How its requests ended.
    pub ends: Ends,
    /// Time to answers.
    pub whole: Summary,
    /// Time to refusals.
    pub refusal: Summary,
}

/// One client account.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// How its requests ended.
    pub ends: Ends,
    /// The share of good answers.
    pub good_share: f64,
    /// Time to answers.
    pub whole: Summary,
    /// By the bill lines.
    pub billed: u64,
}

impl Report {
    /// Computes the figures.
    pub fn new(run: &Run<'_>) -> Self {
        let counted = counted(run);
        let seconds = run.scenario.duration().saturating_sub(run.scenario.warmup);
        let seconds = seconds.as_secs_f64();
        Self {
            scenario: run.scenario.name.clone(),
            policy: run.policy.to_owned(),
            seed: run.seed,
            seconds,
            ends: callers::ends(&counted, run, seconds),
            latency: callers::latency(&counted),
            refusals: callers::refusals(&counted),
            failures: callers::failures(&counted),
            quality: callers::quality(&counted, run),
            cost: cost::cost(&counted, run),
            engines: cost::attempts(run),
            exposure: exposure::exposure(run),
            phases: callers::phases(run),
            accounts: callers::accounts(&counted, run, seconds),
            split_sessions: callers::split_sessions(run),
            counters: run.evidence.counters.clone(),
            died: run.evidence.died.clone(),
        }
    }
}

/// The samples of requests after the warm-up.
fn counted<'a>(run: &Run<'a>) -> Vec<&'a Sample> {
    let warmup = run.scenario.warmup;
    run.samples.iter().filter(|it| warmup <= run.plan[it.index].at).collect()
}

/// A quotient, zero where there's nothing to divide by.
///
/// ```
/// use curranthook_load::report::ratio;
/// assert_eq!((ratio(1.0, 4.0), ratio(0.0, 0.0)), (0.25, 0.0));
/// ```
pub fn ratio(part: f64, whole: f64) -> f64 {
    if whole == 0.0 { 0.0 } else { part / whole }
}
