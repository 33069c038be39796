//! Cost metrics from billing lines, engine records and the oracle.

use std::collections::{HashMap, HashSet};

use super::{Attempts, Cost, Run, callers, ratio};
use crate::{
    plan,
    sample::{Mark, Sample},
    truth::{self, Truth},
};

pub(super) fn cost(samples: &[&Sample], run: &Run<'_>) -> Cost {
    let truth = run.scenario.truth();
    let by_id = counted_requests(run);
    let mut cost = Cost { engines: engines_cost(run, &truth, &by_id), ..Cost::default() };
    let billed = sum_bills(run, &by_id, &mut cost);
    let mut n_answers = 0_u64;
    for (sample, answer) in callers::answered(samples) {
        let request = &run.plan[sample.index];
        cost.n_unbilled += u64::from(!billed.contains(request.id.as_str()));
        let Some(version) = &answer.version else { continue };
        n_answers += 1;
        let difficulty = truth::difficulty(&request.text);
        let allowed = run.scenario.allowed(&request.account);
        let oracle =
            truth.oracle_cost(allowed.iter(), difficulty, request.prompt_tokens(), request.at);
        cost.oracle += oracle.map_or(0, |it| it.0);
        let (Some(mark), Some(known)) = (answer.mark, truth.versions.get(version)) else {
            continue;
        };
        let expected_good = difficulty < known.quality_at(request.at);
        cost.n_mark_mismatches += u64::from(expected_good != (mark == Mark::Good));
    }
    cost.per_answer = ratio(cost.engines as f64, n_answers as f64);
    cost.per_bill = ratio(cost.billed as f64, cost.n_billed as f64);
    cost.against_oracle = ratio(cost.engines as f64, cost.oracle as f64);
    cost
}

pub(super) fn attempts(run: &Run<'_>) -> Attempts {
    let by_id = counted_requests(run);
    let mut metrics = Attempts { unread: run.evidence.unread.clone(), ..Attempts::default() };
    let mut seen = HashSet::new();
    for record in &run.evidence.records {
        if !by_id.contains_key(record.request_id.as_str()) {
            continue;
        }
        *metrics.by_outcome.entry(record.outcome.clone()).or_default() += 1;
        if !record.was_begun() {
            continue;
        }
        metrics.attempts += 1;
        seen.insert(record.request_id.as_str());
        *metrics.by_version.entry(record.version.to_string()).or_default() += 1;
    }
    metrics.requests = seen.len() as u64;
    metrics.again = metrics.attempts - metrics.requests;
    metrics
}

/// Billed cost of one account.
pub(super) fn billed_to(run: &Run<'_>, account: &str) -> u64 {
    let by_id = counted_requests(run);
    let mut seen = HashSet::new();
    let lines = run.evidence.bills.iter().filter(|it| it.account.as_str() == account);
    let lines = lines.filter(|it| by_id.contains_key(it.request.as_str()));
    lines.filter(|it| seen.insert(it.request.as_str())).map(|it| it.cost.0).sum()
}

/// Requests after the warm-up, by ID.
fn counted_requests<'a>(run: &Run<'a>) -> HashMap<&'a str, &'a plan::Request> {
    let warmup = run.scenario.warmup;
    let counted = run.plan.iter().filter(|it| warmup <= it.at);
    counted.map(|it| (it.id.as_str(), it)).collect()
}

/// Cost of every attempt that produced tokens, whether or not a caller received them.
fn engines_cost(run: &Run<'_>, truth: &Truth, by_id: &HashMap<&str, &plan::Request>) -> u64 {
    let attempts = run.evidence.records.iter().filter(|it| 0 < it.tokens);
    let cost = attempts.filter_map(|it| {
        let request = by_id.get(it.request_id.as_str())?;
        let version = truth.versions.get(&it.version)?;
        Some(version.price.cost(request.prompt_tokens(), it.tokens).0)
    });
    cost.sum()
}

/// Sums the billing lines into `cost` and returns the IDs of billed requests.
fn sum_bills<'a>(
    run: &Run<'a>,
    by_id: &HashMap<&str, &plan::Request>,
    cost: &mut Cost,
) -> HashSet<&'a str> {
    let mut seen = HashSet::new();
    for line in &run.evidence.bills {
        if !by_id.contains_key(line.request.as_str()) {
            continue;
        }
        if !seen.insert(line.request.as_str()) {
            cost.n_repeated_lines += 1;
            continue;
        }
        cost.n_billed += 1;
        cost.billed += line.cost.0;
    }
    seen
}
