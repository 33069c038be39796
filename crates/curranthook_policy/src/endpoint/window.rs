//! How many of this node's requests an endpoint takes at once.
//!
//! An endpoint's places are shared by nodes that don't know of each other. If each fills them
//! all, requests wait in the endpoint's own queue, where they can't be refused, reordered or
//! sent elsewhere. So each node lowers its own part while the endpoint reports more than it can
//! run, and raises it while there is room: additive increase, multiplicative decrease, which
//! makes parts equal.

use std::time::{Duration, Instant};

/// An endpoint may hold this much more than it can run, so that a place that gets free is filled
/// at once.
const OVERLOAD_FACTOR: f64 = 1.5;
/// What a report of free places adds.
const INCREASE_STEP: f64 = 0.2;
/// The least that one decrease leaves.
const MIN_DECREASE_FACTOR: f64 = 0.5;
/// Reports lag, so the effect of a decrease takes this long to show.
const DECREASE_INTERVAL: Duration = Duration::from_millis(250);

/// This node's part of an endpoint's places.
#[derive(Debug)]
pub(crate) struct Window {
    limit: f64,
    last_decrease: Option<Instant>,
}

impl Window {
    /// All places, as long as nothing speaks against it.
    pub(crate) fn new(slots: f64) -> Self {
        Self { limit: slots, last_decrease: None }
    }

    pub(crate) fn has_capacity(&self, in_flight: usize) -> bool {
        in_flight as f64 + 1.0 <= self.limit.max(1.0)
    }

    /// Takes in how many requests the endpoint holds, of all nodes.
    pub(crate) fn record_load(&mut self, load: f64, slots: f64, now: Instant) {
        if load < slots {
            self.limit = (self.limit + INCREASE_STEP).min(slots);
        } else if slots * OVERLOAD_FACTOR < load {
            self.decrease((slots * OVERLOAD_FACTOR / load).max(MIN_DECREASE_FACTOR), now);
        }
    }

    /// The endpoint refused a request because it is full.
    pub(crate) fn record_refusal(&mut self, now: Instant) {
        self.decrease(MIN_DECREASE_FACTOR, now);
    }

    fn decrease(&mut self, factor: f64, now: Instant) {
        let is_early = |at: Instant| now.saturating_duration_since(at) < DECREASE_INTERVAL;
        if self.last_decrease.is_some_and(is_early) {
            return;
        }
        self.limit = (self.limit * factor).max(1.0);
        self.last_decrease = Some(now);
    }
}
