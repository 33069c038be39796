//! Metrics of one run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{evidence::Evidence, plan, sample::Sample, scenario::Scenario, timing::Summary};

mod callers;
mod cost;
mod exposure;

/// Input of a report.
#[derive(Debug)]
pub struct Run<'a> {
    /// The scenario that was run.
    pub scenario: &'a Scenario,
    /// Routing policy of the routers.
    pub policy: &'a str,
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// All planned requests.
    pub plan: &'a [plan::Request],
    /// Results as seen by callers.
    pub samples: &'a [Sample],
    /// Records of endpoints and platform.
    pub evidence: &'a Evidence,
}

/// Metrics of one run. Requests of the warm-up are excluded, except from exposure.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Routing policy of the routers.
    pub policy: String,
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// Measured time in seconds, without the warm-up.
    pub seconds: f64,
    /// Numbers of requests by outcome.
    pub ends: Ends,
    /// Latencies from the scheduled time.
    pub latency: Latency,
    /// Refusals by reason.
    pub refusals: BTreeMap<String, RefusalMetrics>,
    /// Failures (neither answer nor refusal) by cause.
    pub failures: BTreeMap<String, u64>,
    /// Quality of answers by kind of work.
    pub quality: BTreeMap<String, Quality>,
    /// Cost of answers.
    pub cost: Cost,
    /// Attempts recorded by engines.
    pub engines: Attempts,
    /// Answers by versions that had degraded, were being rolled out, or were withdrawn.
    pub exposure: Vec<Exposure>,
    /// Metrics per arrival phase.
    pub phases: Vec<Phase>,
    /// Metrics per client account.
    pub accounts: BTreeMap<String, AccountMetrics>,
    /// Number of sessions answered by more than one version.
    pub split_sessions: u64,
    /// Sums of the routers' counters, such as `retry.connect`, including the warm-up.
    #[serde(default)]
    pub counters: BTreeMap<String, u64>,
    /// Processes that exited on their own.
    pub died: Vec<String>,
}

/// Numbers of requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Ends {
    /// All requests.
    pub requests: u64,
    /// Number of complete answers.
    pub answered: u64,
    /// Complete answers within the deadline.
    pub in_time: u64,
    /// Refusals with a typed reason.
    pub refused: u64,
    /// Neither an answer nor a typed refusal.
    pub failed: u64,
    /// Complete answers within the deadline, per second.
    pub goodput: f64,
}

/// Latencies from the scheduled time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Time to first token of streams.
    pub first_token: Summary,
    /// Time to the end of complete answers.
    pub whole: Summary,
    /// Time between tokens of streams.
    pub gap: Summary,
    /// Time to refusals.
    pub refusal: Summary,
}

/// Refusals with one reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct RefusalMetrics {
    /// Refusals stating that the request wasn't executed.
    pub not_run: u64,
    /// Time to refusal.
    pub latency: Summary,
}

/// Quality of answers for one kind of work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Quality {
    /// Target share of good answers.
    pub target: f64,
    /// Answers with a quality marker.
    pub marked: u64,
    /// Answers marked good.
    pub good: u64,
    /// Share of good answers among those marked.
    pub share: f64,
}

/// Cost of answers, in millionths of the site's currency.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Cost according to the billing lines.
    pub billed: u64,
    /// Cost according to the engines' records, including all attempts.
    pub engines: u64,
    /// Cost of an oracle that knows in advance which version suffices; answered requests only.
    pub oracle: u64,
    /// Requests with a billing line.
    pub n_billed: u64,
    /// Additional billing lines of a request; billed twice unless compaction removes them.
    pub n_repeated_lines: u64,
    /// Answered requests without a billing line.
    pub n_unbilled: u64,
    /// Engine cost per answered request.
    pub per_answer: f64,
    /// Billed cost per billed request.
    pub per_bill: f64,
    /// Ratio of engine cost to oracle cost.
    pub against_oracle: f64,
    /// Answers whose marker contradicts the difficulty function. Unless this is close to zero,
    /// the oracle cost is meaningless.
    pub n_mark_mismatches: u64,
}

/// Attempts recorded by engines.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Attempts {
    /// Attempts started.
    pub attempts: u64,
    /// Requests with at least one attempt.
    pub requests: u64,
    /// Attempts after the first of each request: retries and escalations.
    pub again: u64,
    /// Attempts by version.
    pub by_version: BTreeMap<String, u64>,
    /// Attempts by outcome.
    pub by_outcome: BTreeMap<String, u64>,
    /// Engines whose record is lost, so the counts above are too low.
    pub unread: Vec<String>,
}

/// Answers by one version after an event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Exposure {
    /// Label of the event.
    pub event: String,
    /// Version affected by the event.
    pub version: String,
    /// Its answers to requests scheduled at or after the event.
    pub answers: u64,
    /// Answers marked bad.
    pub bad: u64,
    /// Attempts that engines started after the event, whether or not callers saw the answer.
    pub attempts: u64,
    /// Seconds from the event to the last of these attempts.
    pub last_attempt_seconds: f64,
    /// Seconds from the event to the end of the arrivals.
    pub remaining_seconds: f64,
}

/// Metrics of one arrival phase.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Phase {
    /// Scheduled requests per second.
    pub rate: f64,
    /// Numbers of its requests by outcome.
    pub ends: Ends,
    /// Latency of complete answers.
    pub whole: Summary,
    /// Time to refusals.
    pub refusal: Summary,
}

/// Metrics of one client account.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountMetrics {
    /// Numbers of its requests by outcome.
    pub ends: Ends,
    /// Share of good answers among those marked.
    pub good_share: f64,
    /// Latency of complete answers.
    pub whole: Summary,
    /// Cost according to the billing lines.
    pub billed: u64,
}

impl Report {
    /// Computes the metrics.
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

/// Samples of requests scheduled after the warm-up.
fn counted<'a>(run: &Run<'a>) -> Vec<&'a Sample> {
    let warmup = run.scenario.warmup;
    run.samples.iter().filter(|it| warmup <= run.plan[it.index].at).collect()
}

/// Returns `part / whole`, or zero if `whole` is zero.
///
/// ```
/// use curranthook_load::report::ratio;
/// assert_eq!((ratio(1.0, 4.0), ratio(0.0, 0.0)), (0.25, 0.0));
/// ```
pub fn ratio(part: f64, whole: f64) -> f64 {
    if whole == 0.0 { 0.0 } else { part / whole }
}
