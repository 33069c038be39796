//! The rollouts, according to the rows that a node has read and the answers that it has seen.

mod answers;
mod baseline;
pub mod history;
mod rule;
pub mod trial;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use curranthook_policy::hash;

use crate::{
    steps::{Evidence, Phase, Schedule, Step},
    store::{Era, Order, Rev},
};

pub use self::{
    answers::{Kind, Outcome, Pace},
    rule::{Basis, Knowledge, Rule},
};
use self::{baseline::Baseline, history::History, trial::Trial};

/// The age at which a report of evidence is dropped. Nodes repeat theirs twice a second.
const MAX_REPORT_AGE: Duration = Duration::from_secs(4);

/// The rollouts by service.
#[derive(Debug)]
pub struct Rollouts {
    schedule: Schedule,
    services: HashMap<String, Rollout>,
    /// The usual times of the old versions' answers.
    baseline: Baseline,
}

/// The rollout of one service.
#[derive(Debug, Clone)]
pub struct Rollout {
    /// The operator's order.
    pub order: Order,
    /// The revision of the order, which identifies it.
    pub order_rev: Rev,
    /// The verdicts of the orders before.
    pub history: History,
    /// When this node received the order, by the store's clock; none if unknown.
    pub received_at: Option<Duration>,
    /// The newest step and its revision; none before the first step.
    pub step: Option<(Step, Rev)>,
    /// Whether a step was received that this build cannot decode.
    pub has_unreadable_step: bool,
    /// The evidence of this node.
    pub own: Evidence,
    /// Whether the row with this node's evidence is this process's own, and not an earlier one's.
    pub owns_row: bool,
    /// The part of this node's own evidence that its row contains.
    pub own_in_row: Evidence,
    /// The evidence of each other node that wrote a row.
    pub others: HashMap<String, Evidence>,
    /// The evidence that each collector wrote for the nodes that report to it, and their number.
    pub collected: HashMap<String, (Evidence, u64)>,
    /// The evidence that other nodes reported to this one as their collector, and when they did.
    pub reported: HashMap<String, (Evidence, Instant)>,
    /// The sum of all of these. Every request needs it, and a fleet has many rows.
    sum_of_others: Evidence,
    /// When evidence of another node last arrived, by the store's clock.
    pub evidence_received_at: Option<Duration>,
}

impl Rollout {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.step.as_ref().map_or(Phase::Waiting, |(step, _)| step.phase)
    }

    /// Whether `order` is the revision of its order, in this era of the store or an earlier one.
    fn executes(&self, order: Rev) -> bool {
        self.order_rev.number() == order.number()
    }

    /// The newest step, if the store that began `era` may not have it: it was written before, or for
    /// a revision of the order that the store has lost.
    pub fn unconfirmed_step(&self, era: Era) -> Option<&Step> {
        let (step, rev) = self.step.as_ref()?;
        let is_ordered = self.order_rev.era() == era;
        (is_ordered && (rev.era() < era || step.order != self.order_rev)).then_some(step)
    }

    /// The evidence of all nodes together.
    pub fn evidence(&self) -> Evidence {
        self.own.plus(self.sum_of_others)
    }

    /// The evidence that was reported to this node, and the number of nodes that it comes from.
    pub fn reported_sum(&self) -> (Evidence, u64) {
        let reports = self.reported.values().map(|(evidence, _)| *evidence);
        let sum = reports.fold(Evidence::default(), Evidence::plus);
        (sum, self.reported.len() as u64)
    }

    /// The number of nodes whose evidence is known, including this one.
    pub fn n_reporting(&self) -> u64 {
        let n_collected: u64 = self.collected.values().map(|(_, n)| n).sum();
        1 + (self.others.len() + self.reported.len()) as u64 + n_collected
    }

    /// Replaces a part of the other nodes' evidence.
    fn replace(&mut self, before: Option<Evidence>, evidence: Evidence) {
        let others = self.sum_of_others.minus(before.unwrap_or_default());
        self.sum_of_others = others.plus(evidence);
    }

    /// Whether the rollout may have been completed, so that the old version's endpoints may have
    /// been stopped, although this node knows of no such step. The lack of endpoints itself tells
    /// nothing: a version under test must not get all requests because the old one is lost.
    fn may_be_completed(&self, schedule: &Schedule, knowledge: Knowledge) -> bool {
        let evidence = self.evidence();
        if self.phase() == Phase::RolledBack || evidence.is_bad() {
            return false;
        }
        if self.has_unreadable_step {
            return true;
        }
        let began = self.step.as_ref().map(|(step, _)| step.began).or(self.received_at);
        let Some((now, began)) = knowledge.now.zip(began) else { return !knowledge.is_current };
        let elapsed = now.saturating_sub(began);
        // The bound on the version's requests applies up to the time limit.
        let is_over = self.order.time_limit <= elapsed;
        let is_unconfirmed = !knowledge.is_current || evidence.allows_completion();
        is_over || (is_unconfirmed && schedule.completion(&self.order) <= elapsed)
    }
}

impl Rollouts {
    /// Creates an empty set of rollouts, all of which will follow `schedule`.
    pub fn new(schedule: Schedule) -> Self {
        Self { schedule, services: HashMap::new(), baseline: Baseline::default() }
    }

    /// The schedule of all rollouts.
    pub fn schedule(&self) -> &Schedule {
        &self.schedule
    }

    /// Applies an order that was received when the store's clock read `received_at`.
    pub fn apply_order(&mut self, order: Order, rev: Rev, received_at: Option<Duration>) {
        if let Some(it) = self.services.get_mut(&order.service)
            && it.order_rev.era() < rev.era()
            && it.order == order
        {
            // The store came back from a copy with the order, or the operator has written it again.
            it.order_rev = rev;
            return;
        }
        let known = self.services.get(&order.service);
        if known.is_some_and(|it| rev <= it.order_rev) {
            return;
        }
        let service = order.service.clone();
        let step = known.and_then(|it| it.step.clone()).filter(|(step, _)| step.order == rev);
        let mut history = known.map(|it| it.history.clone()).unwrap_or_default();
        if let Some(it) = known {
            history.record(&it.order.target, it.phase());
        }
        // The operator gives the version another chance.
        history.rolled_back.retain(|it| *it != order.target);
        let rollout = Rollout {
            order,
            order_rev: rev,
            history,
            received_at,
            step,
            has_unreadable_step: false,
            own: Evidence::default(),
            owns_row: false,
            own_in_row: Evidence::default(),
            others: HashMap::new(),
            collected: HashMap::new(),
            reported: HashMap::new(),
            sum_of_others: Evidence::default(),
            evidence_received_at: None,
        };
        self.services.insert(service, rollout);
    }

    /// Applies a step. Returns whether it is new.
    pub fn apply_step(&mut self, service: &str, step: Step, rev: Rev) -> bool {
        let Some(it) = self.services.get_mut(service) else { return false };
        // A restored store may have an earlier step, which this node writes again.
        let is_newer = it.step.as_ref().is_none_or(|(known, known_rev)| {
            *known_rev < rev && (known_rev.era() == rev.era() || known.phase <= step.phase)
        });
        let is_for_order = it.executes(step.order) && step.target == it.order.target;
        if is_newer && is_for_order {
            if it.history.is_empty() {
                it.history = step.history.clone();
            }
            it.step = Some((step, rev));
            it.has_unreadable_step = false;
        }
        is_newer && is_for_order
    }

    /// Records that the newest step of a service cannot be decoded.
    pub fn record_unreadable_step(&mut self, service: &str) {
        if let Some(it) = self.services.get_mut(service) {
            it.has_unreadable_step = true;
        }
    }

    /// Applies the evidence of another node, which arrived when the store's clock read
    /// `received_at`.
    pub fn apply_evidence(
        &mut self,
        service: &str,
        order: Rev,
        (node, evidence): (&str, Evidence),
        received_at: Option<Duration>,
    ) {
        if let Some(it) = self.of_order(service, order) {
            let before = it.others.insert(node.to_owned(), evidence);
            it.replace(before, evidence);
            it.evidence_received_at = received_at;
        }
    }

    /// Applies the sum of the evidence that `n_nodes` reported to `collector`.
    pub fn apply_collected(
        &mut self,
        service: &str,
        order: Rev,
        collector: &str,
        (evidence, n_nodes): (Evidence, u64),
    ) {
        if let Some(it) = self.of_order(service, order) {
            let before = it.collected.insert(collector.to_owned(), (evidence, n_nodes));
            it.replace(before.map(|(evidence, _)| evidence), evidence);
        }
    }

    /// Applies the evidence that another node reported to this one.
    pub fn apply_report(
        &mut self,
        service: &str,
        order: Rev,
        (node, evidence): (&str, Evidence),
        now: Instant,
    ) {
        if let Some(it) = self.of_order(service, order) {
            let before = it.reported.insert(node.to_owned(), (evidence, now));
            it.replace(before.map(|(evidence, _)| evidence), evidence);
        }
    }

    /// Drops the reports of nodes that have not repeated them: those report to another collector
    /// now, which adds the same evidence.
    pub fn expire_reports(&mut self, now: Instant) {
        for it in self.services.values_mut() {
            let is_expired = |at: Instant| MAX_REPORT_AGE <= now.saturating_duration_since(at);
            let expired: Vec<_> = it.reported.extract_if(|_, (_, at)| is_expired(*at)).collect();
            for (_, (evidence, _)) in expired {
                it.replace(Some(evidence), Evidence::default());
            }
        }
    }

    /// The rollout of a service, if it executes this order.
    fn of_order(&mut self, service: &str, order: Rev) -> Option<&mut Rollout> {
        self.services.get_mut(service).filter(|it| it.executes(order))
    }

    /// Applies the evidence that an earlier process of this node wrote. Rows of this process have
    /// no effect.
    pub fn restore_evidence(&mut self, service: &str, order: Rev, evidence: Evidence) {
        if let Some(it) = self.of_order(service, order).filter(|it| !it.owns_row) {
            it.owns_row = true;
            it.own = it.own.plus(evidence);
            it.own_in_row = evidence;
        }
    }

    /// Records that this process writes the row with this node's evidence.
    pub fn record_evidence_written(&mut self, service: &str) {
        if let Some(it) = self.services.get_mut(service) {
            it.owns_row = true;
        }
    }

    /// Records that the row with this node's evidence contains `own`.
    pub fn record_row(&mut self, service: &str, order: Rev, own: Evidence) {
        if let Some(it) = self.of_order(service, order) {
            it.own_in_row = own;
        }
    }

    /// The rollouts that are not finished.
    pub fn running(&self) -> impl Iterator<Item = &Rollout> {
        self.services.values().filter(|it| !it.phase().is_final())
    }

    /// All rollouts.
    pub fn all(&self) -> impl Iterator<Item = &Rollout> {
        self.services.values()
    }

    /// The newest rollout of a service, if any.
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.services.get(service)
    }

    /// The versions that a request may be sent to. All requests of a session have the same
    /// `session`, so that they stay on one version as the new version's share grows.
    pub fn rule(&self, service: &str, session: u64, knowledge: Knowledge) -> Rule {
        let Some(it) = self.services.get(service) else { return Rule::Any };
        let target = &it.order.target;
        let position = hash::unit(hash::pair(hash::bytes(target.as_bytes()), session));
        // Until the rollback is written and read by all nodes, some time passes, and more while the
        // store is unavailable. A node with evidence of a bad version stops using it without
        // waiting for that step.
        let is_suspect = !it.phase().is_final() && it.evidence().is_bad();
        let share = it.step.as_ref().map_or(0.0, |(step, _)| step.share(&self.schedule));
        if !is_suspect && position < share {
            match it.phase() {
                Phase::Canary | Phase::Partial => Rule::Trial(Trial::new(target, position, share)),
                _ => Rule::Only(target.clone()),
            }
        } else if it.may_be_completed(&self.schedule, knowledge) {
            Rule::Avoid(target.clone())
        } else if it.history.is_empty() {
            Rule::Not(target.clone())
        } else {
            Rule::Keep { history: it.history.clone(), target: target.clone() }
        }
    }

    /// What is known of a service's rollout when `rule` decides on a request that is sent to
    /// `version`; none if there is no rollout. `now` is the store's clock.
    pub fn basis(
        &self,
        service: &str,
        rule: &Rule,
        version: &str,
        now: Option<Duration>,
    ) -> Option<Basis> {
        let it = self.services.get(service)?;
        let evidence = it.evidence().new;
        let received_at = it.evidence_received_at;
        Some(Basis {
            rule: rule.name(),
            phase: it.phase(),
            step_rev: it.step.as_ref().map(|(_, rev)| *rev),
            new_answers: evidence.answers,
            new_bad: evidence.bad,
            evidence_age: now.zip(received_at).map(|(now, at)| now.saturating_sub(at)),
            last_resort: !rule.allows(version),
            concentrated: false,
            session: String::new(),
        })
    }
}
