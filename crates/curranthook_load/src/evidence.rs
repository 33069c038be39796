//! What endpoints and platform recorded, against which the router's own word is checked.

use std::collections::BTreeMap;

use curranthook_types::{bill, version};
use serde::Deserialize;

/// An engine's record of one attempt.
#[derive(Debug, Clone, Deserialize)]
pub struct Record {
    /// The request.
    pub request_id: String,
    /// The version that ran it.
    pub version: version::Id,
    /// When it began, in milliseconds since 1970.
    pub started_millis: u64,
    /// How it ended.
    pub outcome: String,
    /// The tokens of the answer, as far as it went.
    #[serde(default)]
    pub tokens: u64,
}

impl Record {
    /// Whether the engine did any work; one that found its queue full did none.
    pub fn was_begun(&self) -> bool {
        const REFUSED: &str = "refused";
        self.outcome != REFUSED
    }
}

/// An event as it took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// Its index in the scenario.
    pub index: usize,
    /// When, in milliseconds since 1970.
    pub at_millis: u64,
}

/// Everything that was recorded in a run.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// The attempts of all engines.
    pub records: Vec<Record>,
    /// The engines whose record couldn't be read, as after a crash.
    pub unread: Vec<String>,
    /// The processes that ended by themselves.
    pub died: Vec<String>,
    /// The bill lines in the object store, each stored line once.
    pub bills: Vec<bill::Line>,
    /// The routers' own counters, added up.
    pub counters: BTreeMap<String, u64>,
    /// The events.
    pub applied: Vec<Applied>,
}

/// The bill lines among the objects of the store.
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
