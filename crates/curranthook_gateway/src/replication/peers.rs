//! Queries between nodes for rows of the store. In a large fleet, nodes query their parents. In any
//! fleet, a node queries its peers while it gets no answer from the store.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use async_io::Timer;
use curranthook_http::{Body, Exchange, body, server::Handler, timeout};
use futures_lite::future::{self, Boxed};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{
    Gateway, apply,
    store::{Batch, Error, Rev, Table},
};

use super::mirror::ChangesError;

/// The path at which a node answers queries for rows.
const PATH: &str = "/rows";
/// The number of random peers that are queried in one poll while the store is unavailable.
const PEERS_PER_POLL: usize = 2;
/// The timeout for a peer's reply, in addition to the wait in the query.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// A query for rows.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Query {
    table: Table,
    /// The revision up to which the sender has all changes. Without one, all rows are returned.
    since: Option<Rev>,
    /// The maximum time to wait for a change before replying.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    wait: Duration,
    /// The maximum time since the store's last answer that reached the peer; unlimited if there is
    /// none. Only children set this.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    max_age: Option<Duration>,
}

/// A peer's reply.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Reply {
    batch: Batch,
    /// The time since the store's last answer that reached the peer; none before the first.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    age: Option<Duration>,
    /// The store's clock, if the peer knows it.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    now: Option<Duration>,
}

/// Answers queries of other nodes.
#[derive(Debug)]
pub struct Server {
    /// The node.
    pub gateway: Arc<Gateway>,
}

impl Handler for Server {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> Boxed<Response<Body>> {
        Box::pin(async move {
            /// The maximum size of a query, in bytes.
            const MAX_QUERY_BYTES: usize = 4_096;
            if req.uri().path() != PATH {
                return body::json(404, &serde_json::json!({ "error": "no such path" }));
            }
            let query = match body::read(req.into_body(), MAX_QUERY_BYTES).await {
                Ok(bytes) => serde_json::from_slice::<Query>(&bytes),
                Err(e) => return body::json(400, &serde_json::json!({ "error": e.to_string() })),
            };
            let query = match query {
                Ok(query) => query,
                Err(e) => return body::json(400, &serde_json::json!({ "error": e.to_string() })),
            };
            match self.answer(&query).await {
                Ok(reply) => body::json(200, &reply),
                Err(ChangesError::HistoryMissing) => body::json(410, &serde_json::json!({})),
                Err(ChangesError::Stale) => body::json(503, &serde_json::json!({})),
            }
        })
    }
}

impl Server {
    /// Waits until there are changes to return, the wait is over, or this node's own rows are older
    /// than the query's `max_age`. In the last case, the sender queries another node. Otherwise, a
    /// relay that lost its connections would delay changes for its children.
    async fn answer(&self, query: &Query) -> Result<Reply, ChangesError> {
        let end = self.gateway.now() + query.wait;
        loop {
            let changed = self.gateway.rows_changed.wait();
            let now = self.gateway.now();
            if self.awaits_first_read(query) && now < end {
                let _elapsed = timeout::run(end - now, changed).await;
                continue;
            }
            let reply = self.reply(query)?;
            let has_changes =
                query.since.is_none_or(|since| reply.batch.rows.iter().any(|it| since < it.rev));
            if has_changes || end <= now {
                return Ok(reply);
            }
            let age = reply.age.unwrap_or_default();
            let fresh_for = query.max_age.map_or(query.wait, |it| it.saturating_sub(age));
            let pause = fresh_for.min(end - now) + Duration::from_millis(1);
            future::or(changed, async {
                Timer::after(pause).await;
            })
            .await;
        }
    }

    /// Whether a child queries a table that this node has not read yet itself. This happens when
    /// the nodes of a fleet start at the same time.
    fn awaits_first_read(&self, query: &Query) -> bool {
        let is_child = query.max_age.is_some();
        is_child && query.since.is_none() && !self.gateway.mirror.lock().has_read(query.table)
    }

    fn reply(&self, query: &Query) -> Result<Reply, ChangesError> {
        let (table, now) = (query.table, self.gateway.now());
        let mirror = self.gateway.mirror.lock();
        let age = mirror.age(now);
        if query.max_age.is_some_and(|max| !mirror.is_fresh(table, max, now)) {
            return Err(ChangesError::Stale);
        }
        let batch = match query.since {
            Some(since) => mirror.changes(table, since)?,
            None => mirror.batch(table),
        };
        Ok(Reply { batch, age, now: mirror.store_time(now) })
    }
}

/// Waits at a parent for rows that change after `since`.
pub async fn changes(
    gateway: &Gateway,
    parent: SocketAddr,
    table: Table,
    since: Rev,
    wait: Duration,
    max_age: Duration,
) -> Result<Batch, Error> {
    let query = Query { table, since: Some(since), wait, max_age: Some(max_age) };
    let batch = query_parent(gateway, parent, &query).await?;
    Ok(Batch { rev: batch.rev.max(since), ..batch })
}

/// Reads all rows of a table from a parent, which may take up to `wait` to read them itself.
pub async fn snapshot(
    gateway: &Gateway,
    parent: SocketAddr,
    table: Table,
    wait: Duration,
    max_age: Duration,
) -> Result<Batch, Error> {
    let query = Query { table, since: None, wait, max_age: Some(max_age) };
    let batch = query_parent(gateway, parent, &query).await?;
    match batch.rev {
        Rev(0) => Err(Error::Down(format!("peer {parent} has not read the table yet"))),
        _ => Ok(batch),
    }
}

async fn query_parent(
    gateway: &Gateway,
    parent: SocketAddr,
    query: &Query,
) -> Result<Batch, Error> {
    let reply = fetch(gateway, parent, query).await?;
    if let Some(at) = reply.age.and_then(|age| gateway.now().checked_sub(age)) {
        gateway.mirror.lock().record_answer(at);
    }
    Ok(Batch { now: reply.now, ..reply.batch })
}

/// Applies the rows of some random peers, after a call to the store failed.
pub async fn poll_peers(gateway: &Arc<Gateway>) {
    let own = gateway.settings.peers;
    let addrs: Vec<SocketAddr> = {
        let known: HashMap<_, _> = gateway.peers.lock().clone();
        let seeds = gateway.settings.seeds.iter().copied();
        let all: BTreeSet<_> = known.into_values().map(|it| it.peers).chain(seeds).collect();
        all.into_iter().filter(|it| Some(*it) != own).sample(&mut rand::rng(), PEERS_PER_POLL)
    };
    for addr in addrs {
        for table in Table::ALL {
            if let Err(e) = poll_peer(gateway, addr, table).await {
                log::debug!("peer {addr}: {e}");
                break;
            }
        }
    }
}

async fn poll_peer(gateway: &Arc<Gateway>, addr: SocketAddr, table: Table) -> Result<(), Error> {
    let known = gateway.mirror.lock().rev(table);
    let since = Some(known).filter(|it| *it != Rev(0));
    let query = Query { table, since, wait: Duration::ZERO, max_age: None };
    let (reply, is_snapshot) = match fetch(gateway, addr, &query).await {
        Err(Error::Compacted) => {
            (fetch(gateway, addr, &Query { since: None, ..query }).await?, true)
        }
        other => (other?, since.is_none()),
    };
    let answered = reply.age.and_then(|age| gateway.now().checked_sub(age));
    if let Some(at) = answered {
        gateway.outage.lock().record_peer_answer(at);
    }
    // Rows from a peer that is behind must not replace newer ones.
    if known < reply.batch.rev {
        let batch = Batch { now: reply.now, ..reply.batch };
        apply::batch(gateway, table, batch, is_snapshot, "peer");
    }
    Ok(())
}

async fn fetch(gateway: &Gateway, addr: SocketAddr, query: &Query) -> Result<Reply, Error> {
    let call = Exchange::post(addr, PATH).with_json(query);
    let call = call.with_timeout(query.wait + PEER_TIMEOUT);
    let res = call.run(&gateway.pool).await.map_err(|e| Error::Down(e.to_string()))?;
    match res.status() {
        StatusCode::OK => {
            serde_json::from_slice(res.body()).map_err(|e| Error::Garbled(e.to_string()))
        }
        StatusCode::GONE => Err(Error::Compacted),
        StatusCode::SERVICE_UNAVAILABLE => Err(Error::Stale(addr)),
        other => Err(Error::Down(format!("peer {addr}: {other}"))),
    }
}
