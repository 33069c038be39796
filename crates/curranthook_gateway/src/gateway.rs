//! What the stages and tasks of a node share.

use std::{
    collections::HashMap,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use curranthook_http::{client::Pool, runtime, timeout};
use curranthook_policy::poison::Register;
use curranthook_types::Clock;
use parking_lot::Mutex;

use crate::{
    affinity::Affinity,
    dialect::Dialect,
    directory::Directory,
    document::{Document, Service},
    event::Log,
    fleet,
    latency::Estimator,
    load_owners::Owners,
    load_reports::Socket,
    load_table::LoadTable,
    metrics::Metrics,
    mirror::Mirror,
    outage::Outage,
    retry_budget::Budget,
    retry_schedule::Reservations,
    rollouts::Rollouts,
    settings::Settings,
    signal::Signal,
    startup::Waiters,
    steps::Schedule,
    store::{Decoder, Rev, Store, Table},
    unknown_headers::UnknownHeaders,
};

/// How many requests the register of poison requests remembers.
const POISON_CAPACITY: usize = 4_096;
/// How long sent bytes may stay unacknowledged before a connection is given up. An endpoint, peer
/// or store without power is noticed after this; a busy one still acknowledges.
const UNACKED: Duration = Duration::from_millis(1_200);
/// How long a connection attempt may take: many round trips between failure domains, and less
/// than the second after which the system would send its first packet again.
const CONNECT: Duration = Duration::from_millis(400);

/// What a node is made of.
#[derive(Debug)]
pub struct Parts {
    /// The executor.
    pub ex: runtime::Handle,
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// The wire.
    pub dialect: Arc<dyn Dialect>,
    /// The rows of others.
    pub decoder: Arc<dyn Decoder>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// The log.
    pub log: Log,
}

/// One node.
#[derive(Debug)]
pub struct Gateway {
    /// The executor.
    pub ex: runtime::Handle,
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// The wire.
    pub dialect: Arc<dyn Dialect>,
    /// The rows of others.
    pub decoder: Arc<dyn Decoder>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// The log.
    pub log: Log,
    /// Its settings.
    pub settings: Settings,
    /// Its counters.
    pub metrics: Metrics,
    /// Connections to endpoints and peers.
    pub pool: Pool,
    /// The configuration in force.
    pub configuration: ArcSwapOption<Configuration>,
    /// The endpoints.
    pub directory: Mutex<Directory>,
    /// Where prompts were read.
    pub affinity: Mutex<Affinity>,
    /// How fast models are.
    pub latency_estimator: Mutex<Estimator>,
    /// Repeats.
    pub retry_budget: Mutex<Budget>,
    /// When refused callers may come back.
    pub retry_schedule: Mutex<Reservations>,
    /// Requests that end endpoints.
    pub poison: Mutex<Register>,
    /// Roll-outs.
    pub rollouts: Mutex<Rollouts>,
    /// The rows of the store as they are known.
    pub mirror: Mutex<Mirror>,
    /// Whom the store doesn't answer.
    pub outage: Mutex<Outage>,
    /// What other nodes have waiting at endpoints.
    pub load_table: Mutex<LoadTable>,
    /// Who is told of it in a large fleet.
    pub load_owners: Mutex<Owners>,
    /// The datagrams between nodes; none if the node has no address for them.
    pub load_reports: OnceLock<Arc<Socket>>,
    /// Wakes whoever tells other nodes what this one has waiting.
    pub pending_work_changed: Signal,
    /// Wakes peers that wait for rows.
    pub rows_changed: Signal,
    /// Other nodes, by name.
    pub peers: Mutex<HashMap<String, fleet::Node>>,
    /// What endpoints said that nobody reads.
    pub unknown_headers: Mutex<UnknownHeaders>,
    /// Requests that wait for the first configuration.
    pub startup_waiters: Waiters,
    /// When the process started.
    pub started: Instant,
    stopping: AtomicBool,
    in_flight: AtomicUsize,
}

/// A configuration and where it stands in the history of the store.
#[derive(Debug)]
pub struct Configuration {
    /// The configuration.
    pub document: Document,
    /// Its revision.
    pub rev: Rev,
}

/// Counts a request as under way until it's dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Gateway>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Gateway {
    /// A node that knows nothing yet.
    pub fn new(parts: Parts, settings: Settings) -> Arc<Self> {
        let Parts { ex, clock, dialect, decoder, store, log } = parts;
        let started = clock.now();
        let pool = Pool::new(Arc::clone(&ex), Arc::clone(&clock));
        let pool = pool.with_connect_timeout(CONNECT).with_liveness(UNACKED);
        Arc::new(Self {
            pool,
            rollouts: Mutex::new(Rollouts::new(Schedule::new(settings.max_exposure))),
            retry_budget: Mutex::new(Budget::new(settings.retries)),
            poison: Mutex::new(Register::new(POISON_CAPACITY)),
            ex,
            clock,
            dialect,
            decoder,
            store,
            log,
            settings,
            metrics: Metrics::default(),
            configuration: ArcSwapOption::empty(),
            directory: Mutex::default(),
            retry_schedule: Mutex::default(),
            affinity: Mutex::default(),
            latency_estimator: Mutex::default(),
            mirror: Mutex::default(),
            outage: Mutex::default(),
            load_table: Mutex::default(),
            load_owners: Mutex::default(),
            load_reports: OnceLock::new(),
            pending_work_changed: Signal::default(),
            rows_changed: Signal::default(),
            peers: Mutex::default(),
            unknown_headers: Mutex::default(),
            startup_waiters: Waiters::default(),
            started,
            stopping: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        })
    }

    /// The time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The store's clock, as far as it's known.
    pub fn store_time(&self) -> Option<Duration> {
        self.mirror.lock().store_time(self.now())
    }

    /// How many nodes there are, this one with them.
    pub fn n_nodes(&self) -> usize {
        self.peers.lock().len().max(1)
    }

    /// What the configuration in force says of a service; none if it says nothing.
    pub fn service<T>(&self, name: &str, say: impl FnOnce(&Service) -> Option<T>) -> Option<T> {
        say(self.configuration.load().as_ref()?.document.services.get(name)?)
    }

    /// Waits until the rows of the fleet are read, `limit` at most.
    pub async fn wait_for_members(&self, limit: Duration) {
        let read = async {
            loop {
                let changed = self.rows_changed.wait();
                if self.mirror.lock().has_read(Table::Fleet) {
                    return;
                }
                changed.await;
            }
        };
        let _elapsed = timeout::run(limit, read).await;
    }

    /// Whether it takes new callers.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.is_serving()
    }

    /// Whether it knows all that it needs to serve requests.
    pub fn is_serving(&self) -> bool {
        self.configuration.load().is_some() && self.mirror.lock().has_read_all()
    }

    /// Whether it was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Takes no new callers from now on.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Counts a request as under way.
    pub fn track_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(self))
    }

    /// How many requests are under way.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}
