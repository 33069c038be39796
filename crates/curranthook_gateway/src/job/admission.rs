//! Refuses a request before its first attempt if no endpoint can be expected to serve it. Takes
//! effect only where requests compete for capacity by rank.

use std::time::Duration;

use curranthook_policy::admission::{self, Admission, Cause, Decision, Forecast, Window};
use curranthook_types::endpoint;

use super::{Job, millis};
use crate::{
    attempt::Exchange,
    event::Event,
    load::{
        owners,
        prefill::Prompt,
        reports::{self, PeerState, Query},
    },
    models::Candidate,
    refusal::{Reason, Refusal},
    selection::{self, Criteria},
    settings::Contention,
};

/// The share of a service's capacity that callers who return may take. New requests need the rest.
const RETURN_SHARE: f64 = 0.5;
/// The number of endpoints whose queues must be known before a request is refused in a large fleet:
/// more than half of those that are asked about in two rounds.
const MIN_KNOWN_QUEUES: usize = 5;
/// How much earlier than asked a caller may return: `Retry-After` is rounded to milliseconds.
const RETURN_TOLERANCE: Duration = Duration::from_millis(1);
/// The shortest time that an engine is assumed to take for a request, so that the rate at which
/// callers return is finite.
const MIN_ENGINE_TIME: Duration = Duration::from_millis(10);

/// A decision and what it is based on.
struct Evaluation {
    decision: Decision,
    forecast: Forecast,
    endpoint: endpoint::Id,
}

impl Evaluation {
    fn is_refusal(&self) -> bool {
        matches!(self.decision, Decision::Refuse(_))
    }
}

impl Job {
    /// Refuses a request whose prompt and output fit into the memory of no engine.
    pub(super) fn check_memory(&self) -> Result<(), Refusal> {
        let Some(model) = self.admission_model() else { return Ok(()) };
        let (prompt, output) = (self.request.prompt_tokens(), self.request.output_tokens());
        let memory = self.gateway.service(&self.service, |it| it.memory_tokens);
        if !admission::exceeds_memory(prompt, output, memory) {
            return Ok(());
        }
        self.gateway.metrics.record_admission(Cause::Memory.name());
        self.gateway.log.write(&Event::MemoryExceeded {
            request: &self.request.head.id,
            route: &self.route.name,
            model: &model.name,
            prompt_tokens: prompt,
            output_tokens: output,
            memory_tokens: memory.unwrap_or_default(),
            configuration: self.configuration_version,
        });
        Err(self.refusal(Reason::Overloaded))
    }

    /// Refuses a request that no endpoint can be expected to serve. In a large fleet, peers are
    /// queried for further endpoints before; what they answer is added to `peer_state`. Returns the
    /// criteria by which the request was admitted, and by which it is to be placed too.
    pub(super) async fn check_capacity<'a>(
        &self,
        criteria: &Criteria<'a>,
        peer_state: &mut PeerState,
    ) -> Result<Criteria<'a>, Refusal> {
        let Some(model) = self.admission_model() else { return Ok(*criteria) };
        let Some(mut evaluation) = self.evaluate(model, criteria, peer_state) else {
            return Ok(*criteria);
        };
        let mut decided = *criteria;
        // The endpoint that has the prefix cached may be busy while another one is idle.
        let any_holder = Criteria { prefix_hash: None, ..*criteria };
        if evaluation.is_refusal()
            && let Some(it) = self.evaluate(model, &any_holder, peer_state)
        {
            evaluation = it;
            decided = any_holder;
        }
        if evaluation.is_refusal() && owners::are_used(self.gateway.n_nodes()) {
            let asked = peer_state.waiting.keys().chain(&peer_state.unreachable);
            let tried: Vec<_> = asked.chain(criteria.tried).cloned().collect();
            let others = Criteria { tried: &tried, ..any_holder };
            let shortlist = selection::shortlist(&self.gateway, &others);
            let in_flight = self.counts_requests();
            let query = Query { endpoints: shortlist, in_flight, ..Query::default() };
            peer_state.extend(reports::query(&self.gateway, query).await);
            let now = self.gateway.now();
            peer_state.eject_unreachable(&mut self.gateway.directory.lock(), now);
            evaluation = self.evaluate(model, &any_holder, peer_state).unwrap_or(evaluation);
            if evaluation.is_refusal()
                && peer_state.waiting.len() < MIN_KNOWN_QUEUES.min(self.n_engines())
            {
                evaluation.decision = Decision::Admit(Admission::Unknown);
            }
        }
        match evaluation.decision {
            Decision::Admit(admission) => {
                self.gateway.metrics.record_admission(admission.name());
                Ok(decided)
            }
            Decision::Refuse(refusal) => Err(self.overload_refusal(model, &evaluation, &refusal)),
        }
    }

    /// The model that admission is decided for: the smallest usable one. None if the request is not
    /// subject to admission: there are no models, an attempt was made, or the caller resumes a
    /// stream, of which it has a part already.
    fn admission_model(&self) -> Option<&Candidate> {
        let is_first = self.n_attempts == 0 && self.last_event_id.is_none();
        let is_subject = is_first && self.gateway.settings.contention == Contention::ByRank;
        self.models.current().filter(|_| is_subject)
    }

    /// Evaluates the request at the best endpoint; none if there is no endpoint.
    fn evaluate(
        &self,
        model: &Candidate,
        criteria: &Criteria<'_>,
        peer_state: &PeerState,
    ) -> Option<Evaluation> {
        let (latency, now) = (criteria.model?.latency, self.gateway.now());
        let mut directory = self.gateway.directory.lock();
        selection::renew_permits(&self.gateway, &mut directory, criteria.service, now);
        let choice = selection::best(&self.gateway, &directory, criteria, peer_state).ok()?;
        let endpoint = choice.endpoint.entry.id.clone();
        let time_to_first_event = choice.time_to_first_event(&latency);
        let queued = choice.queue_time();
        let is_idle = choice.outstanding == 0 && queued.is_zero();
        let slowdown = choice.slowdown.lasting;
        drop(directory);
        let queue_delay = self.time_for_queued(model, queued);
        let time_to_first_event = time_to_first_event.saturating_sub(queued) + queue_delay;
        // In a large fleet, a node does not know what is queued at an endpoint that no owner
        // answered for.
        let is_queue_known =
            !owners::are_used(self.gateway.n_nodes()) || peer_state.waiting.contains_key(&endpoint);
        let age = self.gateway.observations.lock().age(&self.service, &model.name, now);
        let n_events = self.models.event_count(self.request.output_tokens());
        let time_for_events = slowdown.scale(latency.time_for_events(n_events));
        let forecast = Forecast {
            time_to_first_event,
            time_to_last_event: time_to_first_event + time_for_events,
            queue_delay,
            is_idle,
            age: age.filter(|_| is_queue_known),
        };
        let decision = admission::decide(&self.admission_request(), &forecast);
        Some(Evaluation { decision, forecast, endpoint })
    }

    /// The number of the service's endpoints that can take requests.
    fn n_engines(&self) -> usize {
        let (directory, now) = (self.gateway.directory.lock(), self.gateway.now());
        directory.ready(&self.service).filter(|it| !it.is_ejected(now)).count()
    }

    fn admission_request(&self) -> admission::Request {
        let (route, request) = (&self.route, &self.request);
        let stated = request.deadline.saturating_duration_since(request.received_at);
        let deadline = self.refused_deadline.map_or(stated, |it| it.max(stated));
        admission::Request {
            objective: route.latency_target,
            max_event_gap: route.max_event_gap,
            deadline,
            elapsed: deadline.saturating_sub(self.time_left()),
            has_returned: self.refused_deadline.is_some(),
            level: self.rank.level(),
        }
    }

    fn overload_refusal(
        &self,
        model: &Candidate,
        evaluation: &Evaluation,
        refusal: &admission::Refusal,
    ) -> Refusal {
        let Evaluation { forecast, endpoint, .. } = evaluation;
        let request = self.admission_request();
        let retry_after = refusal.retry.and_then(|it| self.reserve_return(model, it));
        self.gateway.metrics.record_admission(refusal.cause.name());
        self.gateway.log.write(&Event::Overloaded {
            request: &self.request.head.id,
            route: &self.route.name,
            endpoint: endpoint.as_str(),
            model: &model.name,
            level: request.level,
            cause: refusal.cause.name(),
            first_ms: millis(forecast.time_to_first_event),
            last_ms: millis(forecast.time_to_last_event),
            queue_ms: millis(forecast.queue_delay),
            age_ms: forecast.age.map(millis),
            patience_ms: millis(request.patience()),
            left_ms: millis(self.time_left()),
            used_ms: millis(request.elapsed),
            returned: request.has_returned,
            retry_after_ms: retry_after.map(millis),
            configuration: self.configuration_version,
        });
        let refusal = self.refusal(Reason::Overloaded);
        match retry_after {
            Some(it) => {
                let now = self.gateway.now();
                let returns_at = now + it.saturating_sub(RETURN_TOLERANCE);
                let returns_within = returns_at..self.request.deadline;
                let mut refused = self.gateway.refused.lock();
                let fingerprint = self.request.fingerprint;
                refused.record(fingerprint, request.deadline, returns_within, now);
                refusal.with_retry_after(it)
            }
            None => refusal,
        }
    }

    /// How long queued work ahead of the request takes, as more urgent requests continue to arrive.
    /// The load balancer sends each node about the same share of requests.
    fn time_for_queued(&self, model: &Candidate, queued: Duration) -> Duration {
        let gateway = &self.gateway;
        let n_engines = self.n_engines() as f64 / gateway.n_nodes() as f64;
        let priority = self.engine_priority(model);
        let utilization = gateway.utilization.lock();
        let utilization = utilization.get(&self.service);
        utilization.map_or(queued, |it| it.time_for(queued, priority, n_engines, gateway.now()))
    }

    /// Records the engine time of an attempt that was answered. Attempts that endpoints rejected or
    /// never received take none.
    pub(super) fn record_engine_time(&self, exchange: &Exchange) {
        let is_subject = self.gateway.settings.contention == Contention::ByRank;
        let Some(model) = self.models.current().filter(|_| is_subject) else { return };
        let engine_time = self.latency(model).coefficients.prefill_time(exchange.lease.prompt);
        // Callers may claim prompts of any length.
        let engine_time = engine_time.min(exchange.time_to_first_byte);
        let priority = self.engine_priority(model);
        let mut utilization = self.gateway.utilization.lock();
        let utilization = utilization.entry(self.service.clone()).or_default();
        utilization.record(priority, engine_time, self.gateway.now());
    }

    /// Reserves the time at which the caller of a refused request returns. Callers return at the
    /// rate at which engines can take them; otherwise they would find the same queue, made of each
    /// other. None if the caller does not wait long enough.
    fn reserve_return(&self, model: &Candidate, window: Window) -> Option<Duration> {
        let gateway = &self.gateway;
        let prompt = Prompt::new(self.request.prompt_tokens(), 0);
        let engine_time =
            self.latency(model).coefficients.prefill_time(prompt).max(MIN_ENGINE_TIME);
        let fleet_rate = RETURN_SHARE * self.n_engines() as f64 / engine_time.as_secs_f64();
        let rate = fleet_rate / gateway.n_nodes() as f64;
        // Levels return independently, as less urgent ones wait longer.
        let key = format!("{}/{}", self.service, self.rank.level());
        let mut schedule = gateway.retry_schedule.lock();
        schedule.reserve_between(&key, rate, window.earliest..=window.latest, gateway.now())
    }
}
