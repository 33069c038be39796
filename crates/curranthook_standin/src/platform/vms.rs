//! The list of VMs, in which changes become visible after a lag.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use curranthook_http::{Body, body};
use http::header::{ETAG, IF_NONE_MATCH};
use serde_json::Value;

use crate::app::Request;

/// The visible list and its pending changes.
#[derive(Debug)]
pub(super) struct Vms {
    lag: Duration,
    seen: Vec<Value>,
    /// The number of visible changes so far, used as `ETag`.
    version: u64,
    unseen: VecDeque<(Instant, Vec<Value>)>,
}

impl Vms {
    pub(super) fn new(lag: Duration) -> Self {
        Self { lag, seen: Vec::new(), version: 0, unseen: VecDeque::new() }
    }

    /// Sets the actual list, which becomes visible after the lag.
    pub(super) fn set(&mut self, list: Vec<Value>, now: Instant) {
        self.unseen.push_back((now + self.lag, list));
    }

    /// Responds with the visible list, or with 304 if the caller already has it.
    pub(super) fn answer(&mut self, req: &Request, now: Instant) -> http::Response<Body> {
        while let Some((_, list)) = self.unseen.pop_front_if(|(at, _)| *at <= now) {
            self.seen = list;
            self.version += 1;
        }
        let tag = format!("\"{}\"", self.version);
        let has_it = req.headers.get(IF_NONE_MATCH).is_some_and(|it| *it == *tag);
        let mut res = if has_it {
            let mut res = http::Response::new(body::full(Vec::new()));
            *res.status_mut() = http::StatusCode::NOT_MODIFIED;
            res
        } else {
            body::json(200, &self.seen)
        };
        res.headers_mut().insert(ETAG, tag.parse().expect("a number is a valid tag"));
        res
    }
}
