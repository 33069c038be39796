//! Which two versions make a cascade: a cheap one whose answer is rated before it is given out,
//! and a dearer one behind it.

use std::time::Duration;

use curranthook_settings::config::Weigh;

use crate::choice::{Chooser, Delivery, Rater, Request, Scope, estimate::Estimate, option::Scored};

/// The longest time that a stream's first byte may be held back for a cascade where latency is
/// weighed most.
const SMALL_DELAY: Duration = Duration::from_millis(250);
/// What is allowed for the rater's answer between the two stages of a cascade.
const RATING_TIME: Duration = Duration::from_millis(50);
/// Whether some version surely meets the target by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Sure {
    Yes,
    No,
}

/// Whether two versions together meet the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    Meets,
    Fails,
    Open,
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
        sure: Sure,
    ) -> Option<(Scored, Scored)> {
        if request.rater == Rater::Down {
            return None;
        }
        let promised = request.target_quality.min(direct.belief.mean());
        let pairs = self.scored.iter().flat_map(|first| {
            let dearer = self.scored.iter().filter(|it| first.cost < it.cost);
            dearer.map(|second| (*first, *second))
        });
        let good = pairs.filter_map(|(first, second)| {
            let is_cheaper = first.cost_with(&second) < direct.cost;
            let evidence = self.evidence(request, &first, &second, promised);
            let is_proven = evidence == Evidence::Meets && (is_cheaper || sure == Sure::No);
            let is_backed =
                is_cheaper && second.place == direct.place && evidence != Evidence::Fails;
            let is_good = (is_proven || is_backed) && self.fits(request, &first, &second);
            is_good.then_some((is_proven || sure == Sure::Yes, first, second))
        });
        // Meeting the target goes before cost.
        let order = |a: &(bool, Scored, Scored), b: &(bool, Scored, Scored)| {
            b.0.cmp(&a.0).then(a.1.cost_with(&a.2).total_cmp(&b.1.cost_with(&b.2)))
        };
        good.min_by(order).map(|(_, first, second)| (first, second))
    }

    /// What ratings of second answers say of two versions together, once there are enough:
    /// whether they meet the target, or fail even what the second was thought to do alone.
    fn evidence(
        &self,
        request: &Request<'_>,
        first: &Scored,
        second: &Scored,
        promised: f64,
    ) -> Evidence {
        let Some(seen) = self.seen(request, first, second) else {
            return Evidence::Open;
        };
        let z = self.confidence();
        let belief = seen.belief(Some(first.nested(second)), self.now);
        let together = |one: f64, other: f64| one + (1.0 - one) * other;
        if belief.is_thin() {
            Evidence::Open
        } else if request.target_quality <= together(first.belief.lower(z), belief.lower(z)) {
            Evidence::Meets
        } else if together(first.belief.upper(z), belief.upper(z)) < promised {
            Evidence::Fails
        } else {
            Evidence::Open
        }
    }

    pub(super) fn seen(
        &self,
        request: &Request<'_>,
        first: &Scored,
        second: &Scored,
    ) -> Option<&Estimate> {
        let after = self.seconds.of(request.kind)?.get(request.candidates[first.place].id)?;
        after.get(request.candidates[second.place].id)
    }

    /// Whether a cascade may be used: not in a session, and only with time for both stages and
    /// for holding the first one back.
    pub(super) fn fits(&self, request: &Request<'_>, first: &Scored, second: &Scored) -> bool {
        let held = first.time + RATING_TIME;
        if request.scope == Scope::Session || request.time_left < held + second.time {
            return false;
        }
        let is_hurried =
            request.delivery == Delivery::Stream && self.policy.weigh == Weigh::Latency;
        !is_hurried || held <= SMALL_DELAY
    }
}
