//! How a roll-out goes on: which share of the requests is on the new version, and for how long.
//!
//! No node leads. The state of a roll-out is one row of the store; whichever node finds a step
//! due replaces the row under the condition that it's unchanged, so each step is taken once,
//! and a node that was frozen or cut off can't undo one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::{Order, Rev};

/// How a roll-out is spread over the time that its order allows.
///
/// Some versions turn out bad under a load that they meet only in full use, or not at all before
/// it. So the schedule itself keeps the requests that meet a version of which nobody knows yet
/// within the bound: most of the time goes by with a few, all of them follow shortly before the
/// end. Until half the time is over none go there, as sessions under way would have to change
/// their version early on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Schedule {
    /// The largest share of a service's requests that a bad version may get in all.
    exposure: f64,
}

/// How much of the time is left when the old version is given up, in units of the bound. It covers
/// an order that is heard late, a step whose node is lost, and a lost write; requests in it count
/// as met by the new version, too.
const REST: f64 = 0.33;
/// For which part of the time all requests go to the new version before that, in units of the bound. Most
/// answers of the old version end in it.
const FULL: f64 = 0.45;
/// Which share of the requests goes there before, in units of the bound, and for how long.
const PARTIAL: (f64, f64) = (1.2, 0.08);
/// The same for the first requests. Few for long rather than many for a short time: a version that fails
/// is found before the time is short, also if the store goes away meanwhile. All phases together stay within
/// the bound.
const CANARY: (f64, f64) = (0.3, 0.26);

impl Schedule {
    /// A schedule for a bound on exposure.
    ///
    /// ```
    /// # use curranthook_gateway::steps::{Phase, Schedule};
    /// let schedule = Schedule::new(0.15);
    /// assert!(schedule.exposure() < 0.15);
    /// assert!(schedule.share(Phase::Canary) < schedule.share(Phase::Partial));
    /// ```
    pub fn new(exposure: f64) -> Self {
        Self { exposure }
    }

    /// The share of sessions on the new version.
    pub fn share(&self, phase: Phase) -> f64 {
        match phase {
            Phase::Waiting | Phase::RolledBack => 0.0,
            Phase::Canary => CANARY.0 * self.exposure,
            Phase::Partial => PARTIAL.0 * self.exposure,
            Phase::Full | Phase::Completed => 1.0,
        }
    }

    /// The share of all requests until the end of the order's time that go to the new version, if
    /// nothing speaks against it.
    pub fn exposure(&self) -> f64 {
        self.exposure * (CANARY.0 * CANARY.1 + PARTIAL.0 * PARTIAL.1 + FULL + REST)
    }

    /// When a phase begins, as a part of the time that the order allows.
    fn begins(&self, phase: Phase) -> f64 {
        let completed = 1.0 - REST * self.exposure;
        let full = completed - FULL * self.exposure;
        match phase {
            Phase::Waiting | Phase::RolledBack => 0.0,
            Phase::Canary => full - PARTIAL.1 - CANARY.1,
            Phase::Partial => full - PARTIAL.1,
            Phase::Full => full,
            Phase::Completed => completed,
        }
    }
}

/// How many answers of the new version a larger share needs, and how many its use by all. A plain
/// service of 16 requests a second sees four during its first phase; were five needed, its good
/// versions would be done too late.
const MIN_ANSWERS: (u64, u64) = (3, 8);
/// How many bad answers speak against a version; fewer may be chance.
const MIN_BAD: u64 = 3;
/// By how much its share of bad answers must be above the old version's.
const BAD_MARGIN: f64 = 0.03;
/// How many standard errors above the old version's it may be for a larger share.
const DOUBTFUL: f64 = 1.5;

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
const REST_FACTOR: f64 = 1.3;

/// How much longer the first events and the pauses of a version may seem before all requests go
/// there. Good versions were at 0.4 to 1.2 and 0.4 to 1.0 at that time, as their engines have less
/// to do; one whose answers take some times as long at 1.6 to 1.8 and 1.3 to 1.5.
const SEEMS_SLOW: (f64, f64) = (1.5, 1.25);

/// Answers of a version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// All of them.
    pub answers: u64,
    /// Those that were failures. Slow ones aren't among them: under a disturbance that slows both
    /// versions, the old one's would hide the new one's failures.
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

    /// Whether enough answers are known, and not clearly more of them are bad than the old
    /// version's. A version may be neither good nor bad for a while.
    fn seems_good(self, min_answers: u64) -> bool {
        let (shift, error) = self.bad_shift();
        let seems_sound = shift < BAD_MARGIN || shift < DOUBTFUL * error;
        min_answers <= self.new.answers && seems_sound && !self.seems_slow()
    }

    /// Whether it seems slower, though perhaps not surely. What few answers say is left aside.
    fn seems_slow(self) -> bool {
        let says = |new: Delay, old: Delay| MIN_DELAYS <= new.n && MIN_DELAYS <= old.n;
        (says(self.new.first, self.old.first) && SEEMS_SLOW.0 < self.slower_first())
            || (says(self.new.rest, self.old.rest) && SEEMS_SLOW.1 < self.slower_rest())
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
        0 < self.new.bad || FIRST_FACTOR < self.slower_first() || REST_FACTOR < self.slower_rest()
    }

    fn is_slow(self) -> bool {
        self.new.first.is_longer(self.old.first, FIRST_FACTOR)
            || self.new.rest.is_longer(self.old.rest, REST_FACTOR)
    }

    fn fails(self) -> bool {
        let (shift, error) = self.bad_shift();
        MIN_BAD <= self.new.bad && BAD_MARGIN < shift && SURE * error < shift
    }

    /// By how much the new version's share of bad answers is above the old one's, and the standard
    /// error of that.
    fn bad_shift(self) -> (f64, f64) {
        let shift = self.new.bad_share() - self.old.bad_share();
        let both = self.new.plus(self.old).bad_share();
        let answers = |it: Counts| (it.answers as f64).max(1.0);
        let per_answer = 1.0 / answers(self.new) + 1.0 / answers(self.old);
        (shift, (both * (1.0 - both) * per_answer).sqrt())
    }
}

/// The phase that is due, if it's another than the present one. `now` is the store's clock.
pub fn due(
    schedule: &Schedule,
    order: &Order,
    step: &Step,
    evidence: Evidence,
    now: Duration,
) -> Option<Phase> {
    if step.phase.is_final() {
        return None;
    }
    if evidence.is_bad() {
        return Some(Phase::RolledBack);
    }
    let next = match step.phase {
        Phase::Waiting => Phase::Canary,
        Phase::Canary => Phase::Partial,
        Phase::Partial => Phase::Full,
        Phase::Full => Phase::Completed,
        Phase::Completed | Phase::RolledBack => return None,
    };
    let elapsed = now.saturating_sub(step.began).as_secs_f64() / order.time_limit.as_secs_f64();
    let is_known = match next {
        Phase::Partial => evidence.seems_good(MIN_ANSWERS.0),
        Phase::Full | Phase::Completed => evidence.seems_good(MIN_ANSWERS.1),
        _ => true,
    };
    (schedule.begins(next) <= elapsed && is_known).then_some(next)
}
