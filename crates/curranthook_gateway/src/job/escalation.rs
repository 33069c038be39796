//! Whether a larger model is asked in place of a small one whose answer has begun.

use std::time::Duration;

use super::{Job, millis};
use crate::{
    cascade::{self, Forecast, Targets},
    event::Event,
    load_reports::PeerState,
    models::Candidate,
    rollouts::Rule,
    selection,
};

impl Job {
    /// Whether the largest model is asked in place of the one that has begun.
    pub(super) async fn try_escalate(&mut self, confidence: Option<u8>) -> bool {
        let can_repeat = self.route.retry_policy.is_retryable() && self.last_event_id.is_none();
        let Some(confidence) = confidence.filter(|_| can_repeat) else { return false };
        let Some(large) = self.models.larger() else { return false };
        let rule = self.gateway.rollouts.lock().rule(&self.service, self.session_hash());
        // Work of other nodes only delays the larger model, so most answers are kept without asking.
        if self.better_forecast(confidence, &rule, &PeerState::default()).is_none() {
            return false;
        }
        let peer_reports = self.query_peers(&self.criteria(&rule, Some(large))).await;
        let Some(expected) = self.better_forecast(confidence, &rule, &peer_reports) else {
            return false;
        };
        let model = large.name.clone();
        if !self.try_rerun("confidence") {
            return false;
        }
        self.gateway.log.write(&Event::Escalated {
            request: &self.request.head.id,
            model: &model,
            confidence,
            first_ms: millis(expected.first_event),
            last_ms: millis(expected.last_event),
        });
        self.models.switch_to_largest();
        self.peer_reports = Some(peer_reports);
        true
    }

    /// What is to be expected of the largest model, if that is better than the answer that has begun.
    fn better_forecast(
        &self,
        confidence: u8,
        rule: &Rule,
        peer_reports: &PeerState,
    ) -> Option<Forecast> {
        let (small, large) = (self.models.current()?, self.models.larger()?);
        let elapsed = self.gateway.now().saturating_duration_since(self.request.received_at);
        let targets = Targets {
            objective: self.route.latency_target,
            deadline: self.request.deadline.saturating_duration_since(self.request.received_at),
        };
        let large_first_event = elapsed + self.first_event(rule, large, peer_reports)?;
        let small = self.forecast(small, elapsed, 0.0);
        let large = self.forecast(large, large_first_event, cascade::LARGE_MODEL_COST);
        cascade::should_escalate(confidence, &small, &large, &targets).then_some(large)
    }

    /// When the first event of `model` is likely to come, at the endpoint that it would get now; none if
    /// there is no endpoint for it.
    fn first_event(
        &self,
        rule: &Rule,
        model: &Candidate,
        peer_reports: &PeerState,
    ) -> Option<Duration> {
        let criteria = self.criteria(rule, Some(model));
        let directory = self.gateway.directory.lock();
        let choice = selection::best(&self.gateway, &directory, &criteria, peer_reports)?;
        Some(choice.first_event(&criteria.model?.latency))
    }

    fn forecast(&self, model: &Candidate, first_event: Duration, cost: f64) -> Forecast {
        let n_events = self.models.event_count(self.request.output_tokens());
        Forecast {
            first_event,
            last_event: first_event + self.latency(model).remaining_events(n_events),
            cost,
        }
    }
}
