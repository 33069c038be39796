//! Accepts requests that other nodes forward.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use curranthook_http::{Body, body, server::Handler};
use curranthook_policy::hash;
use futures_lite::future::Boxed;
use http::{Request, Response};
use hyper::body::Incoming;

use super::head::{Forward, Source};
use crate::{
    Gateway,
    event::Event,
    frontend::Frontend,
    job::Origin,
    refusal::{Reason, Refusal, Started},
    replication::peers,
};

/// The number of forwarded requests that a node serves at a time. Each occupies a connection, a head
/// and a body.
const MAX_ACCEPTED: usize = 256;
/// The `Retry-After` of requests that exceed this.
const RETRY_AFTER_BUSY: Duration = Duration::from_millis(400);

/// Answers other nodes: serves the requests that they forward, and passes all others on.
#[derive(Debug)]
pub struct Server {
    /// The handler of callers' requests.
    pub frontend: Arc<Frontend>,
    /// The handler of queries for rows.
    pub peers: Arc<peers::Server>,
}

impl Handler for Server {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> Boxed<Response<Body>> {
        if !Forward::is_claimed(req.headers()) {
            return Arc::clone(&self.peers).handle(req);
        }
        Box::pin(async move { self.serve(req).await })
    }
}

/// The place of a forwarded request that is being served; dropping it releases the place.
#[derive(Debug)]
pub struct Slot(Arc<AtomicUsize>);

impl Slot {
    /// Takes one of `max` places.
    pub fn try_take(taken: &Arc<AtomicUsize>, max: usize) -> Option<Self> {
        let n_taken = taken.fetch_add(1, Ordering::Relaxed);
        let slot = Self(Arc::clone(taken));
        (n_taken < max).then_some(slot)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Server {
    async fn serve(&self, req: Request<Incoming>) -> Response<Body> {
        let gateway = &self.frontend.gateway;
        let (mut head, body) = req.into_parts();
        let origin = match check(gateway, &head.headers) {
            Ok(origin) => origin,
            Err(Rejected::Outsider) => {
                gateway.metrics.record_forwarded("rejected");
                gateway.log.write(&Event::ForwardRejected { path: head.uri.path() });
                return body::json(403, &serde_json::json!({}));
            }
            Err(Rejected::Refused(refusal)) => {
                gateway.metrics.record_forwarded("refused");
                return with_source(self.frontend.refuse(&refusal), Source::Elsewhere);
            }
        };
        Forward::remove(&mut head.headers);
        gateway.metrics.record_forwarded("accepted");
        match self.frontend.respond(&head, body, origin).await {
            Ok(response) => with_source(response, Source::Endpoint),
            Err(refusal) => {
                let source = source(&refusal);
                with_source(self.frontend.refuse(&refusal), source)
            }
        }
    }
}

/// Why a forwarded request is not served.
enum Rejected {
    /// The sender is no node of the fleet.
    Outsider,
    /// The node cannot take it.
    Refused(Refusal),
}

fn check(gateway: &Gateway, headers: &http::HeaderMap) -> Result<Origin, Rejected> {
    let forward = Forward::parse(headers).map_err(|_invalid| Rejected::Outsider)?;
    let key = gateway.forwarding.key().ok_or(Rejected::Outsider)?;
    // Compared by hash, so that the time tells nothing about the key.
    if hash::bytes(forward.key.as_bytes()) != hash::bytes(key.as_bytes()) || *forward.key != *key {
        return Err(Rejected::Outsider);
    }
    let refused = |reason| Rejected::Refused(Refusal::new(reason, Started::No));
    if gateway.is_stopping() {
        return Err(refused(Reason::Stopping));
    }
    let version = gateway.configuration.load().as_ref().map(|it| it.document.version);
    if version.is_none_or(|it| it < forward.configuration) {
        return Err(refused(Reason::NotReady));
    }
    let slot = Slot::try_take(&gateway.forwarding.n_accepted, MAX_ACCEPTED).ok_or_else(|| {
        let busy = Refusal::new(Reason::Full, Started::No);
        Rejected::Refused(busy.with_retry_after(RETRY_AFTER_BUSY))
    })?;
    Ok(Origin::Node { n_runs: forward.n_runs, _slot: slot })
}

/// Whether another node may serve a request that this one refuses.
fn source(refusal: &Refusal) -> Source {
    let is_local = matches!(
        refusal.reason,
        Reason::Unreachable | Reason::NoEndpoint | Reason::NotReady | Reason::Stopping
    );
    // A request that may have run here must not run at another node.
    let has_not_run = refusal.status == http::StatusCode::SERVICE_UNAVAILABLE;
    if is_local && has_not_run { Source::Elsewhere } else { Source::Refusal }
}

fn with_source(mut response: Response<Body>, source: Source) -> Response<Body> {
    source.insert(response.headers_mut());
    response
}
