//! How a roll-out goes on: which share of the requests is on the new version, and for how long.
//!
//! No node leads. The state of a roll-out is one row of the store; whichever node finds a step
//! due replaces the row under the condition that it's unchanged, so each step is taken once,
//! and a node that was frozen or cut off can't undo one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::{Order, Rev};

/// When the first requests go to the new version, as a part of the time that the order allows.
/// Until then sessions that are under way would have to change their version early on.
const CANARY_AT: f64 = 0.51;
/// When a larger part goes there.
const PARTIAL_AT: f64 = 0.62;
/// When all go there.
const FULL_AT: f64 = 0.72;
/// When the old version is given up: late enough for what still runs there to end.
const COMPLETE_AT: f64 = 0.9;
/// How long all requests must have been on the new version before the old one is given up.
const MIN_FULL: Duration = Duration::from_secs(3);
/// How many answers of the new version a larger share needs.
const MIN_ANSWERS: u64 = 5;
/// How many bad answers speak against a version; fewer may be chance.
const MIN_BAD: u64 = 4;
/// A version is bad if its share of bad answers is above the old one's times this, and more by
/// [`BAD_MARGIN`].
const BAD_RATIO: f64 = 3.0;
/// See [`BAD_RATIO`].
const BAD_MARGIN: f64 = 0.1;

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// All requests stay on the old version.
    Waiting,
    /// A few go to the new one.
    Canary,
    /// A quarter does.
    Partial,
    /// All do.
    Full,
    /// The old version is gone.
    Completed,
    /// The new version is given up.
    RolledBack,
}

impl Phase {
    /// The share of sessions on the new version.
    pub fn share(self) -> f64 {
        match self {
            Self::Waiting | Self::RolledBack => 0.0,
            Self::Canary => 0.08,
            Self::Partial => 0.25,
            Self::Full | Self::Completed => 1.0,
        }
    }

    /// Whether it is over.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// The state of a roll-out, as the store keeps it.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The order that it carries out.
    pub order: Rev,
    /// The new version.
    pub target: String,
    /// How far it is.
    pub phase: Phase,
    /// When it began, by the store's clock.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub began: Duration,
    /// When this phase began, by the store's clock.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub since: Duration,
}

/// Answers of a version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All of them.
    pub answers: u64,
    /// Those that were failures, or took many times longer than usual.
    pub bad: u64,
}

impl Counts {
    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self { answers: self.answers + other.answers, bad: self.bad + other.bad }
    }

    /// The share of bad answers.
    pub fn bad_share(self) -> f64 {
        if self.answers == 0 { 0.0 } else { self.bad as f64 / self.answers as f64 }
    }
}

/// What all nodes saw of both versions since the roll-out began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Answers of the new version.
    pub new: Counts,
    /// Answers of the others.
    pub old: Counts,
}

impl Evidence {
    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self { new: self.new.plus(other.new), old: self.old.plus(other.old) }
    }

    /// Whether the new version is bad.
    ///
    /// ```
    /// # use curranthook_gateway::steps::{Counts, Evidence};
    /// let old = Counts { answers: 100, bad: 5 };
    /// assert!(Evidence { new: Counts { answers: 10, bad: 5 }, old }.is_bad());
    /// assert!(!Evidence { new: Counts { answers: 100, bad: 6 }, old }.is_bad());
    /// ```
    pub fn is_bad(self) -> bool {
        MIN_BAD <= self.new.bad
            && BAD_RATIO * self.old.bad_share() + BAD_MARGIN < self.new.bad_share()
    }
}

/// The phase that is due, if it's another than the present one. `now` is the store's clock.
pub fn due(order: &Order, step: &Step, evidence: Evidence, now: Duration) -> Option<Phase> {
    if step.phase.is_final() {
        return None;
    }
    if evidence.is_bad() {
        return Some(Phase::RolledBack);
    }
    let elapsed = now.saturating_sub(step.began).as_secs_f64() / order.within.as_secs_f64();
    let in_phase = now.saturating_sub(step.since);
    let seen = MIN_ANSWERS <= evidence.new.answers;
    match step.phase {
        Phase::Waiting => (CANARY_AT <= elapsed).then_some(Phase::Canary),
        Phase::Canary => (PARTIAL_AT <= elapsed && seen).then_some(Phase::Partial),
        Phase::Partial => (FULL_AT <= elapsed && seen).then_some(Phase::Full),
        Phase::Full => (COMPLETE_AT <= elapsed && MIN_FULL <= in_phase).then_some(Phase::Completed),
        Phase::Completed | Phase::RolledBack => None,
    }
}
