//! Whether a larger model is asked in place of a small one whose answer has begun.

use std::time::Duration;

use super::{Job, millis};
use crate::{
    cascade::{self, Aim, Outlook},
    event::Event,
    load_reports::PeerState,
    models::Candidate,
    offer,
    rollouts::Rule,
};

impl Job {
    /// Whether the largest model is asked in place of the one that has begun.
    pub(super) async fn escalates(&mut self, confidence: Option<u8>) -> bool {
        let can_repeat = self.route.retry_policy.is_retryable() && self.last_event.is_none();
        let Some(confidence) = confidence.filter(|_| can_repeat) else { return false };
        let Some(large) = self.models.larger() else { return false };
        let rule = self.gateway.rollouts.lock().rule(&self.service, self.session());
        // Work of other nodes only delays the larger model, so most answers are kept without asking.
        if self.better(confidence, &rule, &PeerState::default()).is_none() {
            return false;
        }
        let heard = self.hear(&self.wanted(&rule, Some(large))).await;
        let Some(expected) = self.better(confidence, &rule, &heard) else { return false };
        let model = large.name.clone();
        if !self.may_run_again("confidence") {
            return false;
        }
        self.gateway.log.write(&Event::Escalated {
            request: &self.ask.head.id,
            model: &model,
            confidence,
            first_ms: millis(expected.first),
            last_ms: millis(expected.last),
        });
        self.models.switch_to_largest();
        self.heard = Some(heard);
        true
    }

    /// What is to be expected of the largest model, if that is better than the answer that has begun.
    fn better(&self, confidence: u8, rule: &Rule, heard: &PeerState) -> Option<Outlook> {
        let (small, large) = (self.models.current()?, self.models.larger()?);
        let elapsed = self.gateway.now().saturating_duration_since(self.ask.since);
        let aim = Aim {
            objective: self.route.latency_target,
            deadline: self.ask.deadline.saturating_duration_since(self.ask.since),
        };
        let first = elapsed + self.first_event(rule, large, heard)?;
        let small = self.outlook(small, elapsed, 0.0);
        let large = self.outlook(large, first, cascade::LARGE_PRICE);
        cascade::escalates(confidence, &small, &large, &aim).then_some(large)
    }

    /// When the first event of `model` is likely to come, at the endpoint that it would get now; none if
    /// there is no endpoint for it.
    fn first_event(&self, rule: &Rule, model: &Candidate, heard: &PeerState) -> Option<Duration> {
        let wanted = self.wanted(rule, Some(model));
        let directory = self.gateway.directory.lock();
        let offer = offer::best(&self.gateway, &directory, &wanted, heard)?;
        Some(offer.first_event(&wanted.model?.pace))
    }

    fn outlook(&self, model: &Candidate, first: Duration, price: f64) -> Outlook {
        let events = self.models.events(self.ask.output_tokens());
        Outlook { first, last: first + self.pace(model).rest(events), price }
    }
}
