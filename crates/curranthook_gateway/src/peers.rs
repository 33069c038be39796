//! How nodes ask each other for rows of the store: the nodes of a large fleet their parents, and any node
//! its peers while the store turns it away.

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
    mirror::ChangesError,
    store::{Batch, Error, Rev, Table},
};

/// Where a node's rows are read.
const PATH: &str = "/rows";
/// How many peers are asked at a time while the store is away.
const ASKED: usize = 2;
/// How long a peer may take.
const TIMEOUT: Duration = Duration::from_millis(500);

/// A question to a peer.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Question {
    table: Table,
    /// What the asker knows already; all rows are told if there is none.
    since: Option<Rev>,
    /// How long to wait for a change.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    wait: Duration,
    /// How long ago the peer may have heard from the store; any time if there is none.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    max_age: Option<Duration>,
}

/// A peer's answer.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Told {
    batch: Batch,
    /// How long ago the peer heard from the store.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    age: Option<Duration>,
    /// The store's clock.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    now: Option<Duration>,
}

/// Answers peers.
#[derive(Debug)]
pub struct Server {
    /// The node.
    pub gateway: Arc<Gateway>,
}

impl Handler for Server {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> Boxed<Response<Body>> {
        Box::pin(async move {
            /// The largest question, in bytes.
            const MAX_QUESTION: usize = 4_096;
            if req.uri().path() != PATH {
                return body::json(404, &serde_json::json!({ "error": "no such path" }));
            }
            let question = match body::read(req.into_body(), MAX_QUESTION).await {
                Ok(bytes) => serde_json::from_slice::<Question>(&bytes),
                Err(e) => return body::json(400, &serde_json::json!({ "error": e.to_string() })),
            };
            let question = match question {
                Ok(question) => question,
                Err(e) => return body::json(400, &serde_json::json!({ "error": e.to_string() })),
            };
            match self.answer(&question).await {
                Ok(told) => body::json(200, &told),
                Err(ChangesError::HistoryMissing) => body::json(410, &serde_json::json!({})),
                Err(ChangesError::Stale) => body::json(503, &serde_json::json!({})),
            }
        })
    }
}

impl Server {
    /// Waits until there is something to tell, the wait is over, or this node has itself not
    /// heard from the store for too long: the asker then looks elsewhere, so that a relay that
    /// is cut off doesn't keep the others from news.
    async fn answer(&self, question: &Question) -> Result<Told, ChangesError> {
        let end = self.gateway.now() + question.wait;
        loop {
            let changed = self.gateway.rows_changed.wait();
            let now = self.gateway.now();
            if self.is_unread(question) && now < end {
                let _elapsed = timeout::run(end - now, changed).await;
                continue;
            }
            let told = self.told(question)?;
            let is_news =
                question.since.is_none_or(|since| told.batch.rows.iter().any(|it| since < it.rev));
            if is_news || end <= now {
                return Ok(told);
            }
            let age = told.age.unwrap_or_default();
            let fresh_for = question.max_age.map_or(question.wait, |it| it.saturating_sub(age));
            let pause = fresh_for.min(end - now) + Duration::from_millis(1);
            future::or(changed, async {
                Timer::after(pause).await;
            })
            .await;
        }
    }

    /// Whether this node is itself about to read what a child asks for. The nodes of a fleet start
    /// together.
    fn is_unread(&self, question: &Question) -> bool {
        let is_child = question.max_age.is_some();
        is_child && question.since.is_none() && !self.gateway.mirror.lock().has_read(question.table)
    }

    fn told(&self, question: &Question) -> Result<Told, ChangesError> {
        let (table, now) = (question.table, self.gateway.now());
        let mirror = self.gateway.mirror.lock();
        let age = mirror.age(now);
        if question.max_age.is_some_and(|max| !mirror.is_fresh(table, max, now)) {
            return Err(ChangesError::Stale);
        }
        let batch = match question.since {
            Some(since) => mirror.changes(table, since)?,
            None => mirror.batch(table),
        };
        Ok(Told { batch, age, now: mirror.store_time(now) })
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
    let question = Question { table, since: Some(since), wait, max_age: Some(max_age) };
    let batch = ask_parent(gateway, parent, &question).await?;
    Ok(Batch { rev: batch.rev.max(since), ..batch })
}

/// All rows of a table from a parent, which may read them itself within `wait`.
pub async fn snapshot(
    gateway: &Gateway,
    parent: SocketAddr,
    table: Table,
    wait: Duration,
    max_age: Duration,
) -> Result<Batch, Error> {
    let question = Question { table, since: None, wait, max_age: Some(max_age) };
    let batch = ask_parent(gateway, parent, &question).await?;
    match batch.rev {
        Rev(0) => Err(Error::Down(format!("peer {parent} hasn't read it"))),
        _ => Ok(batch),
    }
}

async fn ask_parent(
    gateway: &Gateway,
    parent: SocketAddr,
    question: &Question,
) -> Result<Batch, Error> {
    let told = fetch(gateway, parent, question).await?;
    if let Some(at) = told.age.and_then(|age| gateway.now().checked_sub(age)) {
        gateway.mirror.lock().record_answer(at);
    }
    Ok(Batch { now: told.now, ..told.batch })
}

/// Takes in what some peers know, after the store gave no answer.
pub async fn ask(gateway: &Arc<Gateway>) {
    let own = gateway.settings.peers;
    let addrs: Vec<SocketAddr> = {
        let known: HashMap<_, _> = gateway.peers.lock().clone();
        let seeds = gateway.settings.seeds.iter().copied();
        let all: BTreeSet<_> = known.into_values().map(|it| it.peers).chain(seeds).collect();
        all.into_iter().filter(|it| Some(*it) != own).sample(&mut rand::rng(), ASKED)
    };
    for addr in addrs {
        for table in Table::ALL {
            if let Err(e) = ask_one(gateway, addr, table).await {
                log::debug!("peer {addr}: {e}");
                break;
            }
        }
    }
}

async fn ask_one(gateway: &Arc<Gateway>, addr: SocketAddr, table: Table) -> Result<(), Error> {
    let known = gateway.mirror.lock().rev(table);
    let since = Some(known).filter(|it| *it != Rev(0));
    let question = Question { table, since, wait: Duration::ZERO, max_age: None };
    let (told, is_whole) = match fetch(gateway, addr, &question).await {
        Err(Error::Compacted) => {
            (fetch(gateway, addr, &Question { since: None, ..question }).await?, true)
        }
        other => (other?, since.is_none()),
    };
    let answered = told.age.and_then(|age| gateway.now().checked_sub(age));
    if let Some(at) = answered {
        gateway.outage.lock().heard(at);
    }
    // A peer that knows less must not make this node forget.
    if known < told.batch.rev {
        let batch = Batch { now: told.now, ..told.batch };
        apply::batch(gateway, table, batch, is_whole, "peer");
    }
    Ok(())
}

async fn fetch(gateway: &Gateway, addr: SocketAddr, question: &Question) -> Result<Told, Error> {
    let call = Exchange::post(addr, PATH).with_json(question);
    let call = call.with_timeout(question.wait + TIMEOUT);
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
