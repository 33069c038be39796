//! Calculations of reports, on a small synthetic run.

use std::time::Duration;

use curranthook_load::{
    evidence::{Applied, Evidence, Record},
    plan::Request,
    report::{Report, Run},
    sample::{Answer, Failure, Mark, Outcome, Sample},
    scenario::Scenario,
    table,
    timing::Recorder,
    truth,
};
use curranthook_types::{bill, price, refusal};
use yare::parameterized;

const SCENARIO: &str = "
name: hand-made
site: s
failure_domains: [a]
routers: 1
versions:
  m@1:
    price: {prompt: 1000, completion: 10000}
    quality: 0.5
    first_token_ms: 1
    token_ms: 1
    tokens: 10
  m@2:
    price: {prompt: 2000, completion: 20000}
    quality: 1.0
    first_token_ms: 1
    token_ms: 1
    tokens: 10
engines: [{name: m, count: 1, versions: [m@1, m@2], slots: 4}]
accounts:
  one: {weight: 1}
kinds:
  summary: {weight: 1, quality: 0.5, deadline_ms: 1000}
warmup_seconds: 1
phases: [{seconds: 5, rate: 1}]
events: [{at_seconds: 2, do: quality, version: m@1, quality: 0}]
";

/// Prompts of four words each. The first two are easy enough for `m@1`, the third is not.
fn prompts() -> [String; 3] {
    let text = |is_hard: bool, from: u32| {
        let mut texts = (from..).map(|n| format!("how much did{n} weigh"));
        texts.find(|it| (0.5 <= truth::difficulty(it)) == is_hard).unwrap()
    };
    [text(false, 0), text(false, 100), text(true, 200)]
}

fn request(id: &str, at: Duration, text: &str) -> Request {
    Request {
        id: id.to_owned(),
        at,
        phase: 0,
        account: "one".into(),
        kind: "summary".into(),
        session: Some("s".to_owned()),
        text: text.to_owned(),
    }
}

fn plan() -> Vec<Request> {
    let [easy, other_easy, hard] = prompts();
    let millis = Duration::from_millis;
    vec![
        request("warm", millis(500), &easy),
        request("r1", millis(1_500), &easy),
        request("r2", millis(2_500), &other_easy),
        request("r3", millis(3_000), &hard),
        request("r4", millis(3_500), &hard),
        request("r5", millis(4_000), &hard),
    ]
}

fn answered(version: &str, mark: Mark) -> Outcome {
    let answer = Answer { version: Some(version.into()), mark: Some(mark), ..Answer::default() };
    Outcome::Answered(answer)
}

fn samples() -> Vec<Sample> {
    let sample =
        |index, millis, outcome| Sample { index, latency: Duration::from_millis(millis), outcome };
    vec![
        sample(0, 10, answered("m@1", Mark::Good)),
        sample(1, 100, answered("m@1", Mark::Good)),
        sample(2, 200, answered("m@1", Mark::Bad)),
        sample(3, 1_200, answered("m@2", Mark::Good)),
        sample(4, 7, Outcome::Refused(refusal::Reason::Overloaded, refusal::Run::Not)),
        sample(5, 50, Outcome::Failed(Failure::CutOff)),
    ]
}

fn record(request_id: &str, version: &str, started_millis: u64, tokens: u64) -> Record {
    Record {
        request_id: request_id.to_owned(),
        version: version.into(),
        started_millis,
        outcome: "done".to_owned(),
        tokens,
    }
}

fn bill_line(request: &str, cost: u64) -> bill::Line {
    bill::Line {
        request: request.into(),
        account: "one".into(),
        served_by: "m@1".to_owned(),
        prompt_tokens: 4,
        completion_tokens: 10,
        cost: price::Micros(cost),
        at_millis: 0,
    }
}

fn evidence() -> Evidence {
    Evidence {
        records: vec![
            record("warm", "m@1", 500, 10),
            record("r1", "m@1", 1_500, 10),
            record("r2", "m@1", 2_500, 10),
            record("r3", "m@1", 3_000, 10),
            record("r3", "m@2", 3_100, 10),
            Record { outcome: "refused".to_owned(), ..record("r4", "m@1", 3_500, 0) },
        ],
        bills: vec![
            bill_line("warm", 104),
            bill_line("r1", 104),
            bill_line("r2", 104),
            bill_line("r2", 104),
        ],
        counters: [("retry.escalated".to_owned(), 1), ("refusal.overloaded".to_owned(), 1)].into(),
        applied: vec![Applied { index: 0, at_millis: 2_000 }],
        ..Evidence::default()
    }
}

fn report() -> Report {
    let scenario = Scenario::parse(SCENARIO).unwrap();
    Report::new(&Run {
        scenario: &scenario,
        policy: "ours",
        seed: 1,
        plan: &plan(),
        samples: &samples(),
        evidence: &evidence(),
    })
}

#[test]
fn outcome_counts_exclude_the_warm_up() {
    let ends = report().ends;
    assert_eq!((ends.requests, ends.answered, ends.refused, ends.failed), (5, 3, 1, 1));
    assert_eq!(ends.in_time, 2, "1.2 s is past the deadline");
    assert_eq!(ends.goodput, 0.5, "two answers in four seconds");
}

#[test]
fn cost_counts_every_attempt_and_each_bill_once() {
    let cost = report().cost;
    // Cost on m@1: 4 prompt tokens at 1 and 10 completion tokens at 10; on m@2 twice that.
    assert_eq!(cost.engines, 3 * 104 + 208);
    assert_eq!((cost.billed, cost.n_billed), (208, 2));
    assert_eq!((cost.n_repeated_lines, cost.n_unbilled), (1, 1));
    // m@1 suffices for r1; its quality has dropped by r2, and r3 was always too hard for it.
    assert_eq!(cost.oracle, 104 + 208 + 208);
    assert_eq!(cost.against_oracle, 1.0);
    assert_eq!(cost.n_mark_mismatches, 0);
}

#[test]
fn attempts_exclude_those_not_started() {
    let engines = report().engines;
    assert_eq!((engines.attempts, engines.requests, engines.again), (4, 3, 1));
    assert_eq!(engines.by_outcome["refused"], 1);
}

#[test]
fn exposure_starts_at_the_event() {
    let exposure = &report().exposure[0];
    assert_eq!((exposure.answers, exposure.bad, exposure.attempts), (1, 1, 2));
    assert_eq!((exposure.last_attempt_seconds, exposure.remaining_seconds), (1.0, 3.0));
}

#[test]
fn refusals_quality_and_sessions() {
    let report = report();
    let refused = report.refusals["overloaded"];
    assert_eq!((refused.not_run, refused.latency.n), (1, 1));
    assert_eq!(report.failures["cut_off"], 1);
    let quality = report.quality["summary"];
    assert_eq!((quality.good, quality.marked, quality.target), (2, 3, 0.5));
    assert_eq!(report.split_sessions, 1);
    assert_eq!(report.accounts["one"].ends, report.ends);
}

#[test]
fn report_round_trips_through_json() {
    let report = report();
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<Report>(&text).unwrap(), report);
}

#[test]
fn table_has_a_row_per_policy_and_compares_with_best() {
    let ours = report();
    let mut best = Report { policy: "best".to_owned(), ..ours.clone() };
    best.cost.per_answer *= 2.0;
    let other_seed = Report { seed: 2, ..ours.clone() };
    let text = table::markdown(&[ours, best, other_seed]);
    assert!(text.contains("| hand-made | ours | 2 | 0.500 |"), "{text}");
    assert!(text.contains("| hand-made | best | 1 | 1.000 |"), "{text}");
    assert!(text.contains("| hand-made | ours | summary | 0.5 | 0.667 |"), "{text}");
    assert!(text.contains("| scenario | policy | retry.escalated |"), "{text}");
    assert!(text.contains("| m@1 | quality 0.5 -> 0 | 1.000 | 1.000 |"), "{text}");
}

#[test]
fn plots_are_written() {
    let dir = tempfile::tempdir().unwrap();
    let files = curranthook_load::plot::write(&[report()], dir.path()).unwrap();
    assert_eq!(files.len(), 3);
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap();
        assert!(text.contains("ours") && text.trim_end().ends_with("</svg>"), "{}", file.display());
    }
}

#[parameterized(
    median = { 50, 500.0 },
    tail = { 99, 990.0 },
)]
fn percentiles(percent: u32, millis: f64) {
    let summary = (1..=1_000).map(Duration::from_millis).collect::<Recorder>().summary();
    let measured = if percent == 50 { summary.p50 } else { summary.p99 };
    // The histogram keeps three significant digits.
    assert!((measured - millis).abs() <= millis / 1_000.0 + 0.5, "{measured}");
    assert_eq!(summary.n, 1_000);
}
