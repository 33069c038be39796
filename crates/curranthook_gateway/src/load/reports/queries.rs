//! Queries to load owners, sent before a request is placed.

use std::{collections::HashMap, net::SocketAddr, sync::atomic::Ordering, time::Duration};

use async_channel::Receiver;
use curranthook_http::timeout;
use curranthook_types::endpoint;

use super::{Message, PeerState, Socket, local_state};
use crate::Gateway;

/// The timeout for an owner's answer: a few network delays between failure domains, and the
/// processing time on a small node. The request is not sent before, so the timeout is small
/// compared to the second that callers wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(15);

/// Queries the owners of `endpoints` for the work that other nodes have pending there, and the
/// owner of `prefix_hash`, the hash of the model and the shared prompt parts, for the endpoints
/// that have prefilled them. Returns the answers that arrive within `ANSWER_TIMEOUT`.
pub async fn query(
    gateway: &Gateway,
    endpoints: Vec<endpoint::Id>,
    prefix_hash: Option<u64>,
) -> PeerState {
    let Some(reports) = gateway.load_reports.get() else { return PeerState::default() };
    let settings = &gateway.settings;
    let mut by_owner = by_owner(gateway, endpoints, prefix_hash);
    let own_query = settings.reports.and_then(|addr| by_owner.remove(&addr)).unwrap_or_default();
    let mut state =
        local_state(gateway, own_query.endpoints, own_query.prefix_hash, &settings.node);
    let queries = Queries::send(gateway, reports, by_owner).await;
    state.extend(queries.answers().await);
    state
}

/// The contents of a query to one owner.
#[derive(Debug, Default)]
struct Query {
    endpoints: Vec<endpoint::Id>,
    prefix_hash: Option<u64>,
}

fn by_owner(
    gateway: &Gateway,
    endpoints: Vec<endpoint::Id>,
    prefix_hash: Option<u64>,
) -> HashMap<SocketAddr, Query> {
    let (owners, now) = (gateway.load_owners.lock(), gateway.now());
    let mut queries: HashMap<SocketAddr, Query> = HashMap::new();
    for id in endpoints {
        if let Some(addr) = owners.owner_of(&id, now) {
            queries.entry(addr).or_default().endpoints.push(id);
        }
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
    answers: Receiver<(u64, PeerState)>,
}

impl<'a> Queries<'a> {
    /// Sends a query to each owner.
    async fn send(
        gateway: &'a Gateway,
        reports: &'a Socket,
        by_owner: HashMap<SocketAddr, Query>,
    ) -> Self {
        let (tx, answers) = async_channel::bounded(by_owner.len().max(1));
        let mut open = HashMap::new();
        for (addr, Query { endpoints, prefix_hash }) in by_owner {
            let id = reports.next_query_id.fetch_add(1, Ordering::Relaxed);
            reports.open_queries.lock().insert(id, tx.clone());
            open.insert(id, addr);
            let node = gateway.settings.node.clone();
            reports.send(Message::Question { id, node, endpoints, prefix_hash }, addr).await;
        }
        Self { gateway, reports, open, answers }
    }

    /// Collects the answers that arrive within `ANSWER_TIMEOUT`.
    async fn answers(mut self) -> PeerState {
        let mut state = PeerState::default();
        let gather = async {
            while !self.open.is_empty() {
                let Ok((id, answer)) = self.answers.recv().await else { return };
                if let Some(addr) = self.open.remove(&id) {
                    self.gateway.load_owners.lock().record_answer(addr);
                    self.gateway.metrics.record_query("answered");
                }
                state.extend(answer);
            }
        };
        // The answers that arrived before a timeout count as well.
        let _elapsed = timeout::run(ANSWER_TIMEOUT, gather).await;
        self.record_timeouts();
        state
    }

    /// Records the timeouts of the queries that are still open.
    fn record_timeouts(self) {
        for addr in self.open.values() {
            self.gateway.load_owners.lock().record_timeout(*addr, self.gateway.now());
            self.gateway.metrics.record_query("unanswered");
        }
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
