//! Roll-outs: a version replaces another stage by stage.

use curranthook_types::version;
use serde::{Deserialize, Serialize};

/// Where a roll-out stands. It is part of the published document, so a stage that was reached
/// is never left out or begun again after an interruption.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version that is replaced.
    pub from: version::Id,
    /// The version that replaces it.
    pub to: version::Id,
    /// The share of new sessions that each stage gives to `to`, from 0 to 1, rising.
    pub stages: Vec<f64>,
    /// The stage in force, an index into `stages`.
    pub stage: usize,
    /// Whether it moves on.
    pub state: State,
    /// When the stage began, in milliseconds since 1970.
    pub since_millis: u64,
}

/// Whether a roll-out moves on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It moves on when a stage's checks are met.
    Running,
    /// An operator holds it at its stage.
    Paused,
    /// It was given up; `from` gets everything.
    Aborted,
    /// It is through; `to` gets everything.
    Done,
}

impl std::fmt::Display for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Running => "running",
            Self::Paused => "paused",
            Self::Aborted => "aborted",
            Self::Done => "done",
        })
    }
}

impl Rollout {
    /// Whether it's under way, be it held or not.
    ///
    /// ```
    /// # use curranthook_settings::rollout::{Rollout, State};
    /// let rollout = Rollout {
    ///     from: "m@1".into(),
    ///     to: "m@2".into(),
    ///     stages: vec![0.1, 1.0],
    ///     stage: 0,
    ///     state: State::Paused,
    ///     since_millis: 0,
    /// };
    /// assert!(rollout.is_active());
    /// ```
    pub fn is_active(&self) -> bool {
        matches!(self.state, State::Running | State::Paused)
    }

    /// The share of new sessions that `to` gets now.
    ///
    /// ```
    /// # use curranthook_settings::rollout::{Rollout, State};
    /// let rollout = Rollout {
    ///     from: "m@1".into(),
    ///     to: "m@2".into(),
    ///     stages: vec![0.01, 0.5],
    ///     stage: 1,
    ///     state: State::Running,
    ///     since_millis: 0,
    /// };
    /// assert_eq!(rollout.share(), 0.5);
    /// ```
    pub fn share(&self) -> f64 {
        match self.state {
            State::Running | State::Paused => self.stages.get(self.stage).copied().unwrap_or(1.0),
            State::Aborted => 0.0,
            State::Done => 1.0,
        }
    }
}
