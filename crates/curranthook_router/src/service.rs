//! Calls to plain services, some of which must not be repeated.

mod call;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use curranthook_http::{Body, body, client::Freshness};
use curranthook_policy::{
    endpoint::Outcome,
    retry::{self, Decision, Delivered, Repeat, Sent},
};
use curranthook_types::{
    Refusal,
    bill::Line,
    endpoint, header,
    refusal::{Reason, Run},
};
use http::{HeaderMap, Response, header::CONTENT_TYPE};

use crate::{
    Router,
    attempt::{self, Disconnect, Execution, Failure, Primary, Started},
    claim::{self, Claim, State},
    dispatch::{Lease, Params, Target},
    hedge, leaving, parse,
    router::InFlight,
    snapshot::Snapshot,
};

pub use call::Call;

/// The path prefix of service calls: `/services/<name>/<path>`.
pub const PREFIX: &str = "/services/";
/// The largest response body of a service, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// How long a connection may have been idle to be reused for a repeatable call.
const MAX_REUSE_IDLE_AGE: Duration = Duration::from_secs(5);
/// The refusal message for a call under which endpoints died before.
const POISON_MESSAGE: &str = "endpoints died under this call";

/// The complete response of a service.
#[derive(Debug)]
struct Reply {
    status: u16,
    content_type: String,
    body: Bytes,
}

/// Handles a call to a plain service.
pub async fn run(
    router: &Arc<Router>,
    snapshot: &Arc<Snapshot>,
    call: Call,
    headers: &HeaderMap,
    in_flight: InFlight,
) -> Result<Response<Body>, Refusal> {
    let Some(service) = snapshot.config().services.get(&call.service) else {
        return Err(Refusal::not_run(Reason::UnknownModel, "no such service"));
    };
    check_allowed(snapshot, &call)?;
    if router.node.poison().is_poison(&call.fingerprint()) {
        return Err(Refusal::not_run(Reason::Poison, POISON_MESSAGE));
    }
    if service.repeatable.contains(call.method.as_str()) {
        let reply = run_idempotent(router, &call).await?;
        record_bill(router, &call).await;
        return Ok(build_response(&call, reply));
    }
    let Some(key) = parse::header_text(headers, header::IDEMPOTENCY_KEY)? else {
        let message = "a call that may not be repeated needs the header idempotency-key";
        return Err(Refusal::not_run(Reason::KeyMissing, message));
    };
    let key = claim::key(&call.metadata.account, &call.service, key);
    // From here on the call continues even if its caller disconnects: a claim dropped halfway could
    // be neither executed nor repeated by anyone.
    let router = Arc::clone(router);
    let ex = Arc::clone(&router.ex);
    // The task is detached: an awaited task would be cancelled together with its caller.
    let (tx, rx) = async_channel::bounded(1);
    ex.spawn(async move {
        let _in_flight = in_flight;
        let result = run_at_most_once(&router, call, key).await;
        let _caller_may_be_gone = tx.try_send(result);
    })
    .detach();
    let lost = || Refusal::unknown(Reason::EndpointFailed, "the call was lost");
    rx.recv().await.map_err(|_| lost())?
}

async fn run_at_most_once(
    router: &Arc<Router>,
    call: Call,
    key: String,
) -> Result<Response<Body>, Refusal> {
    let time_limit = call.metadata.time_left(router.clock.now());
    match claim::acquire(&router.claims, &router.ex, key, call.digest(), time_limit).await? {
        claim::Outcome::Replay(state) => replay(&call, state),
        claim::Outcome::Acquired(claim) => send_once(router, call, claim).await,
    }
}

fn replay(call: &Call, state: State) -> Result<Response<Body>, Refusal> {
    let State::Done { status, content_type, body } = state else {
        unreachable!("only an answered call is replayed")
    };
    let Some(body) = body else {
        let message = "the call ran; its answer was too large to be kept";
        return Err(Refusal { not_run: Run::Ran, ..Refusal::not_run(Reason::KeyClaimed, message) });
    };
    let is_valid = http::StatusCode::from_u16(status).is_ok()
        && http::HeaderValue::from_str(&content_type).is_ok();
    if !is_valid {
        let message = "the call ran; its stored answer can't be read";
        return Err(Refusal { not_run: Run::Ran, ..Refusal::not_run(Reason::KeyClaimed, message) });
    }
    let mut res = build_response(call, Reply { status, content_type, body: body.into() });
    res.headers_mut().insert(header::REPLAYED, http::HeaderValue::from_static("true"));
    Ok(res)
}

/// Sends a claimed call to one endpoint after another until one may have executed it.
async fn send_once(
    router: &Arc<Router>,
    call: Call,
    claim: Claim,
) -> Result<Response<Body>, Refusal> {
    let mut attempts = Attempts::default();
    loop {
        let lease = match acquire_lease(router, &call, &attempts).await {
            Ok(lease) => lease,
            Err(refusal) => {
                // The call was certainly not sent, so the caller may try again with the same key.
                release_claim(router, claim);
                return Err(refusal);
            }
        };
        match attempt(router, &call, lease, Freshness::New).await {
            Ok(reply) => {
                record_bill(router, &call).await;
                let stored = reply.body.clone();
                let (status, content_type) = (reply.status, reply.content_type.clone());
                // The response does not wait for the platform to store the outcome; a shutdown
                // does.
                let guard = router.track_outcome();
                router
                    .ex
                    .spawn(async move {
                        claim.finish(status, &content_type, &stored).await;
                        drop(guard);
                    })
                    .detach();
                return Ok(build_response(&call, reply));
            }
            Err(failure) if failure.execution == Execution::NotStarted => {
                let retry = attempts.check_retry(router, &call, failure, Repeat::AtMostOnce).await;
                if let Err(refusal) = retry {
                    release_claim(router, claim);
                    return Err(refusal);
                }
            }
            // The call may have been executed, and there is no way to find out. The claim stays in
            // place, so this call is never sent again.
            Err(failure) => {
                charge_if_disconnected(router, &call, &failure).await;
                return Err(Refusal::unknown(Reason::EndpointFailed, failure.message));
            }
        }
    }
}

/// Releases a claim in the background, without delaying the response.
fn release_claim(router: &Router, claim: Claim) {
    // If the router stopped before the release is stored, the claim would block the call
    // permanently, although its caller was told that it was not executed.
    let guard = router.track_outcome();
    let release = async move {
        claim.release().await;
        drop(guard);
    };
    router.ex.spawn(release).detach();
}

async fn run_idempotent(router: &Arc<Router>, call: &Call) -> Result<Reply, Refusal> {
    let mut attempts = Attempts::default();
    loop {
        let lease = acquire_lease(router, call, &attempts).await?;
        match run_hedged(router, call, lease, &attempts).await {
            Ok(reply) => return Ok(reply),
            Err(failure) => attempts.check_retry(router, call, failure, Repeat::Idempotent).await?,
        }
    }
}

/// Runs one attempt and, if its response is unusually late, a hedged second one on a new
/// connection; only for calls that may be repeated.
async fn run_hedged(
    router: &Arc<Router>,
    call: &Call,
    lease: Lease,
    attempts: &Attempts,
) -> Result<Reply, Failure> {
    let hedge_delay = lease.hedge_delay();
    let primary = &Primary::new(&lease);
    let first = attempt(router, call, lease, Freshness::Within(MAX_REUSE_IDLE_AGE));
    let hedge = || async move {
        let lease = hedge_lease(router, call, primary, attempts)?;
        Some(attempt(router, call, lease, Freshness::New))
    };
    hedge::run(hedge_delay, first, hedge).await
}

fn hedge_lease(
    router: &Router,
    call: &Call,
    primary: &Primary,
    attempts: &Attempts,
) -> Option<Lease> {
    check_allowed(&*router.snapshot().ok()?, call).ok()?;
    let dispatcher = router.dispatchers.get(&Target::Service(call.service.clone())).ok()?;
    let params = Params {
        metadata: &call.metadata,
        weight: 1.0,
        affinity: None,
        excluded: &attempts.excluded,
    };
    let lease = dispatcher.try_acquire_hedge(params, &primary.endpoint)?;
    primary.spend_retry(router).then_some(lease)
}

async fn charge_if_disconnected(router: &Router, call: &Call, failure: &Failure) {
    if failure.disconnect == Disconnect::Closed {
        attempt::charge_if_dead(router, call.fingerprint(), &failure.endpoint).await;
    }
}

/// The failed attempts of one call.
#[derive(Debug, Default)]
struct Attempts {
    excluded: Vec<endpoint::Id>,
    /// The number of failed attempts that the endpoint may have executed; only these count against
    /// the limit on attempts.
    n_maybe_executed: u32,
    execution: Option<Run>,
}

impl Attempts {
    fn execution(&self) -> Run {
        self.execution.unwrap_or(Run::Not)
    }

    async fn check_retry(
        &mut self,
        router: &Router,
        call: &Call,
        failure: Failure,
        repeat: Repeat,
    ) -> Result<(), Refusal> {
        charge_if_disconnected(router, call, &failure).await;
        self.excluded.push(failure.endpoint);
        let sent = if failure.execution == Execution::NotStarted {
            Sent::NotStarted
        } else {
            Sent::MayHaveRun
        };
        if sent == Sent::MayHaveRun {
            self.execution = Some(Run::Unknown);
            self.n_maybe_executed += 1;
        }
        let attempt = retry::Attempt {
            repeat,
            sent,
            delivered: Delivered::Nothing,
            attempts: self.n_maybe_executed,
            time_left: call.metadata.time_left(router.clock.now()),
        };
        let refusal = |code, message: &str| {
            Err(Refusal { not_run: self.execution(), ..Refusal::not_run(code, message) })
        };
        if router.node.poison().is_poison(&call.fingerprint()) {
            return refusal(Reason::Poison, POISON_MESSAGE);
        }
        if let Decision::Stop(_) = retry::decide(&attempt) {
            return refusal(Reason::EndpointFailed, &failure.message);
        }
        let now = router.clock.now();
        if router.retry_budget.lock().spend(failure.reason, now).is_err() {
            router.metrics.count("retry_budget.spent");
            return refusal(Reason::EndpointFailed, "too many retries at this node");
        }
        router.metrics.count_retry(failure.reason);
        Ok(())
    }
}

fn check_allowed(snapshot: &Snapshot, call: &Call) -> Result<(), Refusal> {
    let account = snapshot.account_settings(&call.metadata.account);
    if account.is_none_or(|it| !it.services.contains(&call.service)) {
        return Err(Refusal::not_run(Reason::NotAllowed, "the account may not use this service"));
    }
    Ok(())
}

async fn acquire_lease(
    router: &Arc<Router>,
    call: &Call,
    attempts: &Attempts,
) -> Result<Lease, Refusal> {
    let with_execution = |it| Refusal { not_run: attempts.execution(), ..it };
    let dispatcher =
        router.dispatchers.get(&Target::Service(call.service.clone())).map_err(with_execution)?;
    let snapshot = router.snapshot()?;
    let account = snapshot.account_settings(&call.metadata.account);
    let weight = account.map_or(1.0, |it| it.limit.weight);
    let params =
        Params { metadata: &call.metadata, weight, affinity: None, excluded: &attempts.excluded };
    let mut lease = dispatcher.acquire(params).await;
    let is_unserved = lease.as_ref().is_err_and(|it| it.code == Reason::NoEndpoint);
    if is_unserved && leaving::recheck(router, &dispatcher).await {
        lease = dispatcher.acquire(params).await;
    }
    let lease = lease.map_err(with_execution)?;
    // A router that was paused in the meantime must not send a call whose caller has given up, nor
    // one for an account that has lost access.
    check_allowed(&*router.snapshot()?, call).map_err(with_execution)?;
    if call.metadata.deadline <= router.clock.now() {
        return Err(with_execution(Refusal::not_run(Reason::Deadline, "the deadline passed")));
    }
    Ok(lease)
}

async fn attempt(
    router: &Arc<Router>,
    call: &Call,
    lease: Lease,
    freshness: Freshness,
) -> Result<Reply, Failure> {
    let mut req = http::Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(http::header::HOST, lease.addr().to_string())
        .header(header::REQUEST_ID, call.metadata.request.as_str());
    if let Some(content_type) = &call.content_type {
        req = req.header(CONTENT_TYPE, content_type);
    }
    let req = req.body(call.body.clone()).expect("path and headers are from a valid request");
    let time_limit = call.metadata.time_left(router.clock.now());
    let response =
        attempt::run(router, lease, req, freshness, time_limit, &call.metadata.request).await?;
    let Started { upstream, head, body } = response;
    let status = head.status.as_u16();
    let content_type = head.headers.get(CONTENT_TYPE).and_then(|it| it.to_str().ok());
    let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
    let time_limit = call.metadata.time_left(router.clock.now());
    match curranthook_http::timeout::run(time_limit, body::read(body, MAX_RESPONSE_BYTES)).await {
        Ok(Ok(body)) => {
            router.pool.put(upstream.conn);
            upstream.lease.finish(Outcome::Answered { first_byte: upstream.time_to_first_byte });
            Ok(Reply { status, content_type, body })
        }
        Ok(Err(e)) => {
            let reason = curranthook_types::retry::Reason::ClosedEarly;
            Err(upstream.fail(reason, &e.to_string(), Disconnect::Closed))
        }
        Err(e) => {
            let reason = curranthook_types::retry::Reason::SlowFirstByte;
            Err(upstream.fail(reason, &e.to_string(), Disconnect::None))
        }
    }
}

async fn record_bill(router: &Arc<Router>, call: &Call) {
    let Ok(snapshot) = router.snapshot() else { return };
    let price = snapshot.config().services.get(&call.service).map(|it| it.price);
    let bill_line = Line {
        request: call.metadata.request.clone(),
        account: call.metadata.account.clone(),
        served_by: call.service.clone(),
        prompt_tokens: 0,
        completion_tokens: 0,
        cost: price.unwrap_or_default(),
        at_millis: router.clock.unix_millis(),
    };
    router.record_bill(bill_line).await;
    router.metrics.count("answer.whole");
}

fn build_response(call: &Call, reply: Reply) -> Response<Body> {
    Response::builder()
        .status(reply.status)
        .header(CONTENT_TYPE, reply.content_type)
        .header(header::REQUEST_ID, call.metadata.request.as_str())
        .body(body::full(reply.body))
        .expect("a service's own status and headers are valid")
}
