//! Queries to load owners, sent before a request is placed.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use async_channel::Receiver;
use curranthook_http::timeout;
use curranthook_types::endpoint;

use super::{Message, PeerState, Socket, incoming::local_state};
use crate::Gateway;

/// The timeout for an owner's answer: a few network delays between failure domains, and the
/// processing time on a small node. The request is not sent before, so the timeout is small
/// compared to the second that callers wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(15);

/// The same if a request must not be placed without an answer. Doubles with each further question:
/// an owner that is busy is not less so if it is asked again.
const REQUIRED_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// What load owners are asked.
#[derive(Debug, Default)]
pub struct Query {
    /// The endpoints whose pending work is requested.
    pub endpoints: Vec<endpoint::Id>,
    /// The hash of the model and the shared prompt parts; requests the endpoints that have prefilled
    /// them.
    pub prefix_hash: Option<u64>,
    /// Whether the requests in flight at the endpoints are requested too.
    pub in_flight: bool,
    /// The endpoints whose requests in flight were requested before, for the same request.
    pub asked: Vec<endpoint::Id>,
    /// The time left until the request's deadline; none if the wait need not depend on it.
    pub time_left: Option<Duration>,
}

impl Query {
    /// How long the answers are awaited if the request must not be placed without them: half of what
    /// is left of its time at most.
    pub fn required_answer_timeout(&self) -> Duration {
        let n_asked = |id: &endpoint::Id| self.asked.iter().filter(|it| *it == id).count();
        let n_unanswered = self.endpoints.iter().map(n_asked).max().unwrap_or(0);
        let n_unanswered = u32::try_from(n_unanswered).unwrap_or(u32::MAX);
        let timeout = REQUIRED_ANSWER_TIMEOUT.saturating_mul(2_u32.saturating_pow(n_unanswered));
        self.time_left.map_or(timeout, |it| timeout.min(it / 2))
    }
}

/// Queries the owners of the endpoints and of the prefix. Returns the answers that arrive in time.
pub async fn query(gateway: &Gateway, query: Query) -> PeerState {
    let Some(reports) = gateway.load_reports.get() else { return PeerState::default() };
    let settings = &gateway.settings;
    let in_flight = query.in_flight;
    let is_required = {
        let (directory, now) = (gateway.directory.lock(), gateway.now());
        query.endpoints.iter().any(|it| directory.brittle_limit(it, now).is_some())
    };
    let time_limit = match is_required {
        true => query.required_answer_timeout(),
        false => ANSWER_TIMEOUT,
    };
    let asked = if in_flight { query.endpoints.clone() } else { Vec::new() };
    let mut by_owner = by_owner(gateway, query);
    let own_query = settings.reports.and_then(|addr| by_owner.remove(&addr)).unwrap_or_default();
    let mut state = local_state(gateway, own_query, &settings.node);
    let queries = Queries::send(gateway, reports, by_owner, in_flight).await;
    state.extend(queries.answers(time_limit).await);
    state.asked = asked;
    state
}

/// Splits a query into the queries to each owner.
fn by_owner(gateway: &Gateway, query: Query) -> HashMap<SocketAddr, Query> {
    let Query { endpoints, prefix_hash, in_flight, asked, .. } = query;
    let (store_time, now) = (gateway.store_time(), gateway.now());
    let (directory, mut owners) = (gateway.directory.lock(), gateway.load_owners.lock());
    let mut queries: HashMap<SocketAddr, Query> = HashMap::new();
    for id in endpoints {
        let owner = match directory.brittle_limit(&id, now) {
            // The owners asked before did not answer.
            Some(_limit) => {
                let n_unanswered = asked.iter().filter(|it| **it == id).count();
                owners.settled_owner_of(&id, n_unanswered, store_time, now)
            }
            None => owners.owner_of(&id, now),
        };
        let Some(addr) = owner else {
            gateway.metrics.record_asked(in_flight, "no_owner");
            continue;
        };
        let query = queries.entry(addr).or_default();
        query.endpoints.push(id);
        query.in_flight = in_flight;
    }
    if let Some(addr) = prefix_hash.and_then(|it| owners.owner_of_hash(it, now)) {
        queries.entry(addr).or_default().prefix_hash = prefix_hash;
    }
    queries
}

/// Queries that have been sent and not all answered.
struct Queries<'a> {
    gateway: &'a Gateway,
    reports: &'a Socket,
    /// The owner to which each query was sent, by the query's id.
    open: HashMap<u64, SocketAddr>,
    sent_at: Instant,
    /// Whether the queries request the requests in flight.
    in_flight: bool,
    answers: Receiver<(u64, PeerState)>,
}

impl<'a> Queries<'a> {
    /// Sends a query to each owner.
    async fn send(
        gateway: &'a Gateway,
        reports: &'a Socket,
        by_owner: HashMap<SocketAddr, Query>,
        in_flight: bool,
    ) -> Self {
        let (tx, answers) = async_channel::bounded(by_owner.len().max(1));
        let (mut open, sent_at) = (HashMap::new(), gateway.now());
        for (addr, Query { endpoints, prefix_hash, .. }) in by_owner {
            let id = reports.next_query_id.fetch_add(1, Ordering::Relaxed);
            reports.open_queries.lock().insert(id, tx.clone());
            open.insert(id, addr);
            let node = gateway.settings.node.clone();
            let question = Message::Question { id, node, endpoints, prefix_hash, in_flight };
            reports.send(question, addr).await;
        }
        Self { gateway, reports, open, sent_at, in_flight, answers }
    }

    /// Collects the answers that arrive within `time_limit`.
    async fn answers(mut self, time_limit: Duration) -> PeerState {
        let mut state = PeerState::default();
        let gather = async {
            while !self.open.is_empty() {
                let Ok((id, answer)) = self.answers.recv().await else { return };
                if let Some(addr) = self.open.remove(&id) {
                    self.gateway.load_owners.lock().record_answer(addr);
                    let is_complete = !self.in_flight || !answer.in_flight.counts.is_empty();
                    self.record_result(if is_complete { "answered" } else { "uncounted" });
                }
                state.extend(answer);
            }
        };
        // The answers that arrived before a timeout count as well.
        let _elapsed = timeout::run(time_limit, gather).await;
        self.record_timeouts();
        state
    }

    /// Records the timeouts of the queries that are still open.
    fn record_timeouts(self) {
        for addr in self.open.values() {
            let now = self.gateway.now();
            self.gateway.load_owners.lock().record_timeout(*addr, self.sent_at, now);
            self.record_result("unanswered");
        }
    }

    fn record_result(&self, result: &'static str) {
        self.gateway.metrics.record_asked(self.in_flight, result);
    }
}

impl Drop for Queries<'_> {
    /// Also runs when a caller disconnects and its request is dropped. Without this, the entries of
    /// queries whose answers are lost would stay forever.
    fn drop(&mut self) {
        let mut open_queries = self.reports.open_queries.lock();
        for id in self.open.keys() {
            open_queries.remove(id);
        }
    }
}
