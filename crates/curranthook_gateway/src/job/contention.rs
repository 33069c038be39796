//! The rank of a request among those that compete for the same engines.

use curranthook_policy::rank::Rank;

use super::{Job, millis};
use crate::{
    Gateway, cascade, event,
    lease::Lease,
    models::{Candidate, Models},
    settings::Contention,
};

fn is_by_rank(gateway: &Gateway) -> bool {
    gateway.settings.contention == Contention::ByRank
}

/// Counts a request by the level of its rank, unless decisions ignore ranks.
pub(super) fn record_level(gateway: &Gateway, service: &str, models: &Models, rank: Rank) {
    if !is_by_rank(gateway) {
        return;
    }
    gateway.metrics.record_level(rank.level());
    if models.larger().is_some() {
        let mut scales = gateway.price_scales.lock();
        scales.entry(service.to_owned()).or_default().record(rank.level());
    }
}

impl Job {
    /// The priority at an engine if `model` is to answer.
    pub(super) fn engine_priority(&self, model: &Candidate) -> u8 {
        let contention = self.gateway.settings.contention;
        cascade::engine_priority(self.rank, contention, model.relative_price)
    }

    /// The same; `None` if decisions ignore ranks.
    pub(super) fn contended_priority(&self, model: &Candidate) -> Option<u8> {
        is_by_rank(&self.gateway).then(|| self.engine_priority(model))
    }

    /// The price of an answer of the largest model, as a share of the answer's value.
    pub(super) fn large_model_price(&self) -> f64 {
        let scale = self.gateway.price_scales.lock().get(&self.service).copied();
        let contention = self.gateway.settings.contention;
        cascade::large_model_price(contention, &scale.unwrap_or_default(), self.rank.level())
    }

    /// What the log states about requests that compete with this one; `None` if decisions ignore
    /// ranks, and for services without models.
    pub(super) fn contention(&self, lease: &Lease) -> Option<event::Contention> {
        self.models.current().filter(|_| is_by_rank(&self.gateway))?;
        let (work, age) = lease.waiting;
        Some(event::Contention {
            level: self.rank.level(),
            wait_ms: millis(lease.queue_delay),
            waiting_ms: work.by_priority().map(millis),
            waiting_age_ms: age.map(millis),
        })
    }
}
