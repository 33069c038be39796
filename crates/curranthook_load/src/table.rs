//! Comparison of reports, as a table in Markdown.

use std::{collections::BTreeMap, fmt::Write as _};

use crate::report::{Report, ratio};

mod details;

/// Reports of one scenario and policy, one per seed.
#[derive(Debug)]
pub struct Group<'a> {
    /// Scenario name.
    pub scenario: &'a str,
    /// Name of the routing policy.
    pub policy: &'a str,
    /// The reports, one per seed.
    pub reports: Vec<&'a Report>,
}

/// Mean, minimum and maximum over several seeds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// Mean value.
    pub mean: f64,
    /// Minimum value.
    pub min: f64,
    /// Maximum value.
    pub max: f64,
}

impl Spread {
    /// Computes the spread of `values`; all zero if empty.
    ///
    /// ```
    /// use curranthook_load::table::Spread;
    /// assert_eq!(Spread::new(&[1.0, 3.0]), Spread { mean: 2.0, min: 1.0, max: 3.0 });
    /// ```
    pub fn new(values: &[f64]) -> Self {
        if values.is_empty() {
            return Self { mean: 0.0, min: 0.0, max: 0.0 };
        }
        Self {
            mean: values.iter().sum::<f64>() / values.len() as f64,
            min: values.iter().copied().fold(f64::INFINITY, f64::min),
            max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}

impl std::fmt::Display for Spread {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let digits = if self.max.abs() < 10.0 { 3 } else { 1 };
        if self.min == self.max {
            return write!(f, "{:.digits$}", self.mean);
        }
        write!(f, "{:.digits$} ({:.digits$}–{:.digits$})", self.mean, self.min, self.max)
    }
}

impl Group<'_> {
    /// The spread of one metric over the seeds.
    pub fn spread(&self, metric: impl Fn(&Report) -> f64) -> Spread {
        let values: Vec<f64> = self.reports.iter().map(|it| metric(it)).collect();
        Spread::new(&values)
    }
}

/// Groups reports by scenario and policy, sorted by name.
pub fn groups(reports: &[Report]) -> Vec<Group<'_>> {
    let mut groups: BTreeMap<(&str, &str), Vec<&Report>> = BTreeMap::new();
    for report in reports {
        groups.entry((&report.scenario, &report.policy)).or_default().push(report);
    }
    let group = |((scenario, policy), reports)| Group { scenario, policy, reports };
    groups.into_iter().map(group).collect()
}

/// Extracts a metric from a report.
pub type Metric = fn(&Report) -> f64;

/// Columns of the main table.
const COLUMNS: [(&str, Metric); 18] = [
    ("requests", |it| it.ends.requests as f64),
    ("cost an answer (engines)", |it| it.cost.per_answer),
    ("cost a bill", |it| it.cost.per_bill),
    ("cost / oracle", |it| it.cost.against_oracle),
    ("good share", good_share),
    ("least good − target", min_quality_margin),
    ("first token p50 ms", |it| it.latency.first_token.p50),
    ("p95", |it| it.latency.first_token.p95),
    ("p99", |it| it.latency.first_token.p99),
    ("whole p50 ms", |it| it.latency.whole.p50),
    ("p95", |it| it.latency.whole.p95),
    ("p99", |it| it.latency.whole.p99),
    ("goodput /s", |it| it.ends.goodput),
    ("refused share", |it| ratio(it.ends.refused as f64, it.ends.requests as f64)),
    ("refusal p99 ms", |it| it.latency.refusal.p99),
    ("failed", |it| it.ends.failed as f64),
    ("attempts again", |it| it.engines.again as f64),
    ("engine records lost", |it| it.engines.unread.len() as f64),
];

/// Share of good answers, over all kinds of work.
pub fn good_share(report: &Report) -> f64 {
    let good: u64 = report.quality.values().map(|it| it.good).sum();
    let marked: u64 = report.quality.values().map(|it| it.marked).sum();
    ratio(good as f64, marked as f64)
}

/// Smallest difference between quality and target over all kinds of work.
pub fn min_quality_margin(report: &Report) -> f64 {
    let margins = report.quality.values().map(|it| it.share - it.target);
    margins.reduce(f64::min).unwrap_or(0.0)
}

/// Formats a Markdown table with a row per scenario and policy; with several seeds, cells show
/// the mean, with the minimum and maximum in brackets.
///
/// ```
/// assert!(curranthook_load::table::markdown(&[]).starts_with("| scenario | policy |"));
/// ```
pub fn markdown(reports: &[Report]) -> String {
    let groups = groups(reports);
    let mut text = String::from("| scenario | policy | seeds | cost / `best` |");
    let mut rule = String::from("|---|---|---|---|");
    for (name, _) in COLUMNS {
        append(&mut text, format_args!(" {name} |"));
        rule.push_str("---|");
    }
    append(&mut text, format_args!("\n{rule}\n"));
    for group in &groups {
        row(&mut text, group, &groups);
    }
    details::qualities(&mut text, &groups);
    details::phases(&mut text, &groups);
    details::exposures(&mut text, &groups);
    details::retries(&mut text, &groups);
    text
}

fn row(text: &mut String, group: &Group<'_>, all: &[Group<'_>]) {
    let (scenario, policy, seeds) = (group.scenario, group.policy, group.reports.len());
    let cost_relative_to_best = cost_relative_to_best(group, all);
    append(text, format_args!("| {scenario} | {policy} | {seeds} | {cost_relative_to_best} |"));
    for (_, metric) in COLUMNS {
        append(text, format_args!(" {} |", group.spread(metric)));
    }
    text.push('\n');
}

/// Mean cost per answer relative to that of the policy `best`, if it was run.
fn cost_relative_to_best(group: &Group<'_>, all: &[Group<'_>]) -> String {
    const REFERENCE_POLICY: &str = "best";
    let best = all.iter().find(|it| it.scenario == group.scenario && it.policy == REFERENCE_POLICY);
    let cost = |it: &Group<'_>| it.spread(|report| report.cost.per_answer).mean;
    best.map_or("–".to_owned(), |it| format!("{:.3}", ratio(cost(group), cost(it))))
}

fn append(text: &mut String, args: std::fmt::Arguments<'_>) {
    text.write_fmt(args).expect("writing to a string cannot fail");
}
