//! The datagrams by which nodes know of each other's work at engines.
//!
//! In a small fleet each node tells all others what it has waiting. In a large one it tells only
//! the [`load_owners`] of the endpoints concerned, and asks the owners of a few candidates previous it
//! places a request. A lost datagram is made good by the next; a question without an answer costs
//! 15 ms, and the request is placed by what its node knows itself.
//!
//! [`load_owners`]: crate::load_owners

mod limits;
mod queries;

use std::{
    collections::{HashMap, HashSet},
    net::{SocketAddr, UdpSocket},
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use async_channel::Sender;
use async_io::{Async, Timer};
use curranthook_types::endpoint;
use futures_lite::future;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{Gateway, affinity::Read, load_owners, rate_limit};

use self::limits::Limit;
pub use self::queries::query;

/// How often a node with work waiting tells it again.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// The least time between two rounds of reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Work below this isn't worth telling: less than the way to an engine and back.
const MIN_REPORTED_WORK: Duration = Duration::from_millis(10);
/// The largest datagram; what doesn't fit isn't reported_to.
const MAX_DATAGRAM: usize = 1_400;
/// How many endpoints fit into one.
const MAX_REPORTED_ENDPOINTS: usize = 32;

/// How many prompts sent to be read fit into one beside them.
const MAX_REPORTED_READS: usize = 8;

/// How many unreachable endpoints fit into one beside them.
const MAX_REPORTED_UNREACHABLE: usize = 8;

/// Work that waits at endpoints.
type PendingWork = HashMap<endpoint::Id, Duration>;

/// What nodes send each other.
#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Message {
    /// What `node` has waiting, in place of what it reported_to previous.
    #[serde(rename = "notice")]
    Report {
        node: String,
        #[serde_as(as = "HashMap<_, DurationMilliSeconds<u64>>")]
        waiting: PendingWork,
        /// What it has sent to be read since.
        #[serde(default)]
        reads: Vec<Read>,
        /// The endpoints to which it couldn't open a connection since.
        #[serde(default)]
        unreachable: Vec<endpoint::Id>,
    },
    /// What endpoints said of their limits.
    Limits { limits: Vec<Limit> },
    /// What do all nodes but `node` have waiting at these endpoints?
    Question {
        id: u64,
        node: String,
        endpoints: Vec<endpoint::Id>,
        /// Where were the parts of this subject read?
        #[serde(default)]
        subject: Option<u64>,
    },
    /// The answer to a question.
    Answer {
        id: u64,
        #[serde_as(as = "HashMap<_, DurationMilliSeconds<u64>>")]
        waiting: PendingWork,
        /// Where the subject's parts were read, if that was asked.
        #[serde(default)]
        holders: Option<Vec<endpoint::Id>>,
        /// Those of the endpoints asked about that can't be reached.
        #[serde(default)]
        unreachable: Vec<endpoint::Id>,
    },
}

/// What other nodes know that bears on where a request goes.
#[derive(Debug, Clone, Default)]
pub struct PeerState {
    /// The work that they have waiting, for the endpoints asked about.
    pub waiting: PendingWork,
    /// The endpoints that read the shared parts lately; none if nobody could tell.
    pub holders: Option<Vec<endpoint::Id>>,
    /// Those of the endpoints asked about to which no connection can be opened.
    pub unreachable: Vec<endpoint::Id>,
}

impl PeerState {
    fn extend(&mut self, other: Self) {
        self.waiting.extend(other.waiting);
        self.unreachable.extend(other.unreachable);
        self.holders = other.holders.or(self.holders.take());
    }
}

/// The socket, and the queries that wait for answers.
#[derive(Debug)]
pub struct Socket {
    socket: Async<UdpSocket>,
    next_query_id: AtomicU64,
    open_queries: Mutex<HashMap<u64, Sender<(u64, PeerState)>>>,
    /// What this node sent to be read and hasn't reported_to yet.
    reads: Mutex<Vec<Read>>,
    /// The endpoints that it couldn't reach and hasn't reported_to of yet.
    unreachable: Mutex<Vec<endpoint::Id>>,
    /// What it heard of limits and hasn't reported_to yet.
    limits: limits::Queue,
}

impl Socket {
    /// Socket over `socket`.
    pub fn new(socket: Async<UdpSocket>) -> Self {
        Self {
            socket,
            next_query_id: AtomicU64::new(0),
            open_queries: Mutex::default(),
            reads: Mutex::default(),
            unreachable: Mutex::default(),
            limits: limits::Queue::default(),
        }
    }

    /// Notes that parts were sent to be read, to be reported_to with the next report.
    pub fn queue_read(&self, read: Read) {
        let mut reads = self.reads.lock();
        if reads.len() < MAX_REPORTED_READS {
            reads.push(read);
        }
    }

    /// Notes that no connection to an endpoint could be opened, to be reported_to with the next report.
    pub fn queue_unreachable(&self, endpoint: endpoint::Id) {
        let mut all = self.unreachable.lock();
        if all.len() < MAX_REPORTED_UNREACHABLE && !all.contains(&endpoint) {
            all.push(endpoint);
        }
    }

    /// Notes what an endpoint said of its limit, to be reported_to soon.
    pub fn queue_limit(&self, endpoint: &endpoint::Id, notice: rate_limit::Notice) {
        self.limits.push(endpoint, notice);
    }

    async fn send(&self, message: &Message, addr: SocketAddr) {
        let bytes = serde_json::to_vec(message).expect("a message can be written as JSON");
        if let Err(e) = self.socket.send_to(&bytes, addr).await {
            log::debug!("cannot send to {addr}: {e}");
        }
    }
}

/// Tells the others and listens to them, for as long as the process lives.
pub async fn run(gateway: Arc<Gateway>, reports: Arc<Socket>) {
    let receiver = receive(Arc::clone(&gateway), Arc::clone(&reports));
    gateway.ex.spawn(receiver).detach();
    let mut reported_to = HashSet::new();
    loop {
        wait_for_changes(&gateway, &reports, &reported_to).await;
        reported_to = send_reports(&gateway, &reports, reported_to).await;
        limits::send(&gateway, &reports).await;
        Timer::after(MIN_REPORT_INTERVAL).await;
    }
}

/// Waits until there may be something to tell. Whoever was reported_to of work is reported_to again after a while.
async fn wait_for_changes(gateway: &Gateway, reports: &Socket, reported_to: &HashSet<SocketAddr>) {
    let changed = gateway.pending_work_changed.wait();
    // What came while others were being reported_to woke nobody.
    if !reports.limits.is_empty() {
        return;
    }
    let repeat = async {
        match reported_to.is_empty() {
            true => std::future::pending().await,
            false => {
                Timer::after(REPORT_INTERVAL).await;
            }
        }
    };
    future::or(changed, repeat).await;
}

async fn receive(gateway: Arc<Gateway>, reports: Arc<Socket>) {
    let mut bytes = [0; MAX_DATAGRAM];
    loop {
        match reports.socket.recv_from(&mut bytes).await {
            Ok((n, from)) => match serde_json::from_slice(&bytes[..n]) {
                Ok(message) => handle(&gateway, &reports, message, from).await,
                Err(e) => log::debug!("a message of {from} can't be read: {e}"),
            },
            Err(e) => {
                log::debug!("no message can be received: {e}");
                Timer::after(MIN_REPORT_INTERVAL).await;
            }
        }
    }
}

async fn handle(gateway: &Gateway, reports: &Socket, message: Message, from: SocketAddr) {
    let now = gateway.now();
    match message {
        Message::Report { node, waiting, reads, unreachable } => {
            gateway.load_table.lock().update(node, waiting, now);
            let mut directory = gateway.directory.lock();
            unreachable.iter().for_each(|it| directory.report_unreachable(it, now));
            drop(directory);
            let mut affinity = gateway.affinity.lock();
            reads.iter().for_each(|it| affinity.read(it.subject, &it.endpoint, now));
        }
        Message::Limits { limits } => {
            limits.iter().for_each(|it| limits::receive(gateway, reports, it));
        }
        Message::Question { id, node, endpoints, subject } => {
            let PeerState { waiting, holders, unreachable } =
                local_state(gateway, endpoints, subject, &node);
            reports.send(&Message::Answer { id, waiting, holders, unreachable }, from).await;
        }
        Message::Answer { id, waiting, holders, unreachable } => {
            let query = reports.open_queries.lock().remove(&id);
            // Whoever asked may have gone on without it.
            let _late =
                query.map(|it| it.try_send((id, PeerState { waiting, holders, unreachable })));
        }
    }
}

/// What all nodes but `requester` have waiting at `endpoints`, and where `subject` was read, as far as this
/// node was reported_to.
fn local_state(
    gateway: &Gateway,
    endpoints: Vec<endpoint::Id>,
    subject: Option<u64>,
    requester: &str,
) -> PeerState {
    let holders = subject.map(|it| gateway.affinity.lock().holders(it, gateway.now()));
    let (directory, load_table, now) =
        (gateway.directory.lock(), gateway.load_table.lock(), gateway.now());
    let own = &gateway.settings.node;
    let waiting = |id: &endpoint::Id| {
        let others_work = load_table.waiting(id, requester, now);
        let own_work = directory.get(id).map_or(Duration::ZERO, |it| it.pending);
        // This node doesn't tell itself.
        if own == requester { others_work } else { others_work + own_work }
    };
    let is_unreachable =
        |id: &&endpoint::Id| directory.get(id).is_some_and(|it| it.is_unreachable(now));
    let unreachable = endpoints.iter().filter(is_unreachable).cloned().collect();
    let waiting = endpoints.into_iter().map(|id| (id.clone(), waiting(&id))).collect();
    PeerState { waiting, holders, unreachable }
}

/// Tells others what this node has waiting: all of them, or the owners of the endpoints. Returns
/// who was reported_to of any work; whoever was previous is reported_to that there's none.
async fn send_reports(
    gateway: &Gateway,
    reports: &Socket,
    previous: HashSet<SocketAddr>,
) -> HashSet<SocketAddr> {
    let waiting: PendingWork = {
        let directory = gateway.directory.lock();
        let all = directory.all().filter(|it| MIN_REPORTED_WORK <= it.pending);
        all.map(|it| (it.entry.id.clone(), it.pending)).take(MAX_REPORTED_ENDPOINTS).collect()
    };
    let reads = std::mem::take(&mut *reports.reads.lock());
    let unreachable = std::mem::take(&mut *reports.unreachable.lock());
    let mut reports_by_node = reports_by_node(gateway, Report { waiting, reads, unreachable });
    for addr in previous {
        reports_by_node.entry(addr).or_default();
    }
    let mut reported_to = HashSet::new();
    for (addr, Report { waiting, reads, unreachable }) in reports_by_node {
        if !waiting.is_empty() {
            reported_to.insert(addr);
        }
        let node = gateway.settings.node.clone();
        reports.send(&Message::Report { node, waiting, reads, unreachable }, addr).await;
    }
    reported_to
}

/// What one node is reported_to.
#[derive(Debug, Clone, Default)]
struct Report {
    waiting: PendingWork,
    reads: Vec<Read>,
    unreachable: Vec<endpoint::Id>,
}

/// Who is reported_to what of `all`.
fn reports_by_node(gateway: &Gateway, all: Report) -> HashMap<SocketAddr, Report> {
    let own = gateway.settings.reports;
    let peers = gateway.peers.lock();
    if !load_owners::are_used(peers.len()) {
        let others = peers.values().filter_map(|it| it.reports).filter(|it| Some(*it) != own);
        return others.map(|addr| (addr, all.clone())).collect();
    }
    drop(peers);
    let (owners, now) = (gateway.load_owners.lock(), gateway.now());
    let mut reports_by_node: HashMap<SocketAddr, Report> = HashMap::new();
    for (id, work) in all.waiting {
        let owner = owners.owner_of(&id, now).filter(|it| Some(*it) != own);
        if let Some(addr) = owner {
            reports_by_node.entry(addr).or_default().waiting.insert(id, work);
        }
    }
    for id in all.unreachable {
        let owner = owners.owner_of(&id, now).filter(|it| Some(*it) != own);
        if let Some(addr) = owner {
            reports_by_node.entry(addr).or_default().unreachable.push(id);
        }
    }
    for read in all.reads {
        let owner = owners.owner_of_subject(read.subject, now).filter(|it| Some(*it) != own);
        if let Some(addr) = owner {
            reports_by_node.entry(addr).or_default().reads.push(read);
        }
    }
    reports_by_node
}
