//! Tables after the main one: kinds of work, phases, exposure and retries.

use std::{collections::BTreeSet, fmt::Display};

use super::{Group, Spread, append};
use crate::report::{Exposure, Phase, Quality, ratio};

/// Target and achieved quality of each kind of work.
pub(super) fn qualities(text: &mut String, groups: &[Group<'_>]) {
    append_header(text, &["scenario", "policy", "kind", "target", "good share"]);
    for group in groups {
        let Some(first) = group.reports.first() else { continue };
        for (kind, quality) in &first.quality {
            let share_of = |it: &Quality| it.share;
            let share = group.spread(|it| it.quality.get(kind).map_or(0.0, share_of));
            append_row(text, group, &[kind, &quality.target, &share]);
        }
    }
}

/// Metrics per phase, for scenarios with more than one.
pub(super) fn phases(text: &mut String, groups: &[Group<'_>]) {
    let has_phases = |it: &&Group<'_>| it.reports.iter().any(|it| 1 < it.phases.len());
    let groups: Vec<&Group<'_>> = groups.iter().filter(has_phases).collect();
    if groups.is_empty() {
        return;
    }
    let columns = ["scenario", "policy", "rate /s", "goodput /s", "refused share", "failed"];
    let columns = [&columns[..], &["refusal p99 ms", "whole p50 ms", "whole p99 ms"]].concat();
    append_header(text, &columns);
    for group in groups {
        let Some(first) = group.reports.first() else { continue };
        for (index, phase) in first.phases.iter().enumerate() {
            let spread = |metric: fn(&Phase) -> f64| {
                group.spread(|it| it.phases.get(index).map_or(0.0, metric))
            };
            let refused = |it: &Phase| ratio(it.ends.refused as f64, it.ends.requests as f64);
            let metrics = [
                spread(|it| it.ends.goodput),
                spread(refused),
                spread(|it| it.ends.failed as f64),
                spread(|it| it.refusal.p99),
                spread(|it| it.whole.p50),
                spread(|it| it.whole.p99),
            ];
            let cells = metrics.iter().map(|it| it as &dyn Display);
            let cells: Vec<&dyn Display> = [&phase.rate as _].into_iter().chain(cells).collect();
            append_row(text, group, &cells);
        }
    }
}

/// Answers by versions that had degraded, were being rolled out, or were withdrawn.
pub(super) fn exposures(text: &mut String, groups: &[Group<'_>]) {
    if groups.iter().flat_map(|it| &it.reports).all(|it| it.exposure.is_empty()) {
        return;
    }
    let columns = ["scenario", "policy", "version", "event", "answers after", "marked bad"];
    append_header(text, &[&columns[..], &["last attempt after, s", "of s"]].concat());
    for group in groups {
        let Some(first) = group.reports.first() else { continue };
        for (index, exposure) in first.exposure.iter().enumerate() {
            let spread = |metric: fn(&Exposure) -> f64| -> Spread {
                group.spread(|it| it.exposure.get(index).map_or(0.0, metric))
            };
            let answers = spread(|it| it.answers as f64);
            let bad = spread(|it| it.bad as f64);
            let last = spread(|it| it.last_attempt_seconds);
            let (version, event) = (&exposure.version, &exposure.event);
            let remaining = &exposure.remaining_seconds;
            append_row(text, group, &[version, event, &answers, &bad, &last, remaining]);
        }
    }
}

/// Retries by reason, as counted by the routers.
pub(super) fn retries(text: &mut String, groups: &[Group<'_>]) {
    const PREFIX: &str = "retry.";
    let all = groups.iter().flat_map(|it| &it.reports).flat_map(|it| it.counters.keys());
    let reasons: BTreeSet<&String> = all.filter(|it| it.starts_with(PREFIX)).collect();
    if reasons.is_empty() {
        return;
    }
    let names: Vec<&str> = reasons.iter().map(|it| it.as_str()).collect();
    append_header(text, &[&["scenario", "policy"], &names[..]].concat());
    for group in groups {
        let count = |name: &String| {
            group.spread(|it| it.counters.get(name).copied().unwrap_or_default() as f64)
        };
        let counts: Vec<Spread> = reasons.iter().map(|it| count(it)).collect();
        let cells: Vec<&dyn Display> = counts.iter().map(|it| it as _).collect();
        append_row(text, group, &cells);
    }
}

fn append_header(text: &mut String, columns: &[&str]) {
    text.push('\n');
    append(text, format_args!("| {} |\n", columns.join(" | ")));
    append(text, format_args!("|{}\n", "---|".repeat(columns.len())));
}

fn append_row(text: &mut String, group: &Group<'_>, cells: &[&dyn Display]) {
    append(text, format_args!("| {} | {} |", group.scenario, group.policy));
    for cell in cells {
        append(text, format_args!(" {cell} |"));
    }
    text.push('\n');
}
