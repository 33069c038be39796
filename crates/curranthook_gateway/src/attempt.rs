//! One attempt: a request is sent to an endpoint, and the head of the answer comes back.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use curranthook_http::{
    client::{self, Connection, Freshness},
    timeout,
};
use curranthook_types::endpoint;
use http::response::Parts;
use hyper::body::Incoming;

use crate::{
    Gateway,
    dialect::{self, Execution, Outgoing, Reply, Seal},
    directory::Outcome,
    document::RetryPolicy,
    event::Event,
    lease::{Completeness, Lease},
    request::Request,
};

/// How long an idle connection may be trusted with a request that can be repeated. Endpoints
/// close idle ones after some seconds, and what is sent just then is lost.
const MAX_IDLE_AGE: Duration = Duration::from_secs(3);

/// Within this time a connection that was closed while it was idle shows it: a few round trips
/// between failure domains.
const STALE_DETECTION_TIME: Duration = Duration::from_millis(10);

/// How long a new connection must hold before a request that can't be repeated is sent on it: a round
/// trip between failure domains and the time in which an endpoint accepts a connection or resets it.
const SETTLE_TIME: Duration = Duration::from_millis(8);

/// An answer that has begun.
#[derive(Debug)]
pub struct Exchange {
    /// The place at the endpoint.
    pub lease: Lease,
    /// The connection.
    pub conn: Connection,
    /// What the head says.
    pub reply: Reply,
    /// The head.
    pub head: Parts,
    /// What is to come.
    pub body: Incoming,
    /// The time to the head.
    pub first_byte: Duration,
}

/// Why an attempt has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// What went wrong.
    pub cause: Cause,
    /// Whether the request may have run.
    pub execution: Execution,
}

/// What went wrong with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// No connection.
    Connect,
    /// A kept connection turned out to be closed.
    StaleConnection,
    /// The endpoint is full.
    Full,
    /// Another endpoint has the address.
    Misdirected,
    /// The connection broke.
    Disconnected,
    /// The answer is another request's.
    WrongRequest,
    /// The answer isn't the endpoint's own.
    Unsealed,
    /// No answer in time.
    Timeout,
    /// The endpoint failed.
    Error,
}

impl Cause {
    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::StaleConnection => "stale",
            Self::Full => "full",
            Self::Misdirected => "misdirected",
            Self::Disconnected => "cut",
            Self::WrongRequest => "foreign",
            Self::Unsealed => "unsealed",
            Self::Timeout => "timeout",
            Self::Error => "error",
        }
    }
}

/// Sends `ask` to the endpoint of `lease` and waits for the head of the answer.
pub async fn run(
    gateway: &Arc<Gateway>,
    request: &Request,
    retry_policy: RetryPolicy,
    mut lease: Lease,
    outgoing: &Outgoing<'_>,
) -> Result<Exchange, Failure> {
    let sent_at = gateway.now();
    // What can't be repeated is never trusted to a kept connection: the endpoint may be closing
    // it, or something between may have lost it, and nobody could tell whether it ran.
    let freshness =
        if retry_policy.is_retryable() { Freshness::Within(MAX_IDLE_AGE) } else { Freshness::New };
    let outbound = gateway.dialect.build_request(request, outgoing);
    let mut conn = match gateway.pool.take(lease.addr, freshness).await {
        Ok(conn) => conn,
        Err(_nothing_sent) => {
            lease.close(Outcome::ConnectFailed);
            return Err(not_run(Cause::Connect));
        }
    };
    if !retry_policy.is_retryable()
        && let Err(_nothing_sent) = conn.settle(SETTLE_TIME).await
    {
        lease.close(Outcome::ConnectionLost);
        return Err(not_run(Cause::Connect));
    }
    let limit = request.time_left(gateway.now());
    let response = match timeout::run(limit, conn.send(outbound)).await {
        Ok(Ok(response)) => response,
        Ok(Err(e)) => return Err(send_failure(lease, &conn, &e, elapsed(sent_at, gateway.now()))),
        Err(timeout::Elapsed) => {
            lease.close(Outcome::Abandoned);
            return Err(may_have_run(Cause::Timeout));
        }
    };
    let (head, body) = response.into_parts();
    let reply = gateway.dialect.parse_response_head(&head);
    log_unknown_headers(gateway, &lease.id, &head);
    lease.record_first_byte(reply.load);
    let failure = reply_failure(request, &reply);
    let is_misdirected = failure.as_ref().is_some_and(|it| it.cause == Cause::Misdirected);
    if !is_misdirected {
        let is_complete = failure.is_none() && reply.status.is_success();
        let completeness = if is_complete { Completeness::Whole } else { Completeness::Partial };
        lease.record_advertised(&reply, completeness);
    }
    if let Some(failure) = failure {
        lease.close(outcome(failure.cause));
        return Err(failure);
    }
    gateway.pool.answered(&conn);
    let first_byte = elapsed(sent_at, gateway.now());
    Ok(Exchange { lease, conn, reply, head, body, first_byte })
}

fn log_unknown_headers(gateway: &Gateway, id: &endpoint::Id, head: &Parts) {
    let unknown = gateway.dialect.unknown_headers(&head.headers);
    for (name, value) in unknown {
        let (name, value) = (name.as_str(), value.to_str().unwrap_or_default());
        if gateway.unknown_headers.lock().is_new(id, name, value) {
            gateway.log.write(&Event::HeaderUnknown { endpoint: id.as_str(), name, value });
        }
    }
}

fn send_failure(
    lease: Lease,
    conn: &Connection,
    error: &client::Error,
    elapsed_time: Duration,
) -> Failure {
    if error.is_unsent() {
        lease.close(Outcome::Abandoned);
        return not_run(Cause::StaleConnection);
    }
    if conn.is_reused() && elapsed_time < STALE_DETECTION_TIME {
        // Closed in the moment of use, most likely; that says nothing against the endpoint. Later,
        // the endpoint had the request and lost its answer.
        lease.close(Outcome::Abandoned);
        return may_have_run(Cause::StaleConnection);
    }
    lease.close(Outcome::ConnectionLost);
    may_have_run(Cause::Disconnected)
}

/// Whether the head of an answer is none that a caller may get.
fn reply_failure(request: &Request, reply: &Reply) -> Option<Failure> {
    if reply.execution == Execution::NotRun {
        let is_misdirected = reply.status == http::StatusCode::MISDIRECTED_REQUEST;
        return Some(not_run(if is_misdirected { Cause::Misdirected } else { Cause::Full }));
    }
    // An answer that comes late on a kept connection stands where the next one is expected. Its
    // id tells; passed on, a caller would read somebody else's answer.
    if reply.request_id.as_deref() != Some(request.head.id.as_str()) {
        return Some(may_have_run(Cause::WrongRequest));
    }
    (reply.seal == Seal::Missing).then(|| may_have_run(Cause::Unsealed))
}

fn outcome(cause: Cause) -> Outcome {
    match cause {
        Cause::Full => Outcome::Full,
        Cause::Misdirected => Outcome::AddressReused,
        Cause::Connect => Outcome::ConnectFailed,
        Cause::Disconnected => Outcome::ConnectionLost,
        Cause::StaleConnection | Cause::WrongRequest | Cause::Timeout => Outcome::Abandoned,
        Cause::Unsealed | Cause::Error => Outcome::Failed,
    }
}

fn not_run(cause: Cause) -> Failure {
    Failure { cause, execution: Execution::NotRun }
}

fn may_have_run(cause: Cause) -> Failure {
    Failure { cause, execution: Execution::MayHaveRun }
}

fn elapsed(start: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(start)
}

impl Exchange {
    /// Takes the connection back into use if the endpoint keeps it, once the answer was read to
    /// its end.
    pub fn finish(self, gateway: &Gateway, retry_policy: RetryPolicy, outcome: Outcome) {
        if matches!(self.reply.connection, dialect::Connection::KeepAlive(_)) {
            // Requests that can't be repeated leave connections behind and never take one of them.
            let max_idle =
                if retry_policy.is_retryable() { usize::MAX } else { self.lease.max_idle };
            gateway.pool.put_within(self.conn, max_idle);
        }
        self.lease.close(outcome);
    }

    /// Closes the connection, which tells the endpoint to stop.
    pub fn close(self, outcome: Outcome) {
        self.conn.close();
        self.lease.close(outcome);
    }
}
