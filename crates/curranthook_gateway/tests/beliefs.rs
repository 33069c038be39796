//! What a node believes of the store's rows and of endpoints.

use std::time::{Duration, Instant};

use curranthook_gateway::{
    directory::{Directory, Outcome},
    entry::{Entry, State},
    mirror::{ChangesError, Mirror},
    store::{Batch, Rev, Row, Table},
};
use yare::parameterized;

fn row(key: &str, rev: u64, value: Option<&str>) -> Row {
    Row { key: key.to_owned(), rev: Rev(rev), value: value.map(|it| it.as_bytes().to_vec()) }
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

/// A peer that knows less tells what it has. Rows never go back to it.
#[test]
fn older_rows_change_nothing() {
    let mut mirror = Mirror::default();
    mirror.merge(Table::Operator, batch(9, vec![row("config", 9, Some("new"))]));
    assert!(
        mirror.merge(Table::Operator, batch(7, vec![row("config", 7, Some("old"))])).is_empty()
    );
    assert!(mirror.replace(Table::Operator, batch(8, vec![])).is_empty());
    assert_eq!(mirror.rev(Table::Operator), Rev(9));
}

/// An endpoint's row is removed while a child isn't listening. It hears of that at its next
/// question; otherwise it would send work to an endpoint that has left.
#[test]
fn removed_rows_are_told_to_children() {
    let mut mirror = Mirror::default();
    mirror.replace(
        Table::Endpoints,
        batch(5, vec![row("e-1", 3, Some("x")), row("e-2", 4, Some("y"))]),
    );
    mirror.merge(Table::Endpoints, batch(6, vec![row("e-1", 6, None)]));
    let told = mirror.changes(Table::Endpoints, Rev(5)).unwrap();
    assert_eq!(told.rows, [row("e-1", 6, None)]);
    // A whole read finds the other one gone as well.
    mirror.replace(Table::Endpoints, batch(8, vec![]));
    let told = mirror.changes(Table::Endpoints, Rev(6)).unwrap();
    assert_eq!(told.rows, [row("e-2", 8, None)]);
}

/// A parent that started after its child has never seen the rows that were removed before.
/// It says so, and the child reads everything.
#[test]
fn a_parent_that_began_later_says_so() {
    let mut mirror = Mirror::default();
    assert_eq!(mirror.changes(Table::Fleet, Rev(1)), Err(ChangesError::HistoryMissing));
    mirror.replace(Table::Fleet, batch(9, vec![]));
    assert_eq!(mirror.changes(Table::Fleet, Rev(4)), Err(ChangesError::HistoryMissing));
    assert!(mirror.changes(Table::Fleet, Rev(9)).is_ok());
}

/// The first entry of a new version is in the list, and no order for it is known yet.
#[test]
fn a_version_without_an_order_waits() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry("e-old", "v1"), now);
    directory.upsert(entry("e-new", "v2"), now);
    let known = |at: Instant| -> Vec<String> {
        let ready = directory.ready("models").filter(|it| it.is_established_version(at));
        ready.map(|it| it.entry.version.clone()).collect()
    };
    assert_eq!(known(now), ["v1"]);
    assert_eq!(known(now + Duration::from_secs(5)).len(), 2, "without any order it's used at last");
}

/// An endpoint can't be reached. It's left alone for a moment, longer each time, and an answer
/// clears it.
#[test]
fn an_unreachable_endpoint_rests_longer_each_time() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry("e-1", "v1"), now);
    let id = "e-1".into();
    let mut rests = Vec::new();
    for _ in 0..5 {
        directory.request_ended(&id, Outcome::ConnectionLost, Duration::ZERO, now);
        let tracked = directory.get(&id).unwrap();
        let until = (0..100)
            .map(|it| it * 100)
            .find(|ms| !tracked.is_ejected(now + Duration::from_millis(*ms)));
        rests.push(until.unwrap());
    }
    assert_eq!(rests, [400, 800, 1_600, 3_200, 4_000]);
    directory.request_ended(&id, Outcome::Answered, Duration::ZERO, now);
    assert!(!directory.get(&id).unwrap().is_ejected(now));
}

/// A worker starts again under its old id. What was known of the one before doesn't hold.
#[test]
fn an_endpoint_born_again_begins_anew() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry("e-1", "v1"), now);
    directory.request_ended(&"e-1".into(), Outcome::ConnectionLost, Duration::ZERO, now);
    directory.upsert(Entry { started_ms: Some(7), ..entry("e-1", "v1") }, now);
    assert!(!directory.get(&"e-1".into()).unwrap().is_ejected(now));
}

/// Guards against sending requests to an endpoint that crashed, whose entry the list still has beside that of
/// its successor at the same address: each would be turned away there and use up the budget of retries.
#[parameterized(in_order = { 1, 2 }, out_of_order = { 2, 1 })]
fn the_newest_endpoint_has_the_address(first: u64, second: u64) {
    let (mut directory, now) = (Directory::default(), Instant::now());
    for started_ms in [first, second] {
        let id = format!("e-{started_ms}");
        directory.upsert(Entry { started_ms: Some(started_ms), ..entry(&id, "v1") }, now);
    }
    let ready: Vec<_> = directory.ready("models").map(|it| it.entry.id.as_str()).collect();
    assert_eq!(ready, ["e-2"]);
}

/// Guards against each node of a fleet finding out by itself that an endpoint can't be reached, and against
/// believing that for good.
#[test]
fn an_endpoint_that_others_cannot_reach_is_left_alone_for_a_while() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    let id = "e-1".into();
    directory.upsert(entry("e-1", "v1"), now);
    directory.report_unreachable(&id, now);
    let is_ejected = |after| directory.get(&id).unwrap().is_ejected(now + after);
    assert!(is_ejected(Duration::from_millis(500)));
    assert!(!is_ejected(Duration::from_secs(2)));
}

/// Guards against blaming endpoints for connections that fail while this node's own links are down.
#[test]
fn a_node_that_reaches_nobody_blames_no_endpoint() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry("e-1", "v1"), now);
    assert!(!directory.has_recent_answer(now));
    directory.first_byte_received(&"e-1".into(), Duration::ZERO, None, now);
    assert!(directory.has_recent_answer(now));
    assert!(!directory.has_recent_answer(now + Duration::from_secs(2)));
}
