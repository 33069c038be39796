//! Datagrams through which nodes exchange the amount of work that they have pending at engines.
//!
//! In a small fleet, each node reports its pending work to all others. In a large one, it reports
//! only to the [`owners`] of the endpoints concerned, and queries the owners of a few
//! candidates before it places a request. A lost report is replaced by the next one. An unanswered
//! query costs 15 ms, and the request is then placed by what the node observed itself.
//!
//! [`owners`]: crate::load::owners

mod datagram;
mod incoming;
mod limits;
pub mod loans;
mod message;
mod outgoing;
mod peer_state;
mod queries;
pub mod statements;

use std::{
    collections::{HashMap, HashSet},
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_channel::Sender;
use async_io::{Async, Timer};
use curranthook_policy::slowdown::Figure;
use curranthook_types::endpoint;
use futures_lite::future;
use parking_lot::Mutex;

use crate::{
    Gateway,
    affinity::Record,
    brittle::limit::Rejection,
    load::{in_flight::Counts, slowdowns},
    poison, rate_limit,
    steps::Evidence,
    store::{Rev, Table},
    suspects,
};

pub use self::{
    datagram::datagram,
    message::Message,
    peer_state::PeerState,
    queries::{Query, query},
};

/// How often a node repeats its report while it has work pending.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// The minimum interval between two rounds of reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// The same while endpoints are brittle: what an owner has not heard yet, it counts as room taken.
const MIN_BRITTLE_REPORT_INTERVAL: Duration = Duration::from_millis(5);
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

/// The maximum number of endpoints that rejected a request in a report.
const MAX_REPORTED_REJECTIONS: usize = 8;

/// The datagram socket, the queries that await an answer, and the items that are queued for the
/// next report.
#[derive(Debug)]
pub struct Socket {
    socket: Async<UdpSocket>,
    next_query_id: AtomicU64,
    open_queries: Mutex<HashMap<u64, Sender<(u64, PeerState)>>>,
    loans: loans::Open,
    /// Prompts sent for prefill that have not been reported yet.
    prefills: Mutex<Vec<Record>>,
    /// Unreachable endpoints that have not been reported yet.
    unreachable: Mutex<Vec<endpoint::Id>>,
    /// Whether the requests in flight changed after the last report.
    in_flight_changed: AtomicBool,
    /// Rate limits that have not been reported yet.
    limits: limits::Queue,
    /// Slowdowns of endpoints that have not been reported yet.
    slowdowns: slowdowns::Queue,
    /// Statements of brittle endpoints that have not been sent yet.
    statements: statements::Queue,
    /// The last rejections of brittle endpoints that have not been reported yet.
    rejected: Mutex<HashMap<endpoint::Id, Rejection>>,
    /// The numbers of answers about room at brittle endpoints that have been used and not reported.
    settled: Mutex<Counts>,
    /// What has been found out about parts of prompts and has not been sent yet.
    pub suspects: suspects::Queue,
    /// What has been found out about requests that crash endpoints and has not been sent yet.
    pub poison: poison::Queue,
}

impl Socket {
    /// Wraps a bound socket.
    pub fn new(socket: Async<UdpSocket>) -> Self {
        Self {
            socket,
            // A late answer to a query of the previous process must not match a new query.
            next_query_id: AtomicU64::new(rand::random::<u32>().into()),
            open_queries: Mutex::default(),
            loans: loans::Open::default(),
            prefills: Mutex::default(),
            unreachable: Mutex::default(),
            in_flight_changed: AtomicBool::new(false),
            limits: limits::Queue::default(),
            slowdowns: slowdowns::Queue::default(),
            statements: statements::Queue::default(),
            rejected: Mutex::default(),
            settled: Mutex::default(),
            suspects: suspects::Queue::default(),
            poison: poison::Queue::default(),
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

    /// Queues the rejection of a request by a brittle endpoint, to be included in the next report.
    pub fn queue_rejection(&self, endpoint: &endpoint::Id, rejection: Rejection) {
        let mut rejected = self.rejected.lock();
        let known = rejected.get(endpoint).copied();
        if known.is_some() || rejected.len() < MAX_REPORTED_REJECTIONS {
            let lowest = known.map_or(rejection, |it| rejection.lowest(it));
            rejected.insert(endpoint.clone(), lowest);
        }
    }

    /// Queues that an answer about room at an endpoint has been used, to be included in the next
    /// report.
    fn queue_settled(&self, endpoint: &endpoint::Id) {
        let mut settled = self.settled.lock();
        if settled.contains_key(endpoint) || settled.len() < MAX_REPORTED_ENDPOINTS {
            *settled.entry(endpoint.clone()).or_default() += 1;
        }
    }

    /// Records that the reported requests in flight changed, for the next report.
    pub fn in_flight_changed(&self) {
        self.in_flight_changed.store(true, Ordering::Relaxed);
    }

    /// Queues an endpoint's slowdown, to be included in the next report.
    pub fn queue_slowdown(&self, id: &endpoint::Id, started_ms: Option<u64>, figure: Figure) {
        self.slowdowns.push(id, started_ms, figure);
    }

    /// Reports the evidence of the node named `node` about a rollout to its collector.
    pub async fn send_evidence(
        &self,
        node: &str,
        (service, order): (&str, Rev),
        evidence: Evidence,
        collector: SocketAddr,
    ) {
        let (node, service) = (node.to_owned(), service.to_owned());
        let evidence = Box::new(evidence);
        self.send(Message::Evidence { node, service, order, evidence }, collector).await;
    }

    /// Asks the nodes at `addrs`, which have no row, whether they run.
    pub async fn ask_presence(&self, addrs: Vec<SocketAddr>) {
        if addrs.is_empty() {
            return;
        }
        let bytes = datagram(Message::PresenceQuestion);
        for addr in addrs {
            self.send_bytes(&bytes, addr).await;
        }
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
    let receiver = incoming::receive(Arc::clone(&gateway), Arc::clone(&reports));
    gateway.ex.spawn(receiver).detach();
    gateway.ex.spawn(ask(Arc::clone(&gateway), Arc::clone(&reports))).detach();
    let mut reported_to = HashSet::new();
    loop {
        wait_for_changes(&gateway, &reports, &reported_to).await;
        reports.in_flight_changed.store(false, Ordering::Relaxed);
        reported_to = outgoing::send(&gateway, &reports, reported_to).await;
        limits::send(&gateway, &reports).await;
        statements::send(&gateway, &reports).await;
        send_suspects(&gateway, &reports).await;
        send_poison(&gateway, &reports).await;
        let is_brittle = gateway.directory.lock().statements(gateway.now()).next().is_some();
        let interval = if is_brittle { MIN_BRITTLE_REPORT_INTERVAL } else { MIN_REPORT_INTERVAL };
        Timer::after(interval).await;
    }
}

/// Asks other nodes for the statements of brittle endpoints, for what crashes endpoints and for the nodes
/// that have no row, once the nodes of the fleet are known. Without this, a node that joins would cause
/// rejections until an endpoint answers it, and crashes while the store is away.
async fn ask(gateway: Arc<Gateway>, reports: Arc<Socket>) {
    gateway.wait_until(|| gateway.mirror.lock().has_read(Table::Fleet)).await;
    let questions = [Message::BrittleQuestion, Message::CrashQuestion, Message::UnlistedQuestion];
    let questions = questions.map(datagram);
    for addr in limits::gossip_targets(&gateway) {
        for it in &questions {
            reports.send_bytes(it, addr).await;
        }
    }
}

/// Sends what has been found out about parts of prompts: crashes to the nodes that add them up,
/// verdicts and objections to all.
async fn send_suspects(gateway: &Gateway, socket: &Socket) {
    for (addr, reports) in socket.suspects.take_reports() {
        socket.send(Message::Crashes { reports }, addr).await;
    }
    let (findings, objections) = socket.suspects.take_findings();
    if findings.is_empty() && objections.is_empty() {
        return;
    }
    let bytes = datagram(Message::Verdicts { findings, objections });
    for addr in limits::gossip_targets(gateway) {
        socket.send_bytes(&bytes, addr).await;
    }
}

/// Sends what has been found out about requests that crash endpoints.
async fn send_poison(gateway: &Gateway, socket: &Socket) {
    let (messages, for_all) = poison::messages(gateway, &socket.poison);
    for (addr, message) in messages {
        socket.send(message, addr).await;
    }
    let Some(message) = for_all else { return };
    let bytes = datagram(message);
    for addr in limits::gossip_targets(gateway) {
        socket.send_bytes(&bytes, addr).await;
    }
}

/// Waits until this node's pending work changes or limits are queued, but at most for
/// [`REPORT_INTERVAL`] if the last reports contained pending work.
async fn wait_for_changes(gateway: &Gateway, reports: &Socket, reported_to: &HashSet<SocketAddr>) {
    let changed = gateway.pending_work_changed.wait();
    // This task misses a signal that arrives while it is sending reports, so limits and slowdowns
    // that were queued meanwhile are checked here, and whether calls began or ended.
    let in_flight_changed = reports.in_flight_changed.load(Ordering::Relaxed);
    let is_queued = !reports.limits.is_empty()
        || !reports.slowdowns.is_empty()
        || !reports.statements.is_empty()
        || !reports.rejected.lock().is_empty()
        || !reports.settled.lock().is_empty()
        || !reports.suspects.is_empty()
        || !reports.poison.is_empty();
    if is_queued || in_flight_changed {
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
