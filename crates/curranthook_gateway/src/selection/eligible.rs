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
    let is_allowed = |it: &Tracked| criteria.rule.allows(&it.entry.version);
    let is_untried = |it: &Tracked| !criteria.tried.contains(&it.entry.id);
    let select = |predicate: &dyn Fn(&Tracked) -> bool| -> Vec<&'a Tracked> {
        ready.iter().copied().filter(|it| it.admits(now) && predicate(it)).collect()
    };
    // A new version gets no requests as long as its rollout order may still be on the way, unless
    // the rule already follows from an order.
    let is_order_known =
        |it: &Tracked| *criteria.rule != Rule::Any || it.is_established_version(now);
    let is_usable = |it: &Tracked| is_allowed(it) && is_order_known(it);
    let is_intended = |it: &Tracked| concentration.is_none_or(|c| c.is_intended(it));
    let preferences: [&dyn Fn(&Tracked) -> bool; 4] = [
        &|it| is_usable(it) && is_untried(it) && !it.is_ejected(now) && is_intended(it),
        &|it| is_usable(it) && is_untried(it) && !it.is_ejected(now),
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
