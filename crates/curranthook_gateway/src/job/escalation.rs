//! Escalation: the largest model replaces a small one whose response has begun.

use std::time::Duration;

use curranthook_policy::slowdown::Factor;

use super::{Job, millis};
use crate::{
    cascade::{self, Forecast, Targets},
    event::Event,
    load::reports::PeerState,
    models::Candidate,
    rollouts::Rule,
    selection::{self, Room},
};

impl Job {
    /// Escalates to the largest model if its expected answer is better than the response that has
    /// begun. Returns whether it did. `slowdown` is the lasting one of the endpoint that sends the
    /// response.
    pub(super) async fn try_escalate(&mut self, confidence: Option<u8>, slowdown: Factor) -> bool {
        let can_retry = self.route.retry_policy.is_retryable() && self.last_event_id.is_none();
        let Some(confidence) = confidence.filter(|_| can_retry) else { return false };
        let Some(large) = self.models.larger() else { return false };
        let rule = self.version_rule();
        // Load from other nodes can only delay the larger model. So if its forecast is no better
        // even without that load, the response is kept and no peer is queried.
        if self.improvement(confidence, slowdown, &rule, None).is_none() {
            return false;
        }
        let peer_state = self.query_peers(&self.criteria(&rule, Some(large))).await;
        let Some(expected) = self.improvement(confidence, slowdown, &rule, Some(&peer_state))
        else {
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
            first_ms: millis(expected.time_to_first_event),
            last_ms: millis(expected.time_to_last_event),
            price: expected.cost,
        });
        self.models.switch_to_largest();
        self.peer_state = Some(peer_state);
        true
    }

    /// The forecast for the largest model, if it is better than the response that has begun.
    /// Without `peer_state`, no load of other nodes is considered.
    fn improvement(
        &self,
        confidence: u8,
        slowdown: Factor,
        rule: &Rule,
        peer_state: Option<&PeerState>,
    ) -> Option<Forecast> {
        let (small, large) = (self.models.current()?, self.models.larger()?);
        let elapsed = self.gateway.now().saturating_duration_since(self.request.received_at);
        let targets = Targets {
            objective: self.route.latency_target,
            deadline: self.request.deadline.saturating_duration_since(self.request.received_at),
        };
        let (large_time_to_first_event, large_slowdown) =
            self.time_to_first_event(rule, large, peer_state)?;
        let small = self.forecast(small, elapsed, slowdown, 0.0);
        let large = self.forecast(
            large,
            elapsed + large_time_to_first_event,
            large_slowdown,
            self.large_model_price(),
        );
        cascade::should_escalate(confidence, &small, &large, &targets).then_some(large)
    }

    /// The expected time to the first event of `model` at the endpoint that would be selected now,
    /// and the lasting slowdown of that endpoint; `None` if there is no endpoint for it.
    fn time_to_first_event(
        &self,
        rule: &Rule,
        model: &Candidate,
        peer_state: Option<&PeerState>,
    ) -> Option<(Duration, Factor)> {
        let criteria = self.criteria(rule, Some(model));
        let directory = self.gateway.directory.lock();
        let choice = match peer_state {
            Some(it) => selection::best(&self.gateway, &directory, &criteria, it),
            None => {
                let none = PeerState::default();
                selection::best_with_any_room(&self.gateway, &directory, &criteria, &none)
            }
        };
        // The response that has begun is not given up for one that may be rejected.
        let choice = choice.ok().filter(|it| it.room != Room::Permitted)?;
        Some((choice.time_to_first_event(&criteria.model?.latency), choice.slowdown.lasting))
    }

    /// The forecast for an answer of `model` at an endpoint with this lasting `slowdown`.
    fn forecast(
        &self,
        model: &Candidate,
        time_to_first_event: Duration,
        slowdown: Factor,
        cost: f64,
    ) -> Forecast {
        let n_events = self.models.event_count(self.request.output_tokens());
        let time_for_events = slowdown.scale(self.latency(model).time_for_events(n_events));
        Forecast {
            time_to_first_event,
            time_to_last_event: time_to_first_event + time_for_events,
            cost,
        }
    }
}
