//! What earlier orders have shown about the versions of a service.

use serde::{Deserialize, Serialize};

use crate::steps::Phase;

/// The verdicts of a service's earlier rollouts, which hold until another order names the version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The version that the last completed rollout moved all requests to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub completed: Option<String>,
    /// The versions that were rolled back.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rolled_back: Vec<String>,
}

impl History {
    /// Whether there are no verdicts.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Adds the verdict of the rollout of `target` that ended in `phase`; a rollout that has not
    /// ended gives none.
    ///
    /// ```
    /// # use curranthook_gateway::{rollouts::history::History, steps::Phase};
    /// let mut history = History::default();
    /// history.record("v2", Phase::Completed);
    /// history.record("v3", Phase::RolledBack);
    /// assert!(history.prefers("v2") && !history.prefers("v1"));
    /// assert!(history.rejects("v3") && !history.rejects("v1"));
    /// ```
    pub fn record(&mut self, target: &str, phase: Phase) {
        match phase {
            Phase::Completed => {
                self.rolled_back.retain(|it| it != target);
                self.completed = Some(target.to_owned());
            }
            Phase::RolledBack if !self.rolled_back.iter().any(|it| it == target) => {
                self.rolled_back.push(target.to_owned());
            }
            _ => {}
        }
    }

    /// Whether requests go to `version` rather than to others.
    pub fn prefers(&self, version: &str) -> bool {
        self.completed.as_deref().is_none_or(|it| it == version) && !self.rejects(version)
    }

    /// Whether requests must not go to `version`.
    pub fn rejects(&self, version: &str) -> bool {
        self.rolled_back.iter().any(|it| it == version)
    }
}
