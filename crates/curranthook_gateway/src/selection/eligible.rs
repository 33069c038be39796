//! The endpoints that a request may be sent to.

use std::time::Instant;

use super::{Criteria, concentration::Concentration};
use crate::{directory::Tracked, rollouts::Rule};

/// The endpoints to choose from, among those that admit a request now. Endpoints that were tried
/// before, are ejected, run a version that the request should not go to, or are not intended for it
/// by `concentration` are considered only if there are no others.
pub(super) fn eligible<'a>(
    ready: &[&'a Tracked],
    criteria: &Criteria<'_>,
    concentration: Option<&Concentration>,
    now: Instant,
) -> Vec<&'a Tracked> {
    let is_untried = |it: &Tracked| !criteria.tried.contains(&it.entry.id);
    let is_usable = |it: &Tracked| is_usable(it, criteria, now);
    let select = |predicate: &dyn Fn(&Tracked) -> bool| -> Vec<&'a Tracked> {
        let is_admitted = |it: &Tracked| match criteria.borrowed {
            Some(id) => it.entry.id == *id && it.paused_until(now).is_none(),
            None => it.admits(now),
        };
        ready.iter().copied().filter(|it| is_admitted(it) && predicate(it)).collect()
    };
    let is_intended = |it: &Tracked| concentration.is_none_or(|c| c.is_intended(it));
    let preferences: [&dyn Fn(&Tracked) -> bool; 4] = [
        &|it| is_preferred(it, criteria, now) && is_intended(it),
        &|it| is_preferred(it, criteria, now),
        &|it| is_usable(it) && is_untried(it),
        &|it| is_usable(it),
    ];
    for predicate in preferences {
        let matching = select(predicate);
        if !matching.is_empty() {
            return matching;
        }
    }
    // No endpoint runs an allowed version. Once the rollout has begun to move requests to the
    // target version or away from it, any other version is better than a refusal.
    match criteria.rule {
        Rule::Only(_) | Rule::Trial(_) => select(&|it| is_untried(it)),
        // The endpoints of the completed version may be lost.
        Rule::Keep { history, target } => select(&|it| {
            let version = &it.entry.version;
            is_untried(it) && version != target && !history.rejects(version)
        }),
        // The rollout may be over, even if this node has not received that step.
        Rule::Avoid(_) if !ready.iter().any(|it| is_usable(it)) => {
            select(&|it| is_untried(it) && !it.is_ejected(now))
        }
        Rule::Avoid(_) | Rule::Not(_) | Rule::Any => Vec::new(),
    }
}

/// Whether an endpoint is usable, was not tried before and is not ejected.
pub(super) fn is_preferred(endpoint: &Tracked, criteria: &Criteria<'_>, now: Instant) -> bool {
    let is_untried = !criteria.tried.contains(&endpoint.entry.id);
    is_usable(endpoint, criteria, now) && is_untried && !endpoint.is_ejected(now)
}

/// Whether a request may be sent to an endpoint's version. A new version gets no requests as long as
/// its rollout order may still be on the way, unless the rule already follows from an order.
fn is_usable(endpoint: &Tracked, criteria: &Criteria<'_>, now: Instant) -> bool {
    let is_order_known = *criteria.rule != Rule::Any || endpoint.is_established_version(now);
    criteria.rule.allows(&endpoint.entry.version) && is_order_known
}
