//! Work that waits at engines, by priority: how it delays requests, and how nodes report it.

use std::{collections::HashMap, time::Duration};

use curranthook_gateway::{
    affinity::Record,
    cascade::{self, Forecast, Targets},
    load::{
        breakdown::{self, Breakdown, PendingWork},
        latency::{Estimate, Estimator},
        prefill::Prompt,
        reports::{self, MAX_DATAGRAM, MAX_REPORTED_ENDPOINTS, Message},
        slowdowns::Entries,
        table::LoadTable,
        work::Work,
    },
    placement::{self, CacheHolders, Candidate, Locality, Task},
    settings::Contention,
};
use curranthook_policy::{price::Scale, rank::Rank, slowdown::Outlook};
use curranthook_types::endpoint;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Value, json};
use serde_with::{DurationMilliSeconds, serde_as};
use yare::parameterized;

/// The most urgent requests of an account with the usual priority, and the least urgent ones.
const URGENT: Rank = Rank { account: Some(1), route: 0 };
const LEAST_URGENT: Rank = Rank { account: Some(1), route: 2 };
/// What callers of the most urgent requests expect.
const TARGETS: Targets =
    Targets { objective: Duration::from_secs(2), deadline: Duration::from_secs(15) };
/// The prompt of such a request.
const PROMPT_TOKENS: u64 = 1_460;
/// The prefill time of the least urgent prompts that wait at each engine.
const BURST: Duration = Duration::from_secs(5);
/// The largest sum that is accepted for an endpoint.
const MAX_SUM: Duration = Duration::from_secs(1_000_000);
const LARGE_MODEL: f64 = 1.0;
const SMALL_MODEL: f64 = 0.1;

fn priority(rank: Rank, relative_price: f64) -> u8 {
    cascade::engine_priority(rank, Contention::ByRank, relative_price)
}

fn burst() -> Work {
    Work::new(priority(LEAST_URGENT, LARGE_MODEL), BURST)
}

fn latency(relative_price: f64) -> Estimate {
    Estimator::default().estimate("engines", "model", relative_price)
}

fn forecast(relative_price: f64, wait: Duration, cost: f64) -> Forecast {
    let prompt = Prompt::new(PROMPT_TOKENS, 0);
    let first = latency(relative_price).time_to_first_event(prompt, 20, wait);
    Forecast {
        time_to_first_event: first,
        time_to_last_event: first + Duration::from_secs(1),
        cost,
    }
}

/// Whether an urgent request with a poor answer of a small model goes to the largest one.
fn escalates(large_wait: Duration) -> bool {
    let small = forecast(SMALL_MODEL, Duration::ZERO, 0.0);
    let large = forecast(LARGE_MODEL, large_wait, cascade::LARGE_MODEL_COST);
    cascade::should_escalate(10, &small, &large, &TARGETS)
}

/// A burst of long, least urgent prompts waits at all engines. Guards against urgent requests that
/// get the poor answers of small models, although engines would serve them before the burst.
#[test]
fn a_burst_of_less_urgent_work_does_not_hold_up_urgent_requests() {
    let large = forecast(LARGE_MODEL, burst().wait(priority(URGENT, LARGE_MODEL)), 0.0);
    assert!(large.time_to_first_event <= TARGETS.objective, "{large:?}");
    assert!(escalates(burst().wait(priority(URGENT, LARGE_MODEL))));
    let small = burst().wait(priority(URGENT, SMALL_MODEL));
    assert!(small <= burst().wait_ignoring_priorities(true), "{small:?}");
}

/// The counterpart: guards against forecasts that overlook work which is served first.
#[parameterized(
    of_same_priority = { URGENT, URGENT },
    of_more_urgent_requests = { URGENT, LEAST_URGENT },
)]
fn work_that_is_not_less_urgent_counts_in_full(of: Rank, request: Rank) {
    let waiting = Work::new(priority(of, LARGE_MODEL), BURST);
    assert_eq!(waiting.wait(priority(request, LARGE_MODEL)), BURST);
    assert!(!escalates(waiting.wait(priority(request, LARGE_MODEL))));
}

/// Guards against decisions that change on deployments where requests do not compete: there, all
/// work counts as before, whatever its priority.
#[test]
fn decisions_are_as_before_if_contention_is_ignored() {
    for work in [burst(), BURST.into(), Work::new(2, BURST / 2) + Work::new(8, BURST / 2)] {
        assert_eq!(work.wait_ignoring_priorities(false), BURST);
        assert_eq!(work.wait_ignoring_priorities(true), BURST / 8);
    }
    assert!(!escalates(burst().wait_ignoring_priorities(false)));
    for account in [None, Some(0), Some(1), Some(3), Some(200)] {
        for route in [0, 1, 2, 3, 200] {
            let rank = Rank { account, route };
            let before = account.unwrap_or(route).min(3);
            let now = |price| cascade::engine_priority(rank, Contention::Ignored, price);
            assert_eq!((now(SMALL_MODEL), now(LARGE_MODEL)), (before, before + 4), "{rank:?}");
        }
    }
}

/// Guards against priorities that engines do not accept, and against requests to a small model that
/// wait behind those to the largest one.
#[test]
fn engine_priorities_by_rank_are_0_to_9() {
    for account in [None, Some(0), Some(1), Some(2), Some(200)] {
        for route in [0, 1, 2, 200] {
            let rank = Rank { account, route };
            assert_eq!(priority(rank, SMALL_MODEL), rank.level());
            assert_eq!(priority(rank, LARGE_MODEL), rank.level() + 5);
            assert!(priority(rank, LARGE_MODEL) <= 9);
        }
    }
}

/// Guards against urgent requests that avoid an engine with much less urgent work, and go to one
/// where more urgent work is ahead of them.
#[test]
fn placement_prefers_the_engine_with_less_work_ahead() {
    let engines = [burst(), Work::new(priority(URGENT, LARGE_MODEL), Duration::from_secs(1))];
    let choose = |wait: &dyn Fn(&Work) -> Duration| {
        let candidate = |(index, work): (u64, &Work)| Candidate {
            id_hash: index,
            wait: wait(work),
            failure_rate: 0.0,
            locality: Locality::SameDomain,
            has_prefix_cached: false,
            slowdown: Outlook::UNKNOWN,
        };
        let candidates: Vec<_> = (0..).zip(&engines).map(candidate).collect();
        let holders = CacheHolders::Known;
        let task = Task {
            prefix_hash: None,
            prefix_prefill: Duration::ZERO,
            own_time: Duration::ZERO,
            holders,
            salt: 7,
        };
        placement::choose(&candidates, &task)
    };
    assert_eq!(choose(&|it| it.wait(priority(URGENT, LARGE_MODEL))), Some(0));
    assert_eq!(choose(&|it| it.wait(priority(LEAST_URGENT, LARGE_MODEL))), Some(1));
    assert_eq!(choose(&|it| it.wait_ignoring_priorities(false)), Some(1));
}

/// Guards against work that remains, or is taken from another request's priority, when a request
/// ends.
#[test]
fn work_is_removed_at_its_priority() {
    let (urgent, burst) = (Work::new(7, BURST), burst());
    assert_eq!((urgent + burst).saturating_sub(urgent), burst);
    assert_eq!(burst.saturating_sub(urgent), burst);
    assert_eq!(Work::new(200, BURST), Work::new(9, BURST));
}

fn pending(endpoints: &[(&str, Work)]) -> PendingWork {
    endpoints.iter().map(|(id, work)| ((*id).into(), *work)).collect()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Decodes a message as a node that receives it.
fn receive(message: Value) -> (PendingWork, usize) {
    match serde_json::from_value(message).expect("the message is decoded") {
        Message::Report { waiting, by_priority, .. }
        | Message::Answer { waiting, by_priority, .. } => breakdown::join(waiting, &by_priority),
        other => panic!("no pending work: {other:?}"),
    }
}

/// Guards against reports and answers of nodes of an older build that are rejected, or whose work
/// is overlooked: it counts as the most urgent.
#[test]
fn messages_without_priorities_count_as_most_urgent() {
    let report = json!({ "notice": { "node": "n-1", "waiting": { "e-1": 400, "e-2": 30 } } });
    let answer = json!({ "answer": { "id": 3, "waiting": { "e-1": 400, "e-2": 30 } } });
    for message in [report, answer] {
        let expected = pending(&[("e-1", ms(400).into()), ("e-2", ms(30).into())]);
        assert_eq!(receive(message), (expected, 0));
    }
}

/// Guards against work that is lost or changes its priority between two nodes, and against a sum
/// that an older build would read differently.
#[test]
fn reported_priorities_are_received() {
    let work = pending(&[
        ("e-1", Work::new(2, ms(120)) + Work::new(9, ms(3_400))),
        ("e-2", ms(30).into()),
        ("e-0", Work::new(7, Duration::from_micros(10_600)) + Work::new(8, ms(1))),
    ]);
    let (waiting, by_priority) = breakdown::split(&work);
    assert_eq!(waiting[&endpoint::Id::new("e-1")], ms(3_520));
    let waiting: HashMap<_, _> = waiting.into_iter().map(|(id, it)| (id, it.as_millis())).collect();
    let fields = json!({ "node": "n-1", "waiting": waiting, "by_priority": by_priority });
    let received = receive(json!({ "notice": fields }));
    let rounded = Work::new(7, ms(11)) + Work::new(8, ms(1));
    let expected = pending(&[("e-0", rounded)]).into_iter().chain(work).collect::<Vec<_>>();
    assert_eq!(received.1, 0);
    assert_eq!(received.0.len(), 3);
    assert!(expected.iter().all(|(id, work)| id.as_str() == "e-0" || received.0[id] == *work));
    assert_eq!(received.0[&endpoint::Id::new("e-0")], rounded);
}

/// Guards against a report that is lost, or work that seems less urgent than it is, because its
/// priorities are malformed. The sums count as the most urgent.
#[parameterized(
    no_list = { json!(7), 2 },
    not_a_list = { json!({ "e-1": [[7, 400]] }), 2 },
    too_few_lists = { json!([[[7, 400]]]), 2 },
    too_many_lists = { json!([[[7, 400]], [[7, 30]], [[7, 30]]]), 2 },
    not_pairs = { json!([[7, 400], [7, 30]]), 2 },
    negative = { json!([[[7, -400]], [[7, 30]]]), 2 },
    not_a_number = { json!([[["x", 400]], [[7, 30]]]), 2 },
    too_long = { json!([(0..11).map(|it| [it, 40]).collect::<Vec<_>>(), [[0, 30]]]), 1 },
    repeated_priority = { json!([[[7, 200], [7, 200]], []]), 1 },
    no_such_priority = { json!([[[10, 400]], [[0, 30]]]), 1 },
    sum_too_small = { json!([[[7, 399]], [[0, 30]]]), 1 },
    sum_too_large = { json!([[[7, 400], [8, 1]], [[0, 30]]]), 1 },
    sum_overflows = { json!([[[7, 400], [8, u64::MAX]], [[0, 30]]]), 1 },
)]
fn malformed_priorities_count_as_most_urgent(by_priority: Value, n_dropped: usize) {
    let waiting = json!({ "e-1": 400, "e-2": 30 });
    let fields = json!({ "node": "n-1", "waiting": waiting, "by_priority": by_priority });
    let expected = pending(&[("e-1", ms(400).into()), ("e-2", ms(30).into())]);
    assert_eq!(receive(json!({ "notice": fields })), (expected, n_dropped));
}

/// Guards against an endpoint that seems idle because its sum is out of range, and against a sum
/// that no message could state: the owner of the endpoint's load would crash when it adds the sums
/// of two nodes and answers a question.
#[parameterized(
    without_priorities = { u64::MAX, json!([]), Work::new(0, MAX_SUM), 1 },
    just_above = { 1_000_000_001, json!([]), Work::new(0, MAX_SUM), 1 },
    with_priorities = { 1_000_000_001, json!([[[9, 1_000_000_001]], []]), Work::new(0, MAX_SUM), 1 },
    with_malformed_priorities = { u64::MAX, json!([[[10, 400]], []]), Work::new(0, MAX_SUM), 1 },
    largest = { 1_000_000_000, json!([[[9, 1_000_000_000]], []]), Work::new(9, MAX_SUM), 0 },
)]
fn sums_out_of_range_are_clamped(sum: u64, by_priority: Value, work: Work, n_changed: usize) {
    let waiting = json!({ "e-1": sum, "e-2": 30 });
    let report = json!({ "node": "n-1", "waiting": waiting, "by_priority": by_priority });
    let answer = json!({ "id": 3, "waiting": waiting, "by_priority": by_priority });
    for message in [json!({ "notice": report }), json!({ "answer": answer })] {
        let expected = pending(&[("e-1", work), ("e-2", ms(30).into())]);
        assert_eq!(receive(message), (expected, n_changed));
    }
}

/// A report as builds without priorities, slowdowns and requests in flight decode it.
#[serde_as]
#[derive(Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum OlderMessage {
    Notice {
        node: String,
        #[serde_as(as = "HashMap<_, DurationMilliSeconds<u64>>")]
        waiting: HashMap<endpoint::Id, Duration>,
        #[serde(default)]
        reads: Vec<Record>,
        #[serde(default)]
        unreachable: Vec<endpoint::Id>,
    },
}

/// Guards against other bytes on the wire where no request has a priority, and against bytes that a
/// node of an older build rejects or reads otherwise.
#[test]
fn work_without_priorities_is_reported_as_before() {
    let (waiting, by_priority) = breakdown::split(&pending(&[("e-1", ms(400).into())]));
    assert!(by_priority.is_empty());
    let message = report(waiting, by_priority, 0);
    let text = String::from_utf8(reports::datagram(message)).unwrap();
    assert_eq!(text, r#"{"notice":{"node":"edge-vn-south-a-2","waiting":{"e-1":400}}}"#);
    let older = OlderMessage::Notice {
        node: "edge-vn-south-a-2".to_owned(),
        waiting: HashMap::from([("e-1".into(), ms(400))]),
        reads: Vec::new(),
        unreachable: Vec::new(),
    };
    assert_eq!(serde_json::from_str::<OlderMessage>(&text).unwrap(), older);
}

fn report(
    waiting: HashMap<endpoint::Id, Duration>,
    by_priority: Breakdown,
    n_prefills: usize,
) -> Message {
    let id = || endpoint::Id::new("i-7ceb459a0f");
    let prefill = || Record { prefix_hash: u64::MAX, endpoint: id() };
    Message::Report {
        node: "edge-vn-south-a-2".to_owned(),
        waiting,
        by_priority,
        prefills: (0..n_prefills).map(|_| prefill()).collect(),
        unreachable: Vec::new(),
        in_flight: HashMap::new(),
        at_ms: None,
        slowdowns: Entries::default(),
        rejected: HashMap::new(),
        rejected_prompts: HashMap::new(),
        settled: HashMap::new(),
    }
}

/// The work of a burst at as many endpoints as a report may contain: large prompts of two
/// priorities, the less the later the endpoint's id.
fn busiest() -> PendingWork {
    let work = |n: u64| Work::new(7, ms(4_000 - n)) + Work::new(9, ms(5_000));
    let id = |n: u64| endpoint::Id::new(format!("i-7ceb459a{n:02}"));
    (0..MAX_REPORTED_ENDPOINTS as u64).map(|n| (id(n), work(n))).collect()
}

fn received(bytes: &[u8]) -> (PendingWork, Vec<Record>) {
    match serde_json::from_slice(bytes).unwrap() {
        Message::Report { waiting, by_priority, prefills, .. } => {
            let (work, n_dropped) = breakdown::join(waiting, &by_priority);
            assert_eq!(n_dropped, 0);
            (work, prefills)
        }
        _ => panic!("a report is sent"),
    }
}

/// Guards against a report that exceeds the datagram, which receivers reject as malformed.
#[test]
fn priorities_at_32_endpoints_fit_a_datagram() {
    let (waiting, by_priority) = breakdown::split(&busiest());
    let bytes = reports::datagram(report(waiting, by_priority, 0));
    assert!(bytes.len() <= MAX_DATAGRAM, "{} bytes", bytes.len());
    assert_eq!(received(&bytes).0, busiest());
}

/// Beside prompts sent for prefill, not all priorities fit. Guards against sums or prompts that are
/// dropped in their place, and against the loss of those of the busiest endpoints.
#[test]
fn priorities_of_the_least_work_are_dropped_first() {
    let (waiting, by_priority) = breakdown::split(&busiest());
    let bytes = reports::datagram(report(waiting, by_priority, 4));
    assert!(bytes.len() <= MAX_DATAGRAM, "{} bytes", bytes.len());
    let (work, prefills) = received(&bytes);
    assert_eq!(prefills.len(), 4);
    let mut sorted: Vec<_> = work.into_iter().collect();
    sorted.sort_by(|(id, _), (other, _)| id.cmp(other));
    let is_kept = |(id, work): &(endpoint::Id, Work)| *work == busiest()[id];
    let n_kept = sorted.iter().take_while(|it| is_kept(it)).count();
    assert!((10..MAX_REPORTED_ENDPOINTS).contains(&n_kept), "{n_kept} kept");
    for (id, work) in &sorted[n_kept..] {
        assert_eq!(*work, busiest()[id].total().into(), "{id}");
    }
}

/// Guards against a report that exceeds the datagram even without priorities.
#[test]
fn prompts_are_dropped_before_sums() {
    let id = |n: usize| endpoint::Id::new(format!("{n:02}-{}", "x".repeat(20)));
    let work: PendingWork =
        (0..MAX_REPORTED_ENDPOINTS).map(|n| (id(n), Work::new(9, ms(5_000)))).collect();
    let (waiting, by_priority) = breakdown::split(&work);
    let bytes = reports::datagram(report(waiting, by_priority, 8));
    assert!(bytes.len() <= MAX_DATAGRAM, "{} bytes", bytes.len());
    let (received, prefills) = received(&bytes);
    let sums: PendingWork = work.into_iter().map(|(id, it)| (id, it.total().into())).collect();
    assert_eq!(received, sums);
    assert!(prefills.len() < 8);
}

/// Guards against sums that are dropped in place of numbers of requests, and against the loss of the
/// largest numbers.
#[test]
fn numbers_in_flight_are_dropped_last_and_the_smallest_first() {
    let id = |n: u32| endpoint::Id::new(format!("{n:02}-{}", "x".repeat(20)));
    let (waiting, by_priority) = breakdown::split(&busiest());
    let slowed = json!({ id(0).as_str(): [170, 20, 51] });
    let mut message = report(waiting, by_priority, 8);
    let Message::Report { in_flight, slowdowns, .. } = &mut message else { unreachable!() };
    *in_flight = (0..MAX_REPORTED_ENDPOINTS as u32).map(|n| (id(n), n + 1)).collect();
    *slowdowns = serde_json::from_value(slowed).unwrap();
    let bytes = reports::datagram(message);
    assert!(bytes.len() <= MAX_DATAGRAM, "{} bytes", bytes.len());
    let Message::Report { waiting, by_priority, prefills, in_flight, slowdowns, .. } =
        serde_json::from_slice(&bytes).unwrap()
    else {
        panic!("a report is sent")
    };
    assert!(by_priority.is_empty() && prefills.is_empty() && slowdowns.is_empty());
    let sums = busiest().into_iter().map(|(id, it)| (id, it.total())).collect();
    assert_eq!(waiting, sums);
    let n_kept = in_flight.len() as u32;
    assert!((5..MAX_REPORTED_ENDPOINTS as u32).contains(&n_kept), "{n_kept} kept");
    let largest = MAX_REPORTED_ENDPOINTS as u32 - n_kept..MAX_REPORTED_ENDPOINTS as u32;
    assert_eq!(in_flight, largest.map(|n| (id(n), n + 1)).collect());
}

/// Guards against a sum over nodes that mixes priorities or counts outdated reports.
#[test]
fn reports_of_several_nodes_add_up_by_priority() {
    let (mut table, now) = (LoadTable::default(), std::time::Instant::now());
    table.update("n-1".to_owned(), pending(&[("e-1", Work::new(2, ms(100)))]), now);
    table.update("n-2".to_owned(), pending(&[("e-1", Work::new(9, ms(300)))]), now + ms(500));
    let (id, later) = ("e-1".into(), now + ms(600));
    let sum = Work::new(2, ms(100)) + Work::new(9, ms(300));
    assert_eq!(table.waiting(&id, "n-3", later), sum);
    assert_eq!(table.age(&id, "n-3", later), Some(ms(600)));
    assert_eq!(table.waiting(&id, "n-3", later + ms(300)), Work::new(9, ms(300)));
    assert_eq!(table.age(&id, "n-3", later + ms(2_000)), None);
}

/// Guards against a table that grows with every name under which nodes were ever started.
#[test]
fn expired_reports_are_removed() {
    let (mut table, now) = (LoadTable::default(), std::time::Instant::now());
    for n in 0..1_000 {
        let work = pending(&[("e-1", ms(100).into())]);
        table.update(format!("n-{n}"), work, now + ms(10) * n);
    }
    // A report is valid for 800 ms.
    assert_eq!(table.n_reports(), 80);
}

fn price_scale(levels: &[u8]) -> Scale {
    let mut scale = Scale::default();
    levels.iter().cycle().take(1_000).for_each(|level| scale.record(*level));
    scale
}

/// Guards against a price that follows ranks where contention is ignored, and against one that does
/// not where requests compete by rank.
#[parameterized(
    urgent = { 2, 0.4 - 0.1 },
    usual = { 3, 0.4 },
    least_urgent = { 4, 0.4 + 0.1 },
)]
fn price_of_the_largest_model_follows_ranks_only_by_rank(level: u8, by_rank: f64) {
    let scale = price_scale(&[3]);
    assert_eq!(cascade::large_model_price(Contention::Ignored, &scale, level), 0.45);
    let price = cascade::large_model_price(Contention::ByRank, &scale, level);
    assert!((price - by_rank).abs() < 1e-9, "{price}");
}

/// Guards against a level that is starved of the largest model: an answer that is certainly bad is
/// escalated to an idle engine at the price of any level.
#[parameterized(
    mixed = { &[0, 1, 2, 3, 4] },
    urgent = { &[0] },
    patient = { &[4] },
)]
fn no_level_is_priced_out(levels: &[u8]) {
    let scale = price_scale(levels);
    let small = forecast(SMALL_MODEL, Duration::ZERO, 0.0);
    for level in 0..=u8::MAX {
        let price = cascade::large_model_price(Contention::ByRank, &scale, level);
        let large = forecast(LARGE_MODEL, Duration::ZERO, price);
        assert!(cascade::should_escalate(0, &small, &large, &TARGETS), "level {level}: {price}");
    }
}

/// The messages logged while the tests run.
static LOGGED: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Capture;

impl log::Log for Capture {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LOGGED.lock().push(format!("{} {}", record.level(), record.args()));
    }

    fn flush(&self) {}
}

fn answer(pending: &PendingWork) -> Message {
    let (waiting, by_priority) = breakdown::split(pending);
    Message::Answer {
        id: u64::MAX,
        waiting,
        by_priority,
        holders: Some(vec![endpoint::Id::new("i-7ceb459a0f"); 8]),
        unreachable: Vec::new(),
        slowdowns: Entries::default(),
        in_flight: HashMap::new(),
        loads: HashMap::new(),
        limits: HashMap::new(),
        long_prompts: HashMap::new(),
    }
}

/// Guards against an answer that exceeds the datagram by its priorities. The node that asked would
/// reject it and place the request without knowing the load.
#[test]
fn priorities_of_an_answer_are_dropped_before_it_exceeds_a_datagram() {
    let bytes = reports::datagram(answer(&busiest()));
    assert!(bytes.len() <= MAX_DATAGRAM, "{} bytes", bytes.len());
    let Message::Answer { waiting, by_priority, holders, .. } =
        serde_json::from_slice(&bytes).unwrap()
    else {
        panic!("an answer is sent")
    };
    let (work, n_changed) = breakdown::join(waiting, &by_priority);
    assert_eq!((n_changed, holders.map(|it| it.len())), (0, Some(8)));
    let n_kept = work.iter().filter(|(id, work)| **work == busiest()[*id]).count();
    assert!((10..MAX_REPORTED_ENDPOINTS).contains(&n_kept), "{n_kept} kept");
    assert!(work.iter().all(|(id, work)| work.total() == busiest()[id].total()));
}

/// Guards against messages that receivers reject for their length without a trace at the sender.
#[test]
fn message_that_exceeds_a_datagram_is_logged() {
    log::set_logger(&Capture).expect("no other logger is set");
    log::set_max_level(log::LevelFilter::Debug);
    let id = |n: usize| endpoint::Id::new(format!("{n:02}-{}", "x".repeat(40)));
    let work = (0..MAX_REPORTED_ENDPOINTS).map(|n| (id(n), ms(5_000).into())).collect();
    let n_bytes = reports::datagram(answer(&work)).len();
    assert!(MAX_DATAGRAM < n_bytes);
    let expected = format!("DEBUG message of {n_bytes} bytes exceeds a datagram of 1400 bytes");
    assert!(LOGGED.lock().contains(&expected), "{:?}", LOGGED.lock());
}
