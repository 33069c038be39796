//! What happens to the fleet while requests arrive.

use std::time::Duration;

use curranthook_types::version;
use serde::Deserialize;
use serde_with::{DurationSecondsWithFrac, serde_as};

/// Something that happens at a set time.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
pub struct Event {
    /// When, from the start of the arrivals.
    #[serde(rename = "at_seconds")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub at: Duration,
    /// What.
    #[serde(flatten)]
    pub action: Action,
}

/// What happens.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Action {
    /// Engines get faults, in the words of the stand-in's `PUT /control/faults`.
    Fault {
        /// Which engines.
        engines: Targets,
        /// The faults.
        set: serde_json::Value,
    },
    /// Engines die without a word.
    Kill {
        /// Which engines.
        engines: Targets,
    },
    /// A version turns better or worse on every engine.
    Quality {
        /// Which version.
        version: version::Id,
        /// Its quality from now on.
        quality: f64,
    },
    /// An operator withdraws a version.
    Withdraw {
        /// Which version.
        version: version::Id,
    },
    /// An operator starts a roll-out.
    Rollout {
        /// The version that is replaced.
        from: version::Id,
        /// The version that replaces it.
        to: version::Id,
        /// The share of new sessions at each stage.
        stages: Vec<f64>,
    },
}

/// Which engines.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Targets {
    /// Every one.
    All,
    /// Those named.
    #[serde(untagged)]
    Some(Vec<String>),
}

impl Targets {
    /// Whether the engine `id` is one of them.
    pub fn contains(&self, id: &str) -> bool {
        match self {
            Self::All => true,
            Self::Some(ids) => ids.iter().any(|it| it == id),
        }
    }
}

impl Event {
    /// The new quality of a version and the time of the change, if this event changes it.
    pub fn quality_of(&self, id: &version::Id) -> Option<(Duration, f64)> {
        match &self.action {
            Action::Quality { version, quality } if version == id => Some((self.at, *quality)),
            _ => None,
        }
    }
}
