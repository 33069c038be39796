//! Datagrams through which nodes exchange the amount of work that they have pending at engines.
//!
//! In a small fleet, each node reports its pending work to all others. In a large one, it reports
//! only to the [`owners`] of the endpoints concerned, and queries the owners of a few
//! candidates before it places a request. A lost report is replaced by the next one. An unanswered
//! query costs 15 ms, and the request is then placed by what the node observed itself.
//!
//! [`owners`]: crate::load::owners

mod datagram;
mod limits;
mod queries;

use std::{
    collections::{HashMap, HashSet},
    net::{SocketAddr, UdpSocket},
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, Instant},
};

use async_channel::Sender;
use async_io::{Async, Timer};
use curranthook_policy::slowdown::Figure;
use curranthook_types::endpoint;
use futures_lite::future;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{
    Gateway,
    affinity::Record,
    directory::Directory,
    load::{
        breakdown::{self, Breakdown, PendingWork},
        owners, slowdowns,
        work::Work,
    },
    rate_limit,
};

use self::limits::Limit;
pub use self::{datagram::datagram, queries::query};

/// How often a node repeats its report while it has work pending.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// The minimum interval between two rounds of reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// The minimum pending work at an endpoint that is reported. Less work than this takes less time
/// than the round trip to an engine.
const MIN_REPORTED_WORK: Duration = Duration::from_millis(10);
/// The maximum size of a datagram, in bytes; a longer one is truncated on receipt and rejected as
/// malformed. The limits below bound the contents of a report. What exceeds them is not reported.
pub const MAX_DATAGRAM: usize = 1_400;
/// The maximum number of endpoints in a report, so that it fits into a datagram.
pub const MAX_REPORTED_ENDPOINTS: usize = 32;

/// The maximum number of prompts sent for prefill in a report, in addition to the endpoints with
/// pending work.
const MAX_REPORTED_PREFILLS: usize = 8;

/// The maximum number of unreachable endpoints in a report, in addition to the endpoints with
/// pending work.
const MAX_REPORTED_UNREACHABLE: usize = 8;

/// A message between nodes.
#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The work that `node` has pending at endpoints; replaces its previous report.
    #[serde(rename = "notice")]
    Report {
        /// The name of the node.
        node: String,
        /// The pending work.
        #[serde_as(as = "HashMap<_, DurationMilliSeconds<u64>>")]
        waiting: HashMap<endpoint::Id, Duration>,
        /// The same by priority.
        #[serde(default, skip_serializing_if = "Breakdown::is_empty")]
        by_priority: Breakdown,
        /// The prompts that `node` sent for prefill since its previous report.
        #[serde(default, rename = "reads")]
        prefills: Vec<Record>,
        /// The endpoints to which `node` could not open a connection since its previous report.
        #[serde(default)]
        unreachable: Vec<endpoint::Id>,
        /// The slowdowns that endpoints reported to `node` since its previous report.
        #[serde(default, skip_serializing_if = "slowdowns::Entries::is_empty")]
        slowdowns: slowdowns::Entries,
    },
    /// Rate limits reported by endpoints.
    Limits {
        /// The rate limits.
        limits: Vec<Limit>,
    },
    /// Asks how much work all nodes except `node` have pending at these endpoints.
    Question {
        /// The id of the question, repeated in the answer.
        id: u64,
        /// The name of the requesting node.
        node: String,
        /// The endpoints.
        endpoints: Vec<endpoint::Id>,
        /// The prompt prefix whose holders are requested, if any: the hash of the model and the
        /// shared prompt parts.
        #[serde(default, rename = "subject")]
        prefix_hash: Option<u64>,
    },
    /// The answer to a question.
    Answer {
        /// The id of the question.
        id: u64,
        /// The pending work.
        #[serde_as(as = "HashMap<_, DurationMilliSeconds<u64>>")]
        waiting: HashMap<endpoint::Id, Duration>,
        /// The same by priority.
        #[serde(default, skip_serializing_if = "Breakdown::is_empty")]
        by_priority: Breakdown,
        /// The endpoints that have prefilled the prompt prefix, if the question contains one.
        #[serde(default)]
        holders: Option<Vec<endpoint::Id>>,
        /// Those of the endpoints in the question that are unreachable.
        #[serde(default)]
        unreachable: Vec<endpoint::Id>,
        /// The newest slowdowns of the endpoints in the question.
        #[serde(default, skip_serializing_if = "slowdowns::Entries::is_empty")]
        slowdowns: slowdowns::Entries,
    },
}

/// What other nodes know about the candidate endpoints of a request.
#[derive(Debug, Clone, Default)]
pub struct PeerState {
    /// The work that they have pending at each of the given endpoints.
    pub waiting: PendingWork,
    /// The endpoints that recently prefilled the shared prompt parts; none if unknown.
    pub holders: Option<Vec<endpoint::Id>>,
    /// Those of the given endpoints to which no connection can be opened.
    pub unreachable: Vec<endpoint::Id>,
}

impl PeerState {
    /// Ejects the unreachable endpoints, and removes their work: it is no queue in which a request
    /// could wait, and as they have none, they would seem idle.
    pub fn eject_unreachable(&mut self, directory: &mut Directory, now: Instant) {
        for it in &self.unreachable {
            directory.eject(it, now);
            self.waiting.remove(it);
        }
    }

    /// Adds what `other` contains, which replaces what is known of the same endpoints.
    pub fn extend(&mut self, other: Self) {
        self.waiting.extend(other.waiting);
        self.unreachable.extend(other.unreachable);
        self.holders = other.holders.or(self.holders.take());
    }
}

/// The datagram socket, the queries that await an answer, and the items that are queued for the
/// next report.
#[derive(Debug)]
pub struct Socket {
    socket: Async<UdpSocket>,
    next_query_id: AtomicU64,
    open_queries: Mutex<HashMap<u64, Sender<(u64, PeerState)>>>,
    /// Prompts sent for prefill that have not been reported yet.
    prefills: Mutex<Vec<Record>>,
    /// Unreachable endpoints that have not been reported yet.
    unreachable: Mutex<Vec<endpoint::Id>>,
    /// Rate limits that have not been reported yet.
    limits: limits::Queue,
    /// Slowdowns of endpoints that have not been reported yet.
    slowdowns: slowdowns::Queue,
}

impl Socket {
    /// Wraps a bound socket.
    pub fn new(socket: Async<UdpSocket>) -> Self {
        Self {
            socket,
            next_query_id: AtomicU64::new(0),
            open_queries: Mutex::default(),
            prefills: Mutex::default(),
            unreachable: Mutex::default(),
            limits: limits::Queue::default(),
            slowdowns: slowdowns::Queue::default(),
        }
    }

    /// Queues a prompt that was sent for prefill, to be included in the next report.
    pub fn queue_prefill(&self, record: Record) {
        let mut prefills = self.prefills.lock();
        if prefills.len() < MAX_REPORTED_PREFILLS {
            prefills.push(record);
        }
    }

    /// Queues an endpoint to which no connection could be opened, to be included in the next
    /// report.
    pub fn queue_unreachable(&self, endpoint: endpoint::Id) {
        let mut unreachable = self.unreachable.lock();
        if unreachable.len() < MAX_REPORTED_UNREACHABLE && !unreachable.contains(&endpoint) {
            unreachable.push(endpoint);
        }
    }

    /// Queues an endpoint's report about its rate limit, to be sent to other nodes in the next
    /// round.
    pub fn queue_limit(&self, endpoint: &endpoint::Id, notice: rate_limit::Notice) {
        self.limits.push(endpoint, notice);
    }

    /// Queues an endpoint's slowdown, to be included in the next report.
    pub fn queue_slowdown(&self, id: &endpoint::Id, started_ms: Option<u64>, figure: Figure) {
        self.slowdowns.push(id, started_ms, figure);
    }

    async fn send(&self, message: Message, addr: SocketAddr) {
        self.send_bytes(&datagram(message), addr).await;
    }

    async fn send_bytes(&self, bytes: &[u8], addr: SocketAddr) {
        if let Err(e) = self.socket.send_to(bytes, addr).await {
            log::debug!("cannot send to {addr}: {e}");
        }
    }
}

/// Sends reports and handles messages from others, for the lifetime of the process.
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

/// Waits until this node's pending work changes or limits are queued, but at most for
/// [`REPORT_INTERVAL`] if the last reports contained pending work.
async fn wait_for_changes(gateway: &Gateway, reports: &Socket, reported_to: &HashSet<SocketAddr>) {
    let changed = gateway.pending_work_changed.wait();
    // This task misses a signal that arrives while it is sending reports, so limits and slowdowns
    // that were queued meanwhile are checked here.
    if !reports.limits.is_empty() || !reports.slowdowns.is_empty() {
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
                Err(e) => log::debug!("malformed message from {from}: {e}"),
            },
            Err(e) => {
                log::debug!("cannot receive messages: {e}");
                Timer::after(MIN_REPORT_INTERVAL).await;
            }
        }
    }
}

async fn handle(gateway: &Gateway, reports: &Socket, message: Message, from: SocketAddr) {
    let now = gateway.now();
    match message {
        Message::Report { node, waiting, by_priority, prefills, unreachable, slowdowns } => {
            slowdowns::receive(gateway, &slowdowns);
            let waiting = join(waiting, &by_priority, from);
            gateway.load_table.lock().update(node, waiting, now);
            let mut directory = gateway.directory.lock();
            unreachable.iter().for_each(|it| directory.report_unreachable(it, now));
            drop(directory);
            let mut affinity = gateway.affinity.lock();
            prefills.iter().for_each(|it| affinity.record(it.prefix_hash, &it.endpoint, now));
        }
        Message::Limits { limits } => {
            limits.iter().for_each(|it| limits::receive(gateway, reports, it));
        }
        Message::Question { id, node, endpoints, prefix_hash } => {
            let slowdowns = slowdowns::Entries::known(&gateway.directory.lock(), &endpoints, now);
            let PeerState { waiting, holders, unreachable } =
                local_state(gateway, endpoints, prefix_hash, &node);
            let (waiting, by_priority) = breakdown::split(&waiting);
            let answer =
                Message::Answer { id, waiting, by_priority, holders, unreachable, slowdowns };
            reports.send(answer, from).await;
        }
        Message::Answer { id, waiting, by_priority, holders, unreachable, slowdowns } => {
            slowdowns::receive(gateway, &slowdowns);
            let waiting = join(waiting, &by_priority, from);
            let query = reports.open_queries.lock().remove(&id);
            // The send fails if the query has already timed out.
            let _ignored =
                query.map(|it| it.try_send((id, PeerState { waiting, holders, unreachable })));
        }
    }
}

/// Joins the sums and the breakdown of a message from `from`.
fn join(
    waiting: HashMap<endpoint::Id, Duration>,
    by_priority: &Breakdown,
    from: SocketAddr,
) -> PendingWork {
    let (pending, n_dropped) = breakdown::join(waiting, by_priority);
    if 0 < n_dropped {
        log::debug!("malformed work of {n_dropped} endpoints from {from}");
    }
    pending
}

/// What this node knows from its own requests and from received reports: the work that all nodes
/// except `requester` have pending at `endpoints`, which of these are unreachable, and the
/// endpoints that have prefilled the prompt prefix.
fn local_state(
    gateway: &Gateway,
    endpoints: Vec<endpoint::Id>,
    prefix_hash: Option<u64>,
    requester: &str,
) -> PeerState {
    let holders = prefix_hash.map(|it| gateway.affinity.lock().holders(it, gateway.now()));
    let (directory, load_table, now) =
        (gateway.directory.lock(), gateway.load_table.lock(), gateway.now());
    let own_name = &gateway.settings.node;
    let pending_work = |id: &endpoint::Id| {
        let others_work = load_table.waiting(id, requester, now);
        let own_work = directory.get(id).map_or(Work::default(), |it| it.pending);
        // A node does not send reports to itself, so only other requesters get its own work added.
        if own_name == requester { others_work } else { others_work + own_work }
    };
    let is_unreachable =
        |id: &&endpoint::Id| directory.get(id).is_some_and(|it| it.is_unreachable(now));
    let unreachable = endpoints.iter().filter(is_unreachable).cloned().collect();
    let waiting = endpoints.into_iter().map(|id| (id.clone(), pending_work(&id))).collect();
    PeerState { waiting, holders, unreachable }
}

/// Reports this node's pending work: to all nodes, or to the owners of the endpoints. Returns the
/// nodes whose report contained pending work. Nodes in `previous` for which there is nothing to
/// report any more get an empty report, which replaces their last one.
async fn send_reports(
    gateway: &Gateway,
    reports: &Socket,
    previous: HashSet<SocketAddr>,
) -> HashSet<SocketAddr> {
    let waiting: PendingWork = {
        let directory = gateway.directory.lock();
        let busy = directory.all().filter(|it| MIN_REPORTED_WORK <= it.pending.total());
        busy.map(|it| (it.entry.id.clone(), it.pending)).take(MAX_REPORTED_ENDPOINTS).collect()
    };
    let prefills = std::mem::take(&mut *reports.prefills.lock());
    let unreachable = std::mem::take(&mut *reports.unreachable.lock());
    let slowdowns = reports.slowdowns.take(gateway.now());
    let report = Report { waiting, prefills, unreachable, slowdowns };
    let mut reports_by_node = reports_by_node(gateway, report);
    for addr in previous {
        reports_by_node.entry(addr).or_default();
    }
    let mut reported_to = HashSet::new();
    for (addr, Report { waiting, prefills, unreachable, slowdowns }) in reports_by_node {
        if !waiting.is_empty() {
            reported_to.insert(addr);
        }
        let node = gateway.settings.node.clone();
        let (waiting, by_priority) = breakdown::split(&waiting);
        let report =
            Message::Report { node, waiting, by_priority, prefills, unreachable, slowdowns };
        reports.send(report, addr).await;
    }
    reported_to
}

/// The contents of a report to one node.
#[derive(Debug, Clone, Default)]
struct Report {
    waiting: PendingWork,
    prefills: Vec<Record>,
    unreachable: Vec<endpoint::Id>,
    slowdowns: slowdowns::Entries,
}

/// Splits `report` into the reports to send to each node.
fn reports_by_node(gateway: &Gateway, report: Report) -> HashMap<SocketAddr, Report> {
    let own_addr = gateway.settings.reports;
    let peers = gateway.peers.lock();
    if !owners::are_used(peers.len()) {
        let others = peers.values().filter_map(|it| it.reports).filter(|it| Some(*it) != own_addr);
        return others.map(|addr| (addr, report.clone())).collect();
    }
    drop(peers);
    let (owners, now) = (gateway.load_owners.lock(), gateway.now());
    let owner_of = |id: &endpoint::Id| owners.owner_of(id, now).filter(|it| Some(*it) != own_addr);
    let mut reports_by_node: HashMap<SocketAddr, Report> = HashMap::new();
    for (id, work) in report.waiting {
        if let Some(addr) = owner_of(&id) {
            reports_by_node.entry(addr).or_default().waiting.insert(id, work);
        }
    }
    for id in report.unreachable {
        if let Some(addr) = owner_of(&id) {
            reports_by_node.entry(addr).or_default().unreachable.push(id);
        }
    }
    for slowdown in report.slowdowns {
        if let Some(addr) = owner_of(&slowdown.endpoint) {
            reports_by_node.entry(addr).or_default().slowdowns.push(slowdown);
        }
    }
    for record in report.prefills {
        let owner =
            owners.owner_of_hash(record.prefix_hash, now).filter(|it| Some(*it) != own_addr);
        if let Some(addr) = owner {
            reports_by_node.entry(addr).or_default().prefills.push(record);
        }
    }
    reports_by_node
}
