//! Queries between nodes for rows of the store. In a large fleet, nodes query their parents. In any
//! fleet, a node queries its peers while it gets no answer from the store.

mod server;
mod statements;

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, task::Poll, time::Duration};

use async_io::Timer;
use bytes::Bytes;
use curranthook_http::{Exchange, client::Freshness};
use futures_lite::future;
use http::{Response, StatusCode, header::CONTENT_TYPE};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{
    codec::{self, Section},
    currency::Statement,
    lost_rows,
    relays::Tree,
};
use crate::{
    Gateway, apply,
    store::{Batch, Error, Rev, Table},
};

pub use self::server::Server;

/// The path at which a node answers queries for rows.
const PATH: &str = "/rows";
/// The path at which a node returns the tree of relays.
const TREE_PATH: &str = "/tree";
/// The number of random peers that are queried in one poll while the store is unavailable.
const PEERS_PER_POLL: usize = 2;
/// The timeout for a peer's reply, in addition to the wait in the query.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout for opening a connection to a peer: many round trips between failure domains. Packets
/// to a VM that is starting are lost, and the next one is sent after this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// The interval between the beginnings of attempts to connect to one of several peers.
const CONNECT_STAGGER: Duration = Duration::from_millis(30);
/// How long a connection to a peer may have been idle to be used again.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// How long a reply may make no progress. The whole of it takes as long as its bytes need on the
/// slowest link.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

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
    /// The highest version of the compact form that the sender reads; none if only JSON.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    compact: Option<u8>,
}

impl Query {
    /// A query for changes after `since`, or for all rows.
    fn new(table: Table, since: Option<Rev>) -> Self {
        let compact = Some(codec::VERSION);
        Self { table, since, wait: Duration::ZERO, max_age: None, compact }
    }

    fn is_compact(&self) -> bool {
        self.compact.is_some_and(|it| codec::VERSION <= it)
    }
}

/// A peer's reply in JSON, the only form that earlier builds read.
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

/// Rows received from another node.
#[derive(Debug)]
pub struct Received {
    /// The rows.
    pub batch: Batch,
    /// All rows of the table as encoded by the node that read them from the store; none if the
    /// reply contains only changes, or is not compact.
    whole: Option<Section>,
}

impl Received {
    /// Applies the rows. If `is_snapshot` is set, these are all rows of the table, and their encoded
    /// form is kept for this node's own children.
    pub fn apply(self, gateway: &Arc<Gateway>, table: Table, is_snapshot: bool, from: &str) {
        apply::batch(gateway, table, self.batch, is_snapshot, from);
        let Some(whole) = self.whole else { return };
        if gateway.tree().is_some_and(|it| it.has_member(&gateway.settings.node)) {
            gateway.mirror.lock().extend_history(table, whole.rev);
            gateway.sections.lock().keep_whole(table, whole);
        }
    }
}

impl From<Batch> for Received {
    fn from(batch: Batch) -> Self {
        Self { batch, whole: None }
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
) -> Result<Received, Error> {
    let query = Query { wait, max_age: Some(max_age), ..Query::new(table, Some(since)) };
    let mut received = query_parent(gateway, parent, &query).await?;
    received.batch.rev = received.batch.rev.max(since);
    Ok(received)
}

/// Reads all rows of a table from a parent, which may take up to `wait` to read them itself.
pub async fn snapshot(
    gateway: &Gateway,
    parent: SocketAddr,
    table: Table,
    wait: Duration,
    max_age: Duration,
) -> Result<Received, Error> {
    let query = Query { wait, max_age: Some(max_age), ..Query::new(table, None) };
    let received = query_parent(gateway, parent, &query).await?;
    match received.batch.rev {
        Rev(0) => Err(Error::Down(format!("peer {parent} has not read the table yet"))),
        _ => Ok(received),
    }
}

async fn query_parent(
    gateway: &Gateway,
    parent: SocketAddr,
    query: &Query,
) -> Result<Received, Error> {
    let Fetched { rows, age, statements } = fetch(gateway, parent, query).await?;
    let now = gateway.now();
    {
        let mut mirror = gateway.mirror.lock();
        if rows.batch.rev.era() < mirror.rev(query.table).era() {
            return Err(Error::Stale(parent));
        }
        if let Some(at) = age.and_then(|age| now.checked_sub(age)) {
            mirror.record_read(query.table, at);
            // A parent that states nothing of other tables has read them together with this one.
            if statements.is_empty() {
                Table::ALL.iter().for_each(|it| mirror.record_read(*it, at));
            }
        }
        for (table, it) in statements.into_iter().filter(|it| it.0 != query.table) {
            mirror.record_statement(table, it, now);
        }
    }
    gateway.currency_changed.wake();
    Ok(rows)
}

/// The index of the node in `addrs` to which a connection could be opened first. Attempts begin at
/// short intervals, in the order of preference. None if no connection can be opened.
pub async fn first_reachable(gateway: &Gateway, addrs: &[SocketAddr]) -> Option<usize> {
    let attempt = |(index, addr): (usize, &SocketAddr)| {
        let (addr, delay) = (*addr, CONNECT_STAGGER * index as u32);
        async move {
            Timer::after(delay).await;
            let conn =
                gateway.pool.take_within(addr, Freshness::Within(MAX_IDLE), CONNECT_TIMEOUT).await;
            // The query that follows uses the connection.
            conn.map(|it| gateway.pool.put(it)).ok().map(|()| index)
        }
    };
    let mut attempts: Vec<_> = addrs.iter().enumerate().map(attempt).map(Box::pin).collect();
    future::poll_fn(|cx| {
        let mut reached = None;
        attempts.retain_mut(|it| match it.as_mut().poll(cx) {
            Poll::Ready(result) => {
                reached = reached.or(result);
                false
            }
            Poll::Pending => true,
        });
        match reached {
            None if !attempts.is_empty() => Poll::Pending,
            result => Poll::Ready(result),
        }
    })
    .await
}

/// Asks the nodes in the settings for the tree, while the store cannot be reached.
pub async fn query_tree(gateway: &Gateway) -> Option<Tree> {
    for addr in &gateway.settings.seeds {
        if Some(*addr) == gateway.settings.peers {
            continue;
        }
        let call = Exchange::get(*addr, TREE_PATH).with_timeout(PEER_TIMEOUT);
        let call = call.with_connect_timeout(CONNECT_TIMEOUT);
        let tree =
            call.run(&gateway.pool).await.map_err(|e| e.to_string()).and_then(|res| {
                serde_json::from_slice::<Tree>(res.body()).map_err(|e| e.to_string())
            });
        match tree {
            Ok(tree) => return Some(tree),
            Err(e) => log::debug!("peer {addr} returns no tree: {e}"),
        }
    }
    None
}

/// Applies the rows of some random peers, after a call to the store failed.
pub async fn poll_peers(gateway: &Arc<Gateway>) {
    for addr in random_peers(gateway, &[], PEERS_PER_POLL) {
        for table in Table::ALL {
            if let Err(e) = poll_peer(gateway, addr, table).await {
                log::debug!("peer {addr}: {e}");
                break;
            }
        }
    }
}

/// `n` random nodes, of those known and of `others`, or parents if there are none yet.
pub(super) fn random_peers(gateway: &Gateway, others: &[SocketAddr], n: usize) -> Vec<SocketAddr> {
    let own = gateway.settings.peers;
    let mut known: BTreeSet<_> = gateway.peers.lock().values().map(|it| it.peers).collect();
    known.extend(others);
    if known.is_empty()
        && let Some(tree) = gateway.tree()
    {
        let parents = tree.parents(&gateway.settings.node, Some(&gateway.settings.domain));
        known.extend(parents.into_iter().map(|it| it.addr));
    }
    known.extend(&gateway.settings.seeds);
    known.into_iter().filter(|it| Some(*it) != own).sample(&mut rand::rng(), n)
}

async fn poll_peer(gateway: &Arc<Gateway>, addr: SocketAddr, table: Table) -> Result<(), Error> {
    let known = gateway.mirror.lock().rev(table);
    let since = Some(known).filter(|it| *it != Rev(0));
    let query = Query::new(table, since);
    let (Fetched { rows: received, age, .. }, is_snapshot) =
        match fetch(gateway, addr, &query).await {
            Err(Error::Compacted) => {
                (fetch(gateway, addr, &Query { since: None, ..query }).await?, true)
            }
            other => (other?, since.is_none()),
        };
    let answered = age.and_then(|age| gateway.now().checked_sub(age));
    if let Some(at) = answered {
        gateway.outage.lock().record_peer_answer(at);
    }
    // Rows from a peer that is behind must not replace newer ones.
    if known < received.batch.rev {
        let mut batch = received.batch;
        if is_snapshot {
            lost_rows::receive(gateway, table, &mut batch, Some(addr)).await;
        }
        apply::batch(gateway, table, batch, is_snapshot, "peer");
    }
    Ok(())
}

/// The reply of a node.
struct Fetched {
    rows: Received,
    age: Option<Duration>,
    statements: Vec<(Table, Statement)>,
}

/// Queries a node.
async fn fetch(gateway: &Gateway, addr: SocketAddr, query: &Query) -> Result<Fetched, Error> {
    let call = Exchange::post(addr, PATH).with_json(query);
    let call = call
        .with_timeout(query.wait + PEER_TIMEOUT)
        .with_stall_timeout(STALL_TIMEOUT)
        .with_connect_timeout(CONNECT_TIMEOUT);
    let res = call.run(&gateway.pool).await.map_err(|e| Error::Down(e.to_string()))?;
    match res.status() {
        StatusCode::OK => {
            let statements = statements::decode(res.headers(), gateway.now());
            decode(&res, query).map(|(rows, age)| Fetched { rows, age, statements })
        }
        StatusCode::GONE => Err(Error::Compacted),
        StatusCode::SERVICE_UNAVAILABLE => Err(Error::Stale(addr)),
        other => Err(Error::Down(format!("peer {addr}: {other}"))),
    }
}

fn decode(res: &Response<Bytes>, query: &Query) -> Result<(Received, Option<Duration>), Error> {
    let is_compact = res.headers().get(CONTENT_TYPE).is_some_and(|it| it == codec::CONTENT_TYPE);
    if !is_compact {
        let reply: Reply =
            serde_json::from_slice(res.body()).map_err(|e| Error::Garbled(e.to_string()))?;
        let batch = Batch { now: reply.now, ..reply.batch };
        return Ok((Received { batch, whole: None }, reply.age));
    }
    let garbled = |e: codec::Error| Error::Garbled(e.to_string());
    let (header, rows) = codec::decode(res.body()).map_err(garbled)?;
    let whole = match query.since {
        Some(_) => None,
        None => Some(Section::first(res.body()).map_err(garbled)?),
    };
    let batch = Batch { rows, rev: header.rev, now: header.now };
    Ok((Received { batch, whole }, header.age))
}
