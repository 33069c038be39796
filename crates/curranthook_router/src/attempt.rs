//! One attempt at one endpoint, up to the head of its response.

use std::{
    collections::HashSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_io::Timer;
use bytes::Bytes;
use curranthook_http::{
    client::{self, Connection, Freshness, Pool, response},
    timeout,
};
use curranthook_policy::endpoint::Outcome;
use curranthook_types::{endpoint, header, request, retry};
use http::StatusCode;

use crate::{Router, dispatch::Lease};

/// The delay after a connection broke before its endpoint is checked, so that it can recover. If it
/// refuses connections then, it counts as dead.
const DEATH_CHECK_DELAY: Duration = Duration::from_millis(30);

/// How long the body of a success that states a length of zero may take to show that this is wrong. Its
/// endpoint may write head and body apart from each other.
const EMPTY_BODY_GRACE: Duration = Duration::from_millis(20);

/// A response whose head has arrived and passed all checks.
#[derive(Debug)]
pub struct Started {
    /// The endpoint and the connection to it.
    pub upstream: Upstream,
    /// The head of the response.
    pub head: http::response::Parts,
    /// The body of the response.
    pub body: response::Body,
}

/// An endpoint and the connection to it while a response is being received.
#[derive(Debug)]
pub struct Upstream {
    /// The lease of the endpoint.
    pub lease: Lease,
    /// The connection, which is reused only after a response without errors.
    pub conn: Connection,
    /// The time from the start of the attempt to the first byte of the response.
    pub time_to_first_byte: Duration,
}

impl Upstream {
    /// Gives up in the middle of a response, because the connection failed or cannot be trusted.
    pub fn fail(self, reason: retry::Reason, message: &str, disconnect: Disconnect) -> Failure {
        self.conn.close();
        let failure = failure(self.lease, reason, Execution::Unknown, message.to_owned());
        Failure { disconnect, ..failure }
    }
}

/// Whether the connection closed during a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disconnect {
    /// It closed in the middle of the request, as happens when the endpoint crashes.
    Closed,
    /// It did not close.
    None,
}

/// Whether an endpoint may have started to execute a failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// No byte was sent, or the endpoint reported that it had not started.
    NotStarted,
    /// The endpoint may have started to execute it.
    Unknown,
}

/// A failed attempt.
#[derive(Debug)]
pub struct Failure {
    /// The endpoint of the attempt.
    pub endpoint: endpoint::Id,
    /// The cause, which is counted as the reason for a retry.
    pub reason: retry::Reason,
    /// Whether the endpoint may have started to execute the request.
    pub execution: Execution,
    /// A description of the failure for people.
    pub message: String,
    /// Whether the connection closed during the request.
    pub disconnect: Disconnect,
}

/// Sends `req` to the endpoint of `lease` and waits up to `time_limit` for the response head.
pub async fn run(
    router: &Router,
    lease: Lease,
    req: http::Request<Bytes>,
    freshness: Freshness,
    time_limit: Duration,
    request: &request::Id,
) -> Result<Started, Failure> {
    let mut conn = match router.pool.take(lease.addr(), freshness).await {
        Ok(conn) => conn.with_empty_body_grace(EMPTY_BODY_GRACE),
        Err(e) => return Err(connection_failure(lease, &e)),
    };
    let started = lease.started();
    let res = match timeout::run(time_limit, conn.send(req)).await {
        Ok(Ok(res)) => res,
        Ok(Err(e)) => return Err(connection_failure(lease, &e)),
        Err(timeout::Elapsed) => {
            // A middlebox may have lost track of the connection; it may also have lost track of the
            // idle connections to the same endpoint.
            conn.close();
            router.pool.close_idle(lease.addr());
            let message = format!("no answer within {time_limit:?}");
            return Err(failure(lease, retry::Reason::SlowFirstByte, Execution::Unknown, message));
        }
    };
    let (head, body) = res.into_parts();
    // This check comes first: if the response belongs to another request, its "not started" header
    // says nothing about ours.
    if is_for_another_request(&head, request) {
        conn.close();
        let message = "the answer belongs to another request".to_owned();
        return Err(failure(lease, retry::Reason::ForeignAnswer, Execution::Unknown, message));
    }
    router.pool.record_response(&conn);
    record_load(router, &lease, &head);
    if let Some(reason) = refusal_reason(&head) {
        let message = format!("refused before it began: {}", head.status);
        let endpoint = lease.endpoint().clone();
        lease.finish(Outcome::Refused);
        return Err(Failure {
            endpoint,
            reason,
            execution: Execution::NotStarted,
            message,
            disconnect: Disconnect::None,
        });
    }
    Ok(Started {
        upstream: Upstream { lease, conn, time_to_first_byte: started.elapsed() },
        head,
        body,
    })
}

fn connection_failure(lease: Lease, e: &client::Error) -> Failure {
    let endpoint = lease.endpoint().clone();
    if e.is_unsent() {
        lease.finish(Outcome::Unreachable);
        let reason = retry::Reason::Connect;
        return Failure {
            endpoint,
            reason,
            execution: Execution::NotStarted,
            message: e.to_string(),
            disconnect: Disconnect::None,
        };
    }
    let reason = retry::Reason::ClosedEarly;
    Failure {
        disconnect: Disconnect::Closed,
        ..failure(lease, reason, Execution::Unknown, e.to_string())
    }
}

fn failure(lease: Lease, reason: retry::Reason, execution: Execution, message: String) -> Failure {
    let endpoint = lease.endpoint().clone();
    lease.finish(Outcome::Failed);
    Failure { endpoint, reason, execution, message, disconnect: Disconnect::None }
}

fn record_load(router: &Router, lease: &Lease, head: &http::response::Parts) {
    let text = |name| head.headers.get(name).and_then(|it| it.to_str().ok());
    if let Some(load) = text(header::LOAD).and_then(|it| it.parse().ok()) {
        lease.record_load(load);
    }
    if text(header::LEAVING) == Some("true") {
        router.dispatchers.mark_leaving(&HashSet::from([lease.addr()]));
    }
}

fn refusal_reason(head: &http::response::Parts) -> Option<retry::Reason> {
    let is_true = |name| head.headers.get(name).is_some_and(|it| it == "true");
    if !is_true(header::NOT_STARTED) {
        return None;
    }
    let reason = match head.status {
        _ if is_true(header::LEAVING) => retry::Reason::EndpointLeaving,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            retry::Reason::EndpointFull
        }
        _ => retry::Reason::ServerError,
    };
    Some(reason)
}

fn is_for_another_request(head: &http::response::Parts, request: &request::Id) -> bool {
    head.headers.get(header::REQUEST_ID).is_some_and(|it| it != request.as_str())
}

/// The first attempt of a hedged request.
#[derive(Debug)]
pub struct Primary {
    /// The endpoint of the attempt.
    pub endpoint: endpoint::Id,
    addr: SocketAddr,
    started: Instant,
}

impl Primary {
    /// The attempt that is about to be made with `lease`.
    pub fn new(lease: &Lease) -> Self {
        let endpoint = lease.endpoint().clone();
        Self { endpoint, addr: lease.addr(), started: lease.started() }
    }

    /// Takes a retry from the budget for a second attempt; `false` if there is none left.
    ///
    /// When many connections become unresponsive at once, each request on one of them needs a
    /// second attempt, which is more than a node's retry budget allows. If a newer connection to
    /// the same endpoint has received a response in the meantime, the endpoint is healthy and only
    /// the connection is unresponsive; then the second attempt does not use the budget.
    pub fn spend_retry(&self, router: &Router) -> bool {
        // The idle connections to the same address may be unresponsive too.
        router.pool.close_idle(self.addr);
        let reason = retry::Reason::SlowFirstByte;
        let is_endpoint_responsive =
            router.pool.has_newer_working_connection(self.addr, self.started);
        if !is_endpoint_responsive
            && router.retry_budget.lock().spend(reason, router.clock.now()).is_err()
        {
            return false;
        }
        router.metrics.count_retry(reason);
        true
    }
}

/// Checks the endpoint of a broken connection. If it is dead, counts its death against the request,
/// so that a request that repeatedly crashes endpoints is refused.
pub async fn charge_if_dead(router: &Router, fingerprint: [u8; 16], endpoint: &endpoint::Id) {
    let Ok(snapshot) = router.snapshot() else { return };
    let Some(addr) = snapshot.config().endpoints.get(endpoint).map(|it| it.address) else {
        return;
    };
    Timer::after(DEATH_CHECK_DELAY).await;
    if is_dead(&router.pool, addr).await {
        log::info!("endpoint {endpoint} died while processing a request");
        router.node.poison().record_crash(fingerprint, endpoint);
    }
}

/// Whether no endpoint process listens at the address of a broken connection any more.
///
/// A connection also breaks when the network fails. Only a host whose endpoint process died refuses
/// a new connection; if the network is down, the connection attempt times out. Without this
/// distinction, a network failure would make every affected request look like one that crashes
/// endpoints.
async fn is_dead(pool: &Pool, addr: SocketAddr) -> bool {
    match pool.take(addr, Freshness::New).await {
        Ok(conn) => {
            conn.close();
            false
        }
        Err(e) => e.is_refused(),
    }
}
