//! A simulated model engine that serves chat completions, streamed or not.
//!
//! The content of an answer depends only on the request id, the prompt and the version (see
//! [`answer`]), so that a resumed answer continues the interrupted one and tests can predict its
//! quality. [`profile`] configures latency and quality, [`faults`] the injected faults.
//!
//! | request | meaning |
//! |---|---|
//! | `POST /v1/chat/completions` | runs a chat completion |
//! | `POST /orders` | loads or unloads a version; carries a fencing token |
//! | `GET /load` | returns the load, delayed by the configured lag |
//! | `GET /cache-events` | returns prefix cache events, delayed and with some events missing |
//! | `PUT /control/faults` | replaces the [`faults::Faults`] |
//! | `GET /control/record` | returns a list of [`record::Run`] |
//! | `GET /control/orders` | returns a list of [`order::Entry`] |

pub mod answer;
mod cache;
mod completion;
pub mod faults;
mod load;
pub mod order;
pub mod profile;
pub mod record;
mod slots;

use std::{
    collections::BTreeSet,
    sync::{Arc, Weak, atomic::AtomicU64},
};

use curranthook_http::{Body, body};
use curranthook_types::{Clock, header};
use futures_lite::future::Boxed;
use http::{HeaderName, HeaderValue};
use parking_lot::Mutex;

use crate::app::{self, App, Reply, Request};

use self::{
    cache::Cache, faults::Faults, load::Load, order::Log, profile::Profile, record::Record,
    slots::Slots,
};

/// Whether an engine checks fencing tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fencing {
    /// Rejects an order whose token is lower than the highest one seen.
    Checked,
    /// Executes every order.
    Ignored,
}

/// Whether an engine records its runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recording {
    /// Every run is recorded.
    On,
    /// No run is recorded, for benchmarks.
    Off,
}

/// A simulated model engine.
#[derive(Debug)]
pub struct Engine {
    id: String,
    weak_self: Weak<Self>,
    profile: Profile,
    clock: Arc<dyn Clock>,
    n_without_id: AtomicU64,
    slots: Arc<Slots>,
    record: Arc<Record>,
    cache: Mutex<Cache>,
    load: Mutex<Load>,
    faults: Mutex<Faults>,
    loaded: Mutex<BTreeSet<String>>,
    orders: Mutex<Log>,
}

impl Engine {
    /// Creates an engine with `versions` loaded.
    pub fn new(
        id: &str,
        versions: impl IntoIterator<Item = String>,
        profile: Profile,
        fencing: Fencing,
        recording: Recording,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        Arc::new_cyclic(|weak_self| Self {
            id: id.to_owned(),
            weak_self: Weak::clone(weak_self),
            n_without_id: AtomicU64::new(0),
            slots: Arc::new(Slots::new(profile.slots, profile.queue)),
            record: Arc::new(Record::new(recording, Arc::clone(&clock))),
            cache: Mutex::new(Cache::new(&profile)),
            load: Mutex::new(Load::new(profile.load_lag())),
            faults: Mutex::default(),
            loaded: Mutex::new(versions.into_iter().collect()),
            orders: Mutex::new(Log::new(fencing)),
            profile,
            clock,
        })
    }

    fn handle_order(&self, req: &Request) -> http::Response<Body> {
        let order = match req.json() {
            Ok(order) => order,
            Err(e) => return e.response(),
        };
        let fence = req.parsed_header(header::FENCING);
        let at_millis = self.clock.unix_millis();
        let mut loaded = self.loaded.lock();
        match self.orders.lock().apply(order, fence, at_millis, &mut loaded) {
            order::Verdict::Executed => body::json(200, &*loaded),
            order::Verdict::Stale => app::error(409, "the fencing number is old"),
        }
    }

    /// Lists the loaded versions in the format of the OpenAI models endpoint.
    fn models(&self) -> http::Response<Body> {
        let loaded = self.loaded.lock();
        let model = |id: &String| serde_json::json!({ "id": id, "object": "model" });
        let data: Vec<_> = loaded.iter().map(model).collect();
        body::json(200, &serde_json::json!({ "object": "list", "data": data }))
    }

    fn handle_control(&self, req: &Request) -> http::Response<Body> {
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/control/record") => body::json(200, &self.record.runs()),
            ("GET", "/control/orders") => body::json(200, &self.orders.lock().entries()),
            ("GET", "/control/versions") => body::json(200, &*self.loaded.lock()),
            ("PUT", "/control/faults") => req.apply_json(|faults| *self.faults.lock() = faults),
            _ => app::error(404, "no such control"),
        }
    }

    /// The load reported to callers, which is delayed by the configured lag.
    fn reported_load(&self) -> usize {
        self.load.lock().report(self.slots.n_in_flight(), self.clock.now())
    }

    fn with_state_headers(&self, mut res: http::Response<Body>) -> http::Response<Body> {
        let headers = res.headers_mut();
        headers.insert(header::LOAD, HeaderValue::from(self.reported_load()));
        if self.faults.lock().leaving {
            headers.insert(header::LEAVING, HeaderValue::from_static("true"));
        }
        res
    }

    /// A rejection sent before any work has started.
    fn reject_not_started(&self, status: u16, text: &str) -> http::Response<Body> {
        let mut res = app::error(status, text);
        res.headers_mut().insert(header::NOT_STARTED, HeaderValue::from_static("true"));
        self.with_state_headers(res)
    }
}

fn set_header(res: &mut http::Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(HeaderName::from_static(name), value);
    }
}

impl App for Engine {
    fn handle(self: Arc<Self>, req: Request) -> Boxed<Reply> {
        Box::pin(async move {
            let res = match (req.method.as_str(), req.path.as_str()) {
                ("POST", "/v1/chat/completions") => self.complete_chat(&req).await,
                ("POST", "/orders") => self.handle_order(&req),
                ("GET", "/v1/models") => self.models(),
                ("GET", "/load") => {
                    body::json(200, &serde_json::json!({ "load": self.reported_load() }))
                }
                ("GET", "/cache-events") => {
                    body::json(200, &self.cache.lock().events(self.clock.now()))
                }
                _ => self.handle_control(&req),
            };
            Ok(res)
        })
    }

    fn health(&self) -> http::Response<Body> {
        self.with_state_headers(body::json(200, &serde_json::json!({ "healthy": true })))
    }
}
