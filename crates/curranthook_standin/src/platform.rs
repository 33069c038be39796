//! A simulated platform: a transactional table, an object store and a VM list with a lag.
//!
//! The API is documented in `curranthook_platform::client`. Control:
//!
//! | request | meaning |
//! |---|---|
//! | `PUT /control/faults` | replaces the [`fault::Faults`]; omitted fields are reset |
//! | `PUT /control/vms` | sets the actual list of VMs, served after the lag |
//! | `GET /control/counts` | returns the [`count::Counts`] |
//! | `GET /control/table/{table}` | returns the rows as `[{key, tag, value}]` |
//! | `GET /control/objects` | returns the objects as `{key: text}` |

pub mod count;
pub mod fault;
mod rate;
mod store;
mod vms;

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use curranthook_http::body;
use curranthook_types::Clock;
use futures_lite::future::Boxed;
use http::Method;
use parking_lot::Mutex;

use crate::app::{self, App, HangUp, Reply, Request};

use self::{
    count::Counts,
    fault::{Access, Faults, Mode},
    rate::Bucket,
    store::Store,
    vms::Vms,
};

/// Rate limits and lag of the platform.
#[derive(Debug, Clone, Default)]
pub struct Limit {
    /// Table reads per second; unlimited if `None`.
    pub table_reads: Option<f64>,
    /// Table writes per second; unlimited if `None`.
    pub table_writes: Option<f64>,
    /// The delay before a change of the VM list becomes visible.
    pub vm_list_lag: Duration,
}

/// A simulated platform.
#[derive(Debug)]
pub struct Platform {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    table: Store,
    objects: Store,
    vms: Vms,
    faults: Faults,
    counts: Counts,
    reads: Bucket,
    writes: Bucket,
}

/// The services of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Service {
    Table,
    Objects,
    Vms,
}

impl Platform {
    /// Creates an empty platform.
    pub fn new(limit: Limit, clock: Arc<dyn Clock>) -> Self {
        let now = clock.now();
        let state = State {
            table: Store::default(),
            objects: Store::default(),
            vms: Vms::new(limit.vm_list_lag),
            faults: Faults::default(),
            counts: Counts::default(),
            reads: Bucket::new(limit.table_reads, now),
            writes: Bucket::new(limit.table_writes, now),
        };
        Self { clock, state: Mutex::new(state) }
    }

    async fn call(&self, service: Service, key: &str, req: &Request) -> Reply {
        let access = if req.method == Method::GET { Access::Read } else { Access::Write };
        let (mode, delay) = self.state.lock().faults.next_effect(service, key, access);
        match mode {
            Mode::Up => Ok(self.execute(service, key, access, req)),
            Mode::Down => {
                self.state.lock().counts.for_service(service).refused += 1;
                Ok(app::error(503, "down"))
            }
            Mode::Slow => {
                Timer::after(delay).await;
                Ok(self.execute(service, key, access, req))
            }
            Mode::Lost => {
                Timer::after(delay).await;
                let _lost_response = self.execute(service, key, access, req);
                Err(HangUp)
            }
        }
    }

    fn execute(
        &self,
        service: Service,
        key: &str,
        access: Access,
        req: &Request,
    ) -> http::Response<curranthook_http::Body> {
        let now = self.clock.now();
        let mut guard = self.state.lock();
        let state = &mut *guard;
        let counts = state.counts.for_service(service);
        let bucket = match access {
            Access::Read => &mut state.reads,
            Access::Write => &mut state.writes,
        };
        if service == Service::Table && !bucket.try_take(now) {
            counts.refused += 1;
            return app::error(429, "over the rate");
        }
        match access {
            Access::Read => counts.reads += 1,
            Access::Write => counts.writes += 1,
        }
        let res = match service {
            Service::Table => state.table.table_call(key, req),
            Service::Objects => state.objects.object_call(key, req),
            Service::Vms => state.vms.response(req, now),
        };
        if res.status() == 304 {
            counts.not_modified += 1;
        }
        res
    }

    fn handle_control(
        &self,
        resource: &str,
        req: &Request,
    ) -> http::Response<curranthook_http::Body> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        match (&req.method, resource.split_once('/')) {
            (&Method::GET, Some(("table", table))) => {
                body::json(200, &state.table.rows(&format!("{table}/")))
            }
            (&Method::GET, None) if resource == "objects" => {
                body::json(200, &state.objects.values_as_text())
            }
            (&Method::GET, None) if resource == "counts" => body::json(200, &state.counts),
            (&Method::PUT, None) if resource == "faults" => {
                req.apply_json(|faults| state.faults = faults)
            }
            (&Method::PUT, None) if resource == "vms" => {
                req.apply_json(|list| state.vms.set(list, now))
            }
            _ => app::error(404, "no such control"),
        }
    }
}

impl App for Platform {
    fn handle(self: Arc<Self>, req: Request) -> Boxed<Reply> {
        Box::pin(async move {
            let path = req.path.trim_start_matches('/');
            let (first, rest) = path.split_once('/').unwrap_or((path, ""));
            match first {
                "table" => self.call(Service::Table, rest, &req).await,
                "objects" => self.call(Service::Objects, rest, &req).await,
                "vms" => self.call(Service::Vms, rest, &req).await,
                "control" => Ok(self.handle_control(rest, &req)),
                _ => Ok(app::error(404, "no such path")),
            }
        })
    }
}
