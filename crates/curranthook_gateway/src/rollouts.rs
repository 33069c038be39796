//! The roll-outs under way, as a node knows them.

use std::collections::HashMap;

use curranthook_policy::hash;

use crate::{
    steps::{Counts, Evidence, Phase, Step},
    store::{Order, Rev},
};

/// How many times longer than usual an answer takes that counts as bad.
const SLOW: f64 = 4.0;
/// Differences below this are noise, in milliseconds.
const SLOW_MARGIN_MS: f64 = 100.0;
/// How much one answer moves the usual time.
const SMOOTHING: f64 = 0.1;

/// Roll-outs by service.
#[derive(Debug, Default)]
pub struct Rollouts {
    services: HashMap<String, Rollout>,
    /// The usual time to the first byte by route and model, in milliseconds.
    usual: HashMap<(String, usize), f64>,
}

/// A roll-out of one service.
#[derive(Debug, Clone)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    /// The revision of the order, which tells orders apart.
    pub order_rev: Rev,
    /// The newest step and its revision; none if none was taken.
    pub step: Option<(Step, Rev)>,
    /// What this node saw.
    pub own: Evidence,
    /// What other nodes saw.
    pub others: HashMap<String, Evidence>,
}

/// Which version a request may go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rule {
    /// Any.
    Any,
    /// This one.
    Only(String),
    /// Any but this one.
    Not(String),
}

impl Rule {
    /// Whether it allows `version`.
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(it) => it == version,
            Self::Not(it) => it != version,
        }
    }
}

impl Rollout {
    /// How far it is.
    pub fn phase(&self) -> Phase {
        self.step.as_ref().map_or(Phase::Waiting, |(step, _)| step.phase)
    }

    /// What all nodes saw.
    pub fn evidence(&self) -> Evidence {
        self.others.values().fold(self.own, |sum, it| sum.plus(*it))
    }
}

impl Rollouts {
    /// Takes in an order.
    pub fn ordered(&mut self, order: Order, rev: Rev) {
        let known = self.services.get(&order.service);
        if known.is_some_and(|it| rev <= it.order_rev) {
            return;
        }
        let service = order.service.clone();
        let step = known.and_then(|it| it.step.clone()).filter(|(step, _)| step.order == rev);
        let rollout = Rollout {
            order,
            order_rev: rev,
            step,
            own: Evidence::default(),
            others: HashMap::new(),
        };
        self.services.insert(service, rollout);
    }

    /// Takes in a step. Returns whether it's news.
    pub fn stepped(&mut self, service: &str, step: Step, rev: Rev) -> bool {
        let Some(it) = self.services.get_mut(service) else { return false };
        let is_newer = it.step.as_ref().is_none_or(|(_, known)| *known < rev);
        let is_for_order = step.order == it.order_rev;
        if is_newer && is_for_order {
            it.step = Some((step, rev));
        }
        is_newer && is_for_order
    }

    /// Takes in what another node saw.
    pub fn seen_by(&mut self, service: &str, order: Rev, node: &str, evidence: Evidence) {
        if let Some(it) = self.services.get_mut(service)
            && it.order_rev == order
        {
            it.others.insert(node.to_owned(), evidence);
        }
    }

    /// The roll-outs that aren't over.
    pub fn running(&self) -> impl Iterator<Item = &Rollout> {
        self.services.values().filter(|it| !it.phase().is_final())
    }

    /// The roll-out of a service.
    pub fn of(&self, service: &str) -> Option<&Rollout> {
        self.services.get(service)
    }

    /// The version for a request. `session` is the same for all requests of a session, so that
    /// they stay together as the share grows.
    pub fn rule(&self, service: &str, session: u64) -> Rule {
        let Some(it) = self.services.get(service) else { return Rule::Any };
        let target = &it.order.target;
        let place = hash::unit(hash::pair(hash::bytes(target.as_bytes()), session));
        if place < it.phase().share() {
            Rule::Only(target.clone())
        } else {
            Rule::Not(target.clone())
        }
    }

    /// Takes in an answer. `first_byte_ms` is none for a failure.
    pub fn answered(
        &mut self,
        service: &str,
        version: &str,
        kind: (&str, usize),
        first_byte_ms: Option<f64>,
    ) {
        let key = (kind.0.to_owned(), kind.1);
        let usual = self.usual.get(&key).copied();
        let is_slow = |ms: f64| usual.is_some_and(|it| it * SLOW + SLOW_MARGIN_MS < ms);
        let is_bad = first_byte_ms.is_none_or(is_slow);
        let is_target = self.services.get(service).is_some_and(|it| it.order.target == version);
        if let (Some(ms), false) = (first_byte_ms, is_target) {
            let it = self.usual.entry(key).or_insert(ms);
            *it += SMOOTHING * (ms - *it);
        }
        let Some(it) = self.services.get_mut(service) else { return };
        if it.phase().is_final() || it.phase() == Phase::Waiting {
            return;
        }
        let one = Counts { answers: 1, bad: u64::from(is_bad) };
        let counts = if is_target { &mut it.own.new } else { &mut it.own.old };
        *counts = counts.plus(one);
    }
}
