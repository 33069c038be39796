//! The slowdowns of endpoints that nodes tell each other.
//!
//! A node receives few responses from each endpoint of a large fleet. The owner of an endpoint's
//! load information gets the figures of all nodes, and sends the newest one with its answers.

use std::time::{Duration, Instant};

use curranthook_policy::{
    hash,
    slowdown::{Factor, Figure},
};
use curranthook_types::endpoint;
use parking_lot::Mutex;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;

use crate::{Gateway, directory::Directory, job::millis};

/// The maximum number of figures in a message. A node that has more to report sends them in its
/// next messages.
const MAX_ENTRIES: usize = 8;
/// The maximum number of figures queued for sending. What exceeds it is not reported.
const MAX_QUEUED: usize = 32;
/// The maximum age of a figure that is taken from another node. An endpoint may have changed since.
const MAX_AGE: Duration = Duration::from_secs(600);

/// A figure that an endpoint reported, as sent between nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The endpoint's id.
    pub endpoint: endpoint::Id,
    /// How long work takes, in percent of its usual time.
    percent: f64,
    /// The time since the endpoint reported the figure.
    age: Duration,
    /// Identifies the endpoint's incarnation, see [`incarnation_tag`].
    tag: Option<u8>,
}

/// A number that differs between most incarnations of an endpoint, and is shorter than the time at
/// which the incarnation started.
fn incarnation_tag(started_ms: Option<u64>) -> Option<u8> {
    started_ms.map(|it| (hash::pair(it, 0) >> 56) as u8)
}

impl Entry {
    fn new(id: &endpoint::Id, started_ms: Option<u64>, figure: Figure, now: Instant) -> Self {
        let age = now.saturating_duration_since(figure.at);
        let percent = (figure.factor.value() * 100.0).round();
        Self { endpoint: id.clone(), percent, age, tag: incarnation_tag(started_ms) }
    }

    fn decode(id: &str, value: &Value) -> Option<Self> {
        let values = value.as_array()?;
        Some(Self {
            endpoint: endpoint::Id::new(id),
            percent: values.first()?.as_f64()?,
            age: Duration::from_millis(values.get(1)?.as_u64()?),
            tag: values.get(2).and_then(Value::as_u64).and_then(|it| it.try_into().ok()),
        })
    }

    /// The figure, if it is valid and not too old.
    fn figure(&self, now: Instant) -> Option<Figure> {
        let at = now.checked_sub(self.age).filter(|_| self.age <= MAX_AGE)?;
        Some(Figure { factor: Factor::new(self.percent / 100.0)?, at })
    }
}

/// The figures in a message, of bounded number. An entry that cannot be decoded is left out, so that
/// the rest of the message is still valid.
///
/// In a message, each endpoint's id has a list of the percentage, the age in milliseconds and the
/// tag of its incarnation. Answers to questions contain several of them, so they are short.
///
/// ```
/// # use curranthook_gateway::load::slowdowns::Entries;
/// let entries: Entries = serde_json::from_str(r#"{"e-1": [70, 20, 51], "e-2": "slow"}"#).unwrap();
/// assert_eq!(serde_json::to_string(&entries).unwrap(), r#"{"e-1":[70,20,51]}"#);
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
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
            let Some(figure) = it.figure(now) else {
                log::debug!("ignoring a slowdown from another node: {it:?}");
                continue;
            };
            let started_ms = directory.get(&it.endpoint).map(|it| it.entry.started_ms);
            if let Some(started_ms) = started_ms.filter(|known| incarnation_tag(*known) == it.tag) {
                directory.record_slowdown(&it.endpoint, started_ms, figure);
                n_recorded += 1;
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

impl Serialize for Entries {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.0.iter().map(|it| {
            // Received percentages may be of any size, and the conversion limits them.
            let (percent, age_ms) = (it.percent as u32, millis(it.age));
            (&it.endpoint, (percent, age_ms, it.tag))
        }))
    }
}

impl<'de> Deserialize<'de> for Entries {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = Value::deserialize(deserializer)?;
        let Value::Object(values) = value else {
            log::debug!("ignoring malformed slowdowns from another node: {value}");
            return Ok(Self::default());
        };
        let decode = |(id, value): (&String, &Value)| {
            let entry = Entry::decode(id, value);
            if entry.is_none() {
                log::debug!("ignoring a malformed slowdown of {id}: {value}");
            }
            entry
        };
        Ok(Self(values.iter().filter_map(decode).take(MAX_ENTRIES).collect()))
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
