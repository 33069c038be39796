//! A rating service, which recognizes good answers by the marker that engines put at their start.
//!
//! Control: `PUT /control/faults` takes [`Faults`], `GET /control/counts` returns [`Counts`].

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_io::Timer;
use curranthook_http::body;
use futures_lite::future::Boxed;
use http::Method;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{
    app::{self, App, Reply, Request},
    engine::answer::GOOD_MARKER,
    hash,
};

/// A request to rate one answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct Case {
    /// The version that generated it.
    pub version: String,
    /// The kind of work.
    pub kind: String,
    /// The prompt.
    pub prompt: String,
    /// The answer to rate.
    pub answer: String,
}

/// The active faults.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The delay added to each rating, in milliseconds.
    pub delay_ms: u64,
    /// Whether all calls are rejected with 503.
    pub down: bool,
}

/// Counts of rating calls.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Counts {
    /// The number of ratings returned.
    pub rated: u64,
    /// The number of calls rejected while down.
    pub refused: u64,
    /// The number of ratings returned, by version.
    pub versions: BTreeMap<String, u64>,
}

/// A simulated rating service that returns a given fraction of wrong ratings.
#[derive(Debug)]
pub struct Rater {
    error_rate: f64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    counts: Counts,
}

impl Rater {
    /// Creates a rater that returns the wrong rating with probability `error_rate`.
    pub fn new(error_rate: f64) -> Self {
        Self { error_rate, state: Mutex::default() }
    }

    async fn rate(&self, req: &Request) -> http::Response<curranthook_http::Body> {
        let case: Case = match req.json() {
            Ok(case) => case,
            Err(e) => return e.response(),
        };
        let faults = self.state.lock().faults.clone();
        if faults.down {
            self.state.lock().counts.refused += 1;
            return app::error(503, "down");
        }
        Timer::after(Duration::from_millis(faults.delay_ms)).await;
        let counts = &mut self.state.lock().counts;
        counts.rated += 1;
        *counts.versions.entry(case.version).or_default() += 1;
        // Including the count makes errors independent for repeated ratings of one answer.
        let is_wrong = hash::fraction(&[&case.answer, &counts.rated.to_string()]) < self.error_rate;
        let is_good = case.answer.starts_with(GOOD_MARKER) != is_wrong;
        body::json(200, &serde_json::json!({ "rating": f64::from(u8::from(is_good)) }))
    }
}

impl App for Rater {
    fn handle(self: Arc<Self>, req: Request) -> Boxed<Reply> {
        Box::pin(async move {
            let res = match (&req.method, req.path.as_str()) {
                (&Method::POST, "/rate") => self.rate(&req).await,
                (&Method::GET, "/control/counts") => body::json(200, &self.state.lock().counts),
                (&Method::PUT, "/control/faults") => {
                    req.apply_json(|faults| self.state.lock().faults = faults)
                }
                _ => app::error(404, "no such path"),
            };
            Ok(res)
        })
    }
}
