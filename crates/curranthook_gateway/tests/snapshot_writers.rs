//! One node writes the snapshot of latency estimates, seldom and only if it has changed.

#[path = "support/node.rs"]
#[allow(dead_code, reason = "each test uses a part")]
mod node;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use curranthook_gateway::{
    apply,
    load::{
        latency::{FirstEvent, Learned},
        observed::record_first_event,
        prefill::Prompt,
        snapshot::{Rejection, Snapshot},
        snapshot_rows::Writer,
    },
    settings::Contention,
    store::{Batch, Table},
};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use yare::parameterized;

use self::node::{FleetTable, TestNode, announce, forecasts, observe, true_coefficients};

const KEY: &str = "snapshot/engines";

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A node, its writer and the time by the store's clock.
struct Active {
    node: TestNode,
    writer: Writer,
    now: Duration,
}

impl Active {
    /// A node that has learned from `n_events` first events of each model.
    fn start(name: &str, table: &Arc<FleetTable>, n_events: usize) -> Self {
        let node = TestNode::start(name, Contention::ByRank, table);
        node.configure();
        node.read(table, Some(s(100)));
        observe(&node, n_events, 0, 1.0, &mut Pcg64::seed_from_u64(1));
        let writer = Writer::new(Arc::clone(&node.gateway));
        Self { node, writer, now: s(100) }
    }

    /// Lets a second pass, in which the node receives changed rows and writes what is due.
    fn tick(&mut self, table: &FleetTable) {
        self.pass_second(table);
        async_io::block_on(self.writer.update());
    }

    /// Like [`Self::tick`], but each 60 s the node observes all models before it writes. All nodes
    /// observe the same.
    fn tick_and_observe(&mut self, table: &FleetTable, second: u64) {
        self.pass_second(table);
        if second.is_multiple_of(60) {
            observe(&self.node, 1, 0, 1.0, &mut Pcg64::seed_from_u64(second));
        }
        async_io::block_on(self.writer.update());
    }

    fn pass_second(&mut self, table: &FleetTable) {
        self.now += s(1);
        self.node.clock.advance(s(1));
        if !table.is_down.load(Ordering::Relaxed) {
            self.node.read(table, Some(self.now));
        }
    }

    fn count(&self, result: &str) -> usize {
        let text = self.node.gateway.metrics.text();
        let name = format!("curranthook_snapshots_total{{name=\"{result}\"}} ");
        text.lines().find_map(|it| it.strip_prefix(&name)).map_or(0, |it| it.parse().unwrap())
    }
}

fn stored(table: &FleetTable, now: Duration) -> Snapshot {
    Snapshot::decode(&table.get(KEY).expect("a snapshot is stored"), now).unwrap()
}

/// A fleet in which every node knows all others, the writer first.
fn fleet(table: &Arc<FleetTable>, n_nodes: usize) -> Vec<Active> {
    let names: Vec<_> = (0..n_nodes).map(|it| format!("n-{it}")).collect();
    names.iter().for_each(|it| announce(table, it));
    let mut nodes: Vec<_> = names.iter().map(|it| Active::start(it, table, 60)).collect();
    nodes.sort_by_key(|it| curranthook_gateway::fleet::rank(&it.node.gateway, "engines"));
    nodes
}

/// Guards against calls to the store that grow with the size of the fleet or with the rate of
/// observations: one node writes once while nothing changes, and at most each 8 s when engines
/// change all the time.
#[test]
fn one_node_writes_seldom() {
    let table = Arc::new(FleetTable::default());
    let mut nodes = fleet(&table, 8);
    let mut rng = Pcg64::seed_from_u64(2);
    for _ in 0..120 {
        for it in &mut nodes {
            observe(&it.node, 3, 0, 1.0, &mut rng);
            it.tick(&table);
        }
    }
    let written: Vec<_> = nodes.iter().map(|it| it.count("written")).collect();
    assert!((1..=2).contains(&written[0]) && written[1..].iter().all(|it| *it == 0), "{written:?}");
    let before = written[0];
    for second in 0..80 {
        for it in &mut nodes {
            observe(&it.node, 20, 0, if second % 8 < 4 { 1.0 } else { 3.0 }, &mut rng);
            it.tick(&table);
        }
    }
    let written: Vec<_> = nodes.iter().map(|it| it.count("written")).collect();
    let n_written = written[0] - before;
    assert!((3..=10).contains(&n_written) && written[1..].iter().all(|it| *it == 0), "{written:?}");
    assert!(nodes.iter().all(|it| it.count("conflict") + it.count("write_failed") == 0));
}

/// Guards against an unchanged snapshot that becomes too old while the fleet runs.
#[test]
fn an_unchanged_snapshot_does_not_expire() {
    let table = Arc::new(FleetTable::default());
    let mut nodes = fleet(&table, 2);
    for second in 0..1_500 {
        nodes.iter_mut().for_each(|it| it.tick_and_observe(&table, second));
        assert_eq!(stored(&table, nodes[0].now).models(nodes[0].now).count(), 3);
    }
    assert_eq!((nodes[0].count("written"), nodes[1].count("written")), (5, 0));
    let lines = nodes[0].node.lines("snapshot");
    let written = lines.iter().filter(|it| it["state"] == "written");
    let reasons: Vec<_> = written.map(|it| it["why"].as_str().unwrap()).collect();
    assert_eq!(reasons, ["missing", "aging", "aging", "aging", "aging"]);
    assert_eq!(lines[1]["age_ms"], 300_000);
}

/// Guards against writers that stamp an estimate as new which nobody has observed for hours, so that
/// nodes would start from it.
#[test]
fn an_estimate_that_is_no_longer_observed_expires() {
    let table = Arc::new(FleetTable::default());
    let mut nodes = fleet(&table, 2);
    (0..599).for_each(|_| nodes.iter_mut().for_each(|it| it.tick(&table)));
    assert_eq!(stored(&table, nodes[0].now).models(nodes[0].now).count(), 3);
    for n_seconds in [1, 1_200] {
        (0..n_seconds).for_each(|_| nodes.iter_mut().for_each(|it| it.tick(&table)));
        let (value, now) = (table.get(KEY).expect("a snapshot is stored"), nodes[0].now);
        assert_eq!(Snapshot::decode(&value, now), Err(Rejection::TooOld(now - s(101))));
    }
    let written: usize = nodes.iter().map(|it| it.count("written")).sum();
    assert_eq!(written, 1);
}

/// The writer is lost. Guards against a snapshot that nobody writes: the next node does so before
/// the last one is too old, and if there was none, after some seconds.
#[test]
fn a_lost_writer_is_replaced() {
    let table = Arc::new(FleetTable::default());
    let mut nodes = fleet(&table, 6);
    let mut lost = nodes.remove(0);
    for second in 1..=60 {
        nodes.iter_mut().for_each(|it| it.tick(&table));
        assert_eq!(table.get(KEY).is_some(), 21 <= second, "at {second} s");
    }
    // The writer returns for some seconds, with other estimates.
    lost.now = nodes[0].now;
    lost.node.clock.advance(s(60));
    observe(&lost.node, 200, 0, 3.0, &mut Pcg64::seed_from_u64(3));
    lost.tick(&table);
    assert_eq!(lost.count("written"), 1);
    for second in 0..1_200 {
        nodes.iter_mut().for_each(|it| it.tick_and_observe(&table, second));
        stored(&table, nodes[0].now);
    }
    assert!(nodes.iter().skip(1).all(|it| it.count("written") == 0));
}

/// The writer is lost, then engines change. Guards against a snapshot that stays wrong for minutes:
/// the next node writes the change, once.
#[test]
fn a_change_is_written_without_the_first_node() {
    let table = Arc::new(FleetTable::default());
    let mut nodes = fleet(&table, 6);
    nodes[0].tick(&table);
    let (first_rev, mut nodes) = (table.rev(KEY), nodes.split_off(1));
    for second in 1..=100 {
        for it in &mut nodes {
            observe(&it.node, 20, 0, 3.0, &mut Pcg64::seed_from_u64(second));
            it.tick(&table);
        }
        assert_eq!(table.rev(KEY) != first_rev, 29 <= second, "at {second} s");
    }
    let written: Vec<_> = nodes.iter().map(|it| it.count("written")).collect();
    assert_eq!(written, [1, 0, 0, 0, 0]);
}

/// The writer is lost before any node has observed a further model. Guards against models that are
/// missing in the snapshot until the other models become old, minutes later.
#[test]
fn a_missing_model_is_written_without_the_first_node() {
    let table = Arc::new(FleetTable::default());
    let coefficients = true_coefficients(1.0);
    let learned = Learned { coefficients, event_interval_s: Some(0.03) };
    let large = Snapshot::merge(None, [("large".to_owned(), learned, s(0))], false, s(100));
    table.put(KEY, &large.encode().unwrap());
    let mut nodes = fleet(&table, 6).split_off(1);
    for second in 1..=60 {
        nodes.iter_mut().for_each(|it| it.tick(&table));
        let n_models = stored(&table, nodes[0].now).models(nodes[0].now).count();
        assert_eq!(n_models, if second < 28 { 1 } else { 3 }, "at {second} s");
    }
}

/// The rows of nodes that are gone stay in the store. Guards against a snapshot that nobody writes
/// because many such nodes precede those that run, and against nodes that wait too long.
#[test]
fn nodes_that_are_gone_are_replaced() {
    let table = Arc::new(FleetTable::default());
    let mut nodes = fleet(&table, 20).split_off(15);
    (0..200).for_each(|_| nodes.iter_mut().for_each(|it| it.tick(&table)));
    for second in 0..1_200 {
        nodes.iter_mut().for_each(|it| it.tick_and_observe(&table, second));
        stored(&table, nodes[0].now);
    }
    let n_written: usize = nodes.iter().map(|it| it.count("written")).sum();
    assert!((3..=4).contains(&n_written), "{n_written}");
}

/// The writer is killed and starts again. Guards against a second write within 8 s, as the process
/// does not remember the first one.
#[test]
fn a_restarted_writer_keeps_the_interval() {
    let table = Arc::new(FleetTable::default());
    let mut writer = Active::start("n-1", &table, 60);
    writer.tick(&table);
    let rev = table.rev(KEY).unwrap();
    let mut restarted = Active::start("n-1", &table, 0);
    restarted.now = writer.now;
    observe(&restarted.node, 200, 0, 3.0, &mut Pcg64::seed_from_u64(5));
    for second in 1..=9 {
        restarted.tick(&table);
        assert_eq!(table.rev(KEY).unwrap() == rev, second < 8, "at {second} s");
    }
}

/// A node starts and knows no other node yet. Guards against a fleet in which each node takes
/// itself for the writer and calls the store.
#[test]
fn nothing_is_written_before_the_other_nodes_are_known() {
    let table = Arc::new(FleetTable::default());
    let node = TestNode::start("n-1", Contention::ByRank, &table);
    node.configure();
    observe(&node, 60, 0, 1.0, &mut Pcg64::seed_from_u64(6));
    let read = Batch { now: Some(s(100)), ..Batch::default() };
    apply::batch(&node.gateway, Table::Operator, read, true, "store");
    let mut writer = Writer::new(Arc::clone(&node.gateway));
    async_io::block_on(writer.update());
    assert_eq!(table.n_calls.load(Ordering::Relaxed), 0);
    node.read(&table, Some(s(101)));
    async_io::block_on(writer.update());
    assert!(table.get(KEY).is_some());
}

/// Two nodes each take themselves for the writer, as they do not know each other yet. Guards
/// against a write that is lost without notice, and against nodes that overwrite each other.
#[test]
fn two_writers_do_not_overwrite_each_other() {
    let (table, alone) = (Arc::new(FleetTable::default()), FleetTable::default());
    let mut one = Active::start("n-1", &table, 60);
    let mut other = Active::start("n-2", &table, 60);
    // Both have read the table before either has written.
    for it in [&mut one, &mut other] {
        it.node.read(&alone, Some(it.now));
    }
    async_io::block_on(one.writer.update());
    async_io::block_on(other.writer.update());
    assert_eq!((one.count("written"), other.count("conflict")), (1, 1));
    let rev = table.rev(KEY);
    for _ in 0..60 {
        one.tick(&table);
        other.tick(&table);
    }
    assert_eq!(table.rev(KEY), rev, "estimates are the same");
    let states: Vec<_> =
        other.node.lines("snapshot").iter().map(|it| it["state"].clone()).collect();
    assert_eq!(states, ["conflict"]);
}

/// The store is unavailable. Guards against calls in quick succession, and against a node that
/// stops or forgets what it has learned.
#[test]
fn an_unavailable_store_is_called_seldom() {
    let table = Arc::new(FleetTable::default());
    let mut node = Active::start("n-1", &table, 60);
    let before = forecasts(&node.node, 0);
    table.is_down.store(true, Ordering::Relaxed);
    let n_calls = table.n_calls.load(Ordering::Relaxed);
    (0..40).for_each(|_| node.tick(&table));
    assert_eq!(table.n_calls.load(Ordering::Relaxed) - n_calls, 5);
    assert_eq!(node.count("write_failed"), 5);
    assert_eq!(forecasts(&node.node, 0), before);
    table.is_down.store(false, Ordering::Relaxed);
    (0..8).for_each(|_| node.tick(&table));
    assert_eq!(node.count("written"), 1);
}

/// Guards against a snapshot made of a few answers, which may be far off.
#[test]
fn few_observations_are_not_shared() {
    let table = Arc::new(FleetTable::default());
    let mut node = Active::start("n-1", &table, 29);
    node.tick(&table);
    assert!(table.get(KEY).is_none());
    observe(&node.node, 1, 0, 1.0, &mut Pcg64::seed_from_u64(4));
    node.tick(&table);
    assert!(table.get(KEY).is_some());
}

/// Guards against a snapshot made of claims that the estimate ignores, which would share the prior,
/// and against rejected requests, which are answered soon, as observations of a model's speed.
#[parameterized(
    used = { 10_000, true, Some(Duration::ZERO), true },
    ignored = { 1_000_001, true, None, false },
    rejected = { 10_000, false, None, false },
)]
fn only_used_successes_are_observations(
    tokens: u64,
    is_success: bool,
    age: Option<Duration>,
    is_written: bool,
) {
    let table = Arc::new(FleetTable::default());
    let mut node = Active::start("n-1", &table, 0);
    let gateway = Arc::clone(&node.node.gateway);
    let event = FirstEvent {
        prompt: Prompt::new(tokens, 0),
        outstanding: 0,
        queue_delay: Duration::ZERO,
        elapsed: s(1),
    };
    for _ in 0..30 {
        record_first_event(&gateway, "engines", ("large", 1.0), event, is_success);
    }
    let now = gateway.now();
    assert_eq!(gateway.observations.lock().age("engines", "large", now), age);
    let is_learned = gateway.latency_estimator.lock().learned("engines", "large").is_some();
    assert_eq!(is_learned, tokens < 1_000_000);
    node.tick(&table);
    assert_eq!(table.get(KEY).is_some(), is_written);
}

/// Guards against writers that pass on estimates which no node has confirmed, so that they would
/// never become too old.
#[test]
fn estimates_that_no_node_confirms_expire() {
    let table = Arc::new(FleetTable::default());
    let learned = Learned { coefficients: true_coefficients(1.0), event_interval_s: None };
    let unconfirmed = Snapshot::merge(None, [("rare".to_owned(), learned, s(0))], false, s(90));
    table.put(KEY, &unconfirmed.encode().unwrap());
    let mut node = Active::start("n-1", &table, 60);
    (0..580).for_each(|second| node.tick_and_observe(&table, second));
    assert_eq!(stored(&table, node.now).models(node.now).count(), 4);
    (0..30).for_each(|_| node.tick(&table));
    assert_eq!(stored(&table, node.now).models(node.now).count(), 3);
}

/// Guards against a writer that replaces the estimate of a node that observed the model later.
#[test]
fn the_latest_observation_is_stored() {
    let learned =
        |rate: f64| Learned { coefficients: [0.1, rate, 0.0, 0.0].into(), event_interval_s: None };
    let merged = |age: Duration| {
        let stored = [("large".to_owned(), learned(0.2), s(0))];
        let stored = Snapshot::merge(None, stored, false, s(100));
        let own = [("large".to_owned(), learned(0.4), age)];
        let merged = Snapshot::merge(Some(&stored), own, false, s(130));
        merged.models(s(130)).next().unwrap().1
    };
    assert_eq!(merged(s(29)), learned(0.4));
    assert_eq!(merged(s(31)), learned(0.2));
}

/// Nodes of two builds run side by side. Guards against builds that overwrite each other's rows,
/// and against a row of another build that stays for ever after that build is gone.
#[test]
fn a_row_of_another_format_is_replaced_when_it_is_abandoned() {
    let (table, other) = (Arc::new(FleetTable::default()), br#"{"format":2}"#);
    table.put(KEY, other);
    let mut node = Active::start("n-1", &table, 60);
    (0..500).for_each(|second| node.tick_and_observe(&table, second));
    table.put(KEY, other);
    (0..599).for_each(|second| node.tick_and_observe(&table, second));
    assert_eq!(table.get(KEY).as_deref(), Some(&other[..]));
    (0..3).for_each(|_| node.tick(&table));
    stored(&table, node.now);
}

/// Guards against a row that the store or a reader would reject, whatever the names of models.
#[test]
fn the_size_of_a_snapshot_is_bounded() {
    let learned =
        Learned { coefficients: true_coefficients(1.0 / 3.0), event_interval_s: Some(1.0 / 3.0) };
    let invalid = Learned { coefficients: [f64::NAN; 4].into(), ..learned };
    let models = (0..500).map(|it| (format!("{it:064}"), learned, s(0)));
    let other = [("x".repeat(65), learned, s(0)), ("invalid".to_owned(), invalid, s(0))];
    let snapshot = Snapshot::merge(None, models.chain(other), true, s(100));
    let value = snapshot.encode().unwrap();
    assert!(value.len() < 10_000, "{} bytes", value.len());
    assert_eq!(Snapshot::decode(&value, s(100)).unwrap().models(s(100)).count(), 32);
}
