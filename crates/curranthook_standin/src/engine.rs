//! A model engine: chat completions, whole or streamed.
//!
//! What an answer says follows from the request's id, its prompt and the version alone (see
//! [`answer`]), so that a resumed answer continues the interrupted one and tests can foretell
//! quality. [`profile`] says how fast and how good an engine is, [`faults`] what goes wrong.
//!
//! | request | meaning |
//! |---|---|
//! | `POST /v1/chat/completions` | work |
//! | `POST /orders` | load or unload a version, under a fencing number |
//! | `GET /load` | the load as it was a while ago |
//! | `GET /cache-events` | changes of the prefix cache, late and with gaps |
//! | `PUT /control/faults` | [`faults::Faults`] |
//! | `GET /control/record` | a list of [`record::Run`] |
//! | `GET /control/orders` | a list of [`order::Entry`] |

pub mod answer;
mod cache;
pub mod faults;
mod load;
pub mod order;
pub mod profile;
pub mod record;
mod slots;
mod work;

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

/// Whether an engine looks at fencing numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fencing {
    /// An order with an older number than the highest seen is refused.
    Checked,
    /// Any order is obeyed.
    Ignored,
}

/// Whether an engine keeps a record of its runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recording {
    /// Each run is kept.
    On,
    /// None is, for measurements.
    Off,
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    id: String,
    me: Weak<Self>,
    profile: Profile,
    clock: Arc<dyn Clock>,
    n_unnamed: AtomicU64,
    slots: Arc<Slots>,
    record: Arc<Record>,
    cache: Mutex<Cache>,
    load: Mutex<Load>,
    faults: Mutex<Faults>,
    loaded: Mutex<BTreeSet<String>>,
    orders: Mutex<Log>,
}

impl Engine {
    /// An engine that has `versions` loaded.
    pub fn new(
        id: &str,
        versions: impl IntoIterator<Item = String>,
        profile: Profile,
        fencing: Fencing,
        recording: Recording,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        Arc::new_cyclic(|me| Self {
            id: id.to_owned(),
            me: Weak::clone(me),
            n_unnamed: AtomicU64::new(0),
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

    fn order(&self, req: &Request) -> http::Response<Body> {
        let order = match req.json() {
            Ok(order) => order,
            Err(e) => return e.answer(),
        };
        let fence = req.number(header::FENCING);
        let at_millis = self.clock.unix_millis();
        let mut loaded = self.loaded.lock();
        match self.orders.lock().take(order, fence, at_millis, &mut loaded) {
            order::Verdict::Obeyed => body::json(200, &*loaded),
            order::Verdict::Stale => app::error(409, "the fencing number is old"),
        }
    }

    /// The versions that are loaded, in the form of the models list.
    fn models(&self) -> http::Response<Body> {
        let loaded = self.loaded.lock();
        let model = |id: &String| serde_json::json!({ "id": id, "object": "model" });
        let data: Vec<_> = loaded.iter().map(model).collect();
        body::json(200, &serde_json::json!({ "object": "list", "data": data }))
    }

    fn control(&self, req: &Request) -> http::Response<Body> {
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/control/record") => body::json(200, &self.record.runs()),
            ("GET", "/control/orders") => body::json(200, &self.orders.lock().entries()),
            ("GET", "/control/versions") => body::json(200, &*self.loaded.lock()),
            ("PUT", "/control/faults") => req.store(|faults| *self.faults.lock() = faults),
            _ => app::error(404, "no such control"),
        }
    }

    /// The load that callers are told: an old one.
    fn reported_load(&self) -> usize {
        self.load.lock().report(self.slots.n_held(), self.clock.now())
    }

    fn with_state(&self, mut res: http::Response<Body>) -> http::Response<Body> {
        let headers = res.headers_mut();
        headers.insert(header::LOAD, HeaderValue::from(self.reported_load()));
        if self.faults.lock().leaving {
            headers.insert(header::LEAVING, HeaderValue::from_static("true"));
        }
        res
    }

    /// A refusal given before any work was begun.
    fn not_started(&self, status: u16, text: &str) -> http::Response<Body> {
        let mut res = app::error(status, text);
        res.headers_mut().insert(header::NOT_STARTED, HeaderValue::from_static("true"));
        self.with_state(res)
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
                ("POST", "/v1/chat/completions") => self.work(&req).await,
                ("POST", "/orders") => self.order(&req),
                ("GET", "/v1/models") => self.models(),
                ("GET", "/load") => {
                    body::json(200, &serde_json::json!({ "load": self.reported_load() }))
                }
                ("GET", "/cache-events") => {
                    body::json(200, &self.cache.lock().events(self.clock.now()))
                }
                _ => self.control(&req),
            };
            Ok(res)
        })
    }

    fn health(&self) -> http::Response<Body> {
        self.with_state(body::json(200, &serde_json::json!({ "healthy": true })))
    }
}
