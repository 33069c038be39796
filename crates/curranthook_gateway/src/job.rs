//! Runs an admitted request: makes attempts until one yields a response for the caller.

mod acquisition;
mod admission;
mod contention;
mod escalation;
mod forward;
mod record;
mod retry;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use curranthook_policy::{hash, rank::Rank};
use curranthook_types::{account, endpoint};

use crate::{
    Gateway,
    advertised::Incarnation,
    attempt::{self, Cause, Exchange, Failure},
    dialect::{Execution, Outgoing},
    directory::Outcome,
    document::Route,
    event::Event,
    forwarding::{self, server::Slot},
    frontend,
    gateway::{Configuration, InFlight},
    lease::Lease,
    load::{
        latency::{Estimate, FirstEvent},
        observed,
        reports::PeerState,
    },
    models::{Candidate, Models},
    refusal::{Reason, Refusal, Started},
    request::{Model, Request},
    rollouts::{self, Basis},
    suspects,
};

pub use self::record::{OUTCOME_WHOLE, Summary};
use self::retry::Decision;

/// Where a request comes from.
#[derive(Debug)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another node, which has counted the request and may have run it before.
    Node {
        /// The number of times that the request may have run.
        n_runs: u32,
        /// The place of the request among the forwarded ones.
        _slot: Slot,
    },
}

/// An admitted request and the state of its attempts.
#[derive(Debug)]
pub struct Job {
    /// The node's shared state.
    pub gateway: Arc<Gateway>,
    /// The admitted request.
    pub request: Request,
    /// The route that matched.
    pub route: Arc<Route>,
    /// The client account of the caller.
    pub account: Option<account::Id>,
    /// The priorities of the caller's account and of the route.
    pub rank: Rank,
    /// The id of the last event that the caller has received.
    pub last_event_id: Option<u64>,
    /// The number of attempts so far.
    pub n_attempts: u32,
    /// If this node has refused the request as overloaded before: the time that the caller had
    /// stated then.
    refused_deadline: Option<Duration>,
    service: String,
    models: Models,
    tried_endpoints: Vec<endpoint::Id>,
    /// The number of attempts that ran or may have run the request.
    n_runs: u32,
    /// The number of attempts that ended without running the request.
    n_rejections: u32,
    /// The number of endpoints that rejected the request as one that is not for them.
    n_misfits: u32,
    /// Those of them that may not be at their addresses, as they didn't name themselves.
    disputed: Vec<endpoint::Id>,
    started: Started,
    /// The number of server errors that endpoints answered with.
    n_errors: u32,
    configuration_version: u64,
    /// Peer state that was queried to decide on escalation, and that the next attempt uses.
    peer_state: Option<PeerState>,
    /// What the choice of the version for the next attempt is based on, during a rollout.
    version_basis: Option<Basis>,
    origin: Origin,
    passed_on: PassedOn,
    _in_flight: InFlight,
}

/// Whether a request may have reached an endpoint, for whoever ends its job.
#[derive(Debug, Clone, Default)]
pub struct PassedOn(Arc<AtomicBool>);

impl PassedOn {
    /// Whether it may have.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, value: bool) {
        self.0.store(value, Ordering::Relaxed);
    }
}

impl Job {
    /// Creates the job of an admitted request and counts the request for the retry budget.
    pub fn new(
        gateway: &Arc<Gateway>,
        configuration: &Configuration,
        request: Request,
        route: Arc<Route>,
        account: Option<account::Id>,
        rank: Rank,
        origin: Origin,
    ) -> Result<Self, Refusal> {
        let split_point = hash::unit(hash::bytes(request.head.id.as_bytes()));
        let service = route.service(split_point).map(str::to_owned);
        let service = service.ok_or_else(|| Refusal::new(Reason::NoEndpoint, Started::No))?;
        let models = Models::new(&configuration.document, &service, &route, &request.head.model);
        let n_runs = match origin {
            Origin::Node { n_runs, .. } => n_runs,
            Origin::Caller => {
                let part = gateway.fleet_part();
                gateway.retry_budget.lock().record_request(&service, part, gateway.now());
                gateway.metrics.record_retry_budget(&service, "requests");
                gateway.rollouts.lock().record_request(&service);
                contention::record_level(gateway, &service, &models, rank);
                0
            }
        };
        let refused_deadline = gateway.refused.lock().take(&request.fingerprint, gateway.now());
        Ok(Self {
            refused_deadline,
            last_event_id: request.head.last_event_id,
            account,
            rank,
            n_attempts: 0,
            service,
            models,
            tried_endpoints: Vec::new(),
            n_runs,
            n_rejections: 0,
            n_misfits: 0,
            disputed: Vec::new(),
            // What another node sent to endpoints is for that node to state.
            started: Started::No,
            n_errors: 0,
            configuration_version: configuration.document.version,
            peer_state: None,
            version_basis: None,
            origin,
            passed_on: PassedOn::default(),
            _in_flight: gateway.track_request(),
            gateway: Arc::clone(gateway),
            request,
            route,
        })
    }

    /// The time left until the deadline, or until the node shuts down.
    pub fn time_left(&self) -> Duration {
        let now = self.gateway.now();
        let left = self.request.time_left(now);
        self.gateway.shutdown.time_left(now).map_or(left, |it| it.min(left))
    }

    /// Whether another endpoint may take over from one that is silent, as far as the retry budget allows
    /// it. While the node shuts down, there is no time to begin again.
    pub fn may_move(&self) -> bool {
        let may_run_again =
            self.route.retry_policy.is_retryable() && self.n_runs < self.route.max_attempts;
        may_run_again && !self.gateway.is_stopping()
    }

    /// Whether the request may have reached an endpoint, also after the job is gone.
    pub fn passed_on(&self) -> PassedOn {
        self.passed_on.clone()
    }

    /// Whether the node shuts down before an endpoint can be expected to answer.
    fn is_too_late(&self) -> bool {
        let left = self.gateway.shutdown.time_left(self.gateway.now());
        left.is_some_and(|it| it < self.route.latency_target)
    }

    /// Makes attempts until an endpoint returns a response that can be forwarded to the caller.
    pub async fn execute(&mut self) -> Result<Exchange, Refusal> {
        loop {
            if self.time_left().is_zero() {
                return Err(self.refusal(Reason::Timeout));
            }
            if self.is_too_late() {
                return Err(frontend::stopping(self.started));
            }
            if self.is_cut_off() {
                return Err(self.refusal(Reason::Unreachable));
            }
            let lease = self.acquire_lease().await?;
            let (endpoint, version) = (lease.incarnation(), lease.version.clone());
            let sent_at = self.gateway.now();
            self.passed_on.set(true);
            let result = self.attempt(lease).await;
            let has_not_run = result.as_ref().is_err_and(|it| it.execution == Execution::NotRun);
            self.passed_on.set(self.started == Started::Maybe || !has_not_run);
            match result {
                Ok(exchange) => {
                    self.n_runs += 1;
                    self.started = Started::Maybe;
                    self.suspend_disputed();
                    self.record_engine_time(&exchange);
                    if let Some(exchange) = self.accept_or_retry(exchange, &version).await {
                        return Ok(exchange);
                    }
                }
                Err(failure) => {
                    let elapsed = self.gateway.now().saturating_duration_since(sent_at);
                    self.log_failure(&endpoint.id, &failure, elapsed);
                    if let Decision::Respond(refusal) = self.on_failure(&endpoint, &failure).await {
                        return Err(refusal);
                    }
                }
            }
        }
    }

    /// Whether the request is not to be sent to endpoints, as this node is cut off from them. For a
    /// caller's request, another node may take it.
    fn is_cut_off(&self) -> bool {
        match self.origin {
            Origin::Caller => forwarding::is_used(&self.gateway, &self.service),
            Origin::Node { .. } => forwarding::is_cut_off(&self.gateway, &self.service),
        }
    }

    /// Refuses a request with a part under which endpoints crash.
    pub fn check_parts(&self) -> Result<(), Refusal> {
        match suspects::decide(&self.gateway, &self.request, &self.service) {
            suspects::Decision::Refuse(_) => Err(self.refusal(Reason::Poison)),
            suspects::Decision::Admit | suspects::Decision::Test(_) => Ok(()),
        }
    }

    /// Whether another node is asked for the request that was refused for `reason`.
    pub fn is_forwarded(&self, reason: Reason) -> bool {
        reason == Reason::Unreachable && matches!(self.origin, Origin::Caller)
    }

    /// Handles an attempt that failed `begun_for` after its response had begun; another attempt may
    /// follow.
    pub async fn on_response_failed(
        &mut self,
        endpoint: &Incarnation,
        cause: Cause,
        begun_for: Duration,
    ) -> Result<(), Refusal> {
        let failure = Failure { cause, execution: Execution::MayHaveRun };
        self.log_failure(&endpoint.id, &failure, begun_for);
        match self.on_ambiguous_failure(endpoint, &failure, Some(begun_for)).await {
            Decision::Retry => Ok(()),
            Decision::Respond(refusal) => Err(refusal),
        }
    }

    async fn attempt(&mut self, lease: Lease) -> Result<Exchange, Failure> {
        self.n_attempts += 1;
        let basis = self.version_basis.take();
        let candidate = self.models.current();
        let model = candidate.map(|it| it.name.as_str());
        let id = lease.id.clone();
        let outgoing = Outgoing {
            endpoint: &id,
            account: self.account.as_ref(),
            time_left: self.time_left(),
            model: model.filter(|_| self.request.head.model == Model::Any),
            priority: candidate.map(|it| self.engine_priority(it)),
            last_event_id: self.last_event_id,
        };
        self.gateway.log.write(&Event::Sent {
            request: &self.request.head.id,
            route: &self.route.name,
            endpoint: id.as_str(),
            version: &lease.version,
            basis: basis.as_ref(),
            model: model.unwrap_or_default(),
            attempt: self.n_attempts,
            busy: lease.outstanding,
            others_in_flight: lease.occupancy.others,
            load_age_ms: lease.occupancy.observed.map(|it| millis(it.age)),
            room: lease.room.name(),
            expected_ms: lease.expected_time_to_first_event.map(millis),
            contention: self.contention(&lease),
            slowdown: lease.slowdown.age.map(|_| lease.slowdown.expected.value()),
            slowdown_age_ms: lease.slowdown.age.map(millis),
            resumed_after: self.last_event_id,
            left_ms: millis(outgoing.time_left),
            configuration: self.configuration_version,
        });
        attempt::run(&self.gateway, &self.request, self.route.retry_policy, lease, &outgoing).await
    }

    /// Returns the response if it is to be forwarded to the caller; `None` if another attempt
    /// follows.
    async fn accept_or_retry(&mut self, exchange: Exchange, version: &str) -> Option<Exchange> {
        let is_error = exchange.reply.status.is_server_error();
        // A request that itself causes errors fails in each attempt. After its first error, its
        // responses no longer count as evidence about versions.
        if self.n_errors == 0 {
            let mut rollouts = self.gateway.rollouts.lock();
            if exchange.lease.is_concentrated {
                let outcome =
                    if is_error { rollouts::Outcome::Failed } else { rollouts::Outcome::Answered };
                rollouts.record_concentrated_answer(&self.service, version, self.kind(), outcome);
            } else {
                let time_to_first_byte = (!is_error).then_some(exchange.time_to_first_byte);
                rollouts.record_answer(&self.service, version, self.kind(), time_to_first_byte);
            }
        }
        self.n_errors += u32::from(is_error);
        if is_error {
            if self.n_errors == 2 {
                let mut rollouts = self.gateway.rollouts.lock();
                rollouts.record_repeated_failure(&self.service, version, self.kind());
            }
            self.log_error(&exchange);
            if self.route.retry_policy.is_retryable() && self.try_rerun("error") {
                self.tried_endpoints.push(exchange.lease.id.clone());
                exchange.close(Outcome::Failed);
                return None;
            }
            return Some(exchange);
        }
        if let Some(it) = self.models.current() {
            let lease = &exchange.lease;
            if let Some(expected) = lease.expected_time_to_first_event {
                self.gateway.metrics.record_estimate(expected, exchange.time_to_first_byte);
            }
            let first_event = FirstEvent {
                prompt: lease.prompt,
                outstanding: lease.outstanding,
                queue_delay: lease.queue_delay,
                elapsed: lease.first_event_slowdown().unscale(exchange.time_to_first_byte),
            };
            observed::record_first_event(
                &self.gateway,
                &self.service,
                (&it.name, it.relative_price),
                first_event,
                exchange.reply.status.is_success(),
            );
        }
        let (confidence, slowdown) = (exchange.reply.confidence, exchange.lease.lasting_slowdown());
        if exchange.reply.status.is_success() && self.try_escalate(confidence, slowdown).await {
            exchange.close(Outcome::Answered);
            return None;
        }
        Some(exchange)
    }

    fn latency(&self, model: &Candidate) -> Estimate {
        self.gateway.latency_estimator.lock().estimate(
            &self.service,
            &model.name,
            model.relative_price,
        )
    }

    /// The refusal for `reason`, given whether an endpoint may have started the request.
    pub fn refusal(&self, reason: Reason) -> Refusal {
        Refusal::new(reason, self.started)
    }

    /// A hash that all requests of the same session share.
    fn session_hash(&self) -> u64 {
        let request_hash = || hash::bytes(self.request.head.id.as_bytes());
        let route_hash = hash::bytes(self.route.prefix.as_bytes());
        self.request.prefix_hash().map_or_else(request_hash, |it| hash::pair(it, route_hash))
    }
}

/// Converts a duration to whole milliseconds.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
