//! The progress of a rollout: which share of the requests goes to the new version, and for how
//! long.
//!
//! There is no leader. The state of a rollout is one row of the store. A node that finds a step due
//! replaces the row on condition that it is unchanged. So each step is written once, and a node
//! that was suspended or had lost its connections cannot undo one.

mod evidence;
mod routes;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    rollouts::history::History,
    store::{Order, Progress, Report, Rev},
};

pub use self::{
    evidence::{Counts, Delay, Evidence},
    routes::{Route, Routes, Tally},
};

/// The schedule of a rollout within the time limit of its order.
///
/// Some versions fail only under the load of all requests, and show no fault under less. So the
/// schedule itself bounds the requests that a version receives before it is known to be good: for
/// most of the time the version gets few requests, and shortly before the end it gets all of them.
/// It gets none in the first half of the time, because running sessions would have to change their
/// version early.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Schedule {
    /// The maximum share of a service's requests that a bad version may receive in total.
    max_exposure: f64,
    /// The requests that it may receive beyond that share; none if requests are not counted.
    slack: Option<f64>,
}

/// The part of the time limit that remains when the rollout is completed, as a multiple of
/// `max_exposure`. It is the reserve for an order that is received late, a step whose node crashes,
/// and a lost write. The requests in this span count towards the exposure, too.
const FINAL_SPAN: f64 = 0.33;
/// The part of the time limit for which [`Phase::Full`] lasts, as a multiple of `max_exposure`.
/// Most of the old version's answers end during this span.
const FULL_SPAN: f64 = 0.45;
/// For [`Phase::Partial`]: the share of requests that go to the new version, as a multiple of
/// `max_exposure`, and the part of the time limit for which the phase lasts.
const PARTIAL_SHARE_AND_SPAN: (f64, f64) = (1.2, 0.08);
/// The same for [`Phase::Canary`]. A few requests for a long time are preferred to many for a short
/// time: a failing version is detected early, even if the store becomes unavailable meanwhile. All
/// phases together stay within `max_exposure`.
const CANARY_SHARE_AND_SPAN: (f64, f64) = (0.3, 0.26);
/// The requests that a version gets before it may get all of them, if `slack` allows it. Those of a
/// service with few requests would tell too little about each route otherwise.
const TRIAL_REQUESTS: f64 = 60.0;
/// The part of `slack` that may be used for that.
const TRIAL_PART_OF_SLACK: f64 = 0.6;
/// The maximum share of requests that is added to the one of [`Phase::Canary`] for that.
const MAX_EXTRA_SHARE: f64 = 0.3;

impl Schedule {
    /// A schedule for a bound on the share of requests that a bad version may receive.
    ///
    /// ```
    /// # use curranthook_gateway::steps::{Phase, Schedule};
    /// let schedule = Schedule::new(0.15);
    /// assert!(schedule.exposure() < 0.15);
    /// assert!(schedule.share(Phase::Canary) < schedule.share(Phase::Partial));
    /// ```
    pub fn new(max_exposure: f64) -> Self {
        Self { max_exposure, slack: None }
    }

    /// Counts the requests that a version has received against those that it may receive: the
    /// share, and `slack` more. Without counts the schedule stays within the share only if requests
    /// arrive evenly, and not if many of them are lost before the version gets all others.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_gateway::{steps::{Counts, Evidence, Schedule}, store::Order};
    /// let (service, target) = ("models".to_owned(), "v2".to_owned());
    /// let order = Order { service, target, time_limit: Duration::from_secs(100) };
    /// let counts = |answers| Counts { answers, ..Counts::default() };
    /// let (new, old, before) = (counts(20), counts(30), counts(500));
    /// let lost = Evidence { new, old, before, requests: 900, ..Evidence::default() };
    /// let schedule = Schedule::new(0.15).with_slack(10.0);
    /// assert!(!schedule.is_within_bound(&order, lost, Duration::from_secs(85)));
    /// assert!(schedule.is_within_bound(&order, lost, Duration::from_secs(95)));
    /// ```
    pub fn with_slack(self, slack: f64) -> Self {
        Self { slack: Some(slack), ..self }
    }

    /// The schedule for the counts of a `share` of the nodes.
    pub fn for_share_of_nodes(self, share: f64) -> Self {
        Self { slack: self.slack.map(|it| it * share), ..self }
    }

    /// Whether the new version may receive all requests from now on, given those that were
    /// answered until `elapsed` after the order.
    pub fn is_within_bound(&self, order: &Order, evidence: Evidence, elapsed: Duration) -> bool {
        let Some(slack) = self.slack else { return true };
        let Evidence { new, old, before, requests, .. } = evidence;
        let answers = |it: Counts| it.answers as f64;
        let so_far = answers(new) + answers(old) + answers(before);
        let to_come = match elapsed.as_secs_f64() {
            0.0 => 0.0,
            // Requests that are lost now may be served in the last phases.
            elapsed_s => {
                let rate = so_far.max(requests as f64) / elapsed_s;
                rate * order.time_limit.saturating_sub(elapsed).as_secs_f64()
            }
        };
        answers(new) + to_come <= self.max_exposure * (so_far + to_come) + slack
    }

    /// The share of sessions whose requests go to the new version in `phase`.
    pub fn share(&self, phase: Phase) -> f64 {
        match phase {
            Phase::Waiting | Phase::RolledBack => 0.0,
            Phase::Canary => CANARY_SHARE_AND_SPAN.0 * self.max_exposure,
            Phase::Partial => PARTIAL_SHARE_AND_SPAN.0 * self.max_exposure,
            Phase::Full | Phase::Completed => 1.0,
        }
    }

    /// The share of sessions that go to the new version in [`Phase::Canary`] beyond [`Self::share`], for
    /// a service with `requests` within the time limit.
    ///
    /// ```
    /// # use curranthook_gateway::steps::Schedule;
    /// let schedule = Schedule::new(0.15).with_slack(30.0);
    /// assert!(0.2 < schedule.extra_share(250.0).share());
    /// assert_eq!(schedule.extra_share(100_000.0).share(), 0.0);
    /// ```
    pub fn extra_share(&self, requests: f64) -> ExtraShare {
        let part = |(share, span): (f64, f64)| share * span;
        let planned = part(CANARY_SHARE_AND_SPAN) + part(PARTIAL_SHARE_AND_SPAN);
        let missing = TRIAL_REQUESTS - planned * self.max_exposure * requests;
        let allowed = TRIAL_PART_OF_SLACK * self.slack.unwrap_or_default();
        let share = missing.min(allowed).max(0.0) / (CANARY_SHARE_AND_SPAN.1 * requests.max(1.0));
        ExtraShare((share.min(MAX_EXTRA_SHARE) * 1e3) as u16)
    }

    /// The share of all requests within the time limit that go to the new version, if no evidence
    /// stops the rollout.
    pub fn exposure(&self) -> f64 {
        self.max_exposure
            * (CANARY_SHARE_AND_SPAN.0 * CANARY_SHARE_AND_SPAN.1
                + PARTIAL_SHARE_AND_SPAN.0 * PARTIAL_SHARE_AND_SPAN.1
                + FULL_SPAN
                + FINAL_SPAN)
    }

    /// The time after which a rollout may be completed.
    pub fn completion(&self, order: &Order) -> Duration {
        order.time_limit.mul_f64(self.start_of(Phase::Completed).max(0.0))
    }

    /// When a phase starts, as a part of the time limit.
    fn start_of(&self, phase: Phase) -> f64 {
        let completed = 1.0 - FINAL_SPAN * self.max_exposure;
        let full = completed - FULL_SPAN * self.max_exposure;
        match phase {
            Phase::Waiting | Phase::RolledBack => 0.0,
            Phase::Canary => full - PARTIAL_SHARE_AND_SPAN.1 - CANARY_SHARE_AND_SPAN.1,
            Phase::Partial => full - PARTIAL_SHARE_AND_SPAN.1,
            Phase::Full => full,
            Phase::Completed => completed,
        }
    }
}

/// The phase of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// All requests stay on the old version.
    Waiting,
    /// A few requests go to the new version.
    Canary,
    /// A larger share of the requests goes to the new version than in [`Phase::Canary`].
    Partial,
    /// All requests go to the new version.
    Full,
    /// All requests go to the new version, and the old one may be shut down.
    Completed,
    /// The new version was found to be bad, and all requests go to the old one.
    RolledBack,
}

impl Phase {
    /// Whether the rollout is finished.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// A share of sessions, in thousandths.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ExtraShare(u16);

impl ExtraShare {
    /// The share.
    pub fn share(self) -> f64 {
        f64::from(self.0) / 1e3
    }

    fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

/// The state of a rollout, as stored.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The revision of the order that this rollout executes.
    pub order: Rev,
    /// The new version's name.
    pub target: String,
    /// The current phase.
    pub phase: Phase,
    /// When the rollout began, by the store's clock.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub began: Duration,
    /// When this phase began, by the store's clock.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub since: Duration,
    /// The verdicts of the orders before, for nodes that did not see them.
    #[serde(default, skip_serializing_if = "History::is_empty")]
    pub history: History,
    /// The share of sessions that go to the new version from [`Phase::Canary`] on beyond the schedule's.
    #[serde(default, skip_serializing_if = "ExtraShare::is_none")]
    pub extra_share: ExtraShare,
}

impl Step {
    /// The share of sessions whose requests go to the new version. It doesn't fall from one phase to the
    /// next, as sessions would change their version back.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_gateway::{steps::{Phase, Schedule, Step}, store::Rev};
    /// let schedule = Schedule::new(0.15).with_slack(30.0);
    /// let step = |phase| Step {
    ///     order: Rev(1),
    ///     target: "v2".to_owned(),
    ///     phase,
    ///     began: Duration::ZERO,
    ///     since: Duration::ZERO,
    ///     history: Default::default(),
    ///     extra_share: schedule.extra_share(250.0),
    /// };
    /// let share = |phase| step(phase).share(&schedule);
    /// assert!(schedule.share(Phase::Partial) < share(Phase::Canary));
    /// assert_eq!(share(Phase::Partial), share(Phase::Canary));
    /// ```
    pub fn share(&self, schedule: &Schedule) -> f64 {
        let canary = schedule.share(Phase::Canary) + self.extra_share.share();
        match self.phase {
            Phase::Canary => canary,
            Phase::Partial => canary.max(schedule.share(Phase::Partial)),
            phase => schedule.share(phase),
        }
    }

    /// The status that operators read.
    pub fn report(&self, service: &str) -> Report {
        let state = match self.phase {
            Phase::Completed => Progress::Completed,
            Phase::RolledBack => Progress::RolledBack,
            _ => Progress::Running,
        };
        Report { service: service.to_owned(), target: self.target.clone(), state }
    }
}

/// The next phase if it is due; none if the rollout stays in the current one. `now` is the store's
/// clock.
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
    let elapsed = now.saturating_sub(step.began);
    let is_supported = match next {
        Phase::Partial => evidence.allows_partial(),
        Phase::Full => {
            evidence.allows_completion() && schedule.is_within_bound(order, evidence, elapsed)
        }
        Phase::Completed => evidence.allows_completion(),
        _ => true,
    };
    let part = elapsed.as_secs_f64() / order.time_limit.as_secs_f64();
    let is_late = schedule.start_of(Phase::Completed) <= part;
    // A version that gets all requests may not keep them without being shown to be good.
    let is_unproven = step.phase == Phase::Full && order.time_limit <= elapsed && !is_supported;
    if is_unproven || (is_late && evidence.seems_bad()) {
        return Some(Phase::RolledBack);
    }
    (schedule.start_of(next) <= part && is_supported).then_some(next)
}
