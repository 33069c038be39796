//! The rank of a request among those that compete for the same engines.

use curranthook_policy::rank::Rank;

use super::Job;
use crate::{Gateway, cascade, models::Candidate, settings::Contention};

fn is_by_rank(gateway: &Gateway) -> bool {
    gateway.settings.contention == Contention::ByRank
}

/// Counts a request by the level of its rank, unless decisions ignore ranks.
pub(super) fn record_level(gateway: &Gateway, rank: Rank) {
    if is_by_rank(gateway) {
        gateway.metrics.record_level(rank.level());
    }
}

impl Job {
    /// The priority at an engine if `model` is to answer.
    pub(super) fn engine_priority(&self, model: &Candidate) -> u8 {
        let contention = self.gateway.settings.contention;
        cascade::engine_priority(self.priority, contention, model.relative_price)
    }
}
