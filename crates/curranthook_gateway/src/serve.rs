//! Starts a node, and shuts it down gracefully.

pub mod shutdown;

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use curranthook_http::{
    Body, body,
    server::{Backlog, Connections, Handler, Limits, Server},
    stop, timeout,
};
use futures_lite::{
    StreamExt,
    future::{self, Boxed},
};
use http::{Request, Response};
use hyper::body::Incoming;

use crate::{
    Gateway,
    event::Event,
    fleet::unlisted,
    fleet_writer,
    forwarding::server as forwarding,
    frontend::Frontend,
    load::{
        reports::{self, Socket},
        snapshot_rows,
    },
    replication::{joins, peers, watch},
    settings::Settings,
    store::Table,
};

/// How long a node keeps accepting requests after the signal to stop. The load balancer checks
/// readiness once per second and sends new callers until two checks have failed.
const STOP_DELAY: Duration = Duration::from_millis(2_600);
/// The part of the grace period that is reserved for exiting before the process is killed.
const EXIT_RESERVE: Duration = Duration::from_millis(400);
/// The time before that in which requests are answered that could not be completed.
const ANSWER_RESERVE: Duration = Duration::from_millis(250);
/// How often the settings are reloaded without a signal, as they may change without one.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// How often a draining node checks whether its last requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a caller's connection may be idle. Callers close theirs earlier than that.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a caller's new connection should wait at most until it is read. A request waits as long
/// at each of a few steps after that.
const MAX_CONNECTION_WAIT: Duration = Duration::from_millis(100);

/// The share of a process's descriptors that are set aside for files, the store and other nodes.
const RESERVED_DESCRIPTORS: f64 = 0.1;

/// Why a node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address cannot be bound.
    #[error("cannot listen on {addr}: {source}")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// Signals cannot be received.
    #[error("cannot receive signals: {0}")]
    Signals(#[from] std::io::Error),
}

/// The source of the settings, from which they are reloaded while the node runs.
pub trait Reload: Send {
    /// Reads the settings again. Returns a description of the changes, which is empty if there are
    /// none.
    fn reload(&mut self) -> Result<String, String>;
}

/// The bound sockets of a node.
#[derive(Debug)]
pub struct Listeners {
    callers: Server,
    readiness: Server,
    peers: Option<Server>,
    reports: Option<Async<UdpSocket>>,
    metrics: Option<Server>,
}

impl Listeners {
    /// Binds the addresses in `settings`, and replaces them by the bound ones, in which port 0 has
    /// become the assigned port.
    pub fn bind(settings: &mut Settings) -> Result<Self, Error> {
        let limits = Limits { head_timeout: CALLER_IDLE_TIMEOUT, ..Limits::default() };
        let it = Self {
            callers: bind(settings.callers)?.with_limits(limits),
            readiness: bind(settings.readiness)?,
            peers: settings.peers.map(bind).transpose()?,
            reports: settings.reports.map(bind_datagrams).transpose()?,
            metrics: settings.metrics.map(bind).transpose()?,
        };
        settings.callers = it.callers.addr();
        settings.readiness = it.readiness.addr();
        settings.peers = it.peers.as_ref().map(Server::addr);
        settings.reports = it.reports.as_ref().and_then(|it| it.get_ref().local_addr().ok());
        settings.metrics = it.metrics.as_ref().map(Server::addr);
        Ok(it)
    }
}

/// Runs a node until a signal to stop arrives, then drains its requests.
pub async fn run(
    gateway: Arc<Gateway>,
    listeners: Listeners,
    reload: &mut dyn Reload,
) -> Result<(), Error> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    log_start(&gateway);
    let (trigger, stop) = stop::new();
    let frontend = Arc::new(Frontend { gateway: Arc::clone(&gateway) });
    let backlog = Arc::new(Backlog::new(MAX_CONNECTION_WAIT, Arc::clone(&gateway.clock)));
    let callers = listeners.callers.with_backlog(Arc::clone(&backlog));
    let connections = gateway
        .settings
        .max_descriptors
        .map(|it| Arc::new(Connections::new(max_connections(it), Arc::clone(&gateway.clock))));
    let callers = match &connections {
        Some(it) => callers.with_connections(Arc::clone(it)),
        None => callers,
    };
    let served = {
        let (ex, frontend) = (Arc::clone(&gateway.ex), Arc::clone(&frontend));
        gateway.ex.spawn(async move { callers.serve(&ex, frontend, stop).await })
    };
    serve_detached(&gateway, listeners.readiness, Arc::new(ReadinessHandler(Arc::clone(&gateway))));
    if let Some(server) = listeners.peers {
        let peers = Arc::new(peers::Server { gateway: Arc::clone(&gateway) });
        let handler = Arc::new(forwarding::Server { frontend: Arc::clone(&frontend), peers });
        serve_detached(&gateway, server, handler);
    }
    if let Some(server) = listeners.metrics {
        let handler = MetricsHandler { gateway: Arc::clone(&gateway), backlog, connections };
        serve_detached(&gateway, server, Arc::new(handler));
    }
    spawn_tasks(&gateway);
    if let Some(socket) = listeners.reports {
        let reports = Arc::new(Socket::new(socket));
        let reports = Arc::clone(gateway.load_reports.get_or_init(|| reports));
        gateway.ex.spawn(reports::run(Arc::clone(&gateway), reports)).detach();
    }
    wait_for_stop(&gateway, &mut signals, reload).await;
    let limit = gateway.settings.grace.saturating_sub(EXIT_RESERVE);
    gateway.shutdown.begin(gateway.now() + limit.saturating_sub(ANSWER_RESERVE));
    gateway.log.write(&Event::Stopping { in_flight: gateway.in_flight() });
    Timer::after(STOP_DELAY.min(limit)).await;
    gateway.shutdown.close();
    trigger.set();
    let drained = async {
        // Also ends the requests whose bodies are still being received.
        served.await;
        drain(&gateway).await;
    };
    // What isn't answered by then is lost with the process.
    let _cut_off = timeout::run(limit.saturating_sub(STOP_DELAY), drained).await;
    gateway.log.write(&Event::Stopped { in_flight: gateway.in_flight() });
    // Gives the log's thread time to write the last lines, which it collects for up to 50 ms.
    Timer::after(DRAIN_POLL_INTERVAL * 2).await;
    Ok(())
}

/// The number of connections of callers that a process with this many descriptors accepts. A request
/// takes one more, to its endpoint.
///
/// ```
/// assert_eq!(curranthook_gateway::serve::max_connections(4_100), 1_845);
/// ```
pub fn max_connections(max_descriptors: usize) -> usize {
    let n_available = max_descriptors as f64 * (1.0 - RESERVED_DESCRIPTORS);
    (n_available as usize / 2).max(1)
}

async fn wait_for_stop(gateway: &Gateway, signals: &mut Signals, reload: &mut dyn Reload) {
    loop {
        let poll = async {
            Timer::after(SETTINGS_POLL_INTERVAL).await;
            Some(Ok(Signal::Hup))
        };
        match future::or(signals.next(), poll).await {
            Some(Ok(Signal::Hup)) => reload_settings(gateway, reload),
            Some(Ok(_)) | None => return,
            Some(Err(e)) => log::error!("cannot receive a signal: {e}"),
        }
    }
}

fn reload_settings(gateway: &Gateway, reload: &mut dyn Reload) {
    match reload.reload() {
        Ok(changed) if changed.is_empty() => {}
        Ok(changed) => gateway.log.write(&Event::Reloaded { changed: &changed }),
        Err(e) => log::error!("cannot reload the settings: {e}"),
    }
}

/// Waits for the requests of other nodes.
async fn drain(gateway: &Gateway) {
    while 0 < gateway.in_flight() {
        Timer::after(DRAIN_POLL_INTERVAL).await;
    }
}

fn log_start(gateway: &Gateway) {
    let settings = &gateway.settings;
    gateway.log.write(&Event::Started {
        version: env!("CARGO_PKG_VERSION"),
        callers: settings.callers,
        readiness: settings.readiness,
        peers: settings.peers,
        metrics: settings.metrics,
    });
}

fn spawn_tasks(gateway: &Arc<Gateway>) {
    let shared = Arc::new(watch::Shared::default());
    for table in Table::ALL {
        let task = watch::run(Arc::clone(gateway), table, Arc::clone(&shared));
        gateway.ex.spawn(task).detach();
    }
    gateway.ex.spawn(joins::run(Arc::clone(gateway))).detach();
    gateway.ex.spawn(unlisted::run(Arc::clone(gateway))).detach();
    gateway.ex.spawn(fleet_writer::run(Arc::clone(gateway))).detach();
    gateway.ex.spawn(snapshot_rows::run(Arc::clone(gateway))).detach();
}

fn bind(addr: SocketAddr) -> Result<Server, Error> {
    Server::bind(addr).map_err(|source| Error::Bind { addr, source })
}

fn bind_datagrams(addr: SocketAddr) -> Result<Async<UdpSocket>, Error> {
    Async::<UdpSocket>::bind(addr).map_err(|source| Error::Bind { addr, source })
}

/// Serves until the process ends.
fn serve_detached<H: Handler>(gateway: &Arc<Gateway>, server: Server, handler: Arc<H>) {
    let ex = Arc::clone(&gateway.ex);
    let serve = async move {
        let (_never, stop) = stop::new();
        server.serve(&ex, handler, stop).await;
    };
    gateway.ex.spawn(serve).detach();
}

/// Answers the load balancer's readiness checks.
#[derive(Debug)]
struct ReadinessHandler(Arc<Gateway>);

impl Handler for ReadinessHandler {
    fn handle(self: Arc<Self>, _req: Request<Incoming>) -> Boxed<Response<Body>> {
        Box::pin(async move {
            let status = if self.0.is_ready() { 200 } else { 503 };
            body::json(status, &serde_json::json!({ "ready": self.0.is_ready() }))
        })
    }
}

/// Serves the metrics.
#[derive(Debug)]
struct MetricsHandler {
    gateway: Arc<Gateway>,
    backlog: Arc<Backlog>,
    connections: Option<Arc<Connections>>,
}

impl Handler for MetricsHandler {
    fn handle(self: Arc<Self>, _req: Request<Incoming>) -> Boxed<Response<Body>> {
        Box::pin(async move {
            let Self { gateway, backlog, connections } = &*self;
            let (metrics, gauge) = (&gateway.metrics, |n| i64::try_from(n).unwrap_or(i64::MAX));
            metrics.in_flight.set(gauge(gateway.in_flight() as u64));
            metrics.lines_dropped.set(gauge(gateway.log.dropped()));
            metrics.connections_closed.set(gauge(backlog.n_closed()));
            let n_open = connections.as_ref().map_or(0, |it| it.n_open());
            metrics.connections.set(gauge(n_open as u64));
            metrics.request_memory.set(gauge(gateway.request_memory.free() as u64));
            Response::new(body::full(metrics.text()))
        })
    }
}
