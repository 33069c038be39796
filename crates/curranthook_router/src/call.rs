//! The attempts of a chat request at versions and endpoints, and the decision to retry.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use curranthook_http::{
    client::{Connection, Freshness},
    timeout,
};
use curranthook_policy::retry::{self, Decision, Delivered, MAX_ATTEMPTS, Repeat, Sent, Stop};
use curranthook_types::{
    Refusal, chat, endpoint, header,
    refusal::{Reason, Run},
    retry::Reason as RetryReason,
    version,
};
use eventsource_stream::Event;
use futures_lite::StreamExt;

use crate::{
    Router,
    attempt::{self, Disconnect, Execution, Failure, Primary, Started, Upstream},
    dispatch::{Lease, Params, Target},
    events::{self, Events},
    hedge, leaving,
    parse::Chat,
    selection,
    snapshot::Snapshot,
    stall,
};

/// Connections idle for longer than this are not reused; a new one is opened instead.
const MAX_REUSE_IDLE_AGE: Duration = Duration::from_secs(5);

/// A chat request with the state of its attempts.
#[derive(Debug)]
pub struct Call {
    router: Arc<Router>,
    chat: Chat,
    weight: f64,
    priority: i32,
    affinity: u64,
    execution: Run,
    n_attempts: u32,
    excluded: Vec<endpoint::Id>,
}

impl Call {
    /// A call that has not been sent to any endpoint.
    pub fn new(router: &Arc<Router>, snapshot: &Snapshot, chat: Chat) -> Self {
        let config = snapshot.config();
        let weight = config.accounts.get(&chat.metadata.account).map_or(1.0, |it| it.limit.weight);
        let priority = config.kinds.get(&chat.metadata.kind).map_or(0, |it| it.priority);
        // Requests that begin with the same message share a prefix in an engine's prompt cache.
        let affinity = selection::stable_hash(&chat.body.messages[0].content);
        Self {
            router: Arc::clone(router),
            chat,
            weight,
            priority,
            affinity,
            execution: Run::Not,
            n_attempts: 0,
            excluded: Vec::new(),
        }
    }

    /// The chat request.
    pub fn chat(&self) -> &Chat {
        &self.chat
    }

    /// Resets the attempts for another version: failures of one version say nothing about another.
    pub fn reset_attempts(&mut self) {
        self.n_attempts = 0;
        self.excluded.clear();
    }

    /// The time until the caller's deadline.
    pub fn time_left(&self) -> Duration {
        self.chat.metadata.time_left(self.router.clock.now())
    }

    /// Sends the request for `version` to one endpoint after another until the first event of a
    /// response arrives. `from_token` is the number of tokens that the caller already has, 0 for a
    /// new response.
    pub async fn open(
        &mut self,
        version: &version::Id,
        from_token: u64,
    ) -> Result<Streaming, Refusal> {
        loop {
            let lease = self.acquire_lease(version).await?;
            match self.run_hedged(version, from_token, lease).await {
                Ok(streaming) => return Ok(streaming),
                Err(failure) => self.handle_failure(version, failure, from_token).await?,
            }
        }
    }

    /// Records a failed attempt; returns an error if there must be no further attempt.
    pub async fn handle_failure(
        &mut self,
        version: &version::Id,
        failure: Failure,
        n_tokens_sent: u64,
    ) -> Result<(), Refusal> {
        self.excluded.push(failure.endpoint.clone());
        // A failure before the endpoint started the request does not count as an attempt: the
        // endpoint is excluded from further attempts, so such failures are bounded by the number of
        // endpoints.
        if failure.execution == Execution::Unknown {
            self.execution = Run::Unknown;
            self.n_attempts += 1;
        }
        // A connection that closed or timed out is no evidence against the version: otherwise a
        // network failure would look like a bad version. An error from the engine itself is.
        if failure.reason == RetryReason::ServerError && failure.execution == Execution::Unknown {
            self.router.record_failure(&self.chat.metadata.kind, version);
        }
        if failure.disconnect == Disconnect::Closed {
            attempt::charge_if_dead(
                &self.router,
                self.chat.metadata.fingerprint,
                &failure.endpoint,
            )
            .await;
        }
        if self.router.node.poison().is_poison(&self.chat.metadata.fingerprint) {
            return Err(self.refusal(Reason::Poison, "endpoints died under this request"));
        }
        let attempt = retry::Attempt {
            repeat: Repeat::Idempotent,
            sent: if failure.execution == Execution::NotStarted {
                Sent::NotStarted
            } else {
                Sent::MayHaveRun
            },
            delivered: if n_tokens_sent == 0 { Delivered::Nothing } else { Delivered::Partial },
            attempts: self.n_attempts,
            time_left: self.time_left(),
        };
        match retry::decide(&attempt) {
            Decision::Stop(Stop::Deadline) => {
                Err(self.refusal(Reason::Deadline, "the deadline passed"))
            }
            Decision::Stop(_) => Err(self.refusal(Reason::EndpointFailed, &failure.message)),
            Decision::Retry => self.spend_retry(failure.reason),
            Decision::Resume => self.spend_retry(RetryReason::Resumed),
        }
    }

    /// A refusal that states correctly whether the request may have been executed.
    pub fn refusal(&self, code: Reason, message: &str) -> Refusal {
        Refusal { not_run: self.execution, ..Refusal::not_run(code, message) }
    }

    /// Closes the idle connections to an endpoint after one connection to it timed out.
    pub fn close_idle(&self, addr: std::net::SocketAddr) {
        self.router.pool.close_idle(addr);
    }

    /// Returns a connection to the pool.
    pub fn return_connection(&self, conn: Connection) {
        self.router.pool.put(conn);
    }

    fn spend_retry(&self, reason: RetryReason) -> Result<(), Refusal> {
        let now = self.router.clock.now();
        if self.router.retry_budget.lock().spend(reason, now).is_err() {
            self.router.metrics.count("retry_budget.spent");
            return Err(self.refusal(Reason::EndpointFailed, "too many retries at this node"));
        }
        self.router.metrics.count_retry(reason);
        Ok(())
    }

    async fn acquire_lease(&mut self, version: &version::Id) -> Result<Lease, Refusal> {
        // The version may have been withdrawn after it was selected: while this request was queued,
        // failed on another endpoint or ran the first stage of a cascade. Therefore the newest
        // snapshot is checked here, the last step before bytes are sent, and again below after the
        // wait for an endpoint.
        self.check_allowed(version)?;
        let mut lease = self.lease_endpoint(version).await;
        if is_no_endpoint(&lease) && self.recheck_leaving(version).await {
            lease = self.lease_endpoint(version).await;
        }
        let may_retry_excluded = self.execution == Run::Unknown && self.n_attempts < MAX_ATTEMPTS;
        if may_retry_excluded && !self.excluded.is_empty() && is_no_endpoint(&lease) {
            // Every endpoint was tried. A closed connection does not mean that the endpoint is
            // gone, and trying it again is better than an incomplete response. Clearing the
            // exclusions counts as an attempt itself, so that the loop ends: failing to connect to
            // an endpoint that is really gone does not count as one.
            self.n_attempts += 1;
            self.excluded.clear();
            lease = self.lease_endpoint(version).await;
        }
        let lease = lease.map_err(|it| Refusal { not_run: self.execution, ..it })?;
        stall::refresh_if_paused(&self.router).await;
        self.check_allowed(version)?;
        Ok(lease)
    }

    async fn lease_endpoint(&self, version: &version::Id) -> Result<Lease, Refusal> {
        let dispatcher = self.router.dispatchers.get(&Target::Version(version.clone()))?;
        let params = Params {
            metadata: &self.chat.metadata,
            weight: self.weight,
            affinity: Some(self.affinity),
            excluded: &self.excluded,
        };
        dispatcher.acquire(params).await
    }

    /// Whether an endpoint that seemed to be leaving may be used again.
    async fn recheck_leaving(&self, version: &version::Id) -> bool {
        match self.router.dispatchers.get(&Target::Version(version.clone())) {
            Ok(dispatcher) => leaving::recheck(&self.router, &dispatcher).await,
            Err(_) => false,
        }
    }

    fn check_allowed(&self, version: &version::Id) -> Result<(), Refusal> {
        let snapshot = self.router.snapshot()?;
        if snapshot.document.withdrawn.contains(version) {
            return Err(self.refusal(Reason::Withdrawn, "the version was withdrawn"));
        }
        if !snapshot.allows(&self.chat.metadata.account, version) {
            return Err(self.refusal(Reason::NotAllowed, "the account may not use this version"));
        }
        if self.time_left().is_zero() {
            return Err(self.refusal(Reason::Deadline, "the deadline passed"));
        }
        Ok(())
    }

    /// Runs one attempt and, if its first byte is unusually late, a hedged second one on a new
    /// connection. The first to respond wins; the other one is cancelled and its connection closed.
    async fn run_hedged(
        &self,
        version: &version::Id,
        from_token: u64,
        lease: Lease,
    ) -> Result<Streaming, Failure> {
        let hedge_delay = lease.hedge_delay();
        let primary = &Primary::new(&lease);
        let first = self.attempt(version, from_token, lease, Freshness::Within(MAX_REUSE_IDLE_AGE));
        let hedge = || async move {
            stall::refresh_if_paused(&self.router).await;
            let lease = self.hedge_lease(version, primary)?;
            Some(self.attempt(version, from_token, lease, Freshness::New))
        };
        hedge::run(hedge_delay, first, hedge).await
    }

    fn hedge_lease(&self, version: &version::Id, primary: &Primary) -> Option<Lease> {
        self.check_allowed(version).ok()?;
        let dispatcher = self.router.dispatchers.get(&Target::Version(version.clone())).ok()?;
        let params = Params {
            metadata: &self.chat.metadata,
            weight: self.weight,
            affinity: None,
            excluded: &self.excluded,
        };
        let lease = dispatcher.try_acquire_hedge(params, &primary.endpoint)?;
        primary.spend_retry(&self.router).then_some(lease)
    }

    async fn attempt(
        &self,
        version: &version::Id,
        from_token: u64,
        lease: Lease,
        freshness: Freshness,
    ) -> Result<Streaming, Failure> {
        let req = self.build_request(version, from_token, &lease);
        let time_limit = self.time_left();
        let id = &self.chat.metadata.request;
        let response = attempt::run(&self.router, lease, req, freshness, time_limit, id).await?;
        if !response.head.status.is_success() {
            let message = format!("the engine answered {}", response.head.status);
            return Err(response.upstream.fail(
                RetryReason::ServerError,
                &message,
                Disconnect::None,
            ));
        }
        await_first_event(response, time_limit).await
    }

    fn build_request(
        &self,
        version: &version::Id,
        from_token: u64,
        lease: &Lease,
    ) -> http::Request<Bytes> {
        // Requests to engines always stream, and a non-streaming response is assembled in the
        // router: the first token shows that the endpoint is alive, and a response that fails can
        // be resumed where it stopped.
        let body = chat::Request {
            model: version.as_str().to_owned(),
            stream: true,
            ..self.chat.body.clone()
        };
        let body = serde_json::to_vec(&body).expect("a chat request was read from JSON");
        let mut req = http::Request::post("/v1/chat/completions")
            .header(http::header::HOST, lease.addr().to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(header::REQUEST_ID, self.chat.metadata.request.as_str())
            .header(header::PRIORITY, self.priority);
        if 0 < from_token {
            req = req.header(header::RESUME_FROM, from_token);
        }
        req.body(body.into()).expect("the request id is validated when the request is parsed")
    }
}

fn is_no_endpoint(lease: &Result<Lease, Refusal>) -> bool {
    lease.as_ref().is_err_and(|it| it.code == Reason::NoEndpoint)
}

/// A response whose first event has arrived. Some engines send the response head as soon as they
/// queue a request, so only an event shows that the endpoint is working on it.
pub struct Streaming {
    /// The endpoint and the connection to it.
    pub upstream: Upstream,
    /// The first event.
    pub first: Event,
    /// The events after the first one.
    pub events: Events,
}

async fn await_first_event(response: Started, time_limit: Duration) -> Result<Streaming, Failure> {
    let Started { mut upstream, body, .. } = response;
    let mut events = events::read(body);
    match timeout::run(time_limit, events.next()).await {
        Ok(Some(Ok(first))) => {
            upstream.time_to_first_byte = upstream.lease.record_first_byte();
            Ok(Streaming { upstream, first, events })
        }
        Ok(_) => {
            Err(upstream.fail(RetryReason::ClosedEarly, "the answer broke off", Disconnect::Closed))
        }
        Err(timeout::Elapsed) => Err(upstream.fail(
            RetryReason::SlowFirstByte,
            "no token by the deadline",
            Disconnect::None,
        )),
    }
}
