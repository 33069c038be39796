//! Exposure to versions that have degraded, are being rolled out, or are withdrawn.

use curranthook_types::version;

use super::{Exposure, Run, callers};
use crate::{
    event::{Action, Event},
    evidence::Applied,
    sample::{Mark, Sample},
};

pub(super) fn exposure(run: &Run<'_>) -> Vec<Exposure> {
    let events = run.evidence.applied.iter();
    events.filter_map(|it| exposure_after(run, it, &run.scenario.events[it.index])).collect()
}

fn exposure_after(run: &Run<'_>, applied: &Applied, event: &Event) -> Option<Exposure> {
    let (label, version) = tracked_version(run, event)?;
    let samples: Vec<&Sample> =
        run.samples.iter().filter(|it| event.at <= run.plan[it.index].at).collect();
    let marks: Vec<Option<Mark>> = callers::answered(&samples)
        .filter(|(_, it)| it.version.as_ref() == Some(version))
        .map(|(_, it)| it.mark)
        .collect();
    let records = run.evidence.records.iter();
    let start_offsets_millis: Vec<u64> = records
        .filter(|it| it.version == *version && it.was_begun())
        .filter(|it| applied.at_millis <= it.started_millis)
        .map(|it| it.started_millis - applied.at_millis)
        .collect();
    Some(Exposure {
        event: label,
        version: version.to_string(),
        answers: marks.len() as u64,
        bad: marks.iter().filter(|it| **it == Some(Mark::Bad)).count() as u64,
        attempts: start_offsets_millis.len() as u64,
        last_attempt_seconds: seconds(
            start_offsets_millis.iter().max().copied().unwrap_or_default(),
        ),
        remaining_seconds: run.scenario.duration().saturating_sub(event.at).as_secs_f64(),
    })
}

/// The version to track after an event, with a label for the event, if there is one.
fn tracked_version<'a>(run: &Run<'_>, event: &'a Event) -> Option<(String, &'a version::Id)> {
    match &event.action {
        Action::Quality { version, quality } => {
            let initial_quality = run.scenario.versions.get(version)?.quality;
            let label = format!("quality {initial_quality} -> {quality}");
            (*quality < initial_quality).then_some((label, version))
        }
        Action::Withdraw { version } => Some(("withdrawn".to_owned(), version)),
        Action::Rollout { to, .. } => Some(("rolled out".to_owned(), to)),
        Action::Fault { .. } | Action::Kill { .. } => None,
    }
}

fn seconds(millis: u64) -> f64 {
    const MILLIS_PER_SECOND: f64 = 1_000.0;
    millis as f64 / MILLIS_PER_SECOND
}
