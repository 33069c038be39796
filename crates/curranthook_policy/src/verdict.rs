//! Sequential test for a drop in a version's quality.
//!
//! Answers are compared with a reference: the version that this one replaces, or its own past. The
//! test may be evaluated after each answer without raising its false alarm rate ("anytime-valid"),
//! and a drop is detected however long the version did well before.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::verdict::detector::{Detector, Direction};

mod counts;
mod detector;

pub use curranthook_types::bill::Origin;

pub use crate::verdict::counts::Counts;

/// One call to a version, as added to the test.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Its rating from 0 to 1, if it was rated.
    pub rating: Option<f64>,
    /// Whether the call was answered.
    pub outcome: Outcome,
    /// The length of the answer in tokens.
    pub tokens: u64,
}

/// Whether a call was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The call was answered.
    Answered,
    /// The version failed, for a reason not caused by the endpoint or the network.
    Error,
    /// The call was counted before and only its rating is new, as ratings arrive later than
    /// answers.
    RatedLater,
}

/// The result of the test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// No drop in quality was detected.
    Clear,
    /// The version got worse. This state is final: only a new test can be clear again.
    Suspect(Reason),
}

/// The measure by which a version got worse. Each reason has a counter, `suspect.<name>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Ratings are lower.
    Rating,
    /// Errors are more frequent.
    Errors,
    /// Answers are shorter.
    Short,
    /// Answers are longer.
    Long,
}

impl Reason {
    /// A stable name, for use in counter names.
    ///
    /// ```
    /// # use curranthook_policy::verdict::Reason;
    /// assert_eq!(Reason::Rating.name(), "rating");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Rating => "rating",
            Self::Errors => "errors",
            Self::Short => "short",
            Self::Long => "long",
        }
    }
}

/// The error bounds of the test.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// The upper bound on the probability of a false alarm in a run of `horizon` samples of one
    /// kind.
    pub alpha: f64,
    /// The length of a run: in ratings, or in answers for errors and lengths.
    pub horizon: u64,
    /// How far a mean may lie below the reference without an alarm.
    pub min_effect: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self { alpha: 0.01, horizon: 1_000, min_effect: 0.02 }
    }
}

/// What a version is compared with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reference {
    /// The version's own earlier answers. No drop is detected until there are enough of them.
    Own,
    /// Counts of another version, such as the one it replaces.
    Other(Counts),
}

/// A sequential test of one version.
///
/// ```
/// # use curranthook_policy::verdict::{Config, Counts, Outcome, Reason, Reference};
/// # use curranthook_policy::verdict::{Sample, State, Test};
/// let old = Counts { n: 500, sum: 450.0, calls: 500, ..Counts::default() };
/// let mut test = Test::new(Config::default(), Reference::Other(old));
/// let bad = Sample { rating: Some(0.0), outcome: Outcome::Answered, tokens: 100 };
/// for _ in 0..20 {
///     test.add(bad);
/// }
/// assert_eq!(test.state(), State::Suspect(Reason::Rating));
/// ```
#[derive(Debug)]
pub struct Test {
    config: Config,
    reference: Reference,
    own: Counts,
    origins: BTreeMap<Origin, Counts>,
    total: Counts,
    /// The version's earlier counts, which are the reference in [`Reference::Own`].
    baseline: Counts,
    rating: Detector,
    errors: Detector,
    short: Detector,
    long: Detector,
    state: State,
}

impl Test {
    /// Creates a test without samples.
    pub fn new(config: Config, reference: Reference) -> Self {
        let detector = |direction| Detector::new(direction, config.horizon);
        Self {
            config,
            reference,
            own: Counts::default(),
            origins: BTreeMap::new(),
            total: Counts::default(),
            baseline: Counts::default(),
            rating: detector(Direction::Fall),
            errors: detector(Direction::Rise),
            short: detector(Direction::Fall),
            long: detector(Direction::Rise),
            state: State::Clear,
        }
    }

    /// Replaces the reference, for example as the old version's counts grow.
    pub fn set_reference(&mut self, reference: Reference) {
        self.reference = reference;
    }

    /// Adds an answer seen by this node.
    pub fn add(&mut self, sample: Sample) {
        let delta = Counts::from(sample);
        self.own = self.own.plus(&delta);
        self.add_counts(&delta);
    }

    /// Merges the counts of another node since its start. An older or equal count of the same
    /// origin has no effect, so order and repetition don't matter.
    pub fn merge_counts(&mut self, origin: &Origin, counts: Counts) {
        let previous = self.origins.get(origin).copied().unwrap_or_default();
        if !previous.is_older_than(&counts) {
            return;
        }
        self.origins.insert(origin.clone(), counts);
        self.add_counts(&counts.minus(&previous));
    }

    /// Drops the entry of a node that is gone for good; its counts stay in the total. Counts of it
    /// that arrive later would be counted twice.
    pub fn remove_origin(&mut self, origin: &Origin) {
        self.origins.remove(origin);
    }

    /// Records that another node found the version suspect. Nodes see the same answers at different
    /// times, so the first node to raise an alarm decides for all.
    pub fn set_suspect(&mut self, reason: Reason) {
        if self.state == State::Clear {
            self.state = State::Suspect(reason);
        }
    }

    /// The counts of this node, for sending to others.
    pub fn counts(&self) -> &Counts {
        &self.own
    }

    /// The counts of all nodes, as far as known here.
    pub fn total(&self) -> &Counts {
        &self.total
    }

    /// The result of the test.
    pub fn state(&self) -> State {
        self.state
    }

    /// The share of answers to be rated: `base` while nothing is suspicious, up to all of them for
    /// a version that is new or was just rated low. If only a tenth of answers were rated, a bad
    /// version would return ten answers per piece of evidence.
    pub fn sampling_rate(&self, base: f64) -> f64 {
        let has_reference = match self.reference {
            Reference::Own => Self::MIN_REFERENCE_SAMPLES <= self.total.n,
            Reference::Other(_) => true,
        };
        let urgency = if has_reference { self.rating.urgency() } else { 1.0 };
        base + (1.0 - base).max(0.0) * urgency
    }

    /// How strongly ratings speak against the version, from 0 (calm) to 1. When it rises,
    /// exchanging counts with other nodes at once is worth more than waiting for the next regular
    /// exchange.
    pub fn urgency(&self) -> f64 {
        self.rating.urgency()
    }

    fn add_counts(&mut self, delta: &Counts) {
        let baseline = match &self.reference {
            Reference::Own => self.baseline,
            Reference::Other(counts) => *counts,
        };
        self.update_detectors(delta, &baseline);
        self.total = self.total.plus(delta);
        self.advance_reference();
    }

    fn update_detectors(&mut self, delta: &Counts, baseline: &Counts) {
        let margin = self.config.min_effect;
        if let Some(mean) = baseline.mean().filter(|_| Self::MIN_REFERENCE_SAMPLES <= baseline.n) {
            // The mean of few ratings may be too high by chance, and then every later answer would
            // look bad in comparison.
            let uncertainty = Self::REFERENCE_STD_ERRORS * baseline.standard_error();
            self.rating.add(delta.n, delta.sum, mean - uncertainty - margin);
        }
        if let Some(rate) =
            baseline.error_rate().filter(|_| Self::MIN_REFERENCE_SAMPLES <= baseline.calls)
        {
            self.errors.add(delta.calls, delta.errors as f64, rate + Self::ERROR_MARGIN);
        }
        if let Some(length) =
            baseline.mean_length().filter(|_| Self::MIN_REFERENCE_SAMPLES <= baseline.calls)
        {
            let n = delta.answers();
            self.short.add(n, delta.lengths, length - Self::LENGTH_MARGIN);
            self.long.add(n, delta.lengths, length + Self::LENGTH_MARGIN);
        }
        self.update_state();
    }

    fn update_state(&mut self) {
        if self.state != State::Clear {
            return;
        }
        let detectors = [
            (&self.rating, Reason::Rating),
            (&self.errors, Reason::Errors),
            (&self.short, Reason::Short),
            (&self.long, Reason::Long),
        ];
        // Each of the four detectors may raise a false alarm, so each gets a part of the allowed
        // rate. Most of it goes to ratings, which are the most informative and the fewest.
        let alpha_share = |reason| if reason == Reason::Rating { 0.7 } else { 0.1 };
        let is_alarm = |(it, reason): &&(&Detector, Reason)| {
            it.evidence() * self.config.alpha * alpha_share(*reason) >= 1.0
        };
        if let Some((_, reason)) = detectors.iter().find(is_alarm) {
            self.state = State::Suspect(*reason);
        }
    }

    /// Advances the version's own reference, as long as nothing is suspicious.
    fn advance_reference(&mut self) {
        let is_step_complete = self.baseline.n + Self::REFERENCE_STEP_RATINGS <= self.total.n
            || self.baseline.calls == 0;
        let is_quiet = self.rating.urgency() < Self::MAX_ADVANCE_URGENCY
            && self.errors.urgency() < Self::MAX_ADVANCE_URGENCY;
        let is_initial = self.baseline.n < Self::MIN_REFERENCE_SAMPLES;
        if is_step_complete
            && (is_quiet || is_initial)
            && Self::MIN_REFERENCE_SAMPLES <= self.total.n
        {
            self.baseline = self.total;
        }
    }

    /// How many standard errors are subtracted from the mean of the reference.
    const REFERENCE_STD_ERRORS: f64 = 2.0;
    /// The minimum number of samples in a reference.
    const MIN_REFERENCE_SAMPLES: u64 = 50;
    /// The number of ratings after which the version's own reference is advanced.
    const REFERENCE_STEP_RATINGS: u64 = 50;
    /// The urgency from which on the version's own reference is not advanced, so that a drop in
    /// quality does not become part of the reference.
    const MAX_ADVANCE_URGENCY: f64 = 0.3;
    /// The tolerated increase of the error rate.
    const ERROR_MARGIN: f64 = 0.05;
    /// The tolerated change of the mean length on the scale of [`Counts::lengths`], about a factor
    /// of two.
    const LENGTH_MARGIN: f64 = 0.0625;
}
