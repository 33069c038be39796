//! A request on its way: the attempts at it, until one has an answer that the caller may get.

mod escalation;
mod retry;

use std::{sync::Arc, time::Duration};

use curranthook_policy::hash;
use curranthook_types::{account, endpoint};

use crate::{
    Gateway,
    ask::{Ask, Model},
    attempt::{self, Cause, Failed, Open},
    cascade,
    dialect::{Execution, Outgoing},
    directory::Outcome,
    document::Route,
    event::Event,
    gateway::{Configuration, InFlight},
    lease::Lease,
    load_reports::{self, PeerState},
    models::{Candidate, Models},
    offer::{self, Wanted, Wants},
    pace::{First, Pace},
    refusal::{Ran, Reason, Refusal},
    rollouts::{Kind, Rule},
};

use self::retry::Next;

/// When to come back while no endpoint can be reached: about the time in which one is noticed.
const RETRY_AWAY: Duration = Duration::from_millis(700);

/// How many times others are asked for an endpoint that can be reached, before a request is placed.
const MAX_QUESTIONS: usize = 3;

/// The outcome of a request whose answer arrived whole.
pub const WHOLE: &str = "whole";

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
    pub first_byte: Duration,
    /// How many events of a stream were passed on. A stream that runs out of time while events come is
    /// told by it from one that fell silent.
    pub events: u32,
    /// When the last of them was.
    pub last_event: Duration,
}

/// A request on its way.
#[derive(Debug)]
pub struct Job {
    /// The node.
    pub gateway: Arc<Gateway>,
    /// The request.
    pub ask: Ask,
    /// Its route.
    pub route: Arc<Route>,
    /// Who calls.
    pub account: Option<account::Id>,
    /// How urgent it is.
    pub priority: u8,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// How many attempts there were.
    pub attempts: u32,
    service: String,
    models: Models,
    tried: Vec<endpoint::Id>,
    runs: u32,
    rejections: u32,
    ran: Ran,
    /// Whether an endpoint answered it with an error.
    has_failed: bool,
    configuration: u64,
    /// What other nodes told while the next attempt was decided on.
    heard: Option<PeerState>,
    _in_flight: InFlight,
}

impl Job {
    /// A request that was let in.
    pub fn new(
        gateway: &Arc<Gateway>,
        current: &Configuration,
        ask: Ask,
        route: Arc<Route>,
        account: Option<account::Id>,
        priority: u8,
    ) -> Result<Self, Refusal> {
        let place = hash::unit(hash::bytes(ask.head.id.as_bytes()));
        let service = route.service(place).map(str::to_owned);
        let service = service.ok_or_else(|| Refusal::new(Reason::NoEndpoint, Ran::No))?;
        let models = Models::new(&current.document, &service, &route, &ask.head.model);
        gateway.budget.lock().asked(&service, gateway.now());
        Ok(Self {
            last_event: ask.head.last_event,
            account,
            priority,
            attempts: 0,
            service,
            models,
            tried: Vec::new(),
            runs: 0,
            rejections: 0,
            ran: Ran::No,
            has_failed: false,
            configuration: current.document.version,
            heard: None,
            _in_flight: gateway.track_request(),
            gateway: Arc::clone(gateway),
            ask,
            route,
        })
    }

    /// The time left for it.
    pub fn time_left(&self) -> Duration {
        self.ask.time_left(self.gateway.now())
    }

    /// Sends it until an endpoint answers it.
    pub async fn open(&mut self) -> Result<Open, Refusal> {
        loop {
            if self.time_left().is_zero() {
                return Err(self.refusal(Reason::Timeout));
            }
            let lease = self.place().await?;
            let (id, version) = (lease.id.clone(), lease.version.clone());
            let started = self.gateway.now();
            match self.attempt(lease).await {
                Ok(open) => {
                    self.runs += 1;
                    self.ran = Ran::Maybe;
                    if let Some(open) = self.judge(open, &version).await {
                        return Ok(open);
                    }
                }
                Err(failed) => {
                    let took = self.gateway.now().saturating_duration_since(started);
                    self.log_failed(&id, &failed, took);
                    if let Next::Respond(refusal) = self.on_failure(&id, &failed).await {
                        return Err(refusal);
                    }
                }
            }
        }
    }

    /// An attempt failed after its answer had begun, so another may follow.
    pub async fn broke_off(
        &mut self,
        endpoint: &endpoint::Id,
        cause: Cause,
    ) -> Result<(), Refusal> {
        let failed = Failed { cause, execution: Execution::MayHaveRun };
        self.log_failed(endpoint, &failed, Duration::ZERO);
        match self.on_maybe_run(endpoint, &failed).await {
            Next::Retry => Ok(()),
            Next::Respond(refusal) => Err(refusal),
        }
    }

    async fn place(&mut self) -> Result<Lease, Refusal> {
        let session = self.session();
        let rule = self.gateway.rollouts.lock().rule(&self.service, session);
        let heard = self.heard.take();
        let wanted = self.wanted(&rule, self.models.current());
        let heard = match heard {
            Some(heard) => heard,
            None => self.hear(&wanted).await,
        };
        let lease = Lease::take(&self.gateway, &wanted, &heard);
        lease.ok_or_else(|| self.unplaced(&wanted))
    }

    /// The refusal of a request that no endpoint takes.
    fn unplaced(&self, wanted: &Wanted<'_>) -> Refusal {
        let Some(throttled) = offer::throttled(&self.gateway, wanted) else {
            return self.refusal(Reason::NoEndpoint).with_retry_after(RETRY_AWAY);
        };
        let (n_nodes, now) = (self.gateway.n_nodes(), self.gateway.now());
        let by_pause = throttled.resumes.map(|it| it.saturating_duration_since(now));
        let own_rate = Some(throttled.rate / n_nodes as f64).filter(|it| 0.0 < *it);
        let by_rate = own_rate.map(|it| self.gateway.returns.lock().book(&self.service, it, now));
        let after = by_pause.into_iter().chain(by_rate).min();
        self.refusal(Reason::Throttled).with_retry_after(after.unwrap_or(RETRY_AWAY))
    }

    /// What other nodes tell of the endpoints that may take it; nothing in a small fleet, whose nodes
    /// have told already.
    async fn hear(&self, wanted: &Wanted<'_>) -> PeerState {
        let mut heard = PeerState::default();
        for _ in 0..MAX_QUESTIONS {
            let shortlist = offer::shortlist(&self.gateway, wanted);
            if shortlist.is_empty() {
                return PeerState::default();
            }
            heard = self.ask_others(shortlist, wanted.subject).await;
            if heard.unreachable.is_empty() {
                break;
            }
            let now = self.gateway.now();
            let mut directory = self.gateway.directory.lock();
            heard.unreachable.iter().for_each(|it| directory.eject(it, now));
            // One that can be reached is enough.
            if heard.waiting.keys().any(|it| !heard.unreachable.contains(it)) {
                break;
            }
        }
        heard
    }

    async fn ask_others(&self, shortlist: Vec<endpoint::Id>, subject: Option<u64>) -> PeerState {
        let mut heard = load_reports::query(&self.gateway, shortlist, subject).await;
        let is_unheard = |it: &endpoint::Id| !heard.waiting.contains_key(it);
        let holders = heard.holders.iter().flatten();
        let unheard: Vec<_> = holders.filter(|it| is_unheard(it)).cloned().collect();
        if !unheard.is_empty() {
            let of_holders = load_reports::query(&self.gateway, unheard, None).await;
            heard.waiting.extend(of_holders.waiting);
            heard.unreachable.extend(of_holders.unreachable);
        }
        heard
    }

    /// What is to be placed if `model` is asked.
    fn wanted<'a>(&'a self, rule: &'a Rule, model: Option<&Candidate>) -> Wanted<'a> {
        let name = model.map_or("", |it| it.name.as_str());
        Wanted {
            service: &self.service,
            rule,
            tried: &self.tried,
            subject: offer::subject(self.ask.subject(), name),
            shared_tokens: self.ask.shared_tokens(),
            prompt_tokens: self.ask.prompt_tokens(),
            model: model.map(|it| Wants { weight: it.weight, pace: self.pace(it) }),
            salt: hash::bytes(self.ask.head.id.as_bytes()),
        }
    }

    async fn attempt(&mut self, lease: Lease) -> Result<Open, Failed> {
        self.attempts += 1;
        let candidate = self.models.current();
        let model = candidate.map(|it| it.name.as_str());
        let id = lease.id.clone();
        let outgoing = Outgoing {
            endpoint: &id,
            account: self.account.as_ref(),
            time_left: self.time_left(),
            model: model.filter(|_| self.ask.head.model == Model::Any),
            priority: candidate.map(|it| cascade::urgency(self.priority, it.weight)),
            last_event: self.last_event,
        };
        self.gateway.log.write(&Event::Sent {
            request: &self.ask.head.id,
            route: &self.route.name,
            endpoint: id.as_str(),
            version: &lease.version,
            model: model.unwrap_or_default(),
            attempt: self.attempts,
            busy: lease.busy,
            expected_ms: lease.expected.map(millis),
            resumed_after: self.last_event,
            left_ms: millis(outgoing.time_left),
            configuration: self.configuration,
        });
        attempt::run(&self.gateway, &self.ask, self.route.retry_policy, lease, &outgoing).await
    }

    /// Whether the caller gets this answer; if not, another attempt follows.
    async fn judge(&mut self, open: Open, version: &str) -> Option<Open> {
        let is_error = open.reply.status.is_server_error();
        // A request that fails for a reason of its own fails again; it's evidence once.
        if !self.has_failed {
            let took = (!is_error).then_some(open.first_byte);
            self.gateway.rollouts.lock().record_answer(&self.service, version, self.kind(), took);
        }
        self.has_failed |= is_error;
        if is_error {
            if self.route.retry_policy.is_retryable() && self.may_run_again("error") {
                self.tried.push(open.lease.id.clone());
                open.close(Outcome::Failed);
                return None;
            }
            return Some(open);
        }
        if let Some(it) = self.models.current() {
            let lease = &open.lease;
            if let Some(expected) = lease.expected {
                self.gateway.metrics.record_estimate(expected, open.first_byte);
            }
            let first = First {
                prompt: lease.prompt,
                busy: lease.busy,
                waited: lease.waited,
                took: open.first_byte,
            };
            let mut paces = self.gateway.paces.lock();
            paces.began(&self.service, &it.name, it.weight, first);
        }
        if open.reply.status.is_success() && self.escalates(open.reply.confidence).await {
            open.close(Outcome::Answered);
            return None;
        }
        Some(open)
    }

    fn pace(&self, model: &Candidate) -> Pace {
        self.gateway.paces.lock().of(&self.service, &model.name, model.weight)
    }

    /// An answer of `events` ended `took` after its first event.
    pub fn streamed(&self, version: &str, events: u32, took: Duration) {
        if let Some(it) = self.models.current() {
            let mut paces = self.gateway.paces.lock();
            paces.ended(&self.service, &it.name, it.weight, events, took);
        }
        if let Some(each) = took.checked_div(events.saturating_sub(1)) {
            let mut rollouts = self.gateway.rollouts.lock();
            rollouts.record_stream_end(&self.service, version, self.kind(), each);
        }
    }

    fn kind(&self) -> Kind<'_> {
        Kind { route: &self.route.name, model: self.models.index() }
    }

    /// The refusal for `reason` after what happened so far.
    pub fn refusal(&self, reason: Reason) -> Refusal {
        Refusal::new(reason, self.ran)
    }

    /// A hash that all requests of the same session have.
    fn session(&self) -> u64 {
        let own = || hash::bytes(self.ask.head.id.as_bytes());
        let route = hash::bytes(self.route.prefix.as_bytes());
        self.ask.subject().map_or_else(own, |it| hash::pair(it, route))
    }

    fn log_failed(&self, endpoint: &endpoint::Id, failed: &Failed, took: Duration) {
        self.gateway.log.write(&Event::AttemptFailed {
            request: &self.ask.head.id,
            endpoint: endpoint.as_str(),
            why: failed.cause.name(),
            execution: match failed.execution {
                Execution::NotRun => "not_run",
                Execution::MayHaveRun => "may_have_run",
            },
            took_ms: millis(took),
        });
    }

    /// Logs and counts its end.
    pub fn ended(&self, end: &End<'_>) {
        let End { status, outcome, endpoint, .. } = *end;
        let took = self.gateway.now().saturating_duration_since(self.ask.since);
        if outcome == WHOLE {
            // Endpoints that ended while they ran it had another reason, then.
            self.gateway.poison.lock().release(self.ask.fingerprint);
        }
        self.gateway.metrics.record_ended(outcome, took);
        self.gateway.log.write(&Event::Ended {
            request: &self.ask.head.id,
            route: &self.route.name,
            status,
            outcome,
            endpoint,
            attempts: self.attempts,
            first_byte_ms: millis(end.first_byte),
            events: end.events,
            last_event_ms: millis(end.last_event),
            took_ms: millis(took),
        });
    }
}

/// A duration in whole milliseconds.
pub fn millis(it: Duration) -> u64 {
    u64::try_from(it.as_millis()).unwrap_or(u64::MAX)
}
