//! Starts a router and ends it without cutting a request.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use anyhow::Context;
use async_io::Timer;
use async_signal::{Signal, Signals};
use curranthook_http::{
    Body, body,
    client::Pool,
    runtime,
    server::{Handler, Server},
    stop,
};
use curranthook_peers::{Node, node};
use curranthook_platform::client::Client;
use curranthook_policy::{baseline, retry::Budget};
use curranthook_settings::{config::Policy, node::Settings};
use curranthook_types::{Clock, clock};
use futures_lite::{StreamExt, future::Boxed};
use hyper::body::Incoming;
use parking_lot::Mutex;

use crate::{
    Router, configuration,
    dispatch::Dispatchers,
    leaving,
    metrics::{self, Metrics},
    pin,
    rating::Rater,
    stall, version_health,
};

/// Claims wait for the platform this long; then the caller is told that it's out.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest call between peers, in bytes.
const MAX_PEER_BODY_BYTES: usize = 16 * 1024 * 1024;
/// How often the end of the last requests is looked for.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a router that ends goes on trying to store outcomes.
const OUTCOME_STORE_TIMEOUT: Duration = Duration::from_secs(20);

/// What the command line sets.
#[derive(Debug, Clone)]
pub struct Options {
    /// The policy: ours, or a baseline to measure against.
    pub policy: String,
    /// How long the router goes on taking requests after it was asked to end. The balancer
    /// goes on sending for a moment, since it sees the change only at its next check.
    pub linger: Duration,
}

/// Runs a router until SIGTERM or SIGINT, then finishes what is under way.
pub async fn run(settings: Settings, options: Options, ex: runtime::Handle) -> anyhow::Result<()> {
    let caller_server = Server::bind(settings.listen).context("binding the callers' address")?;
    let peer_server = Server::bind(settings.peer_listen).context("binding the peers' address")?;
    let (stopping, stop) = stop::new();
    let router = build(settings, &options, &ex, peer_server.addr(), stop.clone())?;
    println!(
        "{}",
        serde_json::json!({"listening": {"callers": caller_server.addr(), "peers": peer_server.addr()}})
    );

    let platform = &router.settings.platform;
    let vms = Client::new(platform.vms, Arc::new(Pool::new(ex.clone(), Arc::clone(&router.clock))));
    ex.spawn(configuration::run(Arc::clone(&router))).detach();
    ex.spawn(leaving::run(Arc::clone(&router), Arc::new(vms))).detach();
    ex.spawn(version_health::run(Arc::clone(&router))).detach();
    ex.spawn(metrics::run(Arc::clone(&router))).detach();
    ex.spawn(stall::run(Arc::clone(&router))).detach();

    let (stop_peers, peers_stop) = stop::new();
    let node = Arc::new(PeerHandler(Arc::clone(&router.node)));
    let peer_task = ex.spawn({
        let ex = ex.clone();
        async move { peer_server.serve(&ex, node, peers_stop).await }
    });
    let (stop_callers, callers_stop) = stop::new();
    let caller_task = ex.spawn({
        let (ex, router) = (ex.clone(), Arc::clone(&router));
        async move { caller_server.serve(&ex, router, callers_stop).await }
    });

    let mut signals = Signals::new([Signal::Term, Signal::Int]).context("listening to signals")?;
    signals.next().await;
    log::info!("asked to end; {} requests under way", router.in_flight.load(Ordering::SeqCst));
    stopping.set();
    Timer::after(options.linger).await;
    stop_callers.set();
    caller_task.await;
    // Calls that go on without their caller.
    while 0 < router.in_flight.load(Ordering::SeqCst) {
        Timer::after(DRAIN_POLL_INTERVAL).await;
    }
    wait_for_outcomes(&router).await;
    router.node.leave().await;
    stop_peers.set();
    peer_task.await;
    log::info!("ended");
    Ok(())
}

/// Waits until the outcomes of claimed calls are stored, as long as that makes sense.
///
/// An outage of the platform outlasts the patience of whoever replaces this VM. A process that
/// waited for its end would be killed with its bill lines still on it. A claim whose outcome
/// isn't stored is never sent again; its repeats are told that nobody knows.
async fn wait_for_outcomes(router: &Router) {
    let start = router.clock.now();
    loop {
        let n_outcomes = router.pending_outcomes.load(Ordering::SeqCst);
        if n_outcomes == 0 {
            return;
        }
        if OUTCOME_STORE_TIMEOUT < router.clock.now().saturating_duration_since(start) {
            log::error!("{n_outcomes} outcomes of claimed calls can't be stored");
            return;
        }
        Timer::after(DRAIN_POLL_INTERVAL).await;
    }
}

fn build(
    settings: Settings,
    options: &Options,
    ex: &runtime::Handle,
    peer_addr: SocketAddr,
    stopping: stop::Stop,
) -> anyhow::Result<Arc<Router>> {
    let clock: Arc<dyn Clock> = Arc::new(clock::System);
    let new_pool = || Arc::new(Pool::new(ex.clone(), Arc::clone(&clock)));
    // Endpoints, peers and the platform each have their own connections: a silent connection
    // to one says nothing of the others.
    let (endpoint_pool, peer_pool, platform_pool) = (new_pool(), new_pool(), new_pool());
    let platform = &settings.platform;
    let table = Client::new(platform.table, Arc::clone(&platform_pool));
    let claims = Arc::new(table.clone().with_timeout(CLAIM_TIMEOUT));
    let seed = clock.unix_millis() ^ crate::selection::stable_hash(settings.vm.as_str());
    let node = Node::start(node::Setup {
        settings: settings.clone(),
        incarnation: clock.unix_millis(),
        peer_addr: settings.peer_address.unwrap_or(peer_addr),
        ex: ex.clone(),
        pool: peer_pool,
        clock: Arc::clone(&clock),
        table: Arc::new(table),
        objects: Arc::new(Client::new(platform.objects, Arc::clone(&platform_pool))),
        vms: Arc::new(Client::new(platform.vms, platform_pool)),
        seed,
    });
    let (strategy, balance) = strategy_names(&options.policy);
    let chooser = baseline::strategy(strategy, Policy::default(), seed);
    let chooser = chooser.with_context(|| format!("unknown policy {}", options.policy))?;
    let (domain, vm) = (settings.failure_domain.clone(), settings.vm.clone());
    let dispatchers = Dispatchers::new(Arc::clone(&clock), domain, vm, balance);
    Ok(Arc::new(Router {
        metrics: Metrics::new(settings.statsd).context("opening the metrics socket")?,
        pins: pin::Store::new(Arc::clone(&claims) as _),
        rater: Rater::new(new_pool(), Arc::clone(&clock)),
        chooser: Mutex::new(chooser),
        retry_budget: Mutex::new(Budget::new(Policy::default().retry_budget, clock.now())),
        rating_shares: Mutex::default(),
        rate_limits: Mutex::new(HashMap::new()),
        current_snapshot: None.into(),
        stall: stall::Detector::new(Arc::clone(&clock)),
        in_flight: Arc::default(),
        pending_outcomes: Arc::default(),
        started: clock.now(),
        ex: ex.clone(),
        pool: endpoint_pool,
        settings,
        clock,
        node,
        claims,
        dispatchers,
        stopping,
    }))
}

/// The strategy for versions and the one for endpoints behind a policy's name. A baseline
/// replaces one of the two and leaves the other as ours, so that each is measured alone.
fn strategy_names(name: &str) -> (&str, &'static str) {
    const OURS: &str = "curranthook";
    match name {
        "ours" => (OURS, OURS),
        "round-robin" => (OURS, "round-robin"),
        "least-outstanding" => (OURS, "least-outstanding"),
        versions => (versions, OURS),
    }
}

/// Answers calls of peers.
#[derive(Debug)]
struct PeerHandler(Arc<Node>);

impl Handler for PeerHandler {
    fn handle(self: Arc<Self>, req: http::Request<Incoming>) -> Boxed<http::Response<Body>> {
        Box::pin(async move {
            let (parts, incoming) = req.into_parts();
            match body::read(incoming, MAX_PEER_BODY_BYTES).await {
                Ok(bytes) => self.0.handle(&parts, bytes).await,
                Err(e) => body::json(400, &serde_json::json!({"error": e.to_string()})),
            }
        })
    }
}
