//! Tests of the state that a node derives from the store's rows and from the behavior of endpoints.

use std::time::{Duration, Instant};

use curranthook_gateway::{
    directory::{Directory, Outcome},
    entry::{Entry, State},
    load::work::Work,
    replication::mirror::{ChangesError, Mirror},
    store::{Batch, Rev, Row, Table},
};
use yare::parameterized;

fn row(key: &str, rev: u64, value: Option<&str>) -> Row {
    Row { key: key.into(), rev: Rev(rev), value: value.map(|it| it.as_bytes().to_vec().into()) }
}

fn batch(rev: u64, rows: Vec<Row>) -> Batch {
    Batch { rows, rev: Rev(rev), now: None }
}

fn entry(id: &str, version: &str) -> Entry {
    Entry {
        id: id.into(),
        service: "models".to_owned(),
        addr: "127.0.0.1:9".parse().unwrap(),
        domain: "z-a".into(),
        version: version.to_owned(),
        slots: 8,
        state: State::Ready,
        slow_start: Duration::ZERO,
        started_ms: None,
    }
}

/// A peer that is behind answers a query with older rows. They must not replace newer ones.
#[test]
fn older_rows_are_ignored() {
    let mut mirror = Mirror::default();
    mirror.merge(Table::Operator, batch(9, vec![row("config", 9, Some("new"))]));
    assert!(
        mirror.merge(Table::Operator, batch(7, vec![row("config", 7, Some("old"))])).is_empty()
    );
    assert!(mirror.replace(Table::Operator, batch(8, vec![])).is_empty());
    assert_eq!(mirror.rev(Table::Operator), Rev(9));
}

/// An endpoint's row is removed while a child node is not connected. The answer to the child's next
/// query must contain the removal; otherwise the child would send requests to an endpoint that has
/// left.
#[test]
fn removed_rows_are_reported_to_children() {
    let mut mirror = Mirror::default();
    mirror.replace(
        Table::Endpoints,
        batch(5, vec![row("e-1", 3, Some("x")), row("e-2", 4, Some("y"))]),
    );
    mirror.merge(Table::Endpoints, batch(6, vec![row("e-1", 6, None)]));
    let changes = mirror.changes(Table::Endpoints, Rev(5)).unwrap();
    assert_eq!(changes.rows, [row("e-1", 6, None)]);
    // A read of the whole table detects the removal of the other row as well.
    mirror.replace(Table::Endpoints, batch(8, vec![]));
    let changes = mirror.changes(Table::Endpoints, Rev(6)).unwrap();
    assert_eq!(changes.rows, [row("e-2", 8, None)]);
}

/// A parent node that started after its child has never seen the rows that were removed earlier.
/// The parent must report that its history is incomplete, so that the child reads the whole table.
#[test]
fn a_parent_without_the_history_reports_it() {
    let mut mirror = Mirror::default();
    assert_eq!(mirror.changes(Table::Fleet, Rev(1)), Err(ChangesError::HistoryMissing));
    mirror.replace(Table::Fleet, batch(9, vec![]));
    assert_eq!(mirror.changes(Table::Fleet, Rev(4)), Err(ChangesError::HistoryMissing));
    assert!(mirror.changes(Table::Fleet, Rev(9)).is_ok());
}

/// The first endpoint of a new version is listed before the rollout order for the version has
/// arrived. The endpoint must get no requests until the order arrives or some seconds have passed.
#[test]
fn a_version_without_a_rollout_order_is_held_back() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry("e-old", "v1"), now);
    directory.upsert(entry("e-new", "v2"), now);
    let usable_versions = |at: Instant| -> Vec<String> {
        let ready = directory.ready("models").filter(|it| it.is_established_version(at));
        ready.map(|it| it.entry.version.clone()).collect()
    };
    assert_eq!(usable_versions(now), ["v1"]);
    assert_eq!(
        usable_versions(now + Duration::from_secs(5)).len(),
        2,
        "without any order it is used eventually"
    );
}

/// An endpoint cannot be reached. The time for which the endpoint is ejected doubles with each
/// failure up to 4 s, and an answer ends the ejection.
#[test]
fn the_ejection_time_doubles_with_each_failure() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry("e-1", "v1"), now);
    let id = "e-1".into();
    let mut ejection_times = Vec::new();
    for _ in 0..5 {
        directory.request_ended(&id, Outcome::ConnectionLost, Work::default(), now);
        let tracked = directory.get(&id).unwrap();
        let until = (0..100)
            .map(|it| it * 100)
            .find(|ms| !tracked.is_ejected(now + Duration::from_millis(*ms)));
        ejection_times.push(until.unwrap());
    }
    assert_eq!(ejection_times, [400, 800, 1_600, 3_200, 4_000]);
    directory.request_ended(&id, Outcome::Answered, Work::default(), now);
    assert!(!directory.get(&id).unwrap().is_ejected(now));
}

/// An endpoint restarts under its former id. What was known of the former incarnation must not
/// apply to the new one.
#[test]
fn a_restarted_endpoint_starts_with_a_clean_state() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry("e-1", "v1"), now);
    directory.request_ended(&"e-1".into(), Outcome::ConnectionLost, Work::default(), now);
    directory.upsert(Entry { started_ms: Some(7), ..entry("e-1", "v1") }, now);
    assert!(!directory.get(&"e-1".into()).unwrap().is_ejected(now));
}

/// Guards against sending requests to an endpoint that crashed while the list still has its entry
/// beside that of its successor at the same address: each request would be rejected there and use
/// up the retry budget.
#[parameterized(in_order = { 1, 2 }, out_of_order = { 2, 1 })]
fn the_newest_endpoint_owns_its_address(first: u64, second: u64) {
    let (mut directory, now) = (Directory::default(), Instant::now());
    for started_ms in [first, second] {
        let id = format!("e-{started_ms}");
        directory.upsert(Entry { started_ms: Some(started_ms), ..entry(&id, "v1") }, now);
    }
    let ready: Vec<_> = directory.ready("models").map(|it| it.entry.id.as_str()).collect();
    assert_eq!(ready, ["e-2"]);
}

/// Guards against every node of a fleet having to detect an unreachable endpoint by itself, and
/// against ejecting it permanently.
#[test]
fn an_endpoint_reported_unreachable_is_ejected_temporarily() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    let id = "e-1".into();
    directory.upsert(entry("e-1", "v1"), now);
    directory.report_unreachable(&id, now);
    let is_ejected = |after| directory.get(&id).unwrap().is_ejected(now + after);
    assert!(is_ejected(Duration::from_millis(500)));
    assert!(!is_ejected(Duration::from_secs(2)));
}

/// Guards against blaming endpoints for connections that fail while the node's own links are down.
#[test]
fn a_node_without_recent_answers_blames_no_endpoint() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry("e-1", "v1"), now);
    assert!(!directory.has_recent_answer(now));
    directory.first_byte_received(&"e-1".into(), Work::default(), None, now);
    assert!(directory.has_recent_answer(now));
    assert!(!directory.has_recent_answer(now + Duration::from_secs(2)));
}
