//! Test support: nodes in one process, an in-memory platform, and a network whose links can be cut.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_io::Timer;
use bytes::Bytes;
use curranthook_http::{client::Pool, runtime};
use curranthook_peers::{
    Node, Setup,
    transport::{self, Call, Reply, Transport},
    tuning::Tuning,
};
use curranthook_platform as platform;
use curranthook_platform::{Error, Objects, Role, Row, Table, Tag, Vm, VmState, Vms, Write};
use curranthook_settings::{Document, node};
use curranthook_types::{Epoch, bill, clock};
use http_body_util::BodyExt;
use parking_lot::Mutex;

pub const PEER_KEY: &[u8] = b"a key for tests";

/// The platform's services, each of which can be down.
#[derive(Debug, Default)]
pub struct Platform {
    pub document: Mutex<Option<Document>>,
    pub objects: Mutex<BTreeMap<String, Bytes>>,
    pub vms: Mutex<Vec<Vm>>,
    pub table_down: AtomicBool,
    pub objects_down: AtomicBool,
    pub write_answers_lost: AtomicBool,
}

impl Platform {
    pub fn publish(&self, epoch: u64) {
        let by = format!("operator-{epoch}");
        let document = Document { epoch: Epoch(epoch), by, ..Document::default() };
        *self.document.lock() = Some(document);
    }

    /// The number of stored lines by request id; a line that is stored again with the same origin
    /// and sequence number counts once.
    pub fn stored_line_counts(&self) -> BTreeMap<String, usize> {
        let mut seen = HashSet::new();
        let mut counts = BTreeMap::new();
        for json in self.objects.lock().values() {
            let segment: bill::Segment = serde_json::from_slice(json).expect("a segment");
            for (sequence, line) in (segment.first..).zip(&segment.lines) {
                if seen.insert((segment.origin.clone(), sequence)) {
                    *counts.entry(line.request.as_str().to_owned()).or_default() += 1;
                }
            }
        }
        counts
    }

    fn check_available(down: &AtomicBool) -> Result<(), Error> {
        if down.load(Ordering::SeqCst) { Err(Error::Down("out".to_owned())) } else { Ok(()) }
    }
}

impl Table for Platform {
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> platform::BoxFuture<'a, Option<Row>> {
        self.get_newer(table, key, None)
    }

    fn get_newer<'a>(
        &'a self,
        _: &'a str,
        key: &'a str,
        known: Option<&'a Tag>,
    ) -> platform::BoxFuture<'a, Option<Row>> {
        Box::pin(async move {
            Self::check_available(&self.table_down)?;
            let Some(document) = self.document.lock().clone() else { return Ok(None) };
            let tag = Tag(document.epoch.to_string());
            if known == Some(&tag) {
                return Ok(None);
            }
            let value = serde_json::to_vec(&document).expect("JSON").into();
            Ok(Some(Row { key: key.to_owned(), tag, value }))
        })
    }

    fn list<'a>(&'a self, _: &'a str, _: &'a str) -> platform::BoxFuture<'a, Vec<Row>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    fn insert<'a>(&'a self, _: &'a str, _: &'a str, _: Bytes) -> platform::BoxFuture<'a, Write> {
        Box::pin(async { Ok(Write::Conflict) })
    }

    fn replace<'a>(
        &'a self,
        _: &'a str,
        _: &'a str,
        _: &'a Tag,
        _: Bytes,
    ) -> platform::BoxFuture<'a, Write> {
        Box::pin(async { Ok(Write::Conflict) })
    }
}

impl Objects for Platform {
    fn put_if_absent<'a>(&'a self, key: &'a str, value: Bytes) -> platform::BoxFuture<'a, Write> {
        Box::pin(async move {
            Self::check_available(&self.objects_down)?;
            let mut objects = self.objects.lock();
            if objects.contains_key(key) {
                return Ok(Write::Conflict);
            }
            objects.insert(key.to_owned(), value);
            if self.write_answers_lost.load(Ordering::SeqCst) {
                return Err(Error::Lost("no answer".to_owned()));
            }
            Ok(Write::Done(Tag("1".to_owned())))
        })
    }

    fn get<'a>(&'a self, key: &'a str) -> platform::BoxFuture<'a, Option<Bytes>> {
        Box::pin(async move {
            Self::check_available(&self.objects_down)?;
            Ok(self.objects.lock().get(key).cloned())
        })
    }

    fn list<'a>(&'a self, _: &'a str) -> platform::BoxFuture<'a, Vec<String>> {
        Box::pin(async { Ok(self.objects.lock().keys().cloned().collect()) })
    }
}

impl Vms for Platform {
    fn all(&self) -> platform::BoxFuture<'_, Vec<Vm>> {
        Box::pin(async { Ok(self.vms.lock().clone()) })
    }
}

/// The network between the nodes: the node at each address, and the links that are cut.
#[derive(Debug, Default)]
pub struct Network {
    pub nodes: Mutex<HashMap<SocketAddr, Arc<Node>>>,
    pub cuts: Mutex<HashSet<(SocketAddr, SocketAddr)>>,
}

impl Network {
    /// Calls from `a` to `b` get no answer, not even those under way; those from `b` to `a` still do.
    pub fn cut(&self, a: &Node, b: &Node) {
        self.cuts.lock().insert((node_address(a), node_address(b)));
    }

    /// Cuts the calls of node `a` to node `b`, even if these nodes have not started yet.
    pub fn cut_by_index(&self, a: u16, b: u16) {
        self.cuts.lock().insert((address(a), address(b)));
    }

    /// Simulates the kill of a process: no departure is announced, and the node stops answering.
    pub fn kill(&self, node: &Node) {
        node.kill();
        self.nodes.lock().remove(&node_address(node));
    }
}

#[derive(Debug)]
struct InMemoryTransport {
    from: SocketAddr,
    network: Arc<Network>,
}

impl Transport for InMemoryTransport {
    fn call(&self, call: Call) -> transport::ReplyFuture<'_> {
        Box::pin(async move {
            let is_cut = || self.network.cuts.lock().contains(&(self.from, call.addr));
            let node = self.network.nodes.lock().get(&call.addr).cloned();
            let (false, Some(node)) = (is_cut(), node) else {
                Timer::after(call.timeout).await;
                return Err(transport::Error("timed out".to_owned()));
            };
            let res = post(&node, &call.time, &call.mac, call.body).await;
            if is_cut() {
                Timer::after(call.timeout).await;
                return Err(transport::Error("timed out".to_owned()));
            }
            let mac = res.headers().get("x-curranthook-mac").and_then(|it| it.to_str().ok());
            let Some(mac) = mac.map(str::to_owned) else {
                return Err(transport::Error(res.status().to_string()));
            };
            Ok(Reply { mac, body: res.into_body() })
        })
    }
}

/// Passes a call to a node as its listener would.
pub async fn post(node: &Node, time: &str, mac: &str, body: Bytes) -> http::Response<Bytes> {
    let req = http::Request::post("/rpc")
        .header("x-curranthook-time", time)
        .header("x-curranthook-mac", mac)
        .body(())
        .expect("a valid request");
    let res = node.handle(&req.into_parts().0, body).await;
    let (head, body) = res.into_parts();
    http::Response::from_parts(head, body.collect().await.expect("a complete body").to_bytes())
}

/// The nodes under test, with their executor, platform and network.
pub struct Fleet {
    pub ex: runtime::Handle,
    pub platform: Arc<Platform>,
    pub network: Arc<Network>,
    pub tuning: Tuning,
}

impl Fleet {
    /// Creates a fleet without nodes; the intervals are 20 times shorter than by default.
    pub fn new() -> Self {
        let interval = Duration::from_millis(50);
        let owner_timeout = Duration::from_millis(600);
        let tuning = Tuning {
            exchange_interval: interval,
            poll_interval: interval,
            flush_interval: interval,
            owner_timeout,
            ..Tuning::default()
        };
        Self { ex: runtime::start(4), platform: Arc::default(), network: Arc::default(), tuning }
    }

    /// Starts `n` nodes in three failure domains and adds all to the VM list.
    pub fn start(&self, n: u16) -> Vec<Arc<Node>> {
        (0..n).for_each(|it| self.add_to_list(it));
        (0..n).map(|it| self.node(it, 1)).collect()
    }

    pub fn add_to_list(&self, n: u16) {
        let vm = Vm {
            id: format!("vm-{n}").as_str().into(),
            address: address(n),
            failure_domain: domain(n).as_str().into(),
            state: VmState::Live,
            role: Role::Entry,
        };
        self.platform.vms.lock().push(vm);
    }

    /// Starts one node, with the addresses of nodes 0 and 1 as seeds.
    pub fn node(&self, n: u16, incarnation: u64) -> Arc<Node> {
        let clock = Arc::new(clock::System);
        let transport = InMemoryTransport { from: address(n), network: Arc::clone(&self.network) };
        let tuning = Tuning { transport: Some(Arc::new(transport)), ..self.tuning.clone() };
        let pool = Arc::new(Pool::new(Arc::clone(&self.ex), clock.clone()));
        let platform = &self.platform;
        let setup = Setup {
            settings: settings(n),
            incarnation,
            peer_addr: address(n),
            ex: Arc::clone(&self.ex),
            pool,
            clock,
            table: platform.clone(),
            objects: platform.clone(),
            vms: platform.clone(),
            seed: u64::from(n),
        };
        let node = Node::start_with(setup, tuning);
        self.network.nodes.lock().insert(address(n), Arc::clone(&node));
        node
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, node) in self.network.nodes.lock().drain() {
            node.kill();
        }
    }
}

fn settings(n: u16) -> node::Settings {
    let unused = address(0);
    node::Settings {
        vm: format!("vm-{n}").as_str().into(),
        site: "vn-south".into(),
        failure_domain: domain(n).as_str().into(),
        listen: unused,
        peer_listen: address(n),
        peer_address: None,
        steward_listen: unused,
        platform: node::Platform { table: unused, objects: unused, vms: unused },
        seeds: vec![address(0), address(1)],
        peer_key: PEER_KEY.to_vec(),
        statsd: None,
        threads: 1,
    }
}

fn domain(n: u16) -> String {
    format!("vn-south-{}", n % 3)
}

pub fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + n))
}

fn node_address(node: &Node) -> SocketAddr {
    node.identity().addr
}

pub fn bill_line(request: &str) -> bill::Line {
    bill::Line {
        request: request.into(),
        account: "co-op".into(),
        served_by: "tally-llm@1".to_owned(),
        prompt_tokens: 10,
        completion_tokens: 20,
        cost: curranthook_types::price::Micros(30),
        at_millis: 0,
    }
}

/// Waits until `condition` holds, for at most `timeout`, and returns the time it took.
pub async fn wait_until(
    timeout: Duration,
    mut condition: impl FnMut() -> bool,
) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < timeout {
        if condition() {
            return Some(start.elapsed());
        }
        Timer::after(Duration::from_millis(5)).await;
    }
    None
}
