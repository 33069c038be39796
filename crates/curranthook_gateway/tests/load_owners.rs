//! Tests of questions to load owners about services without models, over datagrams of this host.

#[path = "support/owner.rs"]
#[allow(dead_code, reason = "each test uses a part")]
mod owner;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use curranthook_gateway::{
    Gateway,
    dialect::Load,
    directory::Outcome,
    lease::Lease,
    load::{
        reports::{self, PeerState},
        work::Work,
    },
    rollouts::Rule,
    selection::{self, Criteria, Unavailable},
    settings::Contention,
};
use curranthook_http::runtime;
use curranthook_policy::slowdown::{Factor, Figure};
use curranthook_types::endpoint;
use serde_json::json;
use yare::parameterized;

use self::owner::{N_NODES, SERVICE, SLOTS, ask, id, node, owner_socket, query, receive};

/// The calls per second that each node sends if all send 190.
const CALLS_PER_NODE: f64 = 190.0 / N_NODES as f64;
/// The reports per second that repeat a number because work for engines is reported meanwhile: 20 of
/// them per second, of which a call is in flight at 7 in 100.
const REPEATED_REPORTS: f64 = 1.4;
/// The bytes of the headers of a datagram.
const DATAGRAM_HEADERS: usize = 28;

fn criteria(at_most_once: bool, tried: &[endpoint::Id]) -> Criteria<'_> {
    Criteria {
        service: SERVICE,
        rule: &Rule::Any,
        tried,
        borrowed: None,
        prefix_hash: None,
        prefix_tokens: 0,
        prompt_tokens: 0,
        model: None,
        priority: None,
        at_most_once,
        time_left: Duration::from_secs(1),
        salt: 7,
    }
}

/// Elsewhere a service without models is placed as before, without any question. Guards against
/// datagrams and waits in deployments that do not call for them.
#[test]
fn owners_are_asked_only_where_called_for() {
    runtime::run(1, |ex| async move {
        let (_socket, owner) = owner_socket();
        let shortlist = |it: &Gateway| selection::shortlist(it, &criteria(false, &[])).len();
        let by_rank = node(&ex, Contention::ByRank, owner).await;
        assert_eq!(shortlist(&by_rank), 2);
        let ignored = node(&ex, Contention::Ignored, owner).await;
        assert_eq!(shortlist(&ignored), 0);
        let mut directory = ignored.directory.lock();
        let started_ms = directory.get(&id(1)).unwrap().entry.started_ms;
        let figure = Figure { factor: Factor::USUAL, at: ignored.now() };
        assert!(directory.record_slowdown(&id(1), started_ms, figure));
        drop(directory);
        assert_eq!(shortlist(&ignored), 2);
        by_rank.peers.lock().retain(|name, _| name.len() < "node-10".len());
        assert_eq!(shortlist(&by_rank), 0);
    });
}

/// Without a question, nodes send no reports about calls either, and calls that run once are not
/// refused.
#[test]
fn elsewhere_calls_are_not_reported() {
    runtime::run(1, |ex| async move {
        let (socket, owner) = owner_socket();
        let node = node(&ex, Contention::Ignored, owner).await;
        let lease = Lease::acquire(&node, &criteria(true, &[]), &PeerState::default()).unwrap();
        assert_eq!(lease.occupancy.others, None);
        async_io::Timer::after(Duration::from_millis(60)).await;
        drop(lease);
        let silence =
            curranthook_http::timeout::run(Duration::from_millis(60), receive(&socket, "notice"));
        assert!(silence.await.is_err(), "no report is expected");
    });
}

/// Many other nodes have requests at one endpoint, which this node does not see. The owner's answer
/// must move the call to the other endpoint.
#[test]
fn the_owners_count_decides() {
    runtime::run(2, |ex| async move {
        let (socket, owner) = owner_socket();
        let node = node(&ex, Contention::ByRank, owner).await;
        for (busy, idle) in [(1, 2), (2, 1)] {
            let counts = json!({ id(busy).as_str(): 9, id(idle).as_str(): 1 });
            let state = ask(&node, &socket, &json!({ "in_flight": counts })).await;
            let lease = Lease::acquire(&node, &criteria(false, &[]), &state).unwrap();
            assert_eq!((&lease.id, lease.occupancy.others), (&id(idle), Some(1)));
        }
        let text = node.metrics.text();
        assert!(text.contains(r#"plain_questions_total{name="answered"} 2"#), "{text}");
    });
}

fn record_slowdown(node: &Gateway, id: &endpoint::Id, figure: f64, at: Instant) {
    let figure = Figure { factor: Factor::new(figure).unwrap(), at };
    assert!(node.directory.lock().record_slowdown(id, None, figure));
}

/// One of two endpoints reports that its work takes longer, and the owner counts requests at the
/// other one. Guards against a call time that ignores the slowdown, or multiplies it twice.
#[parameterized(
    usual = { 1.0, 5, 1 },
    few_requests_are_faster = { 2.5, 5, 2 },
    many_requests_are_slower = { 1.5, 9, 1 },
)]
fn a_slowdown_is_weighed_against_the_queue(figure: f64, others: u32, expected: u16) {
    runtime::run(1, |ex| async move {
        let (_socket, owner) = owner_socket();
        let node = node(&ex, Contention::ByRank, owner).await;
        record_slowdown(&node, &id(1), figure, node.now());
        let mut state = PeerState::default();
        for (id, count) in [(id(1), 0), (id(2), others)] {
            state.waiting.insert(id.clone(), Work::default());
            state.in_flight.counts.insert(id, count);
        }
        let lease = Lease::acquire(&node, &criteria(false, &[]), &state).unwrap();
        assert_eq!(lease.id, id(expected));
    });
}

/// The owner is dead, its datagrams are lost one way, or it runs an older build whose answer lacks
/// the number. The call must be placed at once, by what the node itself sees, and never refused.
#[parameterized(dead = { false, "unanswered" }, older_build = { true, "uncounted" })]
fn without_the_owners_count_the_node_decides_alone(answers: bool, result: &str) {
    runtime::run(2, |ex| async move {
        let (socket, owner) = owner_socket();
        let node = node(&ex, Contention::ByRank, owner).await;
        let start = Instant::now();
        let state = match answers {
            true => ask(&node, &socket, &json!({})).await,
            false => reports::query(&node, query(vec![id(1), id(2)])).await,
        };
        // A second is far more than the limit of 15 ms, since the host of the tests may be busy.
        assert!(start.elapsed() < Duration::from_secs(1));
        let lease = Lease::acquire(&node, &criteria(true, &[]), &state).unwrap();
        assert_eq!(lease.occupancy.others, None);
        let expected = format!(r#"plain_questions_total{{name="{result}"}} 1"#);
        assert!(node.metrics.text().contains(&expected), "{}", node.metrics.text());
    });
}

/// Both endpoints whose owners were asked are full. A call that runs once must go to the third one,
/// and be refused as not run once that one has refused it; other calls must be placed anyhow.
#[test]
fn a_call_that_runs_once_is_refused_when_no_endpoint_has_room() {
    runtime::run(1, |ex| async move {
        let (_socket, owner) = owner_socket();
        let node = node(&ex, Contention::ByRank, owner).await;
        let load = Load { running: SLOTS, waiting: 2, slots: SLOTS, slowdown: None };
        let mut state = PeerState::default();
        for id in [id(1), id(2)] {
            let (mut directory, now) = (node.directory.lock(), node.now());
            directory.first_byte_received(&id, Work::default(), Some(load), now);
            directory.request_ended(&id, Outcome::Full, Work::default(), now);
            state.waiting.insert(id.clone(), Work::default());
            state.in_flight.counts.insert(id, 8);
        }
        let acquire = |at_most_once, tried: &[endpoint::Id]| {
            Lease::acquire(&node, &criteria(at_most_once, tried), &state).map(|it| it.id.clone())
        };
        assert_eq!(acquire(true, &[]), Ok(id(3)));
        assert_eq!(acquire(true, &[id(3)]), Err(Unavailable::Full));
        assert_ne!(acquire(false, &[]), Ok(id(3)));
    });
}

/// Each call costs a question and an answer per endpoint and two reports. Guards against messages
/// that exceed 2 KB/s per node in a fleet of 89 nodes, in the mean over the nodes, and against an
/// owner that is not told that a call ended.
#[test]
fn messages_about_calls_stay_within_the_limit() {
    runtime::run(2, |ex| async move {
        let (socket, owner) = owner_socket();
        let node = node(&ex, Contention::ByRank, owner).await;
        let ((mut begun_size, mut ended_size), mut delays) = ((0, 0), Vec::new());
        for _ in 0..5 {
            let no_state = PeerState::default();
            let lease = Lease::acquire(&node, &criteria(false, &[]), &no_state).unwrap();
            let (begun, size, _) = receive(&socket, "notice").await;
            assert_eq!(begun["in_flight"][lease.id.as_str()], 1);
            begun_size = size;
            drop(lease);
            let start = Instant::now();
            let (ended, size, _) = receive(&socket, "notice").await;
            assert!(ended.get("in_flight").is_none());
            ended_size = size;
            delays.push(start.elapsed());
        }
        // Without a report at the end, the next repetition 300 ms later tells it. A busy host may
        // delay some of the reports.
        let shortest = delays.iter().min().unwrap();
        assert!(*shortest < Duration::from_millis(150), "reported after {delays:?}");
        let asked = ex.spawn({
            let node = Arc::clone(&node);
            async move { reports::query(&node, query(vec![id(1)])).await }
        });
        let (_, question_size, from) = receive(&socket, "question").await;
        drop(asked);
        // The question of a node to this one, whose answer is as long as that of any owner.
        let question = json!({ "question": {
            "id": 4_000_000_000_u32, "node": "edge-vn-south-a-2", "endpoints": [id(1)],
            "in_flight": true,
        }});
        let load = Load { running: 2, waiting: 0, slots: SLOTS, slowdown: Some(1.0) };
        // Just after now, so that the load stays recent while the host of the tests is busy.
        let soon = node.now() + Duration::from_secs(1);
        record_slowdown(&node, &id(1), 1.0, soon);
        node.directory.lock().first_byte_received(&id(1), Work::default(), Some(load), soon);
        socket.send_to(&serde_json::to_vec(&question).unwrap(), from).await.unwrap();
        let (answered, answer_size, _) = receive(&socket, "answer").await;
        assert_eq!(answered["loads"][id(1).as_str()], json!([2, 0]), "{answered}");
        assert_eq!(answered["slowdowns"][id(1).as_str()][0], 100, "{answered}");
        let sizes = [begun_size, ended_size, question_size, answer_size];
        let with_headers = |size: usize| (size + DATAGRAM_HEADERS) as f64;
        let reports = with_headers(begun_size) + with_headers(ended_size);
        let questions = 2.0 * (with_headers(question_size) + with_headers(answer_size));
        let repeated = REPEATED_REPORTS * with_headers(begun_size);
        let rate = CALLS_PER_NODE * (reports + questions) + repeated;
        println!("bytes: {sizes:?}, per second and node: {rate:.0}");
        assert!(rate < 2_000.0, "{rate:.0} B/s from messages of {sizes:?} bytes");
    });
}
