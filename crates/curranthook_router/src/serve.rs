//! Starts a router and shuts it down without interrupting a request.

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

/// The time limit for one request to the platform's table, for claims and session pins. During an
/// outage, callers wait no longer than this for each request before they are refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest request from another node, in bytes.
const MAX_PEER_BODY_BYTES: usize = 16 * 1024 * 1024;
/// How often shutdown checks whether the last requests have finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long shutdown waits for the outcomes of claimed calls to be stored.
const OUTCOME_STORE_TIMEOUT: Duration = Duration::from_secs(20);

/// Options from the command line.
#[derive(Debug, Clone)]
pub struct Options {
    /// The routing policy: the router's own, or a baseline to compare it with.
    pub policy: String,
    /// How long the router keeps accepting requests after it was asked to stop. The load balancer
    /// sends requests until its next health check.
    pub linger: Duration,
}

/// Runs a router until SIGTERM or SIGINT, then finishes the requests in progress.
pub async fn run(settings: Settings, options: Options, ex: runtime::Handle) -> anyhow::Result<()> {
    let caller_server = Server::bind(settings.listen).context("binding the client address")?;
    let peer_server = Server::bind(settings.peer_listen).context("binding the peer address")?;
    let (stopping, stop) = stop::new();
    let router = build(settings, &options, &ex, peer_server.addr(), stop.clone())?;
    println!(
        "{}",
        serde_json::json!({
            "listening": {"callers": caller_server.addr(), "peers": peer_server.addr()}
        })
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
    log::info!(
        "shutdown requested; {} requests in progress",
        router.in_flight.load(Ordering::SeqCst)
    );
    stopping.set();
    Timer::after(options.linger).await;
    stop_callers.set();
    caller_task.await;
    // Claimed calls continue after their caller has disconnected.
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

/// Waits until the outcomes of claimed calls are stored, for at most `OUTCOME_STORE_TIMEOUT`.
///
/// A platform outage can last longer than the time that a VM is given to shut down. A process that
/// waited for the end of the outage would be killed, and the bill lines in its memory lost. A claim
/// whose outcome is not stored is never sent again; callers that repeat it are told that the
/// outcome is unknown.
async fn wait_for_outcomes(router: &Router) {
    let start = router.clock.now();
    loop {
        let n_outcomes = router.pending_outcomes.load(Ordering::SeqCst);
        if n_outcomes == 0 {
            return;
        }
        if OUTCOME_STORE_TIMEOUT < router.clock.now().saturating_duration_since(start) {
            log::error!("stopping with {n_outcomes} outcomes of claimed calls not stored");
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
    // Endpoints, peers and the platform have separate pools: an unresponsive connection to one of
    // them is no evidence about the others.
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
    let (strategy_name, balancer_name) = strategy_names(&options.policy);
    let version_strategy = baseline::strategy(strategy_name, Policy::default(), seed);
    let version_strategy =
        version_strategy.with_context(|| format!("unknown policy {}", options.policy))?;
    let (domain, vm) = (settings.failure_domain.clone(), settings.vm.clone());
    let dispatchers = Dispatchers::new(Arc::clone(&clock), domain, vm, balancer_name);
    Ok(Arc::new(Router {
        metrics: Metrics::new(settings.statsd).context("opening the metrics socket")?,
        pins: pin::Store::new(Arc::clone(&claims) as _),
        rater: Rater::new(new_pool(), Arc::clone(&clock)),
        version_strategy: Mutex::new(version_strategy),
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

/// The names of the version strategy and the endpoint strategy of a policy. A baseline replaces one
/// of the two and keeps the router's own for the other, so that each is measured separately.
fn strategy_names(name: &str) -> (&str, &'static str) {
    const OWN_STRATEGY: &str = "curranthook";
    match name {
        "ours" => (OWN_STRATEGY, OWN_STRATEGY),
        "round-robin" => (OWN_STRATEGY, "round-robin"),
        "least-outstanding" => (OWN_STRATEGY, "least-outstanding"),
        versions => (versions, OWN_STRATEGY),
    }
}

/// Handles requests from other nodes.
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
