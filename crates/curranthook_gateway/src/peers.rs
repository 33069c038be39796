//! What nodes tell each other while one of them can't reach the store.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use curranthook_http::{Body, Exchange, body, server::Handler};
use futures_lite::future::Boxed;
use http::{Request, Response};
use hyper::body::Incoming;
use rand::seq::IteratorRandom;

use crate::{
    Gateway, apply,
    store::{Batch, Table},
};

/// Where a node's rows are read.
const PATH: &str = "/rows";
/// How many peers are asked at a time.
const ASKED: usize = 2;
/// How long a peer may take.
const TIMEOUT: Duration = Duration::from_millis(500);

/// All rows that a node knows.
type Rows = HashMap<Table, Batch>;

/// Answers peers.
#[derive(Debug)]
pub struct Server {
    /// The node.
    pub gateway: Arc<Gateway>,
}

impl Handler for Server {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> Boxed<Response<Body>> {
        Box::pin(async move {
            if req.uri().path() != PATH {
                return body::json(404, &serde_json::json!({ "error": "no such path" }));
            }
            let mirror = self.gateway.mirror.lock();
            let rows: Rows = Table::ALL.iter().map(|it| (*it, mirror.batch(*it))).collect();
            body::json(200, &rows)
        })
    }
}

/// Takes in what some peers know, after the store gave no answer.
pub async fn ask(gateway: &Arc<Gateway>) {
    let own = gateway.settings.peers;
    let addrs: Vec<SocketAddr> = {
        let known = gateway.peers.lock();
        let known = known.values().copied();
        let seeds = gateway.settings.seeds.iter().copied();
        let all: std::collections::BTreeSet<_> = known.chain(seeds).collect();
        all.into_iter().filter(|it| Some(*it) != own).sample(&mut rand::rng(), ASKED)
    };
    for addr in addrs {
        match fetch(gateway, addr).await {
            Ok(rows) => take(gateway, rows),
            Err(e) => log::debug!("peer {addr}: {e}"),
        }
    }
}

async fn fetch(gateway: &Gateway, addr: SocketAddr) -> Result<Rows, String> {
    let call = Exchange::get(addr, PATH).with_timeout(TIMEOUT);
    let res = call.run(&gateway.pool).await.map_err(|e| e.to_string())?;
    if res.status() != http::StatusCode::OK {
        return Err(format!("status {}", res.status()));
    }
    serde_json::from_slice(res.body()).map_err(|e| e.to_string())
}

fn take(gateway: &Arc<Gateway>, rows: Rows) {
    for table in Table::ALL {
        let Some(batch) = rows.get(&table) else { continue };
        // A peer that knows less must not make this node forget.
        if gateway.mirror.lock().rev(table) < batch.rev {
            apply::batch(gateway, table, batch.clone(), true, "peer");
        }
    }
}
