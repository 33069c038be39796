//! Tests of questions to load owners about services without models, over datagrams of this host.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Async;
use bytes::Bytes;
use curranthook_gateway::{
    Gateway,
    dialect::{Dialect, InvalidHeader, Load, Outgoing, Reply},
    directory::Outcome,
    document::{Document, Service},
    entry::{Entry, State},
    event::Log,
    fleet,
    gateway::{Configuration, Parts},
    lease::Lease,
    load::{
        reports::{self, PeerState, Query, Socket},
        work::Work,
    },
    refusal::Refusal,
    request::{Head, Request},
    retry_budget,
    rollouts::Rule,
    selection::{self, Criteria, Unavailable},
    settings::{Contention, Settings},
    store::{
        Answer, Batch, Commit, Committed, Decoder, Operator, Page, Rev, Store, Table, Undecodable,
    },
};
use curranthook_http::runtime;
use curranthook_policy::slowdown::{Factor, Figure};
use curranthook_types::{clock, domain, endpoint};
use http::{HeaderMap, HeaderName, HeaderValue};
use serde_json::{Value, json};
use yare::parameterized;

const SERVICE: &str = "calls";
const SLOTS: u32 = 6;
/// More nodes than a fleet without load owners has.
const N_NODES: usize = 89;
/// The calls per second that each node sends if all send 190.
const CALLS_PER_NODE: f64 = 190.0 / N_NODES as f64;
/// The reports per second that repeat a number because work for engines is reported meanwhile: 20 of
/// them per second, of which a call is in flight at 7 in 100.
const REPEATED_REPORTS: f64 = 1.4;
/// The bytes of the headers of a datagram.
const DATAGRAM_HEADERS: usize = 28;

/// An interface to the outside that these tests do not use.
#[derive(Debug)]
struct Unused;

impl Dialect for Unused {
    fn parse_request_head(&self, _: &http::request::Parts) -> Result<Head, InvalidHeader> {
        unreachable!()
    }
    fn build_request(&self, _: &Request, _: &Outgoing<'_>) -> http::Request<Bytes> {
        unreachable!()
    }
    fn build_forwarded_request(
        &self,
        _: &Request,
        _: Duration,
        _: Option<u64>,
    ) -> http::Request<Bytes> {
        unreachable!("no request is forwarded")
    }

    fn parse_response_head(&self, _: &http::response::Parts) -> Reply {
        unreachable!()
    }
    fn unknown_headers<'a>(&self, _: &'a HeaderMap) -> Vec<(&'a HeaderName, &'a HeaderValue)> {
        unreachable!()
    }
    fn response_headers(&self, _: &HeaderMap) -> HeaderMap {
        unreachable!()
    }
    fn add_refusal_headers(&self, _: &Refusal, _: &mut HeaderMap) {
        unreachable!()
    }
}

impl Store for Unused {
    fn all(&self, _: Table) -> Answer<'_, Batch> {
        unreachable!()
    }
    fn changes(&self, _: Table, _: Rev, _: Duration) -> Answer<'_, Batch> {
        unreachable!()
    }
    fn first(&self, _: Table, _: usize) -> Answer<'_, Page> {
        unreachable!()
    }
    fn commit<'a>(&'a self, _: Commit<'a>) -> Answer<'a, Committed> {
        unreachable!()
    }
    fn write<'a>(&'a self, _: &'a [(String, Vec<u8>)]) -> Answer<'a, Rev> {
        unreachable!()
    }
}

impl Decoder for Unused {
    fn operator(&self, _: &str, _: &[u8]) -> Result<Operator, Undecodable> {
        unreachable!()
    }
    fn evacuation(&self, _: &str) -> Option<domain::Id> {
        unreachable!()
    }
    fn endpoint(&self, _: &endpoint::Id, _: &[u8]) -> Result<Entry, Undecodable> {
        unreachable!()
    }
}

fn settings(contention: Contention) -> Settings {
    let addr = SocketAddr::from(([127, 0, 0, 1], 9));
    Settings {
        node: "edge-vn-south-a-1".to_owned(),
        domain: "z-a".into(),
        callers: addr,
        readiness: addr,
        peers: None,
        reports: None,
        capacity: 1.0,
        metrics: None,
        seeds: Vec::new(),
        contention,
        retries: retry_budget::Limit { ratio: 1.0, slack: 1.0, window: Duration::from_secs(10) },
        max_exposure: 0.1,
        exposure_slack: None,
        is_first_start: false,
        grace: Duration::from_secs(1),
    }
}

/// A node of a fleet in which `owner` owns all endpoints, with three endpoints of [`SERVICE`].
async fn node(ex: &runtime::Handle, contention: Contention, owner: SocketAddr) -> Arc<Gateway> {
    let clock = Arc::new(clock::System);
    let log = Log::start("n-1", Arc::clone(&clock) as _, Box::new(std::io::sink())).unwrap();
    let (dialect, decoder, store) = (Arc::new(Unused), Arc::new(Unused), Arc::new(Unused));
    let parts = Parts { ex: Arc::clone(ex), clock, dialect, decoder, store, log };
    let gateway = Gateway::new(parts, settings(contention));
    let services = BTreeMap::from([(SERVICE.to_owned(), Service::default())]);
    let document = Document::new(1, Vec::new(), services);
    gateway.configuration.store(Some(Arc::new(Configuration { document, rev: Rev(1) })));
    for n in 0..N_NODES {
        let node =
            fleet::Node { peers: owner, reports: None, domain: None, capacity: 1.0, joined: None };
        gateway.peers.lock().insert(format!("node-{n}"), node);
    }
    gateway.load_owners.lock().set_node("node-0", Some(owner));
    let now = gateway.now();
    gateway.mirror.lock().set_clock(Duration::from_secs(86_400), now);
    for n in 1..=3_u16 {
        let entry = Entry {
            id: id(n),
            service: SERVICE.to_owned(),
            addr: ([127, 0, 0, 1], n).into(),
            domain: "z-a".into(),
            version: "v1".to_owned(),
            slots: SLOTS,
            state: State::Ready,
            slow_start: Duration::ZERO,
            started_ms: None,
        };
        gateway.directory.lock().upsert(entry, now);
    }
    let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).unwrap();
    let socket = Arc::new(Socket::new(socket));
    let _unset = gateway.load_reports.set(Arc::clone(&socket));
    ex.spawn(reports::run(Arc::clone(&gateway), socket)).detach();
    gateway
}

fn id(n: u16) -> endpoint::Id {
    format!("i-7ceb459a0{n}").as_str().into()
}

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

fn query(endpoints: Vec<endpoint::Id>) -> Query {
    Query { endpoints, prefix_hash: None, in_flight: true, asked: Vec::new() }
}

/// Receives datagrams until one contains `kind`; returns its contents, its size, and its sender.
async fn receive(socket: &Async<UdpSocket>, kind: &str) -> (Value, usize, SocketAddr) {
    let mut bytes = [0; 1_400];
    loop {
        let (n, from) = socket.recv_from(&mut bytes).await.unwrap();
        let message: Value = serde_json::from_slice(&bytes[..n]).unwrap();
        if let Some(contents) = message.get(kind) {
            return (contents.clone(), n, from);
        }
    }
}

/// Answers the next question with these numbers of requests.
async fn answer(socket: &Async<UdpSocket>, in_flight: Option<Value>) -> usize {
    let (question, _, from) = receive(socket, "question").await;
    let ids = question["endpoints"].as_array().unwrap();
    let waiting: Value = ids.iter().map(|it| (it.as_str().unwrap().to_owned(), json!(0))).collect();
    let mut answer = json!({ "id": question["id"], "waiting": waiting });
    if let Some(in_flight) = in_flight {
        answer["in_flight"] = in_flight;
    }
    let bytes = serde_json::to_vec(&json!({ "answer": answer })).unwrap();
    socket.send_to(&bytes, from).await.unwrap()
}

/// Queries the owner of two endpoints until its answer arrives within the time limit, which may
/// fail on a busy host.
async fn ask(node: &Gateway, socket: &Async<UdpSocket>, in_flight: Option<Value>) -> PeerState {
    for _ in 0..100 {
        let question = reports::query(node, query(vec![id(1), id(2)]));
        let (state, _) =
            futures_lite::future::zip(question, answer(socket, in_flight.clone())).await;
        if !state.waiting.is_empty() {
            return state;
        }
        let owner = socket.get_ref().local_addr().unwrap();
        node.load_owners.lock().record_answer(owner);
    }
    panic!("no answer arrived in time")
}

fn owner_socket() -> (Async<UdpSocket>, SocketAddr) {
    let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).unwrap();
    let addr = socket.get_ref().local_addr().unwrap();
    (socket, addr)
}

/// Guards against taking an owner's silence for an answer, after which nobody is asked again.
#[test]
fn owner_that_does_not_answer_counts_no_requests() {
    runtime::run(1, |ex| async move {
        let (socket, owner) = owner_socket();
        let node = node(&ex, Contention::ByRank, owner).await;
        let unanswered = reports::query(&node, query(vec![id(1), id(2)])).await;
        assert!(unanswered.counted.is_empty(), "{:?}", unanswered.counted);
        let mut answered = ask(&node, &socket, Some(json!({}))).await.counted;
        answered.sort_unstable();
        assert_eq!(answered, [id(1), id(2)]);
    });
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
            let state = ask(&node, &socket, Some(counts)).await;
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
            true => ask(&node, &socket, None).await,
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
