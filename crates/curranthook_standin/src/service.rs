//! A simulated service with side effects: every call that arrives is run and recorded.
//!
//! The service doesn't deduplicate, so its record shows every call that a router forwarded. Control:
//! `PUT /control/faults` takes [`Faults`], `GET /control/record` returns a list of [`Call`].

use std::{
    process,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_io::Timer;
use curranthook_http::{Body, body};
use curranthook_types::{Clock, header};
use futures_lite::future::{self, Boxed};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{
    app::{self, App, Reply, Request},
    fault::Count,
    hash,
};

/// A call that was run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call {
    /// The request's id, or an empty string.
    pub request_id: String,
    /// The idempotency key, if any.
    pub idempotency_key: Option<String>,
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// A hash of the body.
    pub body_hash: String,
    /// The body as text.
    pub body: String,
    /// When the call was run, in milliseconds since the Unix epoch.
    pub started_millis: u64,
    /// The outcome of the response.
    pub outcome: Outcome,
}

/// The outcome of a call's response. The call itself was run in every case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Not sent yet, or never sent because the caller disconnected first.
    Running,
    /// A success response was returned.
    Done,
    /// An error response was returned.
    Failed,
}

/// The active faults.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The delay added to each response, in milliseconds.
    pub answer_late_ms: u64,
    /// Neither runs the call nor responds.
    pub hang_before_head: Count,
    /// Runs the call and never responds.
    pub hang_after_run: Count,
    /// Runs the call, then aborts the process.
    pub die_after_run: bool,
    /// Aborts the process before running the call.
    pub die_before_run: bool,
    /// Responds with 500 without running the call, and without the "not started" header.
    pub error_before_run: Count,
    /// Runs the call, then responds with 500.
    pub error_after_run: Count,
    /// Rejects calls with 503 and the "not started" header.
    pub refuse: Count,
    /// Rejects calls with 503 and the "not started" and leaving headers.
    pub leaving: bool,
    /// Responds with another request's id.
    pub foreign_id: Count,
}

/// A simulated service.
#[derive(Debug)]
pub struct Service {
    id: String,
    clock: Arc<dyn Clock>,
    n_running: AtomicUsize,
    state: Mutex<State>,
}

/// A guard that counts a call as running until dropped.
#[derive(Debug)]
struct Running<'a>(&'a AtomicUsize);

impl<'a> Running<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    calls: Vec<Call>,
}

impl Service {
    /// Creates a service with an empty record.
    pub fn new(id: &str, clock: Arc<dyn Clock>) -> Self {
        Self { id: id.to_owned(), clock, n_running: AtomicUsize::new(0), state: Mutex::default() }
    }

    async fn run(&self, req: &Request) -> http::Response<Body> {
        if let Some(rejection) = self.rejection() {
            return rejection;
        }
        let _running = Running::new(&self.n_running);
        if self.state.lock().faults.hang_before_head.triggers() {
            return future::pending().await;
        }
        if self.state.lock().faults.error_before_run.triggers() {
            return app::error(500, "broken before the run");
        }
        let index = self.record(req);
        let (hangs, dies, fails, delay) = {
            let faults = &mut self.state.lock().faults;
            let (hangs, fails) =
                (faults.hang_after_run.triggers(), faults.error_after_run.triggers());
            (hangs, faults.die_after_run, fails, Duration::from_millis(faults.answer_late_ms))
        };
        if dies {
            process::abort();
        }
        if hangs {
            return future::pending().await;
        }
        Timer::after(delay).await;
        if fails {
            self.state.lock().calls[index].outcome = Outcome::Failed;
            return app::error(500, "broken after the run");
        }
        self.state.lock().calls[index].outcome = Outcome::Done;
        self.success_response(req, index + 1)
    }

    fn rejection(&self) -> Option<http::Response<Body>> {
        let faults = &mut self.state.lock().faults;
        if faults.die_before_run {
            process::abort();
        }
        if !faults.leaving && !faults.refuse.triggers() {
            return None;
        }
        let mut res = app::error(503, "not taking work");
        res.headers_mut().insert(header::NOT_STARTED, http::HeaderValue::from_static("true"));
        if faults.leaving {
            res.headers_mut().insert(header::LEAVING, http::HeaderValue::from_static("true"));
        }
        Some(res)
    }

    fn record(&self, req: &Request) -> usize {
        let text = String::from_utf8_lossy(&req.body).into_owned();
        let query = if req.query.is_empty() { "" } else { "?" };
        let call = Call {
            request_id: req.header(header::REQUEST_ID).unwrap_or_default().to_owned(),
            idempotency_key: req.header(header::IDEMPOTENCY_KEY).map(str::to_owned),
            method: req.method.to_string(),
            path: format!("{}{query}{}", req.path, req.query),
            body_hash: format!("{:016x}", hash::of(&[&text])),
            body: text,
            started_millis: self.clock.unix_millis(),
            outcome: Outcome::Running,
        };
        let calls = &mut self.state.lock().calls;
        calls.push(call);
        calls.len() - 1
    }

    fn success_response(&self, req: &Request, n_calls: usize) -> http::Response<Body> {
        let own_id = req.header(header::REQUEST_ID).unwrap_or_default();
        let is_foreign = self.state.lock().faults.foreign_id.triggers();
        let id = if is_foreign { format!("not-{own_id}") } else { own_id.to_owned() };
        let content = serde_json::json!({ "posted": n_calls, "id": id, "service": self.id });
        let mut res = body::json(200, &content);
        if let Ok(value) = http::HeaderValue::from_str(&id) {
            res.headers_mut().insert(header::REQUEST_ID, value);
        }
        let n_running = self.n_running.load(Ordering::Relaxed);
        res.headers_mut().insert(header::LOAD, http::HeaderValue::from(n_running));
        res
    }

    fn handle_control(&self, req: &Request) -> http::Response<Body> {
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/control/record") => body::json(200, &self.state.lock().calls),
            ("PUT", "/control/faults") => {
                req.apply_json(|faults| self.state.lock().faults = faults)
            }
            _ => app::error(404, "no such control"),
        }
    }
}

impl App for Service {
    fn handle(self: Arc<Self>, req: Request) -> Boxed<Reply> {
        Box::pin(async move {
            if req.path.starts_with("/control/") {
                return Ok(self.handle_control(&req));
            }
            Ok(self.run(&req).await)
        })
    }

    fn health(&self) -> http::Response<Body> {
        let mut res = body::json(200, &serde_json::json!({ "healthy": true }));
        if self.state.lock().faults.leaving {
            res.headers_mut().insert(header::LEAVING, http::HeaderValue::from_static("true"));
        }
        res
    }
}
