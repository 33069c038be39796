//! Records of endpoints and platform, used to verify the router's own counters.

use std::collections::BTreeMap;

use curranthook_types::{bill, version};
use serde::Deserialize;

/// An engine's record of one attempt.
#[derive(Debug, Clone, Deserialize)]
pub struct Record {
    /// Request ID.
    pub request_id: String,
    /// Version that served the attempt.
    pub version: version::Id,
    /// Start time, in milliseconds since the Unix epoch.
    pub started_millis: u64,
    /// Outcome of the attempt.
    pub outcome: String,
    /// Number of tokens generated, also if the answer was cut off.
    #[serde(default)]
    pub tokens: u64,
}

impl Record {
    /// Whether the engine did any work; an attempt refused because the queue was full did none.
    pub fn was_begun(&self) -> bool {
        const REFUSED: &str = "refused";
        self.outcome != REFUSED
    }
}

/// An event that was applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// Index of the event in the scenario.
    pub index: usize,
    /// Time of application, in milliseconds since the Unix epoch.
    pub at_millis: u64,
}

/// All records of a run.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// Attempts of all engines.
    pub records: Vec<Record>,
    /// Engines whose record couldn't be read, for example after a crash.
    pub unread: Vec<String>,
    /// Processes that exited on their own.
    pub died: Vec<String>,
    /// Billing lines in the object store, each stored line once.
    pub bills: Vec<bill::Line>,
    /// Sums of the counters of all routers.
    pub counters: BTreeMap<String, u64>,
    /// Applied events.
    pub applied: Vec<Applied>,
}

/// Extracts the billing lines from the objects of the store.
///
/// ```
/// let text = r#"{"origin": {"vm": "vm-1", "incarnation": 7}, "first": 0, "lines": [
///     {"request": "r1", "account": "a", "served_by": "m@1", "prompt_tokens": 1,
///      "completion_tokens": 2, "cost": 3, "at_millis": 4}
/// ]}"#;
/// let objects = [("bills/vm-1/7/0".to_owned(), text.to_owned())].into();
/// assert_eq!(curranthook_load::evidence::bills(&objects).len(), 1);
/// ```
pub fn bills(objects: &BTreeMap<String, String>) -> Vec<bill::Line> {
    const PREFIX: &str = "bills/";
    let segments = objects.iter().filter(|(key, _)| key.starts_with(PREFIX));
    let segments = segments.filter_map(|(_, text)| serde_json::from_str(text).ok());
    segments.flat_map(|it: bill::Segment| it.lines).collect()
}
