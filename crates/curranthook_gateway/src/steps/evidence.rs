//! The evidence for and against the new version of a rollout: failures and times of its answers,
//! compared with those of the old one.

use serde::{Deserialize, Serialize};

use super::{Routes, Tally};

/// The minimum number of the new version's answers before [`Phase::Partial`](super::Phase::Partial).
/// A service with few requests gives no more in the canary phase.
const MIN_ANSWERS_FOR_PARTIAL: u64 = 3;
/// The minimum number of the new version's answers before the later phases.
pub(super) const MIN_ANSWERS_FOR_FULL: u64 = 20;
/// The minimum number of the new version's streams that are expected to tell the time between events.
const MIN_EXPECTED_STREAMS: f64 = 8.0;
/// The bad answers after which a version is given up that isn't shown to be good.
const MAX_BAD_UNPROVEN: u64 = 40;
/// The minimum number of bad answers that count as evidence against a version; fewer may be chance.
const MIN_BAD: u64 = 3;
/// By how much the new version's share of bad answers must exceed the old version's to count as
/// worse.
const MIN_BAD_EXCESS: f64 = 0.03;
/// By how many standard errors the new version's share of bad answers may exceed the old version's
/// while its share of requests still grows.
const MAX_DOUBTFUL_SIGMAS: f64 = 1.5;

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

    /// What remains without `other`, which was added before.
    fn minus(self, other: Self) -> Self {
        Self {
            n: self.n - other.n,
            sum: self.sum - other.sum,
            squares: self.squares - other.squares,
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

    /// Whether these answers took longer than `others`, according to `bar`.
    fn is_longer(self, others: Self, bar: Bar) -> bool {
        if self.n < bar.min_samples || others.n < bar.min_samples {
            return false;
        }
        let difference = self.mean() - others.mean();
        let error = (self.squared_error() + others.squared_error()).sqrt();
        bar.ratio.ln() < difference && bar.sigmas * error < difference
    }
}

/// What a difference between the times of two versions must exceed to count.
#[derive(Debug, Clone, Copy)]
struct Bar {
    /// The ratio of the averages.
    ratio: f64,
    /// The standard errors of their difference.
    sigmas: f64,
    /// The number of answers of each version.
    min_samples: f64,
}

/// The minimum ratio that is recorded. Smaller ones are raised to it: an answer that is even faster
/// does not count as better.
const MIN_RATIO: f64 = 0.1;
/// The minimum variance assumed for the logarithms of a version's ratios, so that a few equal
/// ratios do not count as significant.
const MIN_VARIANCE: f64 = 0.25;
/// By how many standard errors two versions must differ; by chance, this happens once in a few
/// thousand checks.
const SIGNIFICANT_SIGMAS: f64 = 3.3;
/// The time to the first event of a version that is slow. Its engines start without the cached
/// prompts of the old ones and have to prefill all of them again.
const SLOW_FIRST: Bar = Bar { ratio: 3.0, sigmas: SIGNIFICANT_SIGMAS, min_samples: 8.0 };
/// The time between events of a version that is slow. The ratio is smaller because a recent start
/// does not affect this time.
const SLOW_GAP: Bar = Bar { ratio: 1.3, sigmas: SIGNIFICANT_SIGMAS, min_samples: 8.0 };
/// The time to the first event above which a version's share of requests does not grow, even if the
/// difference is not significant.
const DOUBTFUL_FIRST: Bar = Bar { ratio: 1.5, sigmas: 0.0, min_samples: 8.0 };
/// The same for the time between events. Few streams suffice if they are clearly slower: a small
/// service has no more of them when the version could get all requests.
const DOUBTFUL_GAP: Bar = Bar { ratio: 1.25, sigmas: 1.5, min_samples: 3.0 };

/// The ratio to the baseline from which an answer counts as slow.
const SLOW_ANSWER_RATIO: f64 = 4.0;
/// The minimum number of slow answers that count as evidence against a version; fewer may be chance.
const MIN_SLOW: u64 = 4;
/// By how much the new version's share of slow answers must exceed the old version's.
const MIN_SLOW_EXCESS: f64 = 0.1;

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
    /// The number of answers whose first byte took several times as long as the baseline.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub slow: u64,
    /// The time between stream events, compared to the baseline.
    #[serde(default)]
    pub rest: Delay,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

impl Counts {
    /// Adds the time to the first byte of an answer, which took `ratio` times as long as the
    /// baseline.
    pub fn add_first(&mut self, ratio: f64) {
        self.first.add(ratio);
        self.slow += u64::from(SLOW_ANSWER_RATIO <= ratio);
    }

    /// The sum of both.
    pub fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers + other.answers,
            bad: self.bad + other.bad,
            first: self.first.plus(other.first),
            slow: self.slow + other.slow,
            rest: self.rest.plus(other.rest),
        }
    }

    /// What remains without `other`, which was added before.
    fn minus(self, other: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(other.answers),
            bad: self.bad.saturating_sub(other.bad),
            first: self.first.minus(other.first),
            slow: self.slow.saturating_sub(other.slow),
            rest: self.rest.minus(other.rest),
        }
    }

    /// Whether there are no answers.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    fn tally(self) -> Tally {
        let count = |n| u32::try_from(n).unwrap_or(u32::MAX);
        Tally { answers: count(self.answers), bad: count(self.bad) }
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
    /// Those among them from endpoints that get the load of a busy one, without their times.
    #[serde(default, skip_serializing_if = "Counts::is_empty")]
    pub concentrated: Counts,
    /// Answers of other versions since the new version gets requests.
    pub old: Counts,
    /// Answers of other versions before that.
    #[serde(default, skip_serializing_if = "Counts::is_empty")]
    pub before: Counts,
    /// Requests for the service, whether answered or not.
    #[serde(default)]
    pub requests: u64,
    /// The answers of all versions by route.
    #[serde(default, skip_serializing_if = "Routes::is_empty")]
    pub routes: Routes,
}

impl Evidence {
    /// Whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// The sum of both.
    pub fn plus(self, other: Self) -> Self {
        Self {
            new: self.new.plus(other.new),
            concentrated: self.concentrated.plus(other.concentrated),
            old: self.old.plus(other.old),
            before: self.before.plus(other.before),
            requests: self.requests + other.requests,
            routes: self.routes.plus(other.routes),
        }
    }

    /// What remains without `other`, which was added before.
    ///
    /// ```
    /// # use curranthook_gateway::steps::Evidence;
    /// let (known, added) = (Evidence { requests: 5, ..Evidence::default() }, Evidence::default());
    /// assert_eq!(known.plus(added).minus(added), known);
    /// ```
    pub fn minus(self, other: Self) -> Self {
        Self {
            new: self.new.minus(other.new),
            concentrated: self.concentrated.minus(other.concentrated),
            old: self.old.minus(other.old),
            before: self.before.minus(other.before),
            requests: self.requests.saturating_sub(other.requests),
            routes: self.routes.minus(other.routes),
        }
    }

    /// The answers that those of the new version are compared with. The ones of the same time are
    /// preferred, since a disturbance affects both versions. Earlier ones count, too, if the old
    /// version has given few answers since, because its endpoints are lost or limited.
    fn reference(self) -> Counts {
        if self.new.answers <= self.old.answers { self.old } else { self.old.plus(self.before) }
    }

    /// The answers by route, also those of which it isn't known.
    fn routes(&self) -> Routes {
        self.routes.with_rest(self.new.tally(), self.old.tally(), self.before.tally())
    }

    /// The logarithm of the likelihood ratio of a good version to a bad one, by the new version's
    /// failures.
    pub fn log_ratio(self) -> f64 {
        self.routes().log_ratio()
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
        self.fails_more()
            || self.fails_more_on_a_route()
            || self.is_slow()
            || self.is_partly_slow()
            || (MAX_BAD_UNPROVEN <= self.new.bad && !self.routes().are_good())
    }

    /// Whether the new version's failures speak against it, even if not significantly so.
    pub fn seems_bad(self) -> bool {
        MIN_ANSWERS_FOR_FULL <= self.new.answers && self.routes().seem_bad()
    }

    /// Whether there are enough answers, and the new version's share of bad ones is not clearly
    /// above the old version's, also under load. A version with little evidence is neither good nor
    /// bad.
    fn seems_good(self, min_answers: u64) -> bool {
        let is_doubtful = |counts: Counts| {
            let (excess, error) = self.bad_share_excess(counts);
            MIN_BAD_EXCESS <= excess && MAX_DOUBTFUL_SIGMAS * error <= excess
        };
        let fails_under_load = 1 < self.concentrated.bad && is_doubtful(self.concentrated);
        min_answers <= self.new.answers
            && !is_doubtful(self.new)
            && !fails_under_load
            && !self.seems_slow()
    }

    /// Whether the evidence suffices for [`Phase::Partial`](super::Phase::Partial).
    pub fn allows_partial(self) -> bool {
        self.seems_good(MIN_ANSWERS_FOR_PARTIAL)
    }

    /// Whether the evidence suffices for the phases in which the version gets all requests.
    pub fn allows_completion(self) -> bool {
        self.seems_good(MIN_ANSWERS_FOR_FULL)
            && self.routes().are_good()
            && !self.lacks_event_gaps()
    }

    /// Whether the new version's streams have just begun, so that their times between events are not
    /// known yet: of as many answers of the old version, those of enough streams are.
    fn lacks_event_gaps(self) -> bool {
        let reference = self.reference();
        let gaps_per_answer = reference.rest.n / reference.answers.max(1) as f64;
        let n_spread = self.new.answers.saturating_sub(self.concentrated.answers);
        let n_expected = gaps_per_answer * n_spread as f64;
        MIN_EXPECTED_STREAMS <= n_expected && self.new.rest.n < DOUBTFUL_GAP.min_samples
    }

    /// Whether the new version seems slower, even if not significantly so.
    fn seems_slow(self) -> bool {
        self.is_slower(DOUBTFUL_FIRST, DOUBTFUL_GAP)
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
            || SLOW_FIRST.ratio < self.first_event_slowdown()
            || SLOW_GAP.ratio < self.event_gap_slowdown()
    }

    fn is_slow(self) -> bool {
        self.is_slower(SLOW_FIRST, SLOW_GAP)
    }

    fn is_slower(self, first: Bar, gap: Bar) -> bool {
        let reference = self.reference();
        self.new.first.is_longer(reference.first, first)
            || self.new.rest.is_longer(reference.rest, gap)
    }

    /// Whether clearly more of the new version's answers are bad, of all or of those under load.
    fn fails_more(self) -> bool {
        [self.new, self.concentrated].into_iter().any(|counts| {
            let (excess, error) = self.bad_share_excess(counts);
            MIN_BAD <= counts.bad && MIN_BAD_EXCESS < excess && SIGNIFICANT_SIGMAS * error < excess
        })
    }

    /// Whether clearly more of the new version's answers on a route are bad.
    fn fails_more_on_a_route(self) -> bool {
        self.routes.iter().filter(|(_, it)| it.is_bad()).any(|(_, it)| {
            let counts = |it: Tally| Counts {
                answers: it.answers.into(),
                bad: it.bad.into(),
                ..Counts::default()
            };
            let [new, old, before] = [it.new, it.old, it.before].map(counts);
            Self { new, old, before, ..Self::default() }.fails_more()
        })
    }

    /// Whether clearly more of the new version's answers are slow. Only for a service without streams:
    /// engines that have just started take several times as long for the first event of a prompt that
    /// the old ones have cached.
    fn is_partly_slow(self) -> bool {
        let (new, reference) = (self.new, self.reference());
        if 0.0 < new.rest.n.max(reference.rest.n) || reference.first.n < SLOW_FIRST.min_samples {
            return false;
        }
        let share = |it: Counts| it.slow as f64 / it.first.n.max(1.0);
        let excess = share(new) - share(reference);
        let overall = (new.slow + reference.slow) as f64 / (new.first.n + reference.first.n);
        let per_answer = 1.0 / new.first.n.max(1.0) + 1.0 / reference.first.n;
        let error = (overall * (1.0 - overall) * per_answer).sqrt();
        MIN_SLOW <= new.slow && MIN_SLOW_EXCESS < excess && SIGNIFICANT_SIGMAS * error < excess
    }

    /// By how much the share of bad answers in `counts`, of the new version, exceeds the old
    /// version's, and the standard error of that difference. Without any answer of the old version,
    /// a version is expected to have no bad ones.
    fn bad_share_excess(self, counts: Counts) -> (f64, f64) {
        let reference = self.reference();
        let excess = counts.bad_share() - reference.bad_share();
        let overall = counts.plus(reference).bad_share();
        let inverse = |n: u64| if n == 0 { 0.0 } else { 1.0 / n as f64 };
        let per_answer = inverse(counts.answers.max(1)) + inverse(reference.answers);
        (excess, (overall * (1.0 - overall) * per_answer).sqrt())
    }
}
