//! The slowdowns of endpoints that nodes tell each other.
//!
//! A node receives few responses from each endpoint of a large fleet. The owner of an endpoint's
//! load information gets the figures of all nodes, and sends the newest one with its answers.

use std::time::{Duration, Instant};

use curranthook_policy::slowdown::{Factor, Figure};
use curranthook_types::endpoint;
use parking_lot::Mutex;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{Gateway, directory::Directory};

/// The maximum number of figures in a message. A node that has more to report sends them in its
/// next messages.
const MAX_ENTRIES: usize = 8;
/// The maximum number of figures queued for sending. What exceeds it is not reported.
const MAX_QUEUED: usize = 32;
/// The maximum age of a figure that is taken from another node. An endpoint may have changed since.
const MAX_AGE: Duration = Duration::from_secs(600);

/// A figure that an endpoint reported, as sent between nodes.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The endpoint's id.
    pub endpoint: endpoint::Id,
    /// When the endpoint started, in milliseconds since the Unix epoch; identifies its incarnation.
    #[serde(default, rename = "born", skip_serializing_if = "Option::is_none")]
    started_ms: Option<u64>,
    /// How long work takes, relative to its usual time.
    factor: f64,
    /// The time since the endpoint reported the figure.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    age: Duration,
}

impl Entry {
    fn new(id: &endpoint::Id, started_ms: Option<u64>, figure: Figure, now: Instant) -> Self {
        let age = now.saturating_duration_since(figure.at);
        Self { endpoint: id.clone(), started_ms, factor: figure.factor.value(), age }
    }

    /// The figure, if it is valid and not too old.
    fn figure(&self, now: Instant) -> Option<Figure> {
        let at = now.checked_sub(self.age).filter(|_| self.age <= MAX_AGE)?;
        Some(Figure { factor: Factor::new(self.factor)?, at })
    }
}

/// The figures in a message, of bounded number. An entry that cannot be decoded is left out, so that
/// the rest of the message is still valid.
///
/// ```
/// # use curranthook_gateway::load::slowdowns::Entries;
/// let json = r#"[{"endpoint": "e-1", "factor": 0.7, "age_ms": 20}, {"endpoint": 7}]"#;
/// let entries: Entries = serde_json::from_str(json).unwrap();
/// assert_eq!(entries.into_iter().count(), 1);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Entries(Vec<Entry>);

impl Entries {
    /// The newest figures that are known of `endpoints`.
    pub fn known(directory: &Directory, endpoints: &[endpoint::Id], now: Instant) -> Self {
        let entry = |id: &endpoint::Id| {
            let it = directory.get(id)?;
            Some(Entry::new(id, it.entry.started_ms, it.slowdown.newest()?, now))
        };
        Self(endpoints.iter().filter_map(entry).take(MAX_ENTRIES).collect())
    }

    /// Adds an entry, unless the maximum number is reached.
    pub fn push(&mut self, entry: Entry) {
        if self.0.len() < MAX_ENTRIES {
            self.0.push(entry);
        }
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Records the figures of known incarnations, and returns their number.
    pub fn record(&self, directory: &mut Directory, now: Instant) -> u64 {
        let mut n_recorded = 0;
        for it in &self.0 {
            match it.figure(now) {
                Some(figure) => {
                    let is_known = directory.record_slowdown(&it.endpoint, it.started_ms, figure);
                    n_recorded += u64::from(is_known);
                }
                None => log::debug!("ignoring a slowdown from another node: {it:?}"),
            }
        }
        n_recorded
    }
}

impl IntoIterator for Entries {
    type Item = Entry;
    type IntoIter = std::vec::IntoIter<Entry>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl<'de> Deserialize<'de> for Entries {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = Value::deserialize(deserializer)?;
        let Value::Array(values) = value else {
            log::debug!("ignoring malformed slowdowns from another node: {value}");
            return Ok(Self::default());
        };
        let decode = |it: Value| {
            let entry = Entry::deserialize(&it);
            entry.inspect_err(|e| log::debug!("ignoring a malformed slowdown {it}: {e}")).ok()
        };
        Ok(Self(values.into_iter().filter_map(decode).take(MAX_ENTRIES).collect()))
    }
}

/// Figures that have been received from endpoints and not been reported to other nodes yet.
#[derive(Debug, Default)]
pub struct Queue(Mutex<Vec<(endpoint::Id, Option<u64>, Figure)>>);

impl Queue {
    /// Adds a figure, in place of an earlier one of the same endpoint. Drops it if the queue is
    /// full.
    pub fn push(&self, id: &endpoint::Id, started_ms: Option<u64>, figure: Figure) {
        let mut figures = self.0.lock();
        figures.retain(|(known, ..)| known != id);
        if figures.len() < MAX_QUEUED {
            figures.push((id.clone(), started_ms, figure));
        }
    }

    /// Removes and returns as many figures as a message may contain, the oldest first.
    pub fn take(&self, now: Instant) -> Entries {
        let mut figures = self.0.lock();
        let n = figures.len().min(MAX_ENTRIES);
        let taken = figures.drain(..n);
        Entries(taken.map(|(id, started_ms, it)| Entry::new(&id, started_ms, it, now)).collect())
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.0.lock().is_empty()
    }
}

/// Records the figures in a message from another node.
pub(super) fn receive(gateway: &Gateway, entries: &Entries) {
    if !entries.is_empty() {
        let n_recorded = entries.record(&mut gateway.directory.lock(), gateway.now());
        gateway.metrics.record_slowdown_figures("report", n_recorded);
    }
}
