//! Nodes that start take latency estimates from the snapshot in the store.

#[path = "support/node.rs"]
#[allow(dead_code, reason = "each test uses a part")]
mod node;

use std::{sync::Arc, time::Duration};

use curranthook_gateway::{
    dialect::Load,
    entry::{Entry, State},
    load::{
        latency::Learned,
        prefill::{Filter, Prompt},
        snapshot::{Rejection, Snapshot},
        snapshot_rows::Writer,
    },
    settings::Contention,
};
use curranthook_policy::slowdown::{Factor, Figure};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use yare::parameterized;

use self::node::{
    FleetTable, MODELS, PRIOR_ERROR, TestNode, announce, forecasts, largest_factor, observe,
    true_coefficients,
};

const KEY: &str = "snapshot/engines";

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn learned() -> impl Iterator<Item = (String, Learned, Duration)> {
    MODELS.into_iter().map(|(name, price)| {
        let coefficients = true_coefficients(price);
        (name.to_owned(), Learned { coefficients, event_interval_s: Some(0.03) }, s(0))
    })
}

/// A row written at 100 s by the store's clock.
fn row(reports_slowdown: bool) -> Vec<u8> {
    Snapshot::merge(None, learned(), reports_slowdown, s(100)).encode().unwrap()
}

fn started(contention: Contention, table: &Arc<FleetTable>) -> TestNode {
    announce(table, "n-1");
    let node = TestNode::start("n-1", contention, table);
    node.configure();
    node
}

fn update(node: &TestNode) {
    async_io::block_on(Writer::new(Arc::clone(&node.gateway)).update());
}

/// All nodes are killed at once and come back before engines with a backlog. Guards against a
/// restart that loses what the fleet has learned: with priors that are off by 2.4 times, forecasts
/// are wrong, and the largest model is asked too seldom, until each node has learned again.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn a_restarted_fleet_forecasts_as_before(seed: u64) {
    const N_QUEUED: u32 = 6;
    let (table, mut rng) = (Arc::new(FleetTable::default()), Pcg64::seed_from_u64(seed));
    let names: Vec<_> = (0..84).map(|it| format!("n-{it}")).collect();
    names.iter().for_each(|it| announce(&table, it));
    let start = |now: u64| -> Vec<TestNode> {
        let start = |name: &String| {
            let node = TestNode::start(name, Contention::ByRank, &table);
            node.configure();
            node.read(&table, Some(s(now)));
            node
        };
        names.iter().map(start).collect()
    };
    let nodes = start(100);
    for it in &nodes {
        observe(it, 60, 0, 1.0, &mut rng);
        update(it);
    }
    assert!(table.get(KEY).is_some(), "one node writes");
    let before: Vec<_> = nodes.iter().map(|it| forecasts(it, N_QUEUED)).collect();
    let unknowing = TestNode::start("n-0", Contention::ByRank, &Arc::default());
    let without = largest_factor(&forecasts(&unknowing, N_QUEUED), &before[0]);
    assert!(PRIOR_ERROR * 0.8 < without, "priors are off by {without:.2}");
    drop(nodes);

    let nodes = start(130);
    for n_observed in [0, 1, 5, 20] {
        for (it, before) in nodes.iter().zip(&before) {
            observe(it, n_observed, N_QUEUED, 1.0, &mut rng);
            let factor = largest_factor(&forecasts(it, N_QUEUED), before);
            assert!(factor < 1.3, "off by {factor:.2} after {n_observed} events");
        }
    }
}

/// Guards against a snapshot of which a node is as sure as of its own observations, so that it
/// would not follow engines that have changed, and against one that counts no more than the prior.
#[test]
fn shared_estimates_are_less_certain_than_learned_ones() {
    let (prompt, elapsed) = (Prompt::new(10_000, 0), Duration::from_millis(500));
    let mut learned = Filter::new(1.0);
    (0..60).for_each(|_| assert!(learned.update(prompt, 0, Duration::ZERO, elapsed)));
    let shared = Filter::from_shared(1.0, learned.coefficients());
    let change = |mut filter: Filter| {
        let forecast = |it: &Filter| it.coefficients().time_to_first_event(prompt, 0);
        let before = forecast(&filter);
        filter.update(prompt, 0, Duration::ZERO, before * 13 / 10);
        (forecast(&filter) - before).as_secs_f64() / before.as_secs_f64()
    };
    let (learned, shared, prior) = (change(learned), change(shared), change(Filter::new(1.0)));
    assert!(learned * 1.5 < shared && shared * 1.1 < prior, "{learned} {shared} {prior}");
}

/// Guards against a wrong snapshot that a node keeps: after some dozens of its own observations,
/// forecasts are as the engines are.
#[test]
fn a_wrong_snapshot_is_corrected() {
    let (table, mut rng) = (Arc::new(FleetTable::default()), Pcg64::seed_from_u64(4));
    let wrong = learned().map(|(name, it, age)| {
        let coefficients = Filter::new(0.2).coefficients();
        (name, Learned { coefficients, ..it }, age)
    });
    table.put(KEY, &Snapshot::merge(None, wrong, false, s(100)).encode().unwrap());
    let node = started(Contention::ByRank, &table);
    node.read(&table, Some(s(110)));
    observe(&node, 60, 0, 1.0, &mut rng);
    let other = started(Contention::ByRank, &Arc::default());
    observe(&other, 200, 0, 1.0, &mut rng);
    let factor = largest_factor(&forecasts(&node, 0), &forecasts(&other, 0));
    assert!(factor < 1.35, "off by {factor:.2}");
}

/// Guards against a row that breaks a node that starts or misleads it. Forecasts remain those of
/// the priors, and the log states once why the row was rejected.
#[parameterized(
    old = { "too_old", row(false), 701 },
    of_a_reset_clock = { "from_future", row(false), 50 },
    malformed = { "malformed", b"not JSON".to_vec(), 110 },
    of_another_kind = { "malformed", b"[1, 2]".to_vec(), 110 },
    cut_off = { "malformed", row(false)[..200].to_vec(), 110 },
    huge = { "too_large", vec![b' '; 16 * 1024], 110 },
    other_format = { "other_format", changed("\"format\":1", "\"format\":2"), 110 },
    overflow = { "malformed", changed("0.03", "1e999"), 110 },
    negative_rate = { "out_of_range", changed("1.128", "-1.128"), 110 },
    slow_rate = { "out_of_range", changed("1.128", "1e9"), 110 },
    negative_interval = { "out_of_range", changed("0.03", "-0.03"), 110 },
    many_models = { "too_many_models", with_models(33), 110 },
    no_models = { "too_old", with_models(0), 110 },
)]
fn unusable_rows_leave_the_priors(why: &str, value: Vec<u8>, now: u64) {
    let table = Arc::new(FleetTable::default());
    table.put(KEY, &value);
    let node = started(Contention::ByRank, &table);
    let priors = forecasts(&node, 0);
    node.read(&table, Some(s(now)));
    (0..3).for_each(|_| update(&node));
    assert_eq!(forecasts(&node, 0), priors);
    let lines = node.lines("snapshot");
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!((&lines[0]["state"], &lines[0]["why"]), (&"rejected".into(), &why.into()));
    assert!(
        node.gateway.metrics.text().contains("curranthook_snapshots_total{name=\"rejected\"} 1")
    );
}

fn changed(from: &str, to: &str) -> Vec<u8> {
    let text = String::from_utf8(row(false)).unwrap();
    assert!(text.contains(from), "{text}");
    text.replace(from, to).into_bytes()
}

fn with_models(n_models: usize) -> Vec<u8> {
    let model = r#"{"at_ms":100000,"coefficients":[0.1,0.2,0.0,0.1]}"#;
    let models: Vec<_> = (0..n_models).map(|it| format!("\"m-{it}\":{model}")).collect();
    format!(r#"{{"format":1,"at_ms":100000,"models":{{{}}}}}"#, models.join(",")).into_bytes()
}

/// Guards against a check that depends on the order of the row's fields or that rejects fields of a
/// later build.
#[test]
fn fields_of_a_later_build_are_ignored() {
    let value = changed("\"format\":1", "\"endpoints\":{\"e-1\":1.7},\"format\":1");
    assert_eq!(Snapshot::decode(&value, s(110)), Snapshot::decode(&row(false), s(110)));
    assert_eq!(Snapshot::decode(&value, s(900)), Err(Rejection::TooOld(s(800))));
}

/// The store is silent when a node starts, and the row comes later, or comes before the store's
/// clock. Guards against a node that waits for the row, or that never takes a late one.
#[parameterized(late_row = { true }, late_clock = { false })]
fn a_late_row_is_taken(is_row_late: bool) {
    let table = Arc::new(FleetTable::default());
    let node = started(Contention::ByRank, &table);
    let priors = forecasts(&node, 0);
    if is_row_late {
        node.read(&table, Some(s(105)));
    }
    table.put(KEY, &row(false));
    if !is_row_late {
        node.read(&table, None);
    }
    update(&node);
    assert_eq!(forecasts(&node, 0), priors);

    node.read(&table, Some(s(110)));
    update(&node);
    let factor = forecasts(&node, 0)[8] / priors[8];
    assert!((PRIOR_ERROR - 0.05..PRIOR_ERROR + 0.05).contains(&factor), "{factor}");
    let lines = node.lines("snapshot");
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!((&lines[0]["state"], &lines[0]["models"]), (&"taken".into(), &3.into()));
    assert_eq!(lines[0]["age_ms"], 10_000);
    assert!(node.gateway.metrics.text().contains("curranthook_snapshots_total{name=\"taken\"} 1"));
}

/// Guards against a node that keeps a shared estimate for ever: of a model that nobody observes, it
/// starts from the prior again when the estimate is too old, also if it took it late.
#[parameterized(taken_soon = { 110 }, taken_late = { 690 })]
fn a_shared_estimate_expires(taken_at: u64) {
    let table = Arc::new(FleetTable::default());
    table.put(KEY, &row(false));
    let node = started(Contention::ByRank, &table);
    let priors = forecasts(&node, 0);
    node.read(&table, Some(s(taken_at)));
    let shared = forecasts(&node, 0);
    assert_ne!(shared, priors);
    for now in taken_at + 1..=705 {
        node.clock.advance(s(1));
        node.read(&table, Some(s(now)));
        update(&node);
        assert_eq!(forecasts(&node, 0), if now < 700 { &shared } else { &priors }.clone());
    }
}

/// Guards against a snapshot that replaces what a node has learned itself, for instance when
/// another node writes one in steady state. Models that it has not observed start from the newest.
#[test]
fn own_observations_are_kept() {
    let table = Arc::new(FleetTable::default());
    let node = started(Contention::ByRank, &table);
    observe(&node, 5, 0, 0.3, &mut Pcg64::seed_from_u64(5));
    let before = forecasts(&node, 0);
    let other = [("other".to_owned(), learned().next().unwrap().1, s(0))];
    let snapshot = Snapshot::merge(None, learned().chain(other), false, s(100));
    table.put(KEY, &snapshot.encode().unwrap());
    node.read(&table, Some(s(110)));
    assert_eq!(forecasts(&node, 0), before);
    let coefficients = |model: &str| {
        node.gateway.latency_estimator.lock().estimate("engines", model, 1.0).coefficients
    };
    assert_eq!(coefficients("other"), true_coefficients(0.1));
    assert_eq!(node.lines("snapshot")[0]["models"], 1);
}

/// The row arrives after a node's first observations. Guards against a node whose estimates stay
/// near the prior since a few answers came before the row, or a prompt that the estimate ignores.
#[parameterized(one_event = { 1 }, four_events = { 4 })]
fn a_few_own_observations_do_not_shut_out_a_snapshot(n_events: usize) {
    let table = Arc::new(FleetTable::default());
    table.put(KEY, &row(false));
    let unobserved = started(Contention::ByRank, &table);
    unobserved.read(&table, Some(s(110)));
    let node = started(Contention::ByRank, &table);
    observe(&node, n_events, 0, 0.3, &mut Pcg64::seed_from_u64(8));
    node.read(&table, Some(s(110)));
    assert_eq!(forecasts(&node, 0), forecasts(&unobserved, 0));
    assert_eq!(node.lines("snapshot")[0]["models"], 3);
}

/// Guards against a change of deployments where nothing calls for snapshots: a row, if there is
/// any, is neither used nor logged, and nothing is written.
#[test]
fn nothing_is_read_or_written_without_need() {
    let table = Arc::new(FleetTable::default());
    table.put(KEY, &row(false));
    let node = started(Contention::Ignored, &table);
    let priors = forecasts(&node, 0);
    node.read(&table, Some(s(110)));
    assert_eq!(forecasts(&node, 0), priors);
    observe(&node, 60, 0, 1.0, &mut Pcg64::seed_from_u64(6));
    let (rev, n_calls) = (table.rev(KEY), table.n_calls.load(std::sync::atomic::Ordering::Relaxed));
    update(&node);
    assert_eq!(table.n_calls.load(std::sync::atomic::Ordering::Relaxed), n_calls);
    assert_eq!(table.rev(KEY), rev);
    assert!(node.lines("snapshot").is_empty());
    assert!(!node.gateway.metrics.text().contains("curranthook_snapshots_total{"));
}

/// Guards against a fleet that loses its estimates where endpoints report slowdowns: the snapshot
/// is written after a report, and a node that starts takes a snapshot whose writer had one, before
/// its own first answer.
#[test]
fn a_reported_slowdown_calls_for_snapshots() {
    let table = Arc::new(FleetTable::default());
    let node = started(Contention::Ignored, &table);
    node.read(&table, Some(s(100)));
    observe(&node, 60, 0, 1.0, &mut Pcg64::seed_from_u64(7));
    report_load(&node, None);
    update(&node);
    assert_eq!(table.rev(KEY), None);
    // The load in a misdirected or failed response is no evidence of a slowdown.
    report_load(&node, Some(1.0));
    update(&node);
    assert_eq!(table.rev(KEY), None);
    record_slowdown(&node, 1.0);
    update(&node);
    assert!(table.rev(KEY).is_some());

    let fresh = started(Contention::Ignored, &table);
    fresh.read(&table, Some(s(110)));
    let factor = largest_factor(&forecasts(&fresh, 0), &forecasts(&node, 0));
    assert!(factor < 1.01, "off by {factor:.2}");
}

fn report_load(node: &TestNode, slowdown: Option<f64>) {
    let entry = Entry {
        id: "e-1".into(),
        service: "engines".to_owned(),
        addr: "127.0.0.1:9".parse().unwrap(),
        domain: "z-a".into(),
        version: "v1".to_owned(),
        slots: 8,
        state: State::Ready,
        slow_start: Duration::ZERO,
        started_ms: None,
    };
    let (now, load) = (node.gateway.now(), Load { running: 1, waiting: 0, slots: 8, slowdown });
    let mut directory = node.gateway.directory.lock();
    directory.upsert(entry, now);
    directory.first_byte_received(&"e-1".into(), Duration::ZERO.into(), Some(load), now);
}

/// Records a slowdown as a response to a request of this node does.
fn record_slowdown(node: &TestNode, value: f64) {
    let figure = Figure { factor: Factor::new(value).unwrap(), at: node.gateway.now() };
    assert!(node.gateway.directory.lock().record_slowdown(&"e-1".into(), None, figure));
}
