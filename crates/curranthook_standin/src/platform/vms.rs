//! The list of VMs, which shows a change only after a while.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde_json::Value;

/// The list as it was and is.
#[derive(Debug)]
pub(super) struct Vms {
    lag: Duration,
    seen: Vec<Value>,
    unseen: VecDeque<(Instant, Vec<Value>)>,
}

impl Vms {
    pub(super) fn new(lag: Duration) -> Self {
        Self { lag, seen: Vec::new(), unseen: VecDeque::new() }
    }

    /// Sets the true list.
    pub(super) fn set(&mut self, list: Vec<Value>, now: Instant) {
        self.unseen.push_back((now + self.lag, list));
    }

    /// The list that callers see.
    pub(super) fn seen(&mut self, now: Instant) -> &[Value] {
        while let Some((_, list)) = self.unseen.pop_front_if(|(at, _)| *at <= now) {
            self.seen = list;
        }
        &self.seen
    }
}
