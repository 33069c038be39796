//! A node that reports to an owner and asks it, over datagrams of this host.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use async_io::Async;
use bytes::Bytes;
use curranthook_gateway::{
    Gateway,
    dialect::{Dialect, InvalidHeader, Outgoing, Reply},
    document::{Document, Service},
    entry::{Entry, State},
    event::Log,
    fleet,
    gateway::{Configuration, Parts},
    load::reports::{self, PeerState, Query, Socket},
    refusal::Refusal,
    request::{Head, Request},
    retry_budget,
    settings::{Contention, Settings},
    store::{
        Answer, Batch, Commit, Committed, Decoder, Operator, Page, Rev, Row, Store, Table,
        Undecodable,
    },
};
use curranthook_http::runtime;
use curranthook_types::{clock, domain, endpoint};
use http::{HeaderMap, HeaderName, HeaderValue};
use serde_json::{Value, json};

pub const SERVICE: &str = "calls";
pub const SLOTS: u32 = 6;
/// More nodes than a fleet without load owners has.
pub const N_NODES: usize = 89;

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
        memory: None,
        max_descriptors: None,
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
pub async fn node(ex: &runtime::Handle, contention: Contention, owner: SocketAddr) -> Arc<Gateway> {
    let clock = Arc::new(clock::System);
    let log = Log::start("n-1", Arc::clone(&clock) as _, Box::new(std::io::sink())).unwrap();
    let (dialect, decoder, store) = (Arc::new(Unused), Arc::new(Unused), Arc::new(Unused));
    let parts = Parts { ex: Arc::clone(ex), clock, dialect, decoder, store, log };
    let gateway = Gateway::new(parts, settings(contention));
    let services = BTreeMap::from([(SERVICE.to_owned(), Service::default())]);
    let document = Document::new(1, Vec::new(), services);
    let row = Row { key: "configuration".into(), rev: Rev(1), value: None };
    gateway.configuration.store(Some(Arc::new(Configuration { document, row })));
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

pub fn id(n: u16) -> endpoint::Id {
    format!("i-7ceb459a0{n}").as_str().into()
}

pub fn query(endpoints: Vec<endpoint::Id>) -> Query {
    Query { endpoints, in_flight: true, ..Query::default() }
}

/// Receives datagrams until one contains `kind`; returns its contents, its size, and its sender.
pub async fn receive(socket: &Async<UdpSocket>, kind: &str) -> (Value, usize, SocketAddr) {
    let mut bytes = [0; 1_400];
    loop {
        let (n, from) = socket.recv_from(&mut bytes).await.unwrap();
        let message: Value = serde_json::from_slice(&bytes[..n]).unwrap();
        if let Some(contents) = message.get(kind) {
            return (contents.clone(), n, from);
        }
    }
}

/// Answers the next question with the members of `figures`, and no work.
pub async fn answer(socket: &Async<UdpSocket>, figures: &Value) -> usize {
    let (question, _, from) = receive(socket, "question").await;
    let ids = question["endpoints"].as_array().unwrap();
    let waiting: Value = ids.iter().map(|it| (it.as_str().unwrap().to_owned(), json!(0))).collect();
    let mut answer = json!({ "id": question["id"], "waiting": waiting });
    for (name, value) in figures.as_object().unwrap() {
        answer[name] = value.clone();
    }
    let bytes = serde_json::to_vec(&json!({ "answer": answer })).unwrap();
    socket.send_to(&bytes, from).await.unwrap()
}

/// Queries the owner of two endpoints until its answer arrives within the time limit, which may
/// fail on a busy host.
pub async fn ask(node: &Gateway, socket: &Async<UdpSocket>, figures: &Value) -> PeerState {
    for _ in 0..100 {
        let question = reports::query(node, query(vec![id(1), id(2)]));
        let (state, _) = futures_lite::future::zip(question, answer(socket, figures)).await;
        if !state.waiting.is_empty() {
            return state;
        }
        let owner = socket.get_ref().local_addr().unwrap();
        node.load_owners.lock().record_answer(owner);
    }
    panic!("no answer arrived in time")
}

pub fn owner_socket() -> (Async<UdpSocket>, SocketAddr) {
    let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).unwrap();
    let addr = socket.get_ref().local_addr().unwrap();
    (socket, addr)
}
