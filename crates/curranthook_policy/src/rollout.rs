//! Which sessions a roll-out moves, and when it goes on.

use std::time::Duration;

use curranthook_settings::rollout::Rollout;
use curranthook_types::version;

use crate::{
    hash,
    verdict::{self, Counts},
};

/// The version for a session. The same key gives the same version, and one that got the new
/// version stays on it as the share grows.
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
    // The version is part of the hash, so it isn't always the same sessions that go first.
    let position = hash::unit(hash::pair(hash::bytes(rollout.to.as_str().as_bytes()), key));
    if position < rollout.share() { &rollout.to } else { &rollout.from }
}

/// When a stage of a roll-out is passed.
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
    /// Answers by the new version that a stage must have seen.
    pub min_answers: u64,
    /// Ratings of the new version that a stage must have seen.
    pub min_ratings: u64,
    /// How long a stage lasts at least.
    pub min_duration: Duration,
    /// How much lower the new version's mean rating may be.
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

/// What happens to a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It goes to its next stage.
    Advance,
    /// It stays where it is.
    Hold(Hold),
    /// It is given up.
    Abort(verdict::Reason),
}

/// Why a roll-out stays at its stage. Each has its counter, `rollout.hold.<name>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Hold {
    /// The stage is too young.
    Time,
    /// Too few answers.
    Answers,
    /// Too few ratings.
    Ratings,
    /// The new version is rated lower, though not surely worse.
    Rating,
    /// The new version has more errors, though not surely.
    Errors,
}

impl Hold {
    /// The last part of the counter's name.
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
    /// Decides on a stage, from the counts of both versions since it began, the verdict on the
    /// new version and the age of the stage.
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
