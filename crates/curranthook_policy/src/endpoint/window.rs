//! A limit on this node's concurrent requests at an endpoint.
//!
//! The slots of an endpoint are shared by nodes that don't know of each other. If each node filled
//! all of them, requests would wait in the endpoint's own queue, where they can't be refused,
//! reordered or sent elsewhere. So each node lowers its limit while the endpoint reports more
//! requests than it can run, and raises it while there are free slots. Additive increase and
//! multiplicative decrease make the limits of the nodes converge to equal shares.

use std::time::{Duration, Instant};

/// The load, relative to the slots, above which the limit is decreased. It is above 1 so that a
/// slot that becomes free is filled at once.
const OVERLOAD_FACTOR: f64 = 1.5;
/// The increase of the limit for each report of free slots.
const INCREASE_STEP: f64 = 0.2;
/// The smallest factor by which one decrease multiplies the limit.
const MIN_DECREASE_FACTOR: f64 = 0.5;
/// The shortest time between two decreases: load reports lag, so the effect of a decrease takes
/// this long to show.
const DECREASE_INTERVAL: Duration = Duration::from_millis(250);

/// This node's limit of concurrent requests at an endpoint.
#[derive(Debug)]
pub(crate) struct Window {
    limit: f64,
    last_decrease: Option<Instant>,
}

impl Window {
    /// Starts with all slots, until a report lowers the limit.
    pub(crate) fn new(slots: f64) -> Self {
        Self { limit: slots, last_decrease: None }
    }

    pub(crate) fn has_capacity(&self, in_flight: usize) -> bool {
        in_flight as f64 + 1.0 <= self.limit.max(1.0)
    }

    /// Records how many requests the endpoint holds, from all nodes.
    pub(crate) fn record_load(&mut self, load: f64, slots: f64, now: Instant) {
        if load < slots {
            self.limit = (self.limit + INCREASE_STEP).min(slots);
        } else if slots * OVERLOAD_FACTOR < load {
            self.decrease((slots * OVERLOAD_FACTOR / load).max(MIN_DECREASE_FACTOR), now);
        }
    }

    /// Records that the endpoint refused a request because it is full.
    pub(crate) fn record_refusal(&mut self, now: Instant) {
        self.decrease(MIN_DECREASE_FACTOR, now);
    }

    fn decrease(&mut self, factor: f64, now: Instant) {
        let is_too_soon = |at: Instant| now.saturating_duration_since(at) < DECREASE_INTERVAL;
        if self.last_decrease.is_some_and(is_too_soon) {
            return;
        }
        self.limit = (self.limit * factor).max(1.0);
        self.last_decrease = Some(now);
    }
}
