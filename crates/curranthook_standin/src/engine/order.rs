//! Orders to load and unload versions.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::Fencing;

/// An order to load or unload a version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Order {
    /// Whether to load or to unload.
    pub action: Action,
    /// The version to load or unload.
    pub version: String,
}

/// The action that an order requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Loads the version.
    Load,
    /// Unloads the version.
    Unload,
}

/// The engine's decision on an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The order was executed.
    #[serde(rename = "obeyed")]
    Executed,
    /// The order was rejected because its fencing token was lower than one seen before.
    Stale,
}

/// A log entry for an order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Entry {
    /// The order.
    pub order: Order,
    /// The order's fencing token, if any.
    pub fence: Option<u64>,
    /// When the order was received, in milliseconds since the Unix epoch.
    pub at_millis: u64,
    /// The engine's decision.
    pub verdict: Verdict,
}

/// A log of all orders received.
#[derive(Debug)]
pub(super) struct Log {
    fencing: Fencing,
    highest_fence: u64,
    entries: Vec<Entry>,
}

impl Log {
    pub(super) fn new(fencing: Fencing) -> Self {
        Self { fencing, highest_fence: 0, entries: Vec::new() }
    }

    pub(super) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Applies `order` to `loaded` or rejects it, and logs the decision.
    pub(super) fn apply(
        &mut self,
        order: Order,
        fence: Option<u64>,
        at_millis: u64,
        loaded: &mut BTreeSet<String>,
    ) -> Verdict {
        let is_stale = fence.unwrap_or_default() < self.highest_fence;
        let verdict = match self.fencing {
            Fencing::Checked if is_stale => Verdict::Stale,
            Fencing::Checked | Fencing::Ignored => Verdict::Executed,
        };
        if verdict == Verdict::Executed {
            self.highest_fence = self.highest_fence.max(fence.unwrap_or_default());
            match order.action {
                Action::Load => loaded.insert(order.version.clone()),
                Action::Unload => loaded.remove(&order.version),
            };
        }
        self.entries.push(Entry { order, fence, at_millis, verdict });
        verdict
    }
}
