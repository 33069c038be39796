//! Decides whether another attempt follows a failed one: depends on whether the request may run
//! twice, on the retry budget, and on whether the request itself crashes endpoints.

use std::time::Duration;

use super::{Job, millis};
use crate::{
    advertised::Incarnation,
    attempt::{Cause, Failure},
    dialect::Execution,
    directory,
    event::Event,
    lease::log_transitions,
    poison,
    refusal::{Reason, Refusal, Started},
    request::Model,
    suspects,
};
use curranthook_http::{client::Freshness, timeout};

/// The number of attempts that end without running the request, after which the request is refused.
const MAX_REJECTIONS: u32 = 5;
/// The `Retry-After` while all endpoints are full: about the time in which they complete some
/// requests.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(400);
/// The number of endpoints that state that they cannot run a request, after which it is refused as
/// one that none can run.
const MAX_MISFITS: u32 = 2;
/// The time limit for probing whether an endpoint that dropped a connection still accepts
/// connections.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// The decision after a failed attempt.
pub(super) enum Decision {
    /// Another attempt is made.
    Retry,
    /// No further attempt is made, and this refusal is sent to the caller.
    Respond(Refusal),
}

impl Job {
    /// Decides what follows a failed attempt at `endpoint`.
    pub(super) async fn on_failure(
        &mut self,
        endpoint: &Incarnation,
        failure: &Failure,
    ) -> Decision {
        if failure.execution == Execution::MayHaveRun {
            self.n_runs += 1;
            self.started = Started::Maybe;
            return self.on_ambiguous_failure(endpoint, failure, None).await;
        }
        self.n_rejections += 1;
        if matches!(failure.cause, Cause::Misdirected | Cause::Unsuitable) {
            self.n_misfits += 1;
        }
        if failure.cause == Cause::Misdirected {
            self.disputed.push(endpoint.id.clone());
        }
        if failure.cause != Cause::StaleConnection {
            self.tried_endpoints.push(endpoint.id.clone());
        }
        if MAX_MISFITS <= self.n_misfits && matches!(self.request.head.model, Model::Named(_)) {
            return Decision::Respond(self.refusal(Reason::UnknownModel));
        }
        let reason = match failure.cause {
            Cause::Full => Reason::Full,
            _ => Reason::NoEndpoint,
        };
        let reached_endpoint = matches!(
            failure.cause,
            Cause::Full | Cause::AddressReused | Cause::Misdirected | Cause::Unsuitable
        );
        let why = failure.cause.name();
        if MAX_REJECTIONS <= self.n_rejections || (reached_endpoint && !self.try_spend(why)) {
            return Decision::Respond(self.refusal(reason).with_retry_after(RETRY_AFTER_FULL));
        }
        if !reached_endpoint {
            self.gateway.metrics.record_retry(why);
        }
        Decision::Retry
    }

    /// Suspends the endpoints that rejected the request as misdirected, without naming themselves: as
    /// another endpoint accepted it, the request is not the reason.
    pub(super) fn suspend_disputed(&mut self) {
        if self.disputed.is_empty() {
            return;
        }
        let mut directory = self.gateway.directory.lock();
        for id in self.disputed.drain(..) {
            directory.suspend(&id, directory::Cause::Contradicted, self.gateway.now());
        }
        log_transitions(&self.gateway, &mut directory);
    }

    /// The refusal of a request for which all endpoints are full.
    pub(super) fn full_refusal(&self) -> Refusal {
        self.refusal(Reason::Full).with_retry_after(RETRY_AFTER_FULL)
    }

    /// Decides what follows a failed attempt at `endpoint` that may have run the request, and whose
    /// response had begun `begun_for` before, if at all.
    pub(super) async fn on_ambiguous_failure(
        &mut self,
        endpoint: &Incarnation,
        failure: &Failure,
        begun_for: Option<Duration>,
    ) -> Decision {
        // A request that crashes endpoints at once ends a kept connection just as idleness does.
        if matches!(failure.cause, Cause::Disconnected | Cause::StaleConnection) {
            self.attribute_crash(endpoint, begun_for).await;
        }
        if failure.cause != Cause::StaleConnection {
            self.tried_endpoints.push(endpoint.id.clone());
        }
        if failure.cause == Cause::Timeout {
            return Decision::Respond(self.refusal(Reason::Timeout));
        }
        if poison::is_refused(&self.gateway, &self.request) {
            return Decision::Respond(self.refusal(Reason::Poison));
        }
        if let Err(refusal) = self.check_parts() {
            return Decision::Respond(refusal);
        }
        if !self.route.retry_policy.is_retryable() || !self.try_rerun(failure.cause.name()) {
            return Decision::Respond(self.refusal(Reason::EndpointFailed));
        }
        Decision::Retry
    }

    /// Takes one retry from the budget, unless the request has used up its attempts. Returns
    /// whether the request may run once more.
    pub(super) fn try_rerun(&mut self, why: &'static str) -> bool {
        if self.route.max_attempts <= self.n_runs {
            self.log_attempts_used_up();
            return false;
        }
        self.try_spend(why)
    }

    fn try_spend(&self, why: &'static str) -> bool {
        let (part, now) = (self.gateway.fleet_part(), self.gateway.now());
        let (is_granted, standing) = {
            let mut budget = self.gateway.retry_budget.lock();
            let is_granted = budget.try_spend(&self.service, part, now);
            (is_granted, budget.standing(&self.service, part, now))
        };
        let spending = if is_granted { "spent" } else { "exhausted" };
        self.gateway.metrics.record_retry_budget(&self.service, spending);
        let (request, service) = (self.request.head.id.as_str(), self.service.as_str());
        let age_ms = millis(now.saturating_duration_since(self.gateway.started));
        let budget = Some(&standing);
        if is_granted {
            self.gateway.metrics.record_retry(why);
            self.gateway.log.write(&Event::Retried { request, service, why, budget, age_ms });
        } else {
            let why = "budget";
            self.gateway.log.write(&Event::NotRepeated { request, service, why, budget, age_ms });
        }
        is_granted
    }

    /// Attributes the crash of `endpoint` to the request and to the parts of its prompt, if the
    /// endpoint no longer accepts connections. A request whose response went on for a while is not
    /// blamed.
    async fn attribute_crash(&self, endpoint: &Incarnation, begun_for: Option<Duration>) {
        let crashed_at = self.gateway.now();
        let begun_ms = begun_for.map(millis);
        let log = |outcome| {
            self.gateway.log.write(&Event::PoisonCharged {
                request: &self.request.head.id,
                fingerprint: self.request.fingerprint,
                endpoint: endpoint.id.as_str(),
                begun_ms,
                outcome,
            });
        };
        if begun_for.is_some_and(|it| suspects::BEGINNING < it) {
            return log("under_way");
        }
        let connect = self.gateway.pool.take(endpoint.addr, Freshness::New);
        if let Ok(Ok(conn)) = timeout::run(PROBE_TIMEOUT, connect).await {
            self.gateway.pool.put(conn);
            return log("not_crashed");
        }
        poison::record_crash(&self.gateway, &self.request, endpoint);
        suspects::record_crash(&self.gateway, &self.request, &self.service, endpoint, crashed_at);
        log("charged");
    }

    fn log_attempts_used_up(&self) {
        let age = self.gateway.now().saturating_duration_since(self.gateway.started);
        self.gateway.log.write(&Event::NotRepeated {
            request: &self.request.head.id,
            service: &self.service,
            why: "attempts",
            budget: None,
            age_ms: millis(age),
        });
    }
}
