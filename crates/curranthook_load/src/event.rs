//! Timed events that change the fleet while requests arrive.

use std::time::Duration;

use curranthook_types::version;
use serde::Deserialize;
use serde_with::{DurationSecondsWithFrac, serde_as};

/// An event at a scheduled time.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
pub struct Event {
    /// Time since the start of the arrivals.
    #[serde(rename = "at_seconds")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub at: Duration,
    /// The action to apply.
    #[serde(flatten)]
    pub action: Action,
}

/// The action of an event.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Action {
    /// Injects faults into engines, in the format of the stand-in's `PUT /control/faults`.
    Fault {
        /// Engines to change.
        engines: Targets,
        /// Faults to merge into those in force.
        set: serde_json::Value,
    },
    /// Kills engines without a graceful shutdown.
    Kill {
        /// Engines to kill.
        engines: Targets,
    },
    /// Changes the quality of a version on every engine.
    Quality {
        /// Version to change.
        version: version::Id,
        /// Its quality from this time on.
        quality: f64,
    },
    /// Withdraws a version, as an operator would.
    Withdraw {
        /// Version to withdraw.
        version: version::Id,
    },
    /// Starts a rollout, as an operator would.
    Rollout {
        /// The version that is replaced.
        from: version::Id,
        /// The new version.
        to: version::Id,
        /// The share of new sessions at each stage.
        stages: Vec<f64>,
    },
}

/// Selects engines.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Targets {
    /// All engines.
    All,
    /// Engines with these IDs.
    #[serde(untagged)]
    Some(Vec<String>),
}

impl Targets {
    /// Whether the engine `id` is selected.
    pub fn contains(&self, id: &str) -> bool {
        match self {
            Self::All => true,
            Self::Some(ids) => ids.iter().any(|it| it == id),
        }
    }
}

impl Event {
    /// The new quality of version `id` and the time of the change, if this event changes it.
    pub fn quality_of(&self, id: &version::Id) -> Option<(Duration, f64)> {
        match &self.action {
            Action::Quality { version, quality } if version == id => Some((self.at, *quality)),
            _ => None,
        }
    }
}
