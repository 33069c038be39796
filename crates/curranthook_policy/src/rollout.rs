//! Which sessions a rollout moves to the new version, and when it advances.

use std::time::Duration;

use curranthook_settings::rollout::Rollout;
use curranthook_types::version;

use crate::{
    hash,
    verdict::{self, Counts},
};

/// The version for a session. The same key always gets the same version, and a key that got the new
/// version keeps it as the share grows.
///
/// ```
/// # use curranthook_policy::rollout;
/// # use curranthook_settings::rollout::{Rollout, State};
/// let mut it = Rollout {
///     from: "m@1".into(),
///     to: "m@2".into(),
///     stages: vec![0.1, 0.5],
///     stage: 0,
///     state: State::Running,
///     since_millis: 0,
/// };
/// let moved = (0..1_000).filter(|key| rollout::route(&it, *key) == &it.to).count();
/// assert!((50..150).contains(&moved));
/// it.state = State::Aborted;
/// assert_eq!(rollout::route(&it, 7), &it.from);
/// ```
pub fn route(rollout: &Rollout, key: u64) -> &version::Id {
    // The hash includes the version, so that different rollouts move different sessions first.
    let position = hash::unit(hash::pair(hash::bytes(rollout.to.as_str().as_bytes()), key));
    if position < rollout.share() { &rollout.to } else { &rollout.from }
}

/// The conditions for advancing a stage of a rollout.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_policy::{rollout::{Decision, Gate, Hold}, verdict::{Counts, State}};
/// let gate = Gate::default();
/// let none = Counts::default();
/// let decision = gate.decide(&none, &none, State::Clear, Duration::ZERO);
/// assert_eq!(decision, Decision::Hold(Hold::Time));
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Gate {
    /// The minimum number of answers by the new version in a stage.
    pub min_answers: u64,
    /// The minimum number of ratings of the new version in a stage.
    pub min_ratings: u64,
    /// The minimum duration of a stage.
    pub min_duration: Duration,
    /// How much lower the mean rating, or higher the error rate, of the new version may be.
    pub tolerance: f64,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            min_answers: 100,
            min_ratings: 30,
            min_duration: Duration::from_secs(60),
            tolerance: 0.05,
        }
    }
}

/// The decision on the current stage of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The rollout advances to the next stage.
    Advance,
    /// The rollout stays at its current stage, for the given reason.
    Hold(Hold),
    /// The rollout is aborted, because the test found the new version to be worse.
    Abort(verdict::Reason),
}

/// Why a rollout stays at its stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Hold {
    /// The stage has not lasted long enough.
    Time,
    /// The new version has given too few answers in this stage.
    Answers,
    /// The new version has received too few ratings in this stage.
    Ratings,
    /// The new version is rated lower, though not yet with confidence.
    Rating,
    /// The new version has more errors, though not yet with confidence.
    Errors,
}

impl Hold {
    /// A stable name, for use in counter names.
    ///
    /// ```
    /// # use curranthook_policy::rollout::Hold;
    /// assert_eq!(Hold::Ratings.name(), "ratings");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Time => "time",
            Self::Answers => "answers",
            Self::Ratings => "ratings",
            Self::Rating => "rating",
            Self::Errors => "errors",
        }
    }
}

impl Gate {
    /// Decides on a stage, given the counts of both versions since it began, the verdict on the new
    /// version and the age of the stage.
    pub fn decide(
        &self,
        from: &Counts,
        to: &Counts,
        verdict: verdict::State,
        stage_age: Duration,
    ) -> Decision {
        if let verdict::State::Suspect(reason) = verdict {
            return Decision::Abort(reason);
        }
        self.hold_reason(from, to, stage_age).map_or(Decision::Advance, Decision::Hold)
    }

    fn hold_reason(&self, from: &Counts, to: &Counts, stage_age: Duration) -> Option<Hold> {
        if stage_age < self.min_duration {
            return Some(Hold::Time);
        }
        if to.calls < self.min_answers {
            return Some(Hold::Answers);
        }
        if to.n < self.min_ratings {
            return Some(Hold::Ratings);
        }
        if let (Some(old), Some(new)) = (from.mean(), to.mean())
            && new + self.tolerance < old
        {
            return Some(Hold::Rating);
        }
        if let (Some(old), Some(new)) = (from.error_rate(), to.error_rate())
            && old + self.tolerance < new
        {
            return Some(Hold::Errors);
        }
        None
    }
}
