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
    visible: Vec<Value>,
    /// The number of visible changes so far, used as `ETag`.
    version: u64,
    pending: VecDeque<(Instant, Vec<Value>)>,
}

impl Vms {
    pub(super) fn new(lag: Duration) -> Self {
        Self { lag, visible: Vec::new(), version: 0, pending: VecDeque::new() }
    }

    /// Sets the actual list, which becomes visible after the lag.
    pub(super) fn set(&mut self, list: Vec<Value>, now: Instant) {
        self.pending.push_back((now + self.lag, list));
    }

    /// Responds with the visible list, or with 304 if the caller already has it.
    pub(super) fn response(&mut self, req: &Request, now: Instant) -> http::Response<Body> {
        while let Some((_, list)) = self.pending.pop_front_if(|(at, _)| *at <= now) {
            self.visible = list;
            self.version += 1;
        }
        let tag = format!("\"{}\"", self.version);
        let is_unchanged = req.headers.get(IF_NONE_MATCH).is_some_and(|it| *it == *tag);
        let mut res = if is_unchanged {
            let mut res = http::Response::new(body::full(Vec::new()));
            *res.status_mut() = http::StatusCode::NOT_MODIFIED;
            res
        } else {
            body::json(200, &self.visible)
        };
        res.headers_mut().insert(ETAG, tag.parse().expect("a number is a valid tag"));
        res
    }
}
