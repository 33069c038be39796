//! The progress of a rollout: which share of the requests goes to the new version, and for how
//! long.
//!
//! There is no leader. The state of a rollout is one row of the store. A node that finds a step due
//! replaces the row on condition that it is unchanged. So each step is written once, and a node
//! that was suspended or had lost its connections cannot undo one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::{Order, Rev};

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
    /// let lost = Evidence { new, old, before, requests: 900 };
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
        let Evidence { new, old, before, requests } = evidence;
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

/// The minimum number of the new version's answers before [`Phase::Partial`], and before the later
/// phases. A service without models at 16 requests per second gets four answers in the canary
/// phase. If five were required, good versions of it would be completed too late.
const MIN_ANSWERS: (u64, u64) = (3, 8);
/// The minimum number of bad answers that count as evidence against a version; fewer may be chance.
const MIN_BAD: u64 = 3;
/// By how much the new version's share of bad answers must exceed the old version's to count as
/// worse.
const MIN_BAD_EXCESS: f64 = 0.03;
/// By how many standard errors the new version's share of bad answers may exceed the old version's
/// while its share of requests still grows.
const MAX_DOUBTFUL_SIGMAS: f64 = 1.5;

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
}

/// Statistics of how long answers took compared to the baseline: the count, the sum and the sum of
/// squares of the natural logarithms of the ratios.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Delay {
    n: f64,
    sum: f64,
    squares: f64,
}

impl Delay {
    /// Adds an answer that took `ratio` times as long as the baseline.
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

    /// The square of the standard error of the mean.
    fn squared_error(self) -> f64 {
        let variance = self.squares / self.n.max(1.0) - self.mean().powi(2);
        variance.max(MIN_VARIANCE) / self.n.max(1.0)
    }

    /// Whether these answers took significantly longer than `others`, by `factor` or more.
    fn is_significantly_longer(self, others: Self, factor: f64) -> bool {
        if self.n < MIN_SAMPLES || others.n < MIN_SAMPLES {
            return false;
        }
        let difference = self.mean() - others.mean();
        let error = (self.squared_error() + others.squared_error()).sqrt();
        factor.ln() < difference && SIGNIFICANT_SIGMAS * error < difference
    }
}

/// The minimum ratio that is recorded. Smaller ones are raised to it: an answer that is even faster
/// does not count as better.
const MIN_RATIO: f64 = 0.1;
/// The minimum variance assumed for the logarithms of a version's ratios, so that a few equal
/// ratios do not count as significant.
const MIN_VARIANCE: f64 = 0.25;
/// The minimum number of answers of each version for a comparison.
const MIN_SAMPLES: f64 = 8.0;
/// By how many standard errors two versions must differ; by chance, this happens once in a few
/// thousand checks.
const SIGNIFICANT_SIGMAS: f64 = 3.3;
/// The maximum ratio of a new version's time to the first event to the old version's. Its engines
/// start without the cached prompts of the old ones and have to prefill all of them again.
const MAX_FIRST_SLOWDOWN: f64 = 3.0;
/// The maximum ratio of a new version's time between events to the old version's. It is smaller
/// because a recent start does not affect this time.
const MAX_GAP_SLOWDOWN: f64 = 1.3;

/// The ratios of a version's times to the first event, and between events, above which its share of
/// requests does not grow, even if the difference is not significant. Just before the full phase,
/// good versions were measured at ratios of 0.4 to 1.2 and 0.4 to 1.0, because their engines have
/// less to do. A version whose answers take a few times as long was at 1.6 to 1.8 and 1.3 to 1.5.
const DOUBTFUL_SLOWDOWNS: (f64, f64) = (1.5, 1.25);

/// Counters of a version's answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// The number of answers, including bad ones.
    pub answers: u64,
    /// The number of failures. Slow answers are not included: under a disturbance that slows both
    /// versions, the old version's slow answers would hide the new version's failures.
    pub bad: u64,
    /// The time to the first byte, compared to the baseline.
    #[serde(default)]
    pub first: Delay,
    /// The time between stream events, compared to the baseline.
    #[serde(default)]
    pub rest: Delay,
}

impl Counts {
    /// The sum of both.
    pub fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers + other.answers,
            bad: self.bad + other.bad,
            first: self.first.plus(other.first),
            rest: self.rest.plus(other.rest),
        }
    }

    /// Whether there are no answers.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// The share of bad answers.
    pub fn bad_share(self) -> f64 {
        if self.answers == 0 { 0.0 } else { self.bad as f64 / self.answers as f64 }
    }
}

/// The evidence of all nodes about both versions since the rollout's order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Answers of the new version.
    pub new: Counts,
    /// Answers of other versions since the new version gets requests.
    pub old: Counts,
    /// Answers of other versions before that.
    #[serde(default, skip_serializing_if = "Counts::is_empty")]
    pub before: Counts,
    /// Requests for the service, whether answered or not.
    #[serde(default)]
    pub requests: u64,
}

impl Evidence {
    /// The sum of both.
    pub fn plus(self, other: Self) -> Self {
        Self {
            new: self.new.plus(other.new),
            old: self.old.plus(other.old),
            before: self.before.plus(other.before),
            requests: self.requests + other.requests,
        }
    }

    /// The answers that those of the new version are compared with. The ones of the same time are
    /// preferred, since a disturbance affects both versions. Earlier ones count, too, if the old
    /// version has given few answers since, because its endpoints are lost or limited.
    fn reference(self) -> Counts {
        if self.new.answers <= self.old.answers { self.old } else { self.old.plus(self.before) }
    }

    /// Whether the new version is bad.
    ///
    /// ```
    /// # use curranthook_gateway::steps::{Counts, Evidence};
    /// let counts = |answers, bad| Counts { answers, bad, ..Counts::default() };
    /// let evidence = |new| Evidence { new, old: counts(100, 5), ..Evidence::default() };
    /// assert!(evidence(counts(10, 5)).is_bad());
    /// assert!(!evidence(counts(100, 6)).is_bad());
    /// ```
    pub fn is_bad(self) -> bool {
        self.fails_more() || self.is_slow()
    }

    /// Whether there are enough answers, and the new version's share of bad ones is not clearly
    /// above the old version's. A version with little evidence is neither good nor bad.
    fn seems_good(self, min_answers: u64) -> bool {
        let (excess, error) = self.bad_share_excess();
        let seems_reliable = excess < MIN_BAD_EXCESS || excess < MAX_DOUBTFUL_SIGMAS * error;
        min_answers <= self.new.answers && seems_reliable && !self.seems_slow()
    }

    /// Whether the evidence suffices for [`Phase::Completed`].
    pub fn allows_completion(self) -> bool {
        self.seems_good(MIN_ANSWERS.1)
    }

    /// Whether the new version seems slower, even if not significantly so. Times with fewer than
    /// `MIN_SAMPLES` answers of either version are not compared.
    fn seems_slow(self) -> bool {
        let is_comparable = |new: Delay, old: Delay| MIN_SAMPLES <= new.n && MIN_SAMPLES <= old.n;
        let reference = self.reference();
        (is_comparable(self.new.first, reference.first)
            && DOUBTFUL_SLOWDOWNS.0 < self.first_event_slowdown())
            || (is_comparable(self.new.rest, reference.rest)
                && DOUBTFUL_SLOWDOWNS.1 < self.event_gap_slowdown())
    }

    /// The ratio of the new version's time to the first event to the old version's.
    pub fn first_event_slowdown(self) -> f64 {
        (self.new.first.mean() - self.reference().first.mean()).exp()
    }

    /// The ratio of the new version's time between events to the old version's.
    pub fn event_gap_slowdown(self) -> f64 {
        (self.new.rest.mean() - self.reference().rest.mean()).exp()
    }

    /// Whether there is any evidence against the new version, even if not significant.
    pub fn is_suspicious(self) -> bool {
        0 < self.new.bad
            || MAX_FIRST_SLOWDOWN < self.first_event_slowdown()
            || MAX_GAP_SLOWDOWN < self.event_gap_slowdown()
    }

    fn is_slow(self) -> bool {
        let reference = self.reference();
        self.new.first.is_significantly_longer(reference.first, MAX_FIRST_SLOWDOWN)
            || self.new.rest.is_significantly_longer(reference.rest, MAX_GAP_SLOWDOWN)
    }

    fn fails_more(self) -> bool {
        let (excess, error) = self.bad_share_excess();
        MIN_BAD <= self.new.bad && MIN_BAD_EXCESS < excess && SIGNIFICANT_SIGMAS * error < excess
    }

    /// By how much the new version's share of bad answers exceeds the old version's, and the
    /// standard error of that difference. Without any answer of the old version, a version is
    /// expected to have no bad ones.
    fn bad_share_excess(self) -> (f64, f64) {
        let reference = self.reference();
        let excess = self.new.bad_share() - reference.bad_share();
        let overall = self.new.plus(reference).bad_share();
        let inverse = |n: u64| if n == 0 { 0.0 } else { 1.0 / n as f64 };
        let per_answer = inverse(self.new.answers.max(1)) + inverse(reference.answers);
        (excess, (overall * (1.0 - overall) * per_answer).sqrt())
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
        Phase::Partial => evidence.seems_good(MIN_ANSWERS.0),
        Phase::Full => {
            evidence.allows_completion() && schedule.is_within_bound(order, evidence, elapsed)
        }
        Phase::Completed => evidence.allows_completion(),
        _ => true,
    };
    let part = elapsed.as_secs_f64() / order.time_limit.as_secs_f64();
    (schedule.start_of(next) <= part && is_supported).then_some(next)
}
