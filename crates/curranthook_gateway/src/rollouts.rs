//! The roll-outs under way, as a node knows them.

use std::{collections::HashMap, time::Duration};

use curranthook_policy::hash;

use crate::{
    steps::{Counts, Evidence, Phase, Schedule, Step},
    store::{Order, Rev},
};

/// What is added to all times, in milliseconds, so that differences of a few don't count.
const MARGIN_MS: f64 = 5.0;
/// How much one answer moves the usual time.
const SMOOTHING: f64 = 0.1;

/// Roll-outs by service.
#[derive(Debug)]
pub struct Rollouts {
    schedule: Schedule,
    services: HashMap<String, Rollout>,
    /// The logarithm of the usual time in milliseconds, by route, model and part of the answer.
    usual: HashMap<(String, usize, Part), f64>,
}

/// Answers that are alike in how long they take.
#[derive(Debug, Clone, Copy)]
pub struct Kind<'a> {
    /// The route.
    pub route: &'a str,
    /// The model's place in the route's list.
    pub model: usize,
}

/// A part of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Part {
    First,
    Rest,
}

/// A roll-out of one service.
#[derive(Debug, Clone)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    /// The revision of the order, which tells orders apart.
    pub order_rev: Rev,
    /// When this node heard of the order, by the store's clock; none if that isn't known.
    pub heard: Option<Duration>,
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
    /// None yet; all will follow `schedule`.
    pub fn new(schedule: Schedule) -> Self {
        Self { schedule, services: HashMap::new(), usual: HashMap::new() }
    }

    /// The schedule of all roll-outs.
    pub fn schedule(&self) -> &Schedule {
        &self.schedule
    }

    /// Takes in an order, heard of when the store's clock said `heard`.
    pub fn apply_order(&mut self, order: Order, rev: Rev, heard: Option<Duration>) {
        let known = self.services.get(&order.service);
        if known.is_some_and(|it| rev <= it.order_rev) {
            return;
        }
        let service = order.service.clone();
        let step = known.and_then(|it| it.step.clone()).filter(|(step, _)| step.order == rev);
        let rollout = Rollout {
            order,
            order_rev: rev,
            heard,
            step,
            own: Evidence::default(),
            others: HashMap::new(),
        };
        self.services.insert(service, rollout);
    }

    /// Takes in a step. Returns whether it's news.
    pub fn apply_step(&mut self, service: &str, step: Step, rev: Rev) -> bool {
        let Some(it) = self.services.get_mut(service) else { return false };
        let is_newer = it.step.as_ref().is_none_or(|(_, known)| *known < rev);
        let is_for_order = step.order == it.order_rev;
        if is_newer && is_for_order {
            it.step = Some((step, rev));
        }
        is_newer && is_for_order
    }

    /// Takes in what another node saw.
    pub fn apply_evidence(&mut self, service: &str, order: Rev, node: &str, evidence: Evidence) {
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
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.services.get(service)
    }

    /// The version for a request. `session` is the same for all requests of a session, so that
    /// they stay together as the share grows.
    pub fn rule(&self, service: &str, session: u64) -> Rule {
        let Some(it) = self.services.get(service) else { return Rule::Any };
        let target = &it.order.target;
        let place = hash::unit(hash::pair(hash::bytes(target.as_bytes()), session));
        // Steps of the whole fleet take their time, more so while the store is away; a node that
        // knows better doesn't wait for them.
        let is_suspect = !it.phase().is_final() && it.evidence().is_bad();
        if !is_suspect && place < self.schedule.share(it.phase()) {
            Rule::Only(target.clone())
        } else {
            Rule::Not(target.clone())
        }
    }

    /// Takes in an answer that began. `took` is none for a failure.
    pub fn record_answer(
        &mut self,
        service: &str,
        version: &str,
        kind: Kind<'_>,
        took: Option<Duration>,
    ) {
        let ratio = took.map(|it| self.ratio(service, version, kind, Part::First, it));
        let Some(counts) = self.counts(service, version) else { return };
        counts.answers += 1;
        counts.bad += u64::from(ratio.is_none());
        if let Some(ratio) = ratio {
            counts.first.add(ratio);
        }
    }

    /// Takes in a stream that ended, with the time from event to event.
    pub fn record_stream_end(
        &mut self,
        service: &str,
        version: &str,
        kind: Kind<'_>,
        each: Duration,
    ) {
        let ratio = self.ratio(service, version, kind, Part::Rest, each);
        if let Some(counts) = self.counts(service, version) {
            counts.rest.add(ratio);
        }
    }

    /// How many times longer than usual something took. What is usual, the old version says.
    fn ratio(
        &mut self,
        service: &str,
        version: &str,
        kind: Kind<'_>,
        part: Part,
        took: Duration,
    ) -> f64 {
        let log = (took.as_secs_f64() * 1e3 + MARGIN_MS).ln();
        let is_target = self.services.get(service).is_some_and(|it| it.order.target == version);
        let key = (kind.route.to_owned(), kind.model, part);
        let usual = match is_target {
            true => self.usual.get(&key).copied().unwrap_or(log),
            false => {
                let it = self.usual.entry(key).or_insert(log);
                let before = *it;
                *it += SMOOTHING * (log - before);
                before
            }
        };
        (log - usual).exp()
    }

    /// What was seen of a version, while that is of interest.
    fn counts(&mut self, service: &str, version: &str) -> Option<&mut Counts> {
        let it = self.services.get_mut(service)?;
        if it.phase().is_final() || it.phase() == Phase::Waiting {
            return None;
        }
        Some(if it.order.target == version { &mut it.own.new } else { &mut it.own.old })
    }
}
