//! Roll-outs: the replacement of one version by another in stages.

use curranthook_types::version;
use serde::{Deserialize, Serialize};

/// The progress of a roll-out. It is part of the published document, so after an interruption no
/// stage is skipped or repeated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version that is replaced.
    pub from: version::Id,
    /// The version that replaces it.
    pub to: version::Id,
    /// The share of new sessions that each stage assigns to `to`, from 0 to 1, ascending.
    pub stages: Vec<f64>,
    /// The current stage, as an index into `stages`.
    pub stage: usize,
    /// Whether the roll-out is running, paused or finished.
    pub state: State,
    /// When the stage began, in milliseconds since the Unix epoch. Also updated when the roll-out
    /// is resumed, aborted or completed.
    pub since_millis: u64,
}

/// The state of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The roll-out advances when the current stage passes its checks.
    Running,
    /// An operator paused the roll-out at its current stage.
    Paused,
    /// The roll-out was aborted; `from` gets all new sessions.
    Aborted,
    /// The roll-out is complete; `to` gets all new sessions.
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
    /// Whether the roll-out is running or paused.
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

    /// The share of new sessions that `to` currently gets.
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
