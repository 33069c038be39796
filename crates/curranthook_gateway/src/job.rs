//! A request on its way: the attempts at it, until one has an answer that the caller may get.

mod escalation;
mod retry;

use std::{sync::Arc, time::Duration};

use curranthook_policy::hash;
use curranthook_types::{account, endpoint};

use crate::{
    Gateway,
    attempt::{self, Cause, Exchange, Failure},
    cascade,
    dialect::{Execution, Outgoing},
    directory::Outcome,
    document::Route,
    event::Event,
    gateway::{Configuration, InFlight},
    latency::{Estimate, FirstEvent},
    lease::Lease,
    load_reports::{self, PeerState},
    models::{Candidate, Models},
    refusal::{Reason, Refusal, Started},
    request::{Model, Request},
    rollouts::{Kind, Rule},
    selection::{self, Criteria, TargetModel},
};

use self::retry::Next;

/// When to come back while no endpoint can be reached: about the time in which one is noticed.
const RETRY_AFTER_NO_ENDPOINT: Duration = Duration::from_millis(700);

/// How many times others are asked for an endpoint that can be reached, before a request is placed.
const MAX_QUERY_ROUNDS: usize = 3;

/// The outcome of a request whose answer arrived whole.
pub const OUTCOME_WHOLE: &str = "whole";

/// How a request ended. Times count from when it came.
#[derive(Debug, Default)]
pub struct End<'a> {
    /// The status that its caller got.
    pub status: u16,
    /// What became of it.
    pub outcome: &'static str,
    /// The endpoint that answered it last; empty if none did.
    pub endpoint: &'a str,
    /// When the first byte of the answer came.
    pub first_byte_after: Duration,
    /// How many events of a stream were passed on. A stream that runs out of time while events come is
    /// told by it from one that fell silent.
    pub n_events: u32,
    /// When the last of them was.
    pub last_event_after: Duration,
}

/// A request on its way.
#[derive(Debug)]
pub struct Job {
    /// The node.
    pub gateway: Arc<Gateway>,
    /// The request.
    pub request: Request,
    /// Its route.
    pub route: Arc<Route>,
    /// Who calls.
    pub account: Option<account::Id>,
    /// How urgent it is.
    pub priority: u8,
    /// The last event that the caller has.
    pub last_event_id: Option<u64>,
    /// How many attempts there were.
    pub n_attempts: u32,
    service: String,
    models: Models,
    tried: Vec<endpoint::Id>,
    n_runs: u32,
    n_rejections: u32,
    started: Started,
    /// Whether an endpoint answered it with an error.
    has_errored: bool,
    configuration_version: u64,
    /// What other nodes told while the next attempt was decided on.
    peer_reports: Option<PeerState>,
    _in_flight: InFlight,
}

impl Job {
    /// A request that was let in.
    pub fn new(
        gateway: &Arc<Gateway>,
        current: &Configuration,
        request: Request,
        route: Arc<Route>,
        account: Option<account::Id>,
        priority: u8,
    ) -> Result<Self, Refusal> {
        let split_point = hash::unit(hash::bytes(request.head.id.as_bytes()));
        let service = route.service(split_point).map(str::to_owned);
        let service = service.ok_or_else(|| Refusal::new(Reason::NoEndpoint, Started::No))?;
        let models = Models::new(&current.document, &service, &route, &request.head.model);
        gateway.retry_budget.lock().record_request(&service, gateway.now());
        Ok(Self {
            last_event_id: request.head.last_event_id,
            account,
            priority,
            n_attempts: 0,
            service,
            models,
            tried: Vec::new(),
            n_runs: 0,
            n_rejections: 0,
            started: Started::No,
            has_errored: false,
            configuration_version: current.document.version,
            peer_reports: None,
            _in_flight: gateway.track_request(),
            gateway: Arc::clone(gateway),
            request,
            route,
        })
    }

    /// The time left for it.
    pub fn time_left(&self) -> Duration {
        self.request.time_left(self.gateway.now())
    }

    /// Sends it until an endpoint answers it.
    pub async fn execute(&mut self) -> Result<Exchange, Refusal> {
        loop {
            if self.time_left().is_zero() {
                return Err(self.refusal(Reason::Timeout));
            }
            let lease = self.acquire_lease().await?;
            let (id, version) = (lease.id.clone(), lease.version.clone());
            let sent_at = self.gateway.now();
            match self.attempt(lease).await {
                Ok(exchange) => {
                    self.n_runs += 1;
                    self.started = Started::Maybe;
                    if let Some(exchange) = self.accept_or_retry(exchange, &version).await {
                        return Ok(exchange);
                    }
                }
                Err(failure) => {
                    let took = self.gateway.now().saturating_duration_since(sent_at);
                    self.log_failed(&id, &failure, took);
                    if let Next::Respond(refusal) = self.on_failure(&id, &failure).await {
                        return Err(refusal);
                    }
                }
            }
        }
    }

    /// An attempt failed after its answer had begun, so another may follow.
    pub async fn on_response_failed(
        &mut self,
        endpoint: &endpoint::Id,
        cause: Cause,
    ) -> Result<(), Refusal> {
        let failure = Failure { cause, execution: Execution::MayHaveRun };
        self.log_failed(endpoint, &failure, Duration::ZERO);
        match self.on_possible_run(endpoint, &failure).await {
            Next::Retry => Ok(()),
            Next::Respond(refusal) => Err(refusal),
        }
    }

    async fn acquire_lease(&mut self) -> Result<Lease, Refusal> {
        let session = self.session_hash();
        let rule = self.gateway.rollouts.lock().rule(&self.service, session);
        let peer_reports = self.peer_reports.take();
        let criteria = self.criteria(&rule, self.models.current());
        let peer_reports = match peer_reports {
            Some(peer_reports) => peer_reports,
            None => self.query_peers(&criteria).await,
        };
        let lease = Lease::acquire(&self.gateway, &criteria, &peer_reports);
        lease.ok_or_else(|| self.no_endpoint_refusal(&criteria))
    }

    /// The refusal of a request that no endpoint takes.
    fn no_endpoint_refusal(&self, criteria: &Criteria<'_>) -> Refusal {
        let Some(throttled) = selection::throttled(&self.gateway, criteria) else {
            return self.refusal(Reason::NoEndpoint).with_retry_after(RETRY_AFTER_NO_ENDPOINT);
        };
        let (n_nodes, now) = (self.gateway.n_nodes(), self.gateway.now());
        let after_pause = throttled.resumes_at.map(|it| it.saturating_duration_since(now));
        let own_rate = Some(throttled.rate / n_nodes as f64).filter(|it| 0.0 < *it);
        let after_interval =
            own_rate.map(|it| self.gateway.retry_schedule.lock().reserve(&self.service, it, now));
        let retry_after = after_pause.into_iter().chain(after_interval).min();
        self.refusal(Reason::Throttled)
            .with_retry_after(retry_after.unwrap_or(RETRY_AFTER_NO_ENDPOINT))
    }

    /// What other nodes tell of the endpoints that may take it; nothing in a small fleet, whose nodes
    /// have told already.
    async fn query_peers(&self, criteria: &Criteria<'_>) -> PeerState {
        let mut peer_reports = PeerState::default();
        for _ in 0..MAX_QUERY_ROUNDS {
            let shortlist = selection::shortlist(&self.gateway, criteria);
            if shortlist.is_empty() {
                return PeerState::default();
            }
            peer_reports = self.query_owners(shortlist, criteria.prefix_hash).await;
            if peer_reports.unreachable.is_empty() {
                break;
            }
            let now = self.gateway.now();
            let mut directory = self.gateway.directory.lock();
            peer_reports.unreachable.iter().for_each(|it| directory.eject(it, now));
            // One that can be reached is enough.
            if peer_reports.waiting.keys().any(|it| !peer_reports.unreachable.contains(it)) {
                break;
            }
        }
        peer_reports
    }

    async fn query_owners(
        &self,
        shortlist: Vec<endpoint::Id>,
        prefix_hash: Option<u64>,
    ) -> PeerState {
        let mut peer_reports = load_reports::query(&self.gateway, shortlist, prefix_hash).await;
        let is_unreported = |it: &endpoint::Id| !peer_reports.waiting.contains_key(it);
        let holders = peer_reports.holders.iter().flatten();
        let unreported: Vec<_> = holders.filter(|it| is_unreported(it)).cloned().collect();
        if !unreported.is_empty() {
            let holder_reports = load_reports::query(&self.gateway, unreported, None).await;
            peer_reports.waiting.extend(holder_reports.waiting);
            peer_reports.unreachable.extend(holder_reports.unreachable);
        }
        peer_reports
    }

    /// What is to be placed if `model` is asked.
    fn criteria<'a>(&'a self, rule: &'a Rule, model: Option<&Candidate>) -> Criteria<'a> {
        let name = model.map_or("", |it| it.name.as_str());
        Criteria {
            service: &self.service,
            rule,
            tried: &self.tried,
            prefix_hash: selection::prefix_hash(self.request.prefix_hash(), name),
            prefix_tokens: self.request.prefix_tokens(),
            prompt_tokens: self.request.prompt_tokens(),
            model: model.map(|it| TargetModel {
                relative_price: it.relative_price,
                latency: self.latency(it),
            }),
            salt: hash::bytes(self.request.head.id.as_bytes()),
        }
    }

    async fn attempt(&mut self, lease: Lease) -> Result<Exchange, Failure> {
        self.n_attempts += 1;
        let candidate = self.models.current();
        let model = candidate.map(|it| it.name.as_str());
        let id = lease.id.clone();
        let outgoing = Outgoing {
            endpoint: &id,
            account: self.account.as_ref(),
            time_left: self.time_left(),
            model: model.filter(|_| self.request.head.model == Model::Any),
            priority: candidate
                .map(|it| cascade::engine_priority(self.priority, it.relative_price)),
            last_event_id: self.last_event_id,
        };
        self.gateway.log.write(&Event::Sent {
            request: &self.request.head.id,
            route: &self.route.name,
            endpoint: id.as_str(),
            version: &lease.version,
            model: model.unwrap_or_default(),
            attempt: self.n_attempts,
            busy: lease.outstanding,
            expected_ms: lease.expected_first_event.map(millis),
            resumed_after: self.last_event_id,
            left_ms: millis(outgoing.time_left),
            configuration: self.configuration_version,
        });
        attempt::run(&self.gateway, &self.request, self.route.retry_policy, lease, &outgoing).await
    }

    /// Whether the caller gets this answer; if not, another attempt follows.
    async fn accept_or_retry(&mut self, exchange: Exchange, version: &str) -> Option<Exchange> {
        let is_error = exchange.reply.status.is_server_error();
        // A request that fails for a reason of its own fails again; it's evidence once.
        if !self.has_errored {
            let took = (!is_error).then_some(exchange.first_byte);
            self.gateway.rollouts.lock().record_answer(&self.service, version, self.kind(), took);
        }
        self.has_errored |= is_error;
        if is_error {
            if self.route.retry_policy.is_retryable() && self.try_rerun("error") {
                self.tried.push(exchange.lease.id.clone());
                exchange.close(Outcome::Failed);
                return None;
            }
            return Some(exchange);
        }
        if let Some(it) = self.models.current() {
            let lease = &exchange.lease;
            if let Some(expected) = lease.expected_first_event {
                self.gateway.metrics.record_estimate(expected, exchange.first_byte);
            }
            let first_event = FirstEvent {
                prompt: lease.prompt,
                outstanding: lease.outstanding,
                queue_delay: lease.queue_delay,
                elapsed: exchange.first_byte,
            };
            let mut estimator = self.gateway.latency_estimator.lock();
            estimator.record_first_event(&self.service, &it.name, it.relative_price, first_event);
        }
        if exchange.reply.status.is_success() && self.try_escalate(exchange.reply.confidence).await
        {
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

    /// An answer of `events` ended `took` after its first event.
    pub fn record_stream(&self, version: &str, n_events: u32, took: Duration) {
        if let Some(it) = self.models.current() {
            let mut estimator = self.gateway.latency_estimator.lock();
            estimator.record_stream(&self.service, &it.name, it.relative_price, n_events, took);
        }
        if let Some(interval) = took.checked_div(n_events.saturating_sub(1)) {
            let mut rollouts = self.gateway.rollouts.lock();
            rollouts.record_stream_end(&self.service, version, self.kind(), interval);
        }
    }

    fn kind(&self) -> Kind<'_> {
        Kind { route: &self.route.name, model: self.models.index() }
    }

    /// The refusal for `reason` after what happened so far.
    pub fn refusal(&self, reason: Reason) -> Refusal {
        Refusal::new(reason, self.started)
    }

    /// A hash that all requests of the same session have.
    fn session_hash(&self) -> u64 {
        let own = || hash::bytes(self.request.head.id.as_bytes());
        let route = hash::bytes(self.route.prefix.as_bytes());
        self.request.prefix_hash().map_or_else(own, |it| hash::pair(it, route))
    }

    fn log_failed(&self, endpoint: &endpoint::Id, failure: &Failure, took: Duration) {
        self.gateway.log.write(&Event::AttemptFailed {
            request: &self.request.head.id,
            endpoint: endpoint.as_str(),
            why: failure.cause.name(),
            execution: match failure.execution {
                Execution::NotRun => "not_run",
                Execution::MayHaveRun => "may_have_run",
            },
            took_ms: millis(took),
        });
    }

    /// Logs and counts its end.
    pub fn record_end(&self, end: &End<'_>) {
        let End { status, outcome, endpoint, .. } = *end;
        let took = self.gateway.now().saturating_duration_since(self.request.received_at);
        if outcome == OUTCOME_WHOLE {
            // Endpoints that ended while they ran it had another reason, then.
            self.gateway.poison.lock().release(self.request.fingerprint);
        }
        self.gateway.metrics.record_ended(outcome, took);
        self.gateway.log.write(&Event::Ended {
            request: &self.request.head.id,
            route: &self.route.name,
            status,
            outcome,
            endpoint,
            attempts: self.n_attempts,
            first_byte_ms: millis(end.first_byte_after),
            events: end.n_events,
            last_event_ms: millis(end.last_event_after),
            took_ms: millis(took),
        });
    }
}

/// A duration in whole milliseconds.
pub fn millis(it: Duration) -> u64 {
    u64::try_from(it.as_millis()).unwrap_or(u64::MAX)
}
