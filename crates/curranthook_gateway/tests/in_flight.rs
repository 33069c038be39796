//! Tests of the requests that nodes share for endpoints of services without models, without a
//! network.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use curranthook_gateway::{
    dialect::Load,
    directory::{Directory, Outcome},
    entry::Entry,
    load::{
        in_flight::{self, Counts, Observed, Table},
        occupancy::{self, Observation, Occupancy},
        work::Work,
    },
    permit,
    settings::Contention,
};
use curranthook_policy::slowdown::{Factor, Figure};
use curranthook_types::endpoint;
use serde::Deserialize;
use yare::parameterized;

mod support;

const SLOTS: u32 = 6;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn load(running: u32, waiting: u32, slowdown: Option<f64>) -> Load {
    Load { running, waiting, slots: SLOTS, slowdown }
}

fn observed(requests: u32, age_ms: u64) -> Occupancy {
    Occupancy { observed: Some(Observation { requests, age: ms(age_ms) }), ..Occupancy::default() }
}

fn counts(n: u32) -> Counts {
    HashMap::from([("e-1".into(), n)])
}

/// An owner is paused while reports wait in its socket. Guards against counts of calls that ended
/// long ago, which would keep calls away from an idle endpoint after the owner resumes.
#[parameterized(
    one_second = { 1_000, 0 },
    three_seconds = { 3_000, 0 },
    ten_seconds = { 10_000, 0 },
    just_sent = { 1, 4 },
)]
fn reports_that_waited_at_a_paused_owner_are_dropped(age_ms: u64, expected: u32) {
    let (mut table, now) = (Table::default(), Instant::now() + Duration::from_secs(60));
    table.update("n-2".to_owned(), counts(4), Some(ms(age_ms)), now);
    assert_eq!(table.count(&"e-1".into(), "n-1", now), expected);
}

/// The report that a node's calls ended is lost, or the node is. Its last report must not count for
/// longer than the time in which it would have been repeated.
#[parameterized(with_known_age = { Some(ms(1)) }, with_unknown_age = { None })]
fn a_node_that_reports_no_more_is_forgotten(age: Option<Duration>) {
    let (mut table, now) = (Table::default(), Instant::now());
    table.update("n-2".to_owned(), counts(4), age, now);
    table.update("n-3".to_owned(), counts(1), age, now + ms(700));
    assert_eq!(table.count(&"e-1".into(), "n-1", now + ms(700)), 5);
    assert_eq!(table.count(&"e-1".into(), "n-1", now + ms(900)), 1);
}

/// Two nodes take themselves for the owner of an endpoint, or the reports of some nodes are lost on
/// the way, so an owner knows only a part of the requests. A recent answer of the endpoint shows
/// more, and must count. An older one must not, as its calls have ended.
#[parameterized(recent = { 20, 9 }, old = { 1_000, 3 })]
fn an_owner_that_knows_a_part_is_corrected_by_the_endpoint(age_ms: u64, expected: u32) {
    let occupancy = Occupancy { own: 1, others: Some(2), ..observed(SLOTS + 3, age_ms) };
    assert_eq!(occupancy.requests(), expected);
}

/// The owner is lost, its answer is late, or it runs an older build. A node must place calls by its
/// own estimate, and must not refuse a call on such weak evidence.
#[test]
fn without_an_answer_the_own_estimate_decides() {
    let estimated = |estimated| Occupancy { estimated, ..Occupancy::default() };
    assert!(estimated(1).expected_time(SLOTS) < estimated(4).expected_time(SLOTS));
    let full = Occupancy { estimated: 50, full_at: Some(8), ..Occupancy::default() };
    assert!(full.has_room(SLOTS, ms(1)));
}

/// A call that may run only once reaches an endpoint that cannot complete it before the deadline,
/// or that refuses it because its queue is full. Guards against placing calls there, and against
/// refusing calls that an endpoint has room for.
#[parameterized(
    idle = { 0, None, true },
    short_queue = { 20, None, true },
    queue_beyond_the_deadline = { 500, None, false },
    fewer_than_when_it_was_full = { 17, Some(18), true },
    as_many_as_when_it_was_full = { 18, Some(18), false },
)]
fn calls_that_run_once_require_room(others: u32, full_at: Option<u32>, expected: bool) {
    let occupancy = Occupancy { others: Some(others), full_at, ..Occupancy::default() };
    assert_eq!(occupancy.has_room(SLOTS, ms(1_000)), expected);
}

/// Of two idle endpoints, one reports that its work takes longer than it did before. Guards against
/// sending it as many calls as the other, and against a figure that is too old or invalid.
#[parameterized(
    recent = { Some(2.5), 300, true },
    expired = { Some(2.5), 900, false },
    none = { None, 10, false },
    not_a_number = { Some(f64::NAN), 10, false },
    negative = { Some(-3.0), 10, false },
    out_of_range = { Some(1e9), 10, false },
)]
fn a_slowed_endpoint_takes_longer(slowdown: Option<f64>, age_ms: u64, expected: bool) {
    let (entry, start) = (support::entry(1, Duration::ZERO), Instant::now());
    let (mut directory, now) = (directory(&entry, start), start + Duration::from_secs(9));
    let before = (Factor::new(1.0), start);
    let reported = (slowdown.and_then(Factor::new), now - ms(age_ms));
    for (factor, at) in [before, reported] {
        let figure = factor.map(|factor| Figure { factor, at });
        figure.map(|it| directory.record_slowdown(&entry.id, entry.started_ms, it));
    }
    let slowdown = directory.get(&entry.id).unwrap().slowdown.expected(now);
    let slowed = Occupancy { others: Some(0), slowdown, ..Occupancy::default() };
    let usual = Occupancy { others: Some(0), ..Occupancy::default() };
    assert_eq!(usual.expected_time(SLOTS) < slowed.expected_time(SLOTS), expected);
}

/// Elsewhere decisions are as before: no questions and no reports unless settings or an endpoint
/// require them, and the fleet has load owners.
#[parameterized(
    ignored = { Contention::Ignored, false, 89, false },
    by_rank = { Contention::ByRank, false, 89, true },
    slowdown_reported = { Contention::Ignored, true, 89, true },
    small_fleet = { Contention::ByRank, true, 12, false },
)]
fn requests_are_shared_only_where_called_for(
    contention: Contention,
    reports_slowdown: bool,
    n_nodes: usize,
    expected: bool,
) {
    assert_eq!(occupancy::is_shared(contention, reports_slowdown, n_nodes), expected);
}

/// A directory with one endpoint, at which a request is in flight.
fn directory(entry: &Entry, now: Instant) -> Directory {
    let mut directory = Directory::default();
    directory.upsert(entry.clone(), now);
    directory.request_sent(&entry.id, Work::default(), permit::Owner::Sender, now);
    directory
}

/// The flag that an endpoint reports slowdowns is kept per service, and is not set by loads without
/// a slowdown, which all other deployments send.
#[test]
fn a_reported_slowdown_is_remembered_for_its_service() {
    let (entry, now) = (support::entry(1, Duration::ZERO), Instant::now());
    let mut directory = directory(&entry, now);
    directory.first_byte_received(&entry.id, Work::default(), Some(load(1, 0, None)), now);
    assert!(!directory.reports_slowdown(&entry.service));
    // A response that is no evidence about the endpoint has its load, but is not recorded.
    directory.first_byte_received(&entry.id, Work::default(), Some(load(1, 0, Some(1.0))), now);
    assert!(!directory.reports_slowdown(&entry.service));
    let figure = Figure { factor: Factor::USUAL, at: now };
    assert!(directory.record_slowdown(&entry.id, entry.started_ms, figure));
    directory.first_byte_received(&entry.id, Work::default(), Some(load(1, 0, None)), now);
    assert!(directory.reports_slowdown(&entry.service));
    assert!(!directory.reports_slowdown("other"));
}

/// An endpoint starts again under its id. Guards against loads, full queues and requests of the
/// process before, which would keep calls away from an idle endpoint.
#[test]
fn an_endpoint_that_starts_again_has_no_load() {
    let (entry, now) = (support::entry(1, Duration::ZERO), Instant::now());
    let mut directory = directory(&entry, now);
    let load = Some(load(SLOTS, 12, Some(2.5)));
    directory.first_byte_received(&entry.id, Work::default(), load, now);
    directory.request_ended(&entry.id, Outcome::Full, Work::default(), now);
    directory.request_sent(&entry.id, Work::default(), permit::Owner::Sender, now);
    let tracked = directory.get(&entry.id).unwrap();
    assert_eq!((tracked.in_flight, tracked.full_at(now)), (1, Some(18)));
    assert!(tracked.observation(now).is_some());
    directory.upsert(support::entry(2, Duration::ZERO), now);
    let tracked = directory.get(&entry.id).unwrap();
    assert_eq!((tracked.in_flight, tracked.full_at(now)), (0, None));
    assert!(tracked.observation(now).is_none());
}

/// An endpoint refuses a request with free slots, without a load, or refused one long ago. This
/// does not tell how many requests fit, so calls must not be refused for it.
#[parameterized(
    full = { Some((8, 10)), 0, Some(18) },
    idle = { Some((0, 0)), 0, None },
    without_load = { None, 0, None },
    long_ago = { Some((8, 10)), 3_000, None },
)]
fn only_a_recent_refusal_at_full_load_counts(
    reported: Option<(u32, u32)>,
    later_ms: u64,
    expected: Option<u32>,
) {
    let (entry, now) = (support::entry(1, Duration::ZERO), Instant::now());
    let mut directory = directory(&entry, now);
    let load = reported.map(|(running, waiting)| load(running, waiting, None));
    directory.first_byte_received(&entry.id, Work::default(), load, now);
    directory.request_ended(&entry.id, Outcome::Full, Work::default(), now + ms(1));
    assert_eq!(directory.get(&entry.id).unwrap().full_at(now + ms(later_ms)), expected);
}

#[derive(Debug, Deserialize)]
struct Fields {
    #[serde(default, deserialize_with = "in_flight::read_counts")]
    in_flight: Counts,
    #[serde(default, deserialize_with = "in_flight::read_observed")]
    loads: HashMap<endpoint::Id, Observed>,
}

/// A message contains malformed figures, or an older build sent it without any. Guards against the
/// loss of the whole message, which contains pending work too.
#[parameterized(
    older_build = { "{}", None },
    valid = { r#"{"in_flight":{"e-1":2}}"#, Some(2) },
    beside_malformed_ones = { r#"{"in_flight":{"e-2":"x","e-1":2,"e-3":1.5}}"#, Some(2) },
    negative = { r#"{"in_flight":{"e-1":-2}}"#, None },
    out_of_range = { r#"{"in_flight":{"e-1":4000000000}}"#, None },
    not_a_map = { r#"{"in_flight":[7]}"#, None },
)]
fn malformed_counts_are_dropped(message: &str, expected: Option<u32>) {
    let fields: Fields = serde_json::from_str(message).unwrap();
    assert_eq!(fields.in_flight.get("e-1").copied(), expected);
    assert!(fields.in_flight.len() <= 1 && fields.loads.is_empty());
}

/// The same for the loads that an owner saw, of which one that is too old is dropped as well.
#[parameterized(
    valid = { r#"{"loads":{"e-1":[8,40]}}"#, Some(8) },
    beside_a_malformed_one = { r#"{"loads":{"e-2":"x","e-1":[8,40]}}"#, Some(8) },
    out_of_range = { r#"{"loads":{"e-1":[4000000,40]}}"#, None },
    too_old = { r#"{"loads":{"e-1":[8,3000]}}"#, None },
    too_long = { r#"{"loads":{"e-1":[6,2,6,2.5,40]}}"#, None },
    too_short = { r#"{"loads":{"e-1":[8]}}"#, None },
    not_a_list = { r#"{"loads":{"e-1":7}}"#, None },
)]
fn malformed_loads_are_dropped(message: &str, expected: Option<u32>) {
    let fields: Fields = serde_json::from_str(message).unwrap();
    assert_eq!(fields.loads.get("e-1").map(|it| it.0.requests), expected);
}
