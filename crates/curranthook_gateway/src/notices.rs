//! The datagrams by which nodes know of each other's work at engines.
//!
//! In a small fleet each node tells all others what it has waiting. In a large one it tells only
//! the [`keepers`] of the endpoints concerned, and asks the keepers of a few candidates before it
//! places a request. A lost datagram is made good by the next; a question without an answer costs
//! 15 ms, and the request is placed by what its node knows itself.
//!
//! [`keepers`]: crate::keepers

use std::{
    collections::{HashMap, HashSet},
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use curranthook_http::timeout;
use curranthook_types::endpoint;
use futures_lite::future;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{Gateway, affinity::Read, keepers};

/// How often a node with work waiting tells it again.
const REPEAT: Duration = Duration::from_millis(300);
/// The least time between two rounds of notices.
const PAUSE: Duration = Duration::from_millis(20);
/// Work below this isn't worth telling: less than the way to an engine and back.
const MIN_WORK: Duration = Duration::from_millis(10);
/// How long the answer of a keeper may take: a few ways between failure domains and the turn of a
/// small node. A request waits for it, so it's little against the second that callers wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(15);
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
    Notice {
        node: String,
        #[serde_as(as = "HashMap<_, DurationMilliSeconds<u64>>")]
        waiting: Waiting,
        /// What it has sent to be read since.
        #[serde(default)]
        reads: Vec<Read>,
        /// The endpoints to which it couldn't open a connection since.
        #[serde(default)]
        unreachable: Vec<endpoint::Id>,
    },
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
pub struct Heard {
    /// The work that they have waiting, for the endpoints asked about.
    pub waiting: Waiting,
    /// The endpoints that read the shared parts lately; none if nobody could tell.
    pub holders: Option<Vec<endpoint::Id>>,
    /// Those of the endpoints asked about to which no connection can be opened.
    pub unreachable: Vec<endpoint::Id>,
}

impl Heard {
    fn extend(&mut self, other: Self) {
        self.waiting.extend(other.waiting);
        self.unreachable.extend(other.unreachable);
        self.holders = other.holders.or(self.holders.take());
    }
}

/// The socket, and the questions that wait for answers.
#[derive(Debug)]
pub struct Notices {
    socket: Async<UdpSocket>,
    next: AtomicU64,
    asked: Mutex<HashMap<u64, Sender<(u64, Heard)>>>,
    /// What this node sent to be read and hasn't told yet.
    reads: Mutex<Vec<Read>>,
    /// The endpoints that it couldn't reach and hasn't told of yet.
    unreachable: Mutex<Vec<endpoint::Id>>,
}

impl Notices {
    /// Notices over `socket`.
    pub fn new(socket: Async<UdpSocket>) -> Self {
        Self {
            socket,
            next: AtomicU64::new(0),
            asked: Mutex::default(),
            reads: Mutex::default(),
            unreachable: Mutex::default(),
        }
    }

    /// Notes that parts were sent to be read, to be told with the next notice.
    pub fn read(&self, read: Read) {
        let mut reads = self.reads.lock();
        if reads.len() < MAX_READS {
            reads.push(read);
        }
    }

    /// Notes that no connection to an endpoint could be opened, to be told with the next notice.
    pub fn unreachable(&self, endpoint: endpoint::Id) {
        let mut all = self.unreachable.lock();
        if all.len() < MAX_UNREACHABLE && !all.contains(&endpoint) {
            all.push(endpoint);
        }
    }

    async fn send(&self, message: &Message, addr: SocketAddr) {
        let bytes = serde_json::to_vec(message).expect("a message can be written as JSON");
        if let Err(e) = self.socket.send_to(&bytes, addr).await {
            log::debug!("{addr} can't be told: {e}");
        }
    }
}

/// Tells the others and listens to them, for as long as the process lives.
pub async fn run(gateway: Arc<Gateway>, notices: Arc<Notices>) {
    let hears = hear(Arc::clone(&gateway), Arc::clone(&notices));
    gateway.ex.spawn(hears).detach();
    let mut told = HashSet::new();
    loop {
        let changed = gateway.waiting_changed.wait();
        let again = async {
            match told.is_empty() {
                true => std::future::pending().await,
                false => {
                    Timer::after(REPEAT).await;
                }
            }
        };
        future::or(changed, again).await;
        told = tell(&gateway, &notices, told).await;
        Timer::after(PAUSE).await;
    }
}

async fn hear(gateway: Arc<Gateway>, notices: Arc<Notices>) {
    let mut bytes = [0; MAX_DATAGRAM];
    loop {
        match notices.socket.recv_from(&mut bytes).await {
            Ok((n, from)) => match serde_json::from_slice(&bytes[..n]) {
                Ok(message) => take(&gateway, &notices, message, from).await,
                Err(e) => log::debug!("a message of {from} can't be read: {e}"),
            },
            Err(e) => {
                log::debug!("no message can be received: {e}");
                Timer::after(PAUSE).await;
            }
        }
    }
}

async fn take(gateway: &Gateway, notices: &Notices, message: Message, from: SocketAddr) {
    let now = gateway.now();
    match message {
        Message::Notice { node, waiting, reads, unreachable } => {
            gateway.board.lock().told(node, waiting, now);
            let mut directory = gateway.directory.lock();
            unreachable.iter().for_each(|it| directory.reported_unreachable(it, now));
            drop(directory);
            let mut affinity = gateway.affinity.lock();
            reads.iter().for_each(|it| affinity.read(it.subject, &it.endpoint, now));
        }
        Message::Question { id, node, endpoints, subject } => {
            let Heard { waiting, holders, unreachable } = kept(gateway, endpoints, subject, &node);
            notices.send(&Message::Answer { id, waiting, holders, unreachable }, from).await;
        }
        Message::Answer { id, waiting, holders, unreachable } => {
            let asked = notices.asked.lock().remove(&id);
            // Whoever asked may have gone on without it.
            let _late = asked.map(|it| it.try_send((id, Heard { waiting, holders, unreachable })));
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
) -> Heard {
    let holders = subject.map(|it| gateway.affinity.lock().holders(it, gateway.now()));
    let (directory, board, now) = (gateway.directory.lock(), gateway.board.lock(), gateway.now());
    let own = &gateway.settings.node;
    let waiting = |id: &endpoint::Id| {
        let of_others = board.waiting(id, asker, now);
        let of_this = directory.tracked(id).map_or(Duration::ZERO, |it| it.pending);
        // This node doesn't tell itself.
        if own == asker { of_others } else { of_others + of_this }
    };
    let is_unreachable =
        |id: &&endpoint::Id| directory.tracked(id).is_some_and(|it| it.is_unreachable(now));
    let unreachable = endpoints.iter().filter(is_unreachable).cloned().collect();
    let waiting = endpoints.into_iter().map(|id| (id.clone(), waiting(&id))).collect();
    Heard { waiting, holders, unreachable }
}

/// Tells others what this node has waiting: all of them, or the keepers of the endpoints. Returns
/// who was told of any work; whoever was before is told that there's none.
async fn tell(
    gateway: &Gateway,
    notices: &Notices,
    before: HashSet<SocketAddr>,
) -> HashSet<SocketAddr> {
    let waiting: Waiting = {
        let directory = gateway.directory.lock();
        let all = directory.all().filter(|it| MIN_WORK <= it.pending);
        all.map(|it| (it.entry.id.clone(), it.pending)).take(MAX_ENTRIES).collect()
    };
    let reads = std::mem::take(&mut *notices.reads.lock());
    let unreachable = std::mem::take(&mut *notices.unreachable.lock());
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
        notices.send(&Message::Notice { node, waiting, reads, unreachable }, addr).await;
    }
    told
}

/// What one node is told.
#[derive(Debug, Clone, Default)]
struct Share {
    waiting: Waiting,
    reads: Vec<Read>,
    unreachable: Vec<endpoint::Id>,
}

/// Who is told what of `all`.
fn shares(gateway: &Gateway, all: Share) -> HashMap<SocketAddr, Share> {
    let own = gateway.settings.notices;
    let peers = gateway.peers.lock();
    if !keepers::are_used(peers.len()) {
        let others = peers.values().filter_map(|it| it.notices).filter(|it| Some(*it) != own);
        return others.map(|addr| (addr, all.clone())).collect();
    }
    drop(peers);
    let (keepers, now) = (gateway.keepers.lock(), gateway.now());
    let mut shares: HashMap<SocketAddr, Share> = HashMap::new();
    for (id, work) in all.waiting {
        let keeper = keepers.of(&id, now).filter(|it| Some(*it) != own);
        if let Some(addr) = keeper {
            shares.entry(addr).or_default().waiting.insert(id, work);
        }
    }
    for id in all.unreachable {
        let keeper = keepers.of(&id, now).filter(|it| Some(*it) != own);
        if let Some(addr) = keeper {
            shares.entry(addr).or_default().unreachable.push(id);
        }
    }
    for read in all.reads {
        let keeper = keepers.of_subject(read.subject, now).filter(|it| Some(*it) != own);
        if let Some(addr) = keeper {
            shares.entry(addr).or_default().reads.push(read);
        }
    }
    shares
}

/// What the other nodes have waiting at `endpoints`, and where `subject` was read, as far as their keepers
/// tell in time.
pub async fn ask(gateway: &Gateway, endpoints: Vec<endpoint::Id>, subject: Option<u64>) -> Heard {
    let Some(notices) = gateway.notices.get() else { return Heard::default() };
    let settings = &gateway.settings;
    let mut by_keeper = by_keeper(gateway, endpoints, subject);
    let own = settings.notices.and_then(|own| by_keeper.remove(&own)).unwrap_or_default();
    let mut heard = kept(gateway, own.endpoints, own.subject, &settings.node);
    let questions = Questions::send(gateway, notices, by_keeper).await;
    heard.extend(questions.answers().await);
    heard
}

/// What one keeper is asked.
#[derive(Debug, Default)]
struct Asked {
    endpoints: Vec<endpoint::Id>,
    subject: Option<u64>,
}

fn by_keeper(
    gateway: &Gateway,
    endpoints: Vec<endpoint::Id>,
    subject: Option<u64>,
) -> HashMap<SocketAddr, Asked> {
    let (keepers, now) = (gateway.keepers.lock(), gateway.now());
    let mut all: HashMap<SocketAddr, Asked> = HashMap::new();
    for id in endpoints {
        if let Some(addr) = keepers.of(&id, now) {
            all.entry(addr).or_default().endpoints.push(id);
        }
    }
    if let Some(addr) = subject.and_then(|it| keepers.of_subject(it, now)) {
        all.entry(addr).or_default().subject = subject;
    }
    all
}

/// Questions on their way.
struct Questions<'a> {
    gateway: &'a Gateway,
    notices: &'a Notices,
    /// Who was asked, by the question's id.
    open: HashMap<u64, SocketAddr>,
    answers: Receiver<(u64, Heard)>,
}

impl<'a> Questions<'a> {
    /// Asks each keeper.
    async fn send(
        gateway: &'a Gateway,
        notices: &'a Notices,
        by_keeper: HashMap<SocketAddr, Asked>,
    ) -> Self {
        let (tx, answers) = async_channel::bounded(by_keeper.len().max(1));
        let mut open = HashMap::new();
        for (addr, Asked { endpoints, subject }) in by_keeper {
            let id = notices.next.fetch_add(1, Ordering::Relaxed);
            notices.asked.lock().insert(id, tx.clone());
            open.insert(id, addr);
            let node = gateway.settings.node.clone();
            notices.send(&Message::Question { id, node, endpoints, subject }, addr).await;
        }
        Self { gateway, notices, open, answers }
    }

    /// The answers that come in time.
    async fn answers(mut self) -> Heard {
        let mut heard = Heard::default();
        let gather = async {
            while !self.open.is_empty() {
                let Ok((id, told)) = self.answers.recv().await else { return };
                if let Some(addr) = self.open.remove(&id) {
                    self.gateway.keepers.lock().answered(addr);
                    self.gateway.metrics.asked("answered");
                }
                heard.extend(told);
            }
        };
        // Elapsed or not, what was told by then counts.
        let _elapsed = timeout::run(ANSWER_TIMEOUT, gather).await;
        self.close();
        heard
    }

    /// Gives up the questions that have no answer.
    fn close(self) {
        for addr in self.open.values() {
            self.gateway.keepers.lock().missed(*addr, self.gateway.now());
            self.gateway.metrics.asked("unanswered");
        }
    }
}

impl Drop for Questions<'_> {
    /// A caller that leaves drops its request here, too; without this, what it asked would be kept
    /// for good if the answers are lost.
    fn drop(&mut self) {
        let mut asked = self.notices.asked.lock();
        for id in self.open.keys() {
            asked.remove(id);
        }
    }
}
