//! Which two versions make a cascade: a cheap one whose answer is rated before it is given out,
//! and a dearer one behind it.

use std::time::Duration;

use curranthook_settings::config::Weigh;

use crate::choice::{Chooser, Delivery, Rater, Request, Scope, estimate::Estimate, scored::Scored};

/// The longest time that a stream's first byte may be held back for a cascade where latency is
/// weighed most.
const MAX_STREAM_HOLD: Duration = Duration::from_millis(250);
/// What is allowed for the rater's answer between the two stages of a cascade.
const RATING_ALLOWANCE: Duration = Duration::from_millis(50);
/// Whether some version surely meets the target by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Certainty {
    Confident,
    Uncertain,
}

/// Whether two versions together meet the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    Meets,
    Fails,
    Inconclusive,
}

impl Chooser {
    /// The cheapest cascade that does at least as well as `direct`.
    ///
    /// One with `direct` as second stage always does, unless ratings show that `direct` is worse
    /// than it looks. Two doubtful versions do only when it was seen: what one fails at, the
    /// other is likely to fail at too, so their qualities can't be combined as if they were
    /// independent.
    pub(super) fn cascade(
        &self,
        request: &Request<'_>,
        direct: &Scored,
        certainty: Certainty,
    ) -> Option<(Scored, Scored)> {
        if request.rater == Rater::Down {
            return None;
        }
        let required = request.target_quality.min(direct.posterior.mean());
        let pairs = self.scored.iter().flat_map(|first| {
            let costlier = self.scored.iter().filter(|it| first.cost < it.cost);
            costlier.map(|second| (*first, *second))
        });
        let eligible = pairs.filter_map(|(first, second)| {
            let is_cheaper = first.cascade_cost(&second) < direct.cost;
            let evidence = self.evidence(request, &first, &second, required);
            let is_proven =
                evidence == Evidence::Meets && (is_cheaper || certainty == Certainty::Uncertain);
            let is_backed_by_direct =
                is_cheaper && second.index == direct.index && evidence != Evidence::Fails;
            let is_eligible =
                (is_proven || is_backed_by_direct) && self.is_feasible(request, &first, &second);
            is_eligible.then_some((is_proven || certainty == Certainty::Confident, first, second))
        });
        // Meeting the target goes before cost.
        let by_rank = |a: &(bool, Scored, Scored), b: &(bool, Scored, Scored)| {
            b.0.cmp(&a.0).then(a.1.cascade_cost(&a.2).total_cmp(&b.1.cascade_cost(&b.2)))
        };
        eligible.min_by(by_rank).map(|(_, first, second)| (first, second))
    }

    /// What ratings of second answers say of two versions together, once there are enough:
    /// whether they meet the target, or fail even what the second was thought to do alone.
    fn evidence(
        &self,
        request: &Request<'_>,
        first: &Scored,
        second: &Scored,
        required: f64,
    ) -> Evidence {
        let Some(estimate) = self.second_stage_estimate(request, first, second) else {
            return Evidence::Inconclusive;
        };
        let z = self.confidence_z();
        let posterior = estimate.posterior(Some(first.conditional_quality(second)), self.now);
        let combined = |one: f64, other: f64| one + (1.0 - one) * other;
        if posterior.is_sparse() {
            Evidence::Inconclusive
        } else if request.target_quality
            <= combined(first.posterior.lower_bound(z), posterior.lower_bound(z))
        {
            Evidence::Meets
        } else if combined(first.posterior.upper_bound(z), posterior.upper_bound(z)) < required {
            Evidence::Fails
        } else {
            Evidence::Inconclusive
        }
    }

    pub(super) fn second_stage_estimate(
        &self,
        request: &Request<'_>,
        first: &Scored,
        second: &Scored,
    ) -> Option<&Estimate> {
        let by_second =
            self.second_stages.for_kind(request.kind)?.get(request.candidates[first.index].id)?;
        by_second.get(request.candidates[second.index].id)
    }

    /// Whether a cascade may be used: not in a session, and only with time for both stages and
    /// for holding the first one back.
    pub(super) fn is_feasible(
        &self,
        request: &Request<'_>,
        first: &Scored,
        second: &Scored,
    ) -> bool {
        let hold_time = first.duration + RATING_ALLOWANCE;
        if request.scope == Scope::Session || request.time_left < hold_time + second.duration {
            return false;
        }
        let is_latency_sensitive =
            request.delivery == Delivery::Stream && self.policy.weigh == Weigh::Latency;
        !is_latency_sensitive || hold_time <= MAX_STREAM_HOLD
    }
}
