//! A bounded prefix cache and its events, which are published late and with some missing.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::Serialize;

use crate::hash;

use super::profile::Profile;

/// The maximum number of events retained for callers that poll infrequently.
const MAX_EVENTS: usize = 1_024;

/// A prefix cache with least-recently-used eviction.
#[derive(Debug)]
pub(super) struct Cache {
    max_entries: usize,
    lag: Duration,
    drop_rate: f64,
    /// Hashes of prefixes, with the most recently used at the back.
    entries: VecDeque<u64>,
    events: VecDeque<(Instant, Event)>,
    sequence: u64,
}

/// An event that reports a prefix added to or evicted from the cache.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Event {
    /// Numbers all events, published or dropped, so that a caller can detect gaps.
    sequence: u64,
    change: Change,
    prefix_hash: String,
}

#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
enum Change {
    Added,
    Evicted,
}

impl Cache {
    pub(super) fn new(profile: &Profile) -> Self {
        Self {
            max_entries: profile.cache,
            lag: profile.cache_lag(),
            drop_rate: profile.cache_gaps,
            entries: VecDeque::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Marks `prefix` as used, inserting it if absent; returns whether it was cached.
    pub(super) fn touch(&mut self, version: &str, prefix: &str, now: Instant) -> bool {
        if self.max_entries == 0 {
            return false;
        }
        let key = hash::of(&[version, prefix]);
        if let Some(index) = self.entries.iter().position(|it| *it == key) {
            self.entries.remove(index);
            self.entries.push_back(key);
            return true;
        }
        if self.max_entries <= self.entries.len()
            && let Some(oldest) = self.entries.pop_front()
        {
            self.publish(Change::Evicted, oldest, now);
        }
        self.entries.push_back(key);
        self.publish(Change::Added, key, now);
        false
    }

    /// The events that are visible to callers at `now`.
    pub(super) fn events(&self, now: Instant) -> Vec<Event> {
        let visible = self.events.iter().take_while(|(at, _)| *at + self.lag <= now);
        visible.map(|(_, event)| event.clone()).collect()
    }

    fn publish(&mut self, change: Change, key: u64, now: Instant) {
        self.sequence += 1;
        if hash::fraction(&["gap", &self.sequence.to_string()]) < self.drop_rate {
            return;
        }
        if MAX_EVENTS <= self.events.len() {
            self.events.pop_front();
        }
        let prefix_hash = format!("{key:016x}");
        self.events.push_back((now, Event { sequence: self.sequence, change, prefix_hash }));
    }
}
