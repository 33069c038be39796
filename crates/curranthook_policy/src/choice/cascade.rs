//! Selection of cascades: a cheap first version whose answer is rated before it is returned, and a
//! more expensive second version for answers rated too low.

use std::time::Duration;

use curranthook_settings::config::Objective;

use crate::choice::{Chooser, Delivery, Rater, Request, Scope, estimate::Estimate, scored::Scored};

/// The longest time that a stream's first byte may be held back for a cascade where the policy
/// weighs latency most.
const MAX_STREAM_HOLD: Duration = Duration::from_millis(250);
/// The time reserved for the rating service between the two stages of a cascade.
const RATING_ALLOWANCE: Duration = Duration::from_millis(50);

/// Whether a single version meets the target with confidence.
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
    /// A cascade with `direct` as second stage always does, unless ratings show that `direct` is
    /// worse than estimated. A cascade of two uncertain versions only qualifies if ratings of its
    /// second answers prove it: requests that one version fails are likely to fail on the other
    /// too, so their qualities cannot be combined as if independent.
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
        // Meeting the target takes precedence over cost.
        let by_rank = |a: &(bool, Scored, Scored), b: &(bool, Scored, Scored)| {
            b.0.cmp(&a.0).then(a.1.cascade_cost(&a.2).total_cmp(&b.1.cascade_cost(&b.2)))
        };
        eligible.min_by(by_rank).map(|(_, first, second)| (first, second))
    }

    /// Evaluates the ratings of second answers, once there are enough: whether the two versions
    /// together meet the target, or stay below even the quality that the second was estimated to
    /// reach alone.
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

    /// Whether a cascade can be used: not in a session, and only if there is time for both stages
    /// and for holding back the first answer.
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
            request.delivery == Delivery::Stream && self.policy.weigh == Objective::Latency;
        !is_latency_sensitive || hold_time <= MAX_STREAM_HOLD
    }
}
