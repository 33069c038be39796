//! Orders to load and unload versions.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::Fencing;

/// An order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Order {
    /// What to do.
    pub action: Action,
    /// With which version.
    pub version: String,
}

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Serve the version.
    Load,
    /// Serve it no more.
    Unload,
}

/// What an engine made of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It did as told.
    Obeyed,
    /// It refused, for the fencing number was older than one seen before.
    Stale,
}

/// An order as logged.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Entry {
    /// The order.
    pub order: Order,
    /// Its fencing number, if it had one.
    pub fence: Option<u64>,
    /// When it came, in milliseconds since 1970.
    pub at_millis: u64,
    /// What the engine made of it.
    pub verdict: Verdict,
}

/// All orders so far.
#[derive(Debug)]
pub(super) struct Log {
    fencing: Fencing,
    highest: u64,
    entries: Vec<Entry>,
}

impl Log {
    pub(super) fn new(fencing: Fencing) -> Self {
        Self { fencing, highest: 0, entries: Vec::new() }
    }

    pub(super) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Carries `order` out on `loaded`, or refuses it.
    pub(super) fn take(
        &mut self,
        order: Order,
        fence: Option<u64>,
        at_millis: u64,
        loaded: &mut BTreeSet<String>,
    ) -> Verdict {
        let is_stale = fence.unwrap_or_default() < self.highest;
        let verdict = match self.fencing {
            Fencing::Checked if is_stale => Verdict::Stale,
            Fencing::Checked | Fencing::Ignored => Verdict::Obeyed,
        };
        if verdict == Verdict::Obeyed {
            self.highest = self.highest.max(fence.unwrap_or_default());
            match order.action {
                Action::Load => loaded.insert(order.version.clone()),
                Action::Unload => loaded.remove(&order.version),
            };
        }
        self.entries.push(Entry { order, fence, at_millis, verdict });
        verdict
    }
}
