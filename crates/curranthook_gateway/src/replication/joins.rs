//! The rows of nodes that join a fleet, which one node writes for many of them.
//!
//! Addresses a fleet whose nodes start for the first time at the same moment, and hundreds of nodes
//! that are added at once: the store accepts a few hundred transactions per second, and charges for
//! each. A node hands its row to a parent, or at the first start to one of the nodes in its settings,
//! and receives the tree in return.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_channel::Sender;
use async_io::Timer;
use curranthook_http::{Body, Exchange, body, timeout};
use http::{Response, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::relays::Tree;
use crate::{
    Gateway,
    event::Event,
    fleet::{Key, Node},
    signal::Signal,
    store::{Error, Table},
};

/// The path at which a node accepts the rows of others.
pub const PATH: &str = "/join";
/// How long rows are collected before they are written together.
const COLLECT_TIME: Duration = Duration::from_millis(150);
/// The maximum number of rows in a transaction.
const MAX_ROWS: usize = 100;
/// The maximum number of rows that wait to be written; further ones are refused.
const MAX_WAITING: usize = 4_096;
/// How long a node that has written a row waits until it knows the tree.
const TREE_WAIT: Duration = Duration::from_secs(2);
/// The time limit of a node that hands its row to another one.
const JOIN_TIMEOUT: Duration = Duration::from_secs(4);
/// The maximum length of a node's name, in bytes: that of a key in the store, less the prefix.
const MAX_NAME_BYTES: usize = 180;

/// A node's row, as handed to another node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Join {
    /// The node's name.
    pub name: String,
    /// Its row.
    pub node: Node,
}

/// The reply to a join, after the row has been written.
#[derive(Debug, Serialize, Deserialize)]
struct Joined {
    /// The tree, if it is known.
    tree: Option<Tree>,
}

/// Receives the result of the write of a row.
type Written = Sender<Result<(), Error>>;

/// Rows that wait to be written.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: Mutex<Vec<(Join, Written)>>,
    is_filled: Signal,
}

impl Queue {
    /// Adds a row, and waits until it is written.
    pub async fn write(&self, join: Join) -> Result<(), Error> {
        let (tx, written) = async_channel::bounded(1);
        {
            let mut waiting = self.waiting.lock();
            if MAX_WAITING <= waiting.len() {
                return Err(Error::Down("too many nodes are joining".to_owned()));
            }
            waiting.push((join, tx));
        }
        self.is_filled.wake();
        let written = written.recv().await;
        written.unwrap_or_else(|_closed| Err(Error::Down("the node is stopping".to_owned())))
    }

    async fn next(&self) -> Vec<(Join, Written)> {
        loop {
            let filled = self.is_filled.wait();
            if !self.waiting.lock().is_empty() {
                break;
            }
            filled.await;
        }
        Timer::after(COLLECT_TIME).await;
        let mut waiting = self.waiting.lock();
        let n = waiting.len().min(MAX_ROWS);
        waiting.drain(..n).collect()
    }
}

/// Writes the rows of joining nodes, for the lifetime of the process.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        let joins = gateway.joins.next().await;
        let to_row = |it: &Join| {
            let value = serde_json::to_vec(&it.node).expect("a row can be written as JSON");
            (Key::Node(&it.name).to_string(), value)
        };
        let rows: Vec<_> = joins.iter().map(|(it, _)| to_row(it)).collect();
        let result = gateway.store.write(&rows).await;
        gateway.metrics.record_store_call(Table::Fleet, &result);
        if let Err(e) = &result {
            let why = format!("{} joining nodes: {e}", rows.len());
            let (name, state) = ("store", "write_failed");
            gateway.log.write(&Event::Dependency { name, state, why: &why });
        }
        let result = result.map(|_rev| ());
        for (_, written) in joins {
            // The node may have given up waiting.
            let _closed = written.try_send(result.clone());
        }
    }
}

/// Answers a node that joins.
pub(super) async fn answer(gateway: &Gateway, bytes: &[u8]) -> Response<Body> {
    let join: Join = match serde_json::from_slice(bytes) {
        Ok(join) => join,
        Err(e) => return body::json(400, &serde_json::json!({ "error": e.to_string() })),
    };
    if join.name.is_empty() || MAX_NAME_BYTES < join.name.len() {
        return body::json(400, &serde_json::json!({ "error": "invalid name" }));
    }
    if let Err(e) = gateway.joins.write(join).await {
        return body::json(503, &serde_json::json!({ "error": e.to_string() }));
    }
    gateway.wait_for_topology(TREE_WAIT).await;
    let tree = gateway.tree().map(|it| (*it).clone());
    body::json(200, &Joined { tree })
}

/// Hands a node's row to the node at `addr`, which writes it. Returns the tree, if that node knows
/// it.
pub async fn join(gateway: &Gateway, addr: SocketAddr, join: &Join) -> Result<Option<Tree>, Error> {
    let call = Exchange::post(addr, PATH).with_json(join).with_timeout(JOIN_TIMEOUT);
    let res = call.run(&gateway.pool).await.map_err(|e| Error::Down(e.to_string()))?;
    match res.status() {
        StatusCode::OK => {
            let joined: Joined =
                serde_json::from_slice(res.body()).map_err(|e| Error::Garbled(e.to_string()))?;
            Ok(joined.tree)
        }
        other => Err(Error::Down(format!("peer {addr}: {other}"))),
    }
}

/// Whether nodes that start for the first time hand their rows to this one.
pub fn is_writer(gateway: &Gateway) -> bool {
    gateway.settings.peers.is_some_and(|it| gateway.settings.seeds.contains(&it))
}

/// Writes this node's own row together with those of others that join through it.
pub async fn join_self(gateway: &Gateway, join: Join) -> Result<(), Error> {
    let written = timeout::run(JOIN_TIMEOUT, gateway.joins.write(join)).await;
    written.unwrap_or_else(|e| Err(Error::Lost(e.to_string())))
}
