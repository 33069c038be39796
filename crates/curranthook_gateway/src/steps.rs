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

/// How much longer than usual answers took, as natural logarithms of the ratios.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Delay {
    n: f64,
    sum: f64,
    squares: f64,
}

impl Delay {
    /// Adds an answer that took `ratio` times as long as usual.
    pub fn add(&mut self, ratio: f64) {
        let log = ratio.max(MIN_RATIO).ln();
        self.n += 1.0;
        self.sum += log;
        self.squares += log * log;
    }

    fn plus(self, other: Self) -> Self {
        Self {
            n: self.n + other.n,
            sum: self.sum + other.sum,
            squares: self.squares + other.squares,
        }
    }

    fn mean(self) -> f64 {
        self.sum / self.n.max(1.0)
    }

    /// The square of the mean's standard error.
    fn error(self) -> f64 {
        let variance = self.squares / self.n.max(1.0) - self.mean().powi(2);
        variance.max(MIN_VARIANCE) / self.n.max(1.0)
    }

    /// Whether these answers surely took longer than `others`, by `factor` or more.
    fn is_longer(self, others: Self, factor: f64) -> bool {
        if self.n < MIN_DELAYS || others.n < MIN_DELAYS {
            return false;
        }
        let shift = self.mean() - others.mean();
        let error = (self.error() + others.error()).sqrt();
        factor.ln() < shift && SURE * error < shift
    }
}

/// Ratios below this count as this: an answer can't be better than good.
const MIN_RATIO: f64 = 0.1;
/// What the ratios of a version vary by at least, so that a few alike ones prove nothing.
const MIN_VARIANCE: f64 = 0.25;
/// How many answers of each version a comparison needs.
const MIN_DELAYS: f64 = 8.0;
/// How many standard errors apart two versions must be: by chance once in some thousand looks.
const SURE: f64 = 3.3;
/// How much longer a new version's first events may take. Its engines begin without the prompts
/// that the old ones keep, and read all anew.
const FIRST_FACTOR: f64 = 3.0;
/// How much longer it may take from event to event, which its start doesn't change.
const REST_FACTOR: f64 = 1.6;

/// Answers of a version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// All of them.
    pub answers: u64,
    /// Those that were failures, or took many times longer than usual.
    pub bad: u64,
    /// The time to the first byte.
    #[serde(default)]
    pub first: Delay,
    /// The time from event to event.
    #[serde(default)]
    pub rest: Delay,
}

impl Counts {
    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers + other.answers,
            bad: self.bad + other.bad,
            first: self.first.plus(other.first),
            rest: self.rest.plus(other.rest),
        }
    }

    /// The share of bad answers.
    pub fn bad_share(self) -> f64 {
        if self.answers == 0 { 0.0 } else { self.bad as f64 / self.answers as f64 }
    }
}

/// What all nodes saw of both versions since the roll-out began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
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
    /// let counts = |answers, bad| Counts { answers, bad, ..Counts::default() };
    /// let old = counts(100, 5);
    /// assert!(Evidence { new: counts(10, 5), old }.is_bad());
    /// assert!(!Evidence { new: counts(100, 6), old }.is_bad());
    /// ```
    pub fn is_bad(self) -> bool {
        self.fails() || self.is_slow()
    }

    /// How many times longer than the old version's the new one's first events take.
    pub fn slower_first(self) -> f64 {
        (self.new.first.mean() - self.old.first.mean()).exp()
    }

    /// How many times longer than the old version's the new one's pauses are.
    pub fn slower_rest(self) -> f64 {
        (self.new.rest.mean() - self.old.rest.mean()).exp()
    }

    /// Whether it speaks against the new version, though perhaps not surely.
    pub fn is_suspicious(self) -> bool {
        0 < self.new.bad
            || FIRST_FACTOR < self.slower_first()
            || REST_FACTOR < self.slower_rest()
    }

    fn is_slow(self) -> bool {
        self.new.first.is_longer(self.old.first, FIRST_FACTOR)
            || self.new.rest.is_longer(self.old.rest, REST_FACTOR)
    }

    fn fails(self) -> bool {
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
