//! Starts a steward, runs its shards and stops it.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context;
use async_io::Timer;
use async_signal::{Signal, Signals};
use curranthook_http::{
    Body, body,
    client::Pool,
    runtime,
    server::{Handler, Server},
    stop::{self, Stop},
};
use curranthook_platform::{Table, client::Client};
use curranthook_policy::rollout::Gate;
use curranthook_publish::store::Stored;
use curranthook_settings::node::Settings;
use curranthook_types::{Clock, Epoch, clock, site};
use futures_lite::{StreamExt, future::Boxed};
use hyper::body::Incoming;
use parking_lot::Mutex;
use rand::RngExt;
use serde::Serialize;

use crate::{
    document, evidence,
    lease::{EFFECT_TIMEOUT, Holder, Lease},
    order, poll, rollout,
    shard::Shard,
    verdict,
};

/// How often a held lease is renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// How often the router is asked for the size of the fleet.
const FLEET_SIZE_INTERVAL: Duration = Duration::from_secs(10);
/// How often the work of a shard is run while its lease is held.
const WORK_INTERVAL: Duration = Duration::from_millis(500);
/// How often the versions served by every engine are checked even if the document did not change.
const FULL_CHECK_INTERVAL: Duration = Duration::from_secs(30);

/// The settings from the command line.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address at which the router on this VM accepts calls from peers.
    pub router: SocketAddr,
    /// The conditions for advancing a stage of a rollout.
    pub gate: Gate,
}

/// The state shared by all shards.
#[derive(Debug)]
struct Steward {
    site: site::Id,
    clock: Arc<dyn Clock>,
    document: document::Editor,
    evidence: evidence::Client,
    engines: order::Client,
    gate: Gate,
    /// The approximate number of nodes in the fleet, as last reported by the router.
    n_nodes: AtomicUsize,
    status: Mutex<Status>,
}

/// The response to `GET /status`.
#[derive(Debug, Default, Clone, Serialize)]
struct Status {
    shards: Vec<String>,
    withdrawn: u64,
    steps: u64,
    orders: u64,
    stale_orders: u64,
}

/// Runs a steward until SIGTERM or SIGINT, then releases its leases.
pub async fn run(settings: Settings, options: Options, ex: runtime::Handle) -> anyhow::Result<()> {
    let server = Server::bind(settings.steward_listen)
        .context("failed to bind the address steward_listen")?;
    println!("{}", serde_json::json!({"listening": {"http": server.addr()}}));
    let (trigger, stop) = stop::new();
    let clock: Arc<dyn Clock> = Arc::new(clock::System);
    let pool = || Arc::new(Pool::new(ex.clone(), Arc::clone(&clock)));
    let table: Arc<dyn Table> = Arc::new(Client::new(settings.platform.table, pool()));
    let own_holder = Holder { vm: settings.vm.clone(), incarnation: clock.unix_millis() };
    let steward = Arc::new(Steward {
        site: settings.site.clone(),
        document: document::Editor::new(Arc::clone(&table), Arc::clone(&clock), &settings.vm),
        evidence: evidence::Client::new(
            pool(),
            Arc::clone(&clock),
            &settings.peer_key,
            options.router,
        ),
        engines: order::Client::new(pool()),
        gate: options.gate,
        n_nodes: AtomicUsize::new(1),
        status: Mutex::default(),
        clock: Arc::clone(&clock),
    });
    let shards: Vec<_> = Shard::all()
        .into_iter()
        .map(|shard| {
            let key = shard.key(&settings.site);
            let lease =
                Lease::new(Arc::clone(&table), Arc::clone(&clock), &key, own_holder.clone());
            ex.spawn(Arc::clone(&steward).run_shard(shard, lease, stop.clone()))
        })
        .collect();
    ex.spawn(Arc::clone(&steward).poll_fleet_size(stop.clone())).detach();
    let server_task = ex.spawn({
        let (ex, steward, stop) = (ex.clone(), Arc::clone(&steward), stop.clone());
        async move { server.serve(&ex, steward, stop).await }
    });
    let mut signals = Signals::new([Signal::Term, Signal::Int])
        .context("failed to install the signal handlers")?;
    signals.next().await;
    trigger.set();
    for shard in shards {
        shard.await;
    }
    server_task.await;
    log::info!("ended");
    Ok(())
}

/// The state of a shard that is retained between two rounds of its work, while its lease is held.
#[derive(Debug, Default)]
struct ShardState {
    monitor: verdict::Monitor,
    tracker: rollout::Tracker,
    epoch: Epoch,
    last_full_check: Option<Instant>,
}

impl Steward {
    /// Holds the lease of one shard when possible, and runs its work while it is held.
    async fn run_shard(self: Arc<Self>, shard: Shard, mut lease: Lease, stop: Stop) {
        let key = shard.key(&self.site);
        let mut state = ShardState::default();
        let mut next_lease_check = self.clock.now();
        while !stop.is_set() {
            let now = self.clock.now();
            if next_lease_check <= now {
                if let Err(e) = lease.renew_or_acquire().await {
                    log::debug!("cannot renew or acquire the lease of shard {key}: {e}");
                }
                let is_held = lease.fencing_token(Duration::ZERO).is_some();
                self.update_status(&key, is_held);
                next_lease_check = now + if is_held { RENEW_INTERVAL } else { self.poll_delay() };
            }
            if lease.fencing_token(EFFECT_TIMEOUT).is_some() {
                if let Err(e) = self.run_work(shard, &lease, &mut state).await {
                    log::debug!("work on shard {key} failed: {e:#}");
                }
            } else {
                // Whichever process acquires the lease next starts from the state of the platform
                // and the engines, not from what this process remembers.
                state = ShardState::default();
            }
            futures_lite::future::or(stop.wait(), async {
                Timer::after(WORK_INTERVAL).await;
            })
            .await;
        }
        lease.release().await;
    }

    /// Updates the size of the fleet. Without a response the last size remains: while a router
    /// restarts, its steward must not poll as often as in a small fleet.
    async fn poll_fleet_size(self: Arc<Self>, stop: Stop) {
        while !stop.is_set() {
            if let Ok(n_nodes) = self.evidence.fleet_size().await {
                self.n_nodes.store(n_nodes, Ordering::Relaxed);
            }
            futures_lite::future::or(stop.wait(), async {
                Timer::after(FLEET_SIZE_INTERVAL).await;
            })
            .await;
        }
    }

    /// The time until the next attempt to acquire a lease. It grows with the number of shards held,
    /// so that shards spread over the stewards.
    fn poll_delay(&self) -> Duration {
        let n_held = u32::try_from(self.status.lock().shards.len()).unwrap_or(u32::MAX);
        let jitter = rand::rng().random_range(0.5..1.0);
        poll::interval(self.n_nodes.load(Ordering::Relaxed)).mul_f64(jitter)
            + (WORK_INTERVAL * n_held)
    }

    fn update_status(&self, key: &str, is_held: bool) {
        let mut status = self.status.lock();
        let was_held = status.shards.iter().any(|it| it == key);
        if is_held && !was_held {
            log::info!("acquired the lease of shard {key}");
            status.shards.push(key.to_owned());
        } else if !is_held && was_held {
            log::info!("lost the lease of shard {key}");
            status.shards.retain(|it| it != key);
        }
    }

    async fn run_work(
        &self,
        shard: Shard,
        lease: &Lease,
        state: &mut ShardState,
    ) -> anyhow::Result<()> {
        let Some(stored) = self.document.read().await? else { return Ok(()) };
        match shard {
            Shard::Verdicts => self.withdraw_bad_version(&stored, state).await,
            Shard::Rollouts => self.advance_rollout(&stored, state).await,
            Shard::Orders(_) => self.reconcile_engines(shard, &stored, lease, state).await,
        }
    }

    async fn withdraw_bad_version(
        &self,
        stored: &Stored,
        state: &mut ShardState,
    ) -> anyhow::Result<()> {
        let rows = self.evidence.counts().await?;
        // One version at a time: publishing makes the document that was read outdated, and the next
        // round reads it again.
        let Some(it) = state.monitor.evaluate(&stored.document, &rows).into_iter().next() else {
            return Ok(());
        };
        let change =
            self.document.change(stored, |doc, stamp| doc.withdraw(&it.version, stamp)).await?;
        log::warn!("withdrawal of version {}, reason {}: {change:?}", it.version, it.reason.name());
        if change == document::Change::Published {
            self.status.lock().withdrawn += 1;
            state.monitor.reset(&it.version);
        }
        Ok(())
    }

    async fn advance_rollout(&self, stored: &Stored, state: &mut ShardState) -> anyhow::Result<()> {
        if stored.document.rollouts.is_empty() {
            return Ok(());
        }
        let rows = self.evidence.counts().await?;
        state.monitor.evaluate(&stored.document, &rows);
        let (monitor, now) = (&state.monitor, self.clock.unix_millis());
        let steps = state
            .tracker
            .next_steps(&stored.document, &rows, now, &self.gate, |it| monitor.state(it));
        let Some((model, step)) = steps.into_iter().next() else { return Ok(()) };
        let change = self
            .document
            .change(stored, |doc, stamp| match step {
                rollout::Step::Advance(from) => doc.advance(&model, from, stamp),
                rollout::Step::Abort => doc.abort(&model, stamp),
            })
            .await?;
        log::info!("rollout of {model}, step {step:?}: {change:?}");
        self.status.lock().steps += 1;
        Ok(())
    }

    async fn reconcile_engines(
        &self,
        shard: Shard,
        stored: &Stored,
        lease: &Lease,
        state: &mut ShardState,
    ) -> anyhow::Result<()> {
        let Some(config) = stored.document.sites.get(&self.site) else { return Ok(()) };
        let now = self.clock.now();
        let is_check_due = state.last_full_check.is_none_or(|at| at + FULL_CHECK_INTERVAL <= now);
        if !is_check_due && state.epoch == stored.document.epoch {
            return Ok(());
        }
        let mut all_done = true;
        for (id, endpoint) in &config.endpoints {
            if endpoint.service.is_some() || Shard::for_endpoint(id) != shard {
                continue;
            }
            let Ok(served) = self.engines.list_served(endpoint).await else {
                all_done = false;
                continue;
            };
            let desired = order::desired(&stored.document, endpoint);
            for it in order::difference(&served, &desired) {
                // Checked again before each order: engines that ignore the fencing token are only
                // protected by the remaining time of the lease.
                let Some(token) = lease.fencing_token(EFFECT_TIMEOUT) else { return Ok(()) };
                match self.engines.send(id, endpoint, &it, token).await {
                    Ok(order::Outcome::Applied) => self.status.lock().orders += 1,
                    Ok(order::Outcome::Stale) => {
                        self.status.lock().stale_orders += 1;
                        all_done = false;
                    }
                    Err(_) => all_done = false,
                }
            }
        }
        if all_done {
            state.epoch = stored.document.epoch;
            state.last_full_check = Some(now);
        }
        Ok(())
    }
}

impl Handler for Steward {
    fn handle(self: Arc<Self>, req: http::Request<Incoming>) -> Boxed<http::Response<Body>> {
        Box::pin(async move {
            match req.uri().path() {
                "/healthz" | "/readyz" => body::json(200, &serde_json::json!({"ready": true})),
                "/status" => body::json(200, &*self.status.lock()),
                _ => body::json(404, &serde_json::json!({"error": "no such path"})),
            }
        })
    }
}
