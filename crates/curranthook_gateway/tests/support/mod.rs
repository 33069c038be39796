//! Helpers shared by several tests.

#![allow(dead_code, reason = "each test uses a part")]

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use curranthook_gateway::entry::{Entry, State};

/// The entry of an endpoint that started at `started_ms` and stays in slow start for `slow_start`.
pub fn entry(started_ms: u64, slow_start: Duration) -> Entry {
    Entry {
        id: "e-1".into(),
        service: "models".to_owned(),
        addr: "127.0.0.1:9".parse().unwrap(),
        domain: "z-a".into(),
        version: "v1".to_owned(),
        slots: 8,
        state: State::Ready,
        slow_start,
        started_ms: Some(started_ms),
    }
}

/// The largest number of arrivals in any window of `length`.
pub fn most_in_window(mut arrivals: Vec<Instant>, length: Duration) -> usize {
    arrivals.sort();
    let (mut window, mut most) = (VecDeque::new(), 0);
    for at in arrivals {
        window.push_back(at);
        while window.front().is_some_and(|it| *it + length <= at) {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    most
}
