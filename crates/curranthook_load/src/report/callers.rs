//! Metrics from the callers' samples.

use std::collections::{BTreeMap, BTreeSet};

use curranthook_types::refusal;

use super::{AccountMetrics, Ends, Latency, Phase, Quality, RefusalMetrics, Run, ratio};
use crate::{
    sample::{Answer, Mark, Outcome, Sample},
    timing::Recorder,
};

pub(super) fn ends(samples: &[&Sample], run: &Run<'_>, seconds: f64) -> Ends {
    let mut ends = Ends::default();
    for sample in samples {
        ends.requests += 1;
        match &sample.outcome {
            Outcome::Answered(_) => {
                ends.answered += 1;
                ends.in_time += u64::from(is_in_time(sample, run));
            }
            Outcome::Refused(..) => ends.refused += 1,
            Outcome::Failed(_) => ends.failed += 1,
        }
    }
    ends.goodput = ratio(ends.in_time as f64, seconds);
    ends
}

pub(super) fn latency(samples: &[&Sample]) -> Latency {
    Latency {
        first_token: answered(samples)
            .filter_map(|(_, it)| it.first_token)
            .collect::<Recorder>()
            .summary(),
        whole: answer_latency(samples),
        gap: answered(samples)
            .flat_map(|(_, it)| it.gaps.iter().copied())
            .collect::<Recorder>()
            .summary(),
        refusal: refused(samples).map(|(it, ..)| it.latency).collect::<Recorder>().summary(),
    }
}

pub(super) fn refusals(samples: &[&Sample]) -> BTreeMap<String, RefusalMetrics> {
    let mut by_reason: BTreeMap<refusal::Reason, (u64, Recorder)> = BTreeMap::new();
    for (sample, reason, execution) in refused(samples) {
        let (not_run, recorder) = by_reason.entry(reason).or_default();
        *not_run += u64::from(execution == refusal::Run::Not);
        recorder.record(sample.latency);
    }
    let metrics = |(reason, (not_run, recorder)): (refusal::Reason, (u64, Recorder))| {
        (reason.name().to_owned(), RefusalMetrics { not_run, latency: recorder.summary() })
    };
    by_reason.into_iter().map(metrics).collect()
}

pub(super) fn failures(samples: &[&Sample]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for sample in samples {
        if let Outcome::Failed(failure) = &sample.outcome {
            *counts.entry(failure.to_string()).or_default() += 1;
        }
    }
    counts
}

pub(super) fn quality(samples: &[&Sample], run: &Run<'_>) -> BTreeMap<String, Quality> {
    let mut all: BTreeMap<String, Quality> = BTreeMap::new();
    for (sample, answer) in answered(samples) {
        let Some(mark) = answer.mark else { continue };
        let kind = &run.plan[sample.index].kind;
        let quality = all.entry(kind.as_str().to_owned()).or_default();
        quality.target = run.scenario.kinds[kind].quality;
        quality.marked += 1;
        quality.good += u64::from(mark == Mark::Good);
        quality.share = ratio(quality.good as f64, quality.marked as f64);
    }
    all
}

pub(super) fn phases(run: &Run<'_>) -> Vec<Phase> {
    let phase = |(index, spec): (usize, &crate::schedule::Phase)| {
        let samples: Vec<&Sample> =
            run.samples.iter().filter(|it| run.plan[it.index].phase == index).collect();
        Phase {
            rate: spec.rate,
            ends: ends(&samples, run, spec.duration.as_secs_f64()),
            whole: answer_latency(&samples),
            refusal: refused(&samples).map(|(it, ..)| it.latency).collect::<Recorder>().summary(),
        }
    };
    run.scenario.phases.iter().enumerate().map(phase).collect()
}

pub(super) fn accounts(
    samples: &[&Sample],
    run: &Run<'_>,
    seconds: f64,
) -> BTreeMap<String, AccountMetrics> {
    let mut groups: BTreeMap<&str, Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        groups.entry(run.plan[sample.index].account.as_str()).or_default().push(sample);
    }
    let metrics = |(id, samples): (&str, Vec<&Sample>)| {
        let marks: Vec<Mark> = answered(&samples).filter_map(|(_, it)| it.mark).collect();
        let n_good = marks.iter().filter(|it| **it == Mark::Good).count();
        let account = AccountMetrics {
            ends: ends(&samples, run, seconds),
            good_share: ratio(n_good as f64, marks.len() as f64),
            whole: answer_latency(&samples),
            billed: super::cost::billed_to(run, id),
        };
        (id.to_owned(), account)
    };
    groups.into_iter().map(metrics).collect()
}

pub(super) fn split_sessions(run: &Run<'_>) -> u64 {
    let mut versions: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    let samples: Vec<&Sample> = run.samples.iter().collect();
    for (sample, answer) in answered(&samples) {
        let session = run.plan[sample.index].session.as_deref();
        if let (Some(session), Some(version)) = (session, &answer.version) {
            versions.entry(session).or_default().insert(version.as_str());
        }
    }
    versions.values().filter(|it| 1 < it.len()).count() as u64
}

/// Samples that ended with a complete answer.
pub(super) fn answered<'a>(
    samples: &[&'a Sample],
) -> impl Iterator<Item = (&'a Sample, &'a Answer)> {
    samples.iter().filter_map(|it| match &it.outcome {
        Outcome::Answered(answer) => Some((*it, answer)),
        Outcome::Refused(..) | Outcome::Failed(_) => None,
    })
}

fn refused<'a>(
    samples: &[&'a Sample],
) -> impl Iterator<Item = (&'a Sample, refusal::Reason, refusal::Run)> {
    samples.iter().filter_map(|it| match it.outcome {
        Outcome::Refused(reason, run) => Some((*it, reason, run)),
        Outcome::Answered(_) | Outcome::Failed(_) => None,
    })
}

fn answer_latency(samples: &[&Sample]) -> crate::timing::Summary {
    answered(samples).map(|(it, _)| it.latency).collect::<Recorder>().summary()
}

fn is_in_time(sample: &Sample, run: &Run<'_>) -> bool {
    let kind = &run.plan[sample.index].kind;
    sample.latency <= run.scenario.kinds[kind].deadline
}
