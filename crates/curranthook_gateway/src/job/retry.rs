//! Whether another attempt follows one that failed: what may run twice, within the budget for
//! repeats, and not if the request itself ends endpoints.

use std::time::Duration;

use curranthook_http::{client::Freshness, timeout};
use curranthook_types::endpoint;

use super::Job;
use crate::{
    attempt::{Cause, Failed},
    dialect::Execution,
    event::Event,
    refusal::{Ran, Reason, Refusal},
};

/// How often a request may be turned away by endpoints that didn't run it.
const MAX_REJECTIONS: u32 = 5;
/// When to come back while all endpoints are full: the time in which they end some requests.
const RETRY_FULL: Duration = Duration::from_millis(400);
/// How long it's asked whether an endpoint that broke off still takes connections.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Whether another attempt follows.
pub(super) enum Next {
    /// One does.
    Retry,
    /// None does, and the caller gets this.
    Respond(Refusal),
}

impl Job {
    /// What follows an attempt at `endpoint` that failed.
    pub(super) async fn on_failure(&mut self, endpoint: &endpoint::Id, failed: &Failed) -> Next {
        if failed.execution == Execution::MayHaveRun {
            self.runs += 1;
            self.ran = Ran::Maybe;
            return self.on_maybe_run(endpoint, failed).await;
        }
        self.rejections += 1;
        if failed.cause != Cause::Stale {
            self.tried.push(endpoint.clone());
        }
        let reason = match failed.cause {
            Cause::Full => Reason::Full,
            _ => Reason::NoEndpoint,
        };
        let arrived = matches!(failed.cause, Cause::Full | Cause::Misdirected);
        let is_spent = arrived && !self.spend(failed.cause.name());
        if MAX_REJECTIONS <= self.rejections || is_spent {
            return Next::Respond(self.refusal(reason).with_retry_after(RETRY_FULL));
        }
        self.gateway.metrics.record_retry(failed.cause.name());
        Next::Retry
    }

    /// What follows an attempt at `endpoint` that may have run.
    pub(super) async fn on_maybe_run(&mut self, endpoint: &endpoint::Id, failed: &Failed) -> Next {
        if failed.cause == Cause::Cut {
            self.charge(endpoint).await;
        }
        if failed.cause != Cause::Stale {
            self.tried.push(endpoint.clone());
        }
        if failed.cause == Cause::Timeout {
            return Next::Respond(self.refusal(Reason::Timeout));
        }
        let now = self.gateway.now();
        if self.gateway.poison.lock().is_poison(self.ask.fingerprint, now) {
            return Next::Respond(self.refusal(Reason::Poison));
        }
        if !self.route.retry_policy.is_retryable() || !self.may_run_again(failed.cause.name()) {
            return Next::Respond(self.refusal(Reason::EndpointFailed));
        }
        Next::Retry
    }

    /// Whether it may run once more, and takes that from the budget.
    pub(super) fn may_run_again(&mut self, why: &'static str) -> bool {
        if self.route.max_attempts <= self.runs {
            self.not_repeated("attempts");
            return false;
        }
        self.spend(why)
    }

    fn spend(&self, why: &'static str) -> bool {
        let (n_nodes, now) = (self.gateway.n_nodes(), self.gateway.now());
        if !self.gateway.budget.lock().spend(&self.service, n_nodes, now) {
            self.not_repeated("budget");
            return false;
        }
        self.gateway.metrics.record_retry(why);
        true
    }

    /// Charges the request with the end of `endpoint`, if that no longer takes connections.
    async fn charge(&self, endpoint: &endpoint::Id) {
        let addr = self.gateway.directory.lock().get(endpoint).map(|it| it.entry.addr);
        let Some(addr) = addr else { return };
        let connect = self.gateway.pool.take(addr, Freshness::New);
        if let Ok(Ok(conn)) = timeout::run(ALIVE_TIMEOUT, connect).await {
            self.gateway.pool.put(conn);
            return;
        }
        let now = self.gateway.now();
        self.gateway.poison.lock().charge(self.ask.fingerprint, endpoint, now);
        self.gateway.log.write(&Event::PoisonCharged {
            request: &self.ask.head.id,
            endpoint: endpoint.as_str(),
        });
    }

    fn not_repeated(&self, why: &str) {
        self.gateway.log.write(&Event::NotRepeated { request: &self.ask.head.id, why });
    }
}
