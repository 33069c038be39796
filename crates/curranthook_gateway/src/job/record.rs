//! What is logged and learned of a request as its attempts and its response end.

use std::time::{Duration, Instant};

use curranthook_types::endpoint;

use super::{Job, millis};
use crate::{
    attempt::{Cause, Exchange, Failure},
    dialect::{Execution, Load},
    event::Event,
    lease::Lease,
    poison,
    rollouts::{Kind, Pace},
    suspects,
};

/// The outcome of a request whose response was received completely.
pub const OUTCOME_WHOLE: &str = "whole";

/// How a request ended. Times are measured from the request's arrival.
#[derive(Debug, Default)]
pub struct Summary<'a> {
    /// The response status sent to the caller.
    pub status: u16,
    /// The outcome in the log and in metrics.
    pub outcome: &'static str,
    /// The endpoint that answered last; empty if none did.
    pub endpoint: &'a str,
    /// The time to the first byte of the response.
    pub first_byte_after: Duration,
    /// The number of stream events forwarded to the caller. Distinguishes a stream that reached its
    /// deadline while events arrived from one that stalled.
    pub n_events: u32,
    /// The time to the last forwarded event.
    pub last_event_after: Duration,
}

impl Job {
    /// Records that the response that began at `begun_at` goes on, or has ended whole.
    pub fn record_answered_parts(&self, begun_at: Instant) {
        suspects::record_answer(&self.gateway, &self.request, &self.service, begun_at);
    }

    /// Records a stream of `n_events` that ended `elapsed` after its first event.
    pub fn record_stream(&self, lease: &Lease, n_events: u32, elapsed: Duration) {
        if let Some(it) = self.models.current() {
            let usual = lease.lasting_slowdown().unscale(elapsed);
            let mut estimator = self.gateway.latency_estimator.lock();
            estimator.record_stream(&self.service, &it.name, it.relative_price, n_events, usual);
        }
    }

    /// Records how fast a stream is. Streams that are concentrated on a few endpoints tell nothing:
    /// these prefill their first prompts all at once, between the tokens of other requests.
    pub fn record_pace(&self, lease: &Lease, pace: Pace) {
        if !lease.is_concentrated {
            let mut rollouts = self.gateway.rollouts.lock();
            rollouts.record_pace(&self.service, &lease.version, self.kind(), pace);
        }
    }

    pub(super) fn kind(&self) -> Kind<'_> {
        Kind { route: &self.route.name, model: self.models.index() }
    }

    pub(super) fn log_failure(
        &self,
        endpoint: &endpoint::Id,
        failure: &Failure,
        elapsed: Duration,
    ) {
        self.write_failure(endpoint, failure, elapsed, None);
    }

    /// Logs an answer with a server error. It may go to the caller, so it is no [`Failure`].
    pub(super) fn log_error(&self, exchange: &Exchange) {
        let failure = Failure { cause: Cause::Error, execution: Execution::MayHaveRun };
        let load = exchange.reply.load;
        self.write_failure(&exchange.lease.id, &failure, exchange.time_to_first_byte, load);
    }

    fn write_failure(
        &self,
        endpoint: &endpoint::Id,
        failure: &Failure,
        elapsed: Duration,
        load: Option<Load>,
    ) {
        self.gateway.log.write(&Event::AttemptFailed {
            request: &self.request.head.id,
            endpoint: endpoint.as_str(),
            why: failure.cause.name(),
            execution: match failure.execution {
                Execution::NotRun => "not_run",
                Execution::MayHaveRun => "may_have_run",
            },
            took_ms: millis(elapsed),
            running: load.map(|it| it.running),
            waiting: load.map(|it| it.waiting),
        });
    }

    /// Logs and counts the end of the request.
    pub fn record_end(&self, end: &Summary<'_>) {
        let Summary { status, outcome, endpoint, .. } = *end;
        let elapsed = self.gateway.now().saturating_duration_since(self.request.received_at);
        if outcome == OUTCOME_WHOLE {
            poison::record_answer(&self.gateway, &self.request);
        }
        self.gateway.metrics.record_ended(outcome, elapsed);
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
            took_ms: millis(elapsed),
        });
    }
}
