//! The datagrams by which nodes know of each other's work at engines.
//!
//! In a small fleet each node tells all others what it has waiting. In a large one it tells only
//! the [`load_owners`] of the endpoints concerned, and asks the owners of a few candidates before it
//! places a request. A lost datagram is made good by the next; a question without an answer costs
//! 15 ms, and the request is placed by what its node knows itself.
//!
//! [`load_owners`]: crate::load_owners

mod limits;
mod questions;

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

use crate::{Gateway, affinity::Record, load_owners, rate_limit};

use self::limits::Limit;
pub use self::questions::query;

/// How often a node with work waiting tells it again.
const REPEAT: Duration = Duration::from_millis(300);
/// The least time between two rounds of reports.
const PAUSE: Duration = Duration::from_millis(20);
/// Work below this isn't worth telling: less than the way to an engine and back.
const MIN_WORK: Duration = Duration::from_millis(10);
/// The largest datagram; what doesn't fit isn't told.
const MAX_DATAGRAM: usize = 1_400;
/// How many endpoints fit into one.
const MAX_ENTRIES: usize = 32;

/// How many prompts sent to be read fit into one beside them.
const MAX_READS: usize = 8;

/// How many unreachable endpoints fit into one beside them.
const MAX_UNREACHABLE: usize = 8;

/// Work that waits at endpoints.
type Waiting = HashMap<endpoint::Id, Duration>;

/// What nodes send each other.
#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Message {
    /// What `node` has waiting, in place of what it told before.
    #[serde(rename = "notice")]
    Report {
        node: String,
        #[serde_as(as = "HashMap<_, DurationMilliSeconds<u64>>")]
        waiting: Waiting,
        /// What it has sent to be read since.
        #[serde(default)]
        reads: Vec<Record>,
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
        waiting: Waiting,
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
    pub waiting: Waiting,
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

/// The socket, and the questions that wait for answers.
#[derive(Debug)]
pub struct Socket {
    socket: Async<UdpSocket>,
    next: AtomicU64,
    asked: Mutex<HashMap<u64, Sender<(u64, PeerState)>>>,
    /// What this node sent to be read and hasn't told yet.
    reads: Mutex<Vec<Record>>,
    /// The endpoints that it couldn't reach and hasn't told of yet.
    unreachable: Mutex<Vec<endpoint::Id>>,
    /// What it heard of limits and hasn't told yet.
    limits: limits::Queue,
}

impl Socket {
    /// Socket over `socket`.
    pub fn new(socket: Async<UdpSocket>) -> Self {
        Self {
            socket,
            next: AtomicU64::new(0),
            asked: Mutex::default(),
            reads: Mutex::default(),
            unreachable: Mutex::default(),
            limits: limits::Queue::default(),
        }
    }

    /// Notes that parts were sent to be read, to be told with the next report.
    pub fn queue_read(&self, read: Record) {
        let mut reads = self.reads.lock();
        if reads.len() < MAX_READS {
            reads.push(read);
        }
    }

    /// Notes that no connection to an endpoint could be opened, to be told with the next report.
    pub fn queue_unreachable(&self, endpoint: endpoint::Id) {
        let mut all = self.unreachable.lock();
        if all.len() < MAX_UNREACHABLE && !all.contains(&endpoint) {
            all.push(endpoint);
        }
    }

    /// Notes what an endpoint said of its limit, to be told soon.
    pub fn queue_limit(&self, endpoint: &endpoint::Id, notice: rate_limit::Notice) {
        self.limits.push(endpoint, notice);
    }

    async fn send(&self, message: &Message, addr: SocketAddr) {
        let bytes = serde_json::to_vec(message).expect("a message can be written as JSON");
        if let Err(e) = self.socket.send_to(&bytes, addr).await {
            log::debug!("{addr} can't be told: {e}");
        }
    }
}

/// Tells the others and listens to them, for as long as the process lives.
pub async fn run(gateway: Arc<Gateway>, reports: Arc<Socket>) {
    let hears = hear(Arc::clone(&gateway), Arc::clone(&reports));
    gateway.ex.spawn(hears).detach();
    let mut told = HashSet::new();
    loop {
        wait_for_news(&gateway, &reports, &told).await;
        told = tell(&gateway, &reports, told).await;
        limits::tell(&gateway, &reports).await;
        Timer::after(PAUSE).await;
    }
}

/// Waits until there may be something to tell. Whoever was told of work is told again after a while.
async fn wait_for_news(gateway: &Gateway, reports: &Socket, told: &HashSet<SocketAddr>) {
    let changed = gateway.pending_work_changed.wait();
    // What came while others were being told woke nobody.
    if !reports.limits.is_empty() {
        return;
    }
    let again = async {
        match told.is_empty() {
            true => std::future::pending().await,
            false => {
                Timer::after(REPEAT).await;
            }
        }
    };
    future::or(changed, again).await;
}

async fn hear(gateway: Arc<Gateway>, reports: Arc<Socket>) {
    let mut bytes = [0; MAX_DATAGRAM];
    loop {
        match reports.socket.recv_from(&mut bytes).await {
            Ok((n, from)) => match serde_json::from_slice(&bytes[..n]) {
                Ok(message) => take(&gateway, &reports, message, from).await,
                Err(e) => log::debug!("a message of {from} can't be read: {e}"),
            },
            Err(e) => {
                log::debug!("no message can be received: {e}");
                Timer::after(PAUSE).await;
            }
        }
    }
}

async fn take(gateway: &Gateway, reports: &Socket, message: Message, from: SocketAddr) {
    let now = gateway.now();
    match message {
        Message::Report { node, waiting, reads, unreachable } => {
            gateway.load_table.lock().report(node, waiting, now);
            let mut directory = gateway.directory.lock();
            unreachable.iter().for_each(|it| directory.report_unreachable(it, now));
            drop(directory);
            let mut affinity = gateway.affinity.lock();
            reads.iter().for_each(|it| affinity.record(it.prefix_hash, &it.endpoint, now));
        }
        Message::Limits { limits } => {
            limits.iter().for_each(|it| limits::hear(gateway, reports, it));
        }
        Message::Question { id, node, endpoints, subject } => {
            let PeerState { waiting, holders, unreachable } =
                kept(gateway, endpoints, subject, &node);
            reports.send(&Message::Answer { id, waiting, holders, unreachable }, from).await;
        }
        Message::Answer { id, waiting, holders, unreachable } => {
            let asked = reports.asked.lock().remove(&id);
            // Whoever asked may have gone on without it.
            let _late =
                asked.map(|it| it.try_send((id, PeerState { waiting, holders, unreachable })));
        }
    }
}

/// What all nodes but `asker` have waiting at `endpoints`, and where `subject` was read, as far as this
/// node was told.
fn kept(
    gateway: &Gateway,
    endpoints: Vec<endpoint::Id>,
    subject: Option<u64>,
    asker: &str,
) -> PeerState {
    let holders = subject.map(|it| gateway.affinity.lock().holders(it, gateway.now()));
    let (directory, load_table, now) =
        (gateway.directory.lock(), gateway.load_table.lock(), gateway.now());
    let own = &gateway.settings.node;
    let waiting = |id: &endpoint::Id| {
        let of_others = load_table.waiting(id, asker, now);
        let of_this = directory.get(id).map_or(Duration::ZERO, |it| it.pending);
        // This node doesn't tell itself.
        if own == asker { of_others } else { of_others + of_this }
    };
    let is_unreachable =
        |id: &&endpoint::Id| directory.get(id).is_some_and(|it| it.is_unreachable(now));
    let unreachable = endpoints.iter().filter(is_unreachable).cloned().collect();
    let waiting = endpoints.into_iter().map(|id| (id.clone(), waiting(&id))).collect();
    PeerState { waiting, holders, unreachable }
}

/// Tells others what this node has waiting: all of them, or the owners of the endpoints. Returns
/// who was told of any work; whoever was before is told that there's none.
async fn tell(
    gateway: &Gateway,
    reports: &Socket,
    before: HashSet<SocketAddr>,
) -> HashSet<SocketAddr> {
    let waiting: Waiting = {
        let directory = gateway.directory.lock();
        let all = directory.all().filter(|it| MIN_WORK <= it.pending);
        all.map(|it| (it.entry.id.clone(), it.pending)).take(MAX_ENTRIES).collect()
    };
    let reads = std::mem::take(&mut *reports.reads.lock());
    let unreachable = std::mem::take(&mut *reports.unreachable.lock());
    let mut shares = shares(gateway, Share { waiting, reads, unreachable });
    for addr in before {
        shares.entry(addr).or_default();
    }
    let mut told = HashSet::new();
    for (addr, Share { waiting, reads, unreachable }) in shares {
        if !waiting.is_empty() {
            told.insert(addr);
        }
        let node = gateway.settings.node.clone();
        reports.send(&Message::Report { node, waiting, reads, unreachable }, addr).await;
    }
    told
}

/// What one node is told.
#[derive(Debug, Clone, Default)]
struct Share {
    waiting: Waiting,
    reads: Vec<Record>,
    unreachable: Vec<endpoint::Id>,
}

/// Who is told what of `all`.
fn shares(gateway: &Gateway, all: Share) -> HashMap<SocketAddr, Share> {
    let own = gateway.settings.reports;
    let peers = gateway.peers.lock();
    if !load_owners::are_used(peers.len()) {
        let others = peers.values().filter_map(|it| it.reports).filter(|it| Some(*it) != own);
        return others.map(|addr| (addr, all.clone())).collect();
    }
    drop(peers);
    let (owners, now) = (gateway.load_owners.lock(), gateway.now());
    let mut shares: HashMap<SocketAddr, Share> = HashMap::new();
    for (id, work) in all.waiting {
        let owner = owners.of(&id, now).filter(|it| Some(*it) != own);
        if let Some(addr) = owner {
            shares.entry(addr).or_default().waiting.insert(id, work);
        }
    }
    for id in all.unreachable {
        let owner = owners.of(&id, now).filter(|it| Some(*it) != own);
        if let Some(addr) = owner {
            shares.entry(addr).or_default().unreachable.push(id);
        }
    }
    for read in all.reads {
        let owner = owners.of_subject(read.prefix_hash, now).filter(|it| Some(*it) != own);
        if let Some(addr) = owner {
            shares.entry(addr).or_default().reads.push(read);
        }
    }
    shares
}
