//! Whether another attempt follows one that failed: what may run twice, within the budget for
//! repeats, and not if the request itself ends endpoints.

use std::time::Duration;

use curranthook_http::{client::Freshness, timeout};
use curranthook_types::endpoint;

use super::Job;
use crate::{
    attempt::{Cause, Failure},
    dialect::Execution,
    event::Event,
    refusal::{Reason, Refusal, Started},
};

/// How often a request may be turned away by endpoints that didn't run it.
const MAX_REJECTIONS: u32 = 5;
/// When to come back while all endpoints are full: the time in which they end some requests.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(400);
/// How long it's asked whether an endpoint that broke off still takes connections.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Whether another attempt follows.
pub(super) enum Next {
    /// One does.
    Retry,
    /// None does, and the caller gets this.
    Respond(Refusal),
}

impl Job {
    /// What follows an attempt at `endpoint` that failed.
    pub(super) async fn on_failure(&mut self, endpoint: &endpoint::Id, failure: &Failure) -> Next {
        if failure.execution == Execution::MayHaveRun {
            self.n_runs += 1;
            self.started = Started::Maybe;
            return self.on_possible_run(endpoint, failure).await;
        }
        self.n_rejections += 1;
        if failure.cause != Cause::StaleConnection {
            self.tried.push(endpoint.clone());
        }
        let reason = match failure.cause {
            Cause::Full => Reason::Full,
            _ => Reason::NoEndpoint,
        };
        let reached_endpoint = matches!(failure.cause, Cause::Full | Cause::Misdirected);
        let is_budget_spent = reached_endpoint && !self.try_spend(failure.cause.name());
        if MAX_REJECTIONS <= self.n_rejections || is_budget_spent {
            return Next::Respond(self.refusal(reason).with_retry_after(RETRY_AFTER_FULL));
        }
        self.gateway.metrics.record_retry(failure.cause.name());
        Next::Retry
    }

    /// What follows an attempt at `endpoint` that may have run.
    pub(super) async fn on_possible_run(
        &mut self,
        endpoint: &endpoint::Id,
        failure: &Failure,
    ) -> Next {
        if failure.cause == Cause::Disconnected {
            self.charge_poison(endpoint).await;
        }
        if failure.cause != Cause::StaleConnection {
            self.tried.push(endpoint.clone());
        }
        if failure.cause == Cause::Timeout {
            return Next::Respond(self.refusal(Reason::Timeout));
        }
        let now = self.gateway.now();
        if self.gateway.poison.lock().is_poison(self.request.fingerprint, now) {
            return Next::Respond(self.refusal(Reason::Poison));
        }
        if !self.route.retry_policy.is_retryable() || !self.try_rerun(failure.cause.name()) {
            return Next::Respond(self.refusal(Reason::EndpointFailed));
        }
        Next::Retry
    }

    /// Whether it may run once more, and takes that from the budget.
    pub(super) fn try_rerun(&mut self, why: &'static str) -> bool {
        if self.route.max_attempts <= self.n_runs {
            self.log_not_repeated("attempts");
            return false;
        }
        self.try_spend(why)
    }

    fn try_spend(&self, why: &'static str) -> bool {
        let (n_nodes, now) = (self.gateway.n_nodes(), self.gateway.now());
        if !self.gateway.retry_budget.lock().try_spend(&self.service, n_nodes, now) {
            self.log_not_repeated("budget");
            return false;
        }
        self.gateway.metrics.record_retry(why);
        true
    }

    /// Charges the request with the end of `endpoint`, if that no longer takes connections.
    async fn charge_poison(&self, endpoint: &endpoint::Id) {
        let addr = self.gateway.directory.lock().get(endpoint).map(|it| it.entry.addr);
        let Some(addr) = addr else { return };
        let connect = self.gateway.pool.take(addr, Freshness::New);
        if let Ok(Ok(conn)) = timeout::run(PROBE_TIMEOUT, connect).await {
            self.gateway.pool.put(conn);
            return;
        }
        let now = self.gateway.now();
        self.gateway.poison.lock().charge(self.request.fingerprint, endpoint, now);
        self.gateway.log.write(&Event::PoisonCharged {
            request: &self.request.head.id,
            endpoint: endpoint.as_str(),
        });
    }

    fn log_not_repeated(&self, why: &str) {
        self.gateway.log.write(&Event::NotRepeated { request: &self.request.head.id, why });
    }
}
