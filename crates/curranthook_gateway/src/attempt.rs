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
    ask::Ask,
    dialect::{self, Execution, Outgoing, Reply, Seal},
    directory::Outcome,
    document::RetryPolicy,
    event::Event,
    lease::{Completeness, Lease},
};

/// How long an idle connection may be trusted with a request that can be repeated. Endpoints
/// close idle ones after some seconds, and what is sent just then is lost.
const MAX_IDLE_AGE: Duration = Duration::from_secs(3);

/// Within this time a connection that was closed while it was idle shows it: a few round trips
/// between failure domains.
const AT_ONCE: Duration = Duration::from_millis(10);

/// How long a new connection must hold before a request that can't be repeated is sent on it: a round
/// trip between failure domains and the time in which an endpoint accepts a connection or resets it.
const SETTLE: Duration = Duration::from_millis(8);

/// An answer that has begun.
#[derive(Debug)]
pub struct Open {
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
pub struct Failed {
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
    Stale,
    /// The endpoint is full.
    Full,
    /// Another endpoint has the address.
    Misdirected,
    /// The connection broke.
    Cut,
    /// The answer is another request's.
    Foreign,
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
            Self::Stale => "stale",
            Self::Full => "full",
            Self::Misdirected => "misdirected",
            Self::Cut => "cut",
            Self::Foreign => "foreign",
            Self::Unsealed => "unsealed",
            Self::Timeout => "timeout",
            Self::Error => "error",
        }
    }
}

/// Sends `ask` to the endpoint of `lease` and waits for the head of the answer.
pub async fn run(
    gateway: &Arc<Gateway>,
    ask: &Ask,
    retry_policy: RetryPolicy,
    mut lease: Lease,
    outgoing: &Outgoing<'_>,
) -> Result<Open, Failed> {
    let sent = gateway.now();
    // What can't be repeated is never trusted to a kept connection: the endpoint may be closing
    // it, or something between may have lost it, and nobody could tell whether it ran.
    let freshness =
        if retry_policy.is_retryable() { Freshness::Within(MAX_IDLE_AGE) } else { Freshness::New };
    let request = gateway.dialect.request(ask, outgoing);
    let mut conn = match gateway.pool.take(lease.addr, freshness).await {
        Ok(conn) => conn,
        Err(_nothing_sent) => {
            lease.close(Outcome::ConnectFailed);
            return Err(not_run(Cause::Connect));
        }
    };
    if !retry_policy.is_retryable()
        && let Err(_nothing_sent) = conn.settle(SETTLE).await
    {
        lease.close(Outcome::ConnectionLost);
        return Err(not_run(Cause::Connect));
    }
    let limit = ask.time_left(gateway.now());
    let response = match timeout::run(limit, conn.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(e)) => return Err(broken(lease, &conn, &e, since(sent, gateway.now()))),
        Err(timeout::Elapsed) => {
            lease.close(Outcome::Abandoned);
            return Err(may_have_run(Cause::Timeout));
        }
    };
    let (head, body) = response.into_parts();
    let reply = gateway.dialect.reply(&head);
    log_unknown_headers(gateway, &lease.id, &head);
    lease.began(reply.load);
    let refused = refused(ask, &reply);
    let is_misdirected = refused.as_ref().is_some_and(|it| it.cause == Cause::Misdirected);
    if !is_misdirected {
        let is_whole = refused.is_none() && reply.status.is_success();
        let completeness = if is_whole { Completeness::Whole } else { Completeness::Partial };
        lease.record_advertised(&reply, completeness);
    }
    if let Some(failed) = refused {
        lease.close(outcome(failed.cause));
        return Err(failed);
    }
    gateway.pool.answered(&conn);
    let first_byte = since(sent, gateway.now());
    Ok(Open { lease, conn, reply, head, body, first_byte })
}

fn log_unknown_headers(gateway: &Gateway, id: &endpoint::Id, head: &Parts) {
    let unknown = gateway.dialect.unknown(&head.headers);
    for (name, value) in unknown {
        let (name, value) = (name.as_str(), value.to_str().unwrap_or_default());
        if gateway.unknown_headers.lock().is_new(id, name, value) {
            gateway.log.write(&Event::HeaderUnknown { endpoint: id.as_str(), name, value });
        }
    }
}

fn broken(lease: Lease, conn: &Connection, error: &client::Error, took: Duration) -> Failed {
    if error.is_unsent() {
        lease.close(Outcome::Abandoned);
        return not_run(Cause::Stale);
    }
    if conn.is_reused() && took < AT_ONCE {
        // Closed in the moment of use, most likely; that says nothing against the endpoint. Later,
        // the endpoint had the request and lost its answer.
        lease.close(Outcome::Abandoned);
        return may_have_run(Cause::Stale);
    }
    lease.close(Outcome::ConnectionLost);
    may_have_run(Cause::Cut)
}

/// Whether the head of an answer is none that a caller may get.
fn refused(ask: &Ask, reply: &Reply) -> Option<Failed> {
    if reply.execution == Execution::NotRun {
        let is_misdirected = reply.status == http::StatusCode::MISDIRECTED_REQUEST;
        return Some(not_run(if is_misdirected { Cause::Misdirected } else { Cause::Full }));
    }
    // An answer that comes late on a kept connection stands where the next one is expected. Its
    // id tells; passed on, a caller would read somebody else's answer.
    if reply.id.as_deref() != Some(ask.head.id.as_str()) {
        return Some(may_have_run(Cause::Foreign));
    }
    (reply.seal == Seal::Missing).then(|| may_have_run(Cause::Unsealed))
}

fn outcome(cause: Cause) -> Outcome {
    match cause {
        Cause::Full => Outcome::Full,
        Cause::Misdirected => Outcome::AddressReused,
        Cause::Connect => Outcome::ConnectFailed,
        Cause::Cut => Outcome::ConnectionLost,
        Cause::Stale | Cause::Foreign | Cause::Timeout => Outcome::Abandoned,
        Cause::Unsealed | Cause::Error => Outcome::Failed,
    }
}

fn not_run(cause: Cause) -> Failed {
    Failed { cause, execution: Execution::NotRun }
}

fn may_have_run(cause: Cause) -> Failed {
    Failed { cause, execution: Execution::MayHaveRun }
}

fn since(start: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(start)
}

impl Open {
    /// Takes the connection back into use if the endpoint keeps it, once the answer was read to
    /// its end.
    pub fn finish(self, gateway: &Gateway, retry_policy: RetryPolicy, outcome: Outcome) {
        if matches!(self.reply.connection, dialect::Connection::Kept(_)) {
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
