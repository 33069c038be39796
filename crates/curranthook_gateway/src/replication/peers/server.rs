//! Answers the queries of other nodes.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use curranthook_http::{Body, body, server::Handler, timeout};
use futures_lite::future::{self, Boxed};
use http::{HeaderValue, Request, Response, header::CONTENT_TYPE};
use hyper::body::Incoming;

use super::{PATH, Query, Reply, TREE_PATH, statements};
use crate::{
    Gateway,
    replication::{
        codec::{self, Header},
        joins, lost_rows,
        mirror::ChangesError,
    },
};

/// The maximum size of a query, in bytes.
const MAX_QUERY_BYTES: usize = 4_096;

/// Answers queries of other nodes.
#[derive(Debug)]
pub struct Server {
    /// The node.
    pub gateway: Arc<Gateway>,
}

impl Handler for Server {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> Boxed<Response<Body>> {
        Box::pin(async move {
            let path = req.uri().path().to_owned();
            let bytes = match body::read(req.into_body(), MAX_QUERY_BYTES).await {
                Ok(bytes) => bytes,
                Err(e) => return body::json(400, &serde_json::json!({ "error": e.to_string() })),
            };
            match path.as_str() {
                PATH => self.answer_query(&bytes).await,
                TREE_PATH => match self.gateway.tree() {
                    Some(tree) => body::json(200, &*tree),
                    None => body::json(503, &serde_json::json!({})),
                },
                lost_rows::PATH => lost_rows::answer(&self.gateway, &bytes),
                joins::PATH => joins::answer(&self.gateway, &bytes).await,
                _ => body::json(404, &serde_json::json!({ "error": "no such path" })),
            }
        })
    }
}

impl Server {
    async fn answer_query(&self, bytes: &[u8]) -> Response<Body> {
        let query = match serde_json::from_slice::<Query>(bytes) {
            Ok(query) => query,
            Err(e) => return body::json(400, &serde_json::json!({ "error": e.to_string() })),
        };
        match self.answer(&query).await {
            Ok(response) => response,
            Err(ChangesError::HistoryMissing) => body::json(410, &serde_json::json!({})),
            Err(ChangesError::Stale) => body::json(503, &serde_json::json!({})),
        }
    }

    /// Waits until there are changes to return, the wait is over, or this node's own rows are older
    /// than the query's `max_age`. In the last case, the sender queries another node. Otherwise, a
    /// relay that lost its connections would delay changes for its children.
    async fn answer(&self, query: &Query) -> Result<Response<Body>, ChangesError> {
        let end = self.gateway.now() + query.wait;
        loop {
            let changed = self.gateway.rows_changed.wait();
            let now = self.gateway.now();
            if self.awaits_first_read(query) && now < end {
                let _elapsed = timeout::run(end - now, changed).await;
                continue;
            }
            let age = self.age(query)?;
            if self.has_changes(query)? || end <= now {
                return self.reply(query);
            }
            let fresh_for =
                query.max_age.map_or(query.wait, |it| it.saturating_sub(age.unwrap_or_default()));
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

    /// The age of this node's rows, unless they are too old for the query.
    fn age(&self, query: &Query) -> Result<Option<Duration>, ChangesError> {
        let now = self.gateway.now();
        let mirror = self.gateway.mirror.lock();
        let is_stale = |max| !mirror.is_fresh(query.table, max, now);
        let is_of_earlier_era =
            query.since.is_some_and(|it| mirror.rev(query.table).era() < it.era());
        if is_of_earlier_era || query.max_age.is_some_and(is_stale) {
            Err(ChangesError::Stale)
        } else {
            Ok(mirror.age(query.table, now))
        }
    }

    fn has_changes(&self, query: &Query) -> Result<bool, ChangesError> {
        let Some(since) = query.since else { return Ok(true) };
        let n_changes = self.gateway.mirror.lock().n_changes(query.table, since, 1);
        n_changes.map(|it| 0 < it).ok_or(ChangesError::HistoryMissing)
    }

    fn reply(&self, query: &Query) -> Result<Response<Body>, ChangesError> {
        let (table, gateway) = (query.table, &self.gateway);
        let now = gateway.now();
        let mirror = gateway.mirror.lock();
        let (age, store_time, rev) =
            (mirror.age(table, now), mirror.store_time(now), mirror.rev(table));
        let statements = statements::encode(&mirror, now);
        if !query.is_compact() {
            let batch = match query.since {
                Some(since) => mirror.changes(table, since)?,
                None => mirror.batch(table),
            };
            let mut response = body::json(200, &Reply { batch, age, now: store_time });
            response.headers_mut().insert(statements::HEADER, statements);
            return Ok(response);
        }
        let mut sections = gateway.sections.lock();
        let n_encoded = sections.n_encoded();
        let parts = match query.since {
            Some(since) => vec![sections.changes(&mirror, table, since)?],
            None => sections.whole(&mirror, table),
        };
        let is_encoded = n_encoded < sections.n_encoded();
        gateway.metrics.record_section(if is_encoded { "encoded" } else { "shared" });
        let header = Header { rev, age, now: store_time };
        let parts = parts.into_iter().map(|it| it.bytes);
        let body = body::chunks(std::iter::once(header.encode()).chain(parts));
        let mut response = Response::new(body);
        response.headers_mut().insert(statements::HEADER, statements);
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(codec::CONTENT_TYPE));
        Ok(response)
    }
}
