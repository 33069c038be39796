//! A single attempt: sends a request to an endpoint and receives the head of the response.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use curranthook_http::{
    client::{self, Connection, Freshness, response},
    timeout,
};
use curranthook_types::endpoint;
use http::response::Parts;

use crate::{
    Gateway,
    dialect::{self, Execution, Outgoing, Reply, Seal},
    directory::Outcome,
    document::RetryPolicy,
    event::Event,
    lease::{Completeness, Lease},
    request::{Model, Request},
};

/// The longest idle time after which a connection is reused for a retryable request. Endpoints
/// close idle connections after some seconds, and a request that is sent at that moment is lost.
const MAX_IDLE_AGE: Duration = Duration::from_secs(3);

/// The time within which a request on a connection that the endpoint had closed fails: a few round
/// trips between failure domains.
const STALE_DETECTION_TIME: Duration = Duration::from_millis(10);

/// How long a new connection must stay open before a non-retryable request is sent on it: a round
/// trip between failure domains plus the time in which an endpoint accepts or resets a connection.
const SETTLE_TIME: Duration = Duration::from_millis(8);

/// How long the body of a success that states a length of zero may take to show that this is wrong. Its
/// endpoint may write head and body apart from each other.
const EMPTY_BODY_GRACE: Duration = Duration::from_millis(20);

/// A request that was sent, with the response whose head has arrived.
#[derive(Debug)]
pub struct Exchange {
    /// The lease at the endpoint.
    pub lease: Lease,
    /// The connection that carries the exchange.
    pub conn: Connection,
    /// The response head, parsed.
    pub reply: Reply,
    /// The head of the response as received.
    pub head: Parts,
    /// The body of the response, not yet read.
    pub body: response::Body,
    /// The time from sending the request to the head of the response.
    pub time_to_first_byte: Duration,
}

/// Why an attempt yielded no response for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The cause of the failure.
    pub cause: Cause,
    /// Whether the request may have run.
    pub execution: Execution,
}

/// The cause of a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// No connection could be opened.
    Connect,
    /// A pooled connection had been closed by the endpoint.
    StaleConnection,
    /// The endpoint has no capacity left.
    Full,
    /// Another endpoint uses the address.
    AddressReused,
    /// The response states that the request is not for the endpoint that sent it, and not which one
    /// that is: the address has another endpoint, or the endpoint cannot run such a request.
    Misdirected,
    /// The endpoint itself states that it cannot run such a request, as it has not the model.
    Unsuitable,
    /// The connection was lost.
    Disconnected,
    /// The response belongs to another request.
    WrongRequest,
    /// The response does not carry the endpoint's seal.
    Unsealed,
    /// No response arrived in time.
    Timeout,
    /// The endpoint reported an error.
    Error,
}

impl Cause {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::StaleConnection => "stale",
            Self::Full => "full",
            Self::AddressReused => "address_reused",
            Self::Misdirected => "misdirected",
            Self::Unsuitable => "unsuitable",
            Self::Disconnected => "cut",
            Self::WrongRequest => "foreign",
            Self::Unsealed => "unsealed",
            Self::Timeout => "timeout",
            Self::Error => "error",
        }
    }
}

/// Sends `request` to the endpoint of `lease` and waits for the head of the response.
pub async fn run(
    gateway: &Arc<Gateway>,
    request: &Request,
    retry_policy: RetryPolicy,
    mut lease: Lease,
    outgoing: &Outgoing<'_>,
) -> Result<Exchange, Failure> {
    let sent_at = gateway.now();
    // A non-retryable request is never sent on a pooled connection: the endpoint may be closing it,
    // or a middlebox may have dropped it, and nothing would show whether the request ran.
    let freshness =
        if retry_policy.is_retryable() { Freshness::Within(MAX_IDLE_AGE) } else { Freshness::New };
    let outbound = gateway.dialect.build_request(request, outgoing);
    let mut conn = match gateway.pool.take(lease.addr, freshness).await {
        Ok(conn) => conn.with_empty_body_grace(EMPTY_BODY_GRACE),
        Err(_nothing_sent) => {
            lease.close(Outcome::ConnectFailed);
            return Err(not_run(Cause::Connect));
        }
    };
    if !retry_policy.is_retryable()
        && let Err(_nothing_sent) = conn.wait_for_early_close(SETTLE_TIME).await
    {
        lease.close(Outcome::ConnectionLost);
        return Err(not_run(Cause::Connect));
    }
    let time_left = request.time_left(gateway.now());
    let response = match timeout::run(time_left, conn.send(outbound)).await {
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
    log_misdirected(gateway, request, &lease.id, outgoing.model, &reply);
    lease.record_first_byte(reply.load);
    let failure = reply_failure(request, &reply, &lease.id);
    let is_of_endpoint = failure
        .as_ref()
        .is_none_or(|it| !matches!(it.cause, Cause::AddressReused | Cause::Misdirected));
    if let Some(other) = reply.instance.as_ref().filter(|it| **it != lease.id) {
        lease.record_instance(other);
    }
    if is_of_endpoint {
        let is_complete = failure.is_none() && reply.status.is_success();
        let completeness = if is_complete { Completeness::Whole } else { Completeness::Partial };
        lease.record_advertised(&reply, completeness);
    }
    if let Some(failure) = failure {
        lease.close(outcome(failure.cause));
        return Err(failure);
    }
    gateway.pool.record_response(&conn);
    if !conn.is_reused() {
        lease.record_connection();
    }
    let time_to_first_byte = elapsed(sent_at, gateway.now());
    let is_stream = retry_policy.is_stream() && reply.status.is_success();
    let body = if is_stream { body.into_events() } else { body };
    Ok(Exchange { lease, conn, reply, head, body, time_to_first_byte })
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

fn log_misdirected(
    gateway: &Gateway,
    request: &Request,
    id: &endpoint::Id,
    model: Option<&str>,
    reply: &Reply,
) {
    if reply.status != http::StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let named = match &request.head.model {
        Model::Named(name) => Some(name.as_str()),
        Model::Any | Model::None => model,
    };
    gateway.log.write(&Event::Misdirected {
        request: &request.head.id,
        endpoint: id.as_str(),
        instance: reply.instance.as_ref().map(endpoint::Id::as_str),
        model: named.unwrap_or_default(),
    });
}

fn send_failure(
    lease: Lease,
    conn: &Connection,
    error: &client::Error,
    elapsed_time: Duration,
) -> Failure {
    if error.is_unsent() && !conn.is_reused() {
        lease.close(Outcome::ConnectionLost);
        return not_run(Cause::Connect);
    }
    if error.is_unsent() {
        lease.close(Outcome::Abandoned);
        return not_run(Cause::StaleConnection);
    }
    let is_malformed = matches!(error, client::Error::Malformed(_));
    if conn.is_reused() && elapsed_time < STALE_DETECTION_TIME && !is_malformed {
        // The endpoint most likely closed the connection just as the request was sent, which is no
        // sign of a fault. A failure after a longer time means that the endpoint received the
        // request and its response was lost.
        lease.close(Outcome::Abandoned);
        return may_have_run(Cause::StaleConnection);
    }
    lease.close(Outcome::ConnectionLost);
    may_have_run(Cause::Disconnected)
}

/// The failure of a response that must not be forwarded to the caller; `None` if it may be.
fn reply_failure(request: &Request, reply: &Reply, target: &endpoint::Id) -> Option<Failure> {
    if reply.execution == Execution::NotRun {
        let is_misdirected = reply.status == http::StatusCode::MISDIRECTED_REQUEST;
        return Some(not_run(match &reply.instance {
            _ if !is_misdirected => Cause::Full,
            Some(it) if it == target => Cause::Unsuitable,
            Some(_) => Cause::AddressReused,
            None => Cause::Misdirected,
        }));
    }
    // On a reused connection, a late response to an earlier request arrives in place of the
    // expected one. The request id reveals this; if the response were forwarded, a caller would
    // receive another caller's response.
    if reply.request_id.as_deref() != Some(request.head.id.as_str()) {
        return Some(may_have_run(Cause::WrongRequest));
    }
    (reply.seal == Seal::Missing).then(|| may_have_run(Cause::Unsealed))
}

fn outcome(cause: Cause) -> Outcome {
    match cause {
        Cause::Full => Outcome::Full,
        Cause::AddressReused => Outcome::AddressReused,
        Cause::Connect => Outcome::ConnectFailed,
        Cause::Disconnected => Outcome::ConnectionLost,
        Cause::StaleConnection
        | Cause::WrongRequest
        | Cause::Timeout
        | Cause::Misdirected
        | Cause::Unsuitable => Outcome::Abandoned,
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
    /// Returns the connection to the pool if the endpoint keeps it open, after the response was
    /// read to its end.
    pub fn finish(self, gateway: &Gateway, retry_policy: RetryPolicy, outcome: Outcome) {
        // Non-retryable requests add connections to the pool and never take one from it.
        let max_idle = if retry_policy.is_retryable() { usize::MAX } else { self.lease.max_idle };
        let surplus = self.lease.surplus_charge();
        self.lease.close(outcome);
        if matches!(self.reply.connection, dialect::Connection::KeepAlive(_)) {
            // A failure counts from the end of the request on, which is recorded first.
            self.conn.observe(Box::new(surplus));
            gateway.pool.put_with_limit(self.conn, max_idle);
        }
    }

    /// Closes the connection, upon which the endpoint stops working on the request.
    pub fn close(self, outcome: Outcome) {
        self.conn.close();
        self.lease.close(outcome);
    }
}
