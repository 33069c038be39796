//! Queries between nodes for rows that the store has lost.
//!
//! When the store comes back from a copy, the nodes that ran before go by what they know (see
//! [`eras`]). A node that starts after that, or had not heard of a change before, would
//! take the copy for the newest state: keys that were taken away would be accepted again, and endpoints
//! that have left get requests. So a node asks a few others when it first reads a table in a later era
//! than before, and applies their rows before those of the copy. If none answers, it goes by the copy.

mod known;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, task::Poll, time::Duration};

use curranthook_http::{Body, Exchange, body, timeout};
use futures_lite::future;
use http::{Response, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

pub use self::known::MAX_ROWS;
use super::{eras, peers, watch::table_name};
use crate::{
    Gateway, apply,
    event::Event,
    fleet,
    store::{Batch, Era, Error, Rev, Row, Table},
};

/// The path at which a node answers queries for lost rows.
pub const PATH: &str = "/lost-rows";
/// The number of nodes that are asked at a time, until as many have answered that know the rows. One
/// of them may be as far behind as the sender.
pub const MAX_ASKED: usize = 3;
/// The number of nodes that are asked in all. Those of the copy may be gone, or starting as well.
pub const MAX_QUERIES: usize = 24;
/// How long the first read of an era waits for the answers of other nodes, and before that for the
/// fleet's rows if none are known.
const TIMEOUT: Duration = Duration::from_millis(200);
/// The timeout for opening a connection. Nodes of the copy may be gone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// A query for rows of earlier eras.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The table.
    pub table: Table,
    /// The era in which the sender has read the table.
    pub era: Era,
    /// The revision up to which the sender knew the table in earlier eras.
    pub since: Rev,
    /// The version of the newest configuration that the sender has read, in a query for the operators'
    /// rows.
    #[serde(default)]
    pub configuration: u64,
}

/// The reply to a query.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The rows.
    pub rows: Vec<Row>,
    /// The time since the first node read the table in the era of the query.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Whether the node knows what was in force before: it ran then, or has learned it.
    #[serde(default)]
    pub is_informed: bool,
}

/// The rows of the queried table that this node goes by and that were written in earlier eras.
///
/// The rows are at most [`MAX_ROWS`], a configuration and the steps of rollouts, and none once the
/// store's rows hold.
pub fn reply(gateway: &Gateway, query: &Query) -> Reply {
    known::reply(gateway, query)
}

/// Answers a query of another node.
pub(super) fn answer(gateway: &Gateway, bytes: &[u8]) -> Response<Body> {
    match serde_json::from_slice::<Query>(bytes) {
        Ok(query) => body::json(200, &reply(gateway, &query)),
        Err(e) => body::json(400, &serde_json::json!({ "error": e.to_string() })),
    }
}

/// Asks other nodes, before the first read of a table in a later era is applied, for rows that the
/// store has lost, and applies them. `parent` is the node that the rows of the table come from.
///
/// Rows of earlier eras that a parent has sent with the others are applied with them, and removed
/// from `batch`.
pub async fn receive(
    gateway: &Arc<Gateway>,
    table: Table,
    batch: &mut Batch,
    parent: Option<SocketAddr>,
) {
    let (era, since) = (batch.rev.era(), gateway.mirror.lock().rev(table));
    if era <= since.era() {
        return;
    }
    let addrs = addrs_to_ask(gateway, table, batch, parent).await;
    let query = Query { table, era, since, configuration: newest_version(gateway, table, batch) };
    let (replies, n_asked) = ask(gateway, &addrs, &query).await;
    // The node may have read the table by other means meanwhile.
    if era <= gateway.mirror.lock().rev(table).era() {
        return;
    }
    let (n_answered, now) = (replies.len(), gateway.now());
    let age = replies.iter().map(|it| it.age).max();
    let sent: Vec<_> = batch.rows.extract_if(.., |it| it.rev.era() < era).collect();
    let rows = sent.into_iter().chain(replies.into_iter().flat_map(|it| it.rows));
    let rows = newest_lost(gateway, table, batch, rows.filter(|it| it.rev.era() < era));
    gateway.metrics.record_lost_rows(if n_answered == 0 { "unanswered" } else { "answered" });
    gateway.log.write(&Event::LostRows {
        table: table_name(table),
        era,
        asked: n_asked,
        answered: n_answered,
        rows: rows.len(),
        age_ms: age.map(|it| it.as_millis()),
    });
    if let Some(began_at) = age.and_then(|it| now.checked_sub(it)) {
        gateway.eras.lock().record(table, era, began_at);
    }
    if table == Table::Fleet {
        gateway.eras.lock().keep_steps(&rows);
    }
    if let Some(now) = batch.now {
        gateway.mirror.lock().set_clock(now, gateway.now());
    }
    apply::lost_rows(gateway, table, &rows, "peer");
}

/// The version of the configuration in force or in `batch`, whichever is newer.
fn newest_version(gateway: &Gateway, table: Table, batch: &Batch) -> u64 {
    let in_force = gateway.configuration.load().as_ref().map_or(0, |it| it.document.version);
    let rows = batch.rows.iter().filter(|_| table == Table::Operator);
    let read = rows.filter_map(|it| eras::document_version(gateway, it)).max();
    read.unwrap_or(0).max(in_force)
}

/// The nodes to ask: the parent that has sent the rows, and some others.
async fn addrs_to_ask(
    gateway: &Gateway,
    table: Table,
    batch: &Batch,
    parent: Option<SocketAddr>,
) -> Vec<SocketAddr> {
    let has_read_fleet = || gateway.mirror.lock().has_read(Table::Fleet);
    if table != Table::Fleet && parent.is_none() {
        let are_known = || has_read_fleet() || !gateway.eras.lock().first_nodes.is_empty();
        // Without them, those in the settings are asked.
        let _elapsed = timeout::run(TIMEOUT, gateway.wait_until(are_known)).await;
    }
    let nodes = match table {
        Table::Fleet => fleet::addrs(&batch.rows, &gateway.settings.node),
        _ if has_read_fleet() => Vec::new(),
        _ => gateway.eras.lock().first_nodes.clone(),
    };
    let others = peers::random_peers(gateway, &nodes, MAX_QUERIES);
    let others = others.into_iter().filter(|it| Some(*it) != parent);
    parent.into_iter().chain(others).take(MAX_QUERIES).collect()
}

/// Asks the nodes at `addrs`, a few at a time, and the next one in place of each that does not answer or
/// knows nothing. Returns the replies that arrive in time, and the number of nodes asked.
async fn ask(gateway: &Gateway, addrs: &[SocketAddr], query: &Query) -> (Vec<Reply>, usize) {
    let (left, replies) = (Mutex::new(addrs.iter()), Mutex::new(Vec::new()));
    let ask_until_informed = || async {
        loop {
            let Some(addr) = left.lock().next() else { return };
            match fetch(gateway, *addr, query).await {
                Ok(reply) if reply.is_informed => return replies.lock().push(reply),
                Ok(_uninformed) => {}
                Err(e) => log::debug!("no lost rows: {e}"),
            }
        }
    };
    let mut open: Vec<_> = (0..MAX_ASKED).map(|_| Box::pin(ask_until_informed())).collect();
    let all = future::poll_fn(|cx| {
        open.retain_mut(|it| it.as_mut().poll(cx).is_pending());
        if open.is_empty() { Poll::Ready(()) } else { Poll::Pending }
    });
    // Those that have answered by then are enough.
    let _elapsed = timeout::run(TIMEOUT, all).await;
    drop(open);
    let n_asked = addrs.len() - left.lock().len();
    (replies.into_inner(), n_asked)
}

async fn fetch(gateway: &Gateway, addr: SocketAddr, query: &Query) -> Result<Reply, Error> {
    let call = Exchange::post(addr, PATH).with_json(query);
    let call = call.with_timeout(TIMEOUT).with_connect_timeout(CONNECT_TIMEOUT);
    let res = call.run(&gateway.pool).await.map_err(|e| Error::Down(e.to_string()))?;
    match res.status() {
        StatusCode::OK => {
            serde_json::from_slice(res.body()).map_err(|e| Error::Garbled(e.to_string()))
        }
        // A build that does not know the query answers 404.
        other => Err(Error::Down(format!("peer {addr}: {other}"))),
    }
}

/// The newest of `rows` by key, of those that `batch` lacks or has in an older state.
fn newest_lost(
    gateway: &Gateway,
    table: Table,
    batch: &Batch,
    rows: impl Iterator<Item = Row>,
) -> Vec<Row> {
    let stored: HashMap<&str, &Row> = batch.rows.iter().map(|it| (&*it.key, it)).collect();
    let mut newest: HashMap<Arc<str>, Row> = HashMap::new();
    for row in rows {
        let is_lost = match stored.get(&*row.key) {
            Some(stored) => eras::is_older(gateway, table, stored, &row),
            None => row.value.is_some(),
        };
        let known = newest.get(&row.key);
        let is_newer = known.is_none_or(|it| known::is_newer(gateway, table, it, &row));
        if is_lost && is_newer {
            newest.insert(Arc::clone(&row.key), row);
        }
    }
    let mut newest: Vec<_> = newest.into_values().collect();
    newest.sort_by_key(|it| it.rev);
    newest
}
