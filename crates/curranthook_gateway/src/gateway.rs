//! State shared by the stages and tasks of a node.

use std::{
    collections::HashMap,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use curranthook_http::{body, client::Pool, intake, runtime, timeout};
use curranthook_policy::{
    poison::Register, price, refused::Refused, suspects::Suspects, utilization::Utilization,
};
use curranthook_types::Clock;
use parking_lot::Mutex;

use crate::{
    affinity::Affinity,
    dialect::Dialect,
    directory::Directory,
    document::{Document, Service},
    event::Log,
    fleet,
    forwarding::Forwarding,
    load::{
        in_flight, latency::Estimator, observed::Observations, owners::Owners, reports::Socket,
        snapshot_rows::Decided, table::LoadTable,
    },
    metrics::Metrics,
    permit::lenders::Lenders,
    replication::{
        eras::Eras,
        joins,
        mirror::Mirror,
        outage::{MAX_ANSWER_GAP, Outage},
        relays::{self, Tree},
        sections::Sections,
        topology::Topology,
    },
    retry_budget::{Budget, Part},
    retry_schedule::Reservations,
    rollouts::{Knowledge, Rollouts},
    serve::shutdown::Shutdown,
    settings::Settings,
    signal::Signal,
    startup::Waiters,
    steps::Schedule,
    store::{Decoder, Row, Store, Table},
    unknown_headers::UnknownHeaders,
};

/// The maximum number of requests in the register of poison requests.
const POISON_CAPACITY: usize = 4_096;
/// The maximum number of prompt parts of which crashes, answers or verdicts are kept.
const SUSPECTS_CAPACITY: usize = 4_096;
/// The maximum number of refused requests whose return is recognized. A node refuses tens of
/// requests per second at most, and callers return within some seconds.
const REFUSED_CAPACITY: usize = 1_024;
/// How long sent bytes may stay unacknowledged before a connection is closed. This detects an
/// endpoint, peer or store that has lost power. A sound one may be silent for a second or so, and
/// bytes that were lost meanwhile are sent again up to half a second later.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout for opening a connection: many round trips between failure domains, but less than
/// the second after which the operating system retransmits its first packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The memory for responses that are read completely, in bytes: a part of a small node's.
const RESPONSE_MEMORY: usize = 24 * 1024 * 1024;

/// The part of a node's memory that the bodies of requests may take, as a divisor.
const REQUEST_MEMORY_DIVISOR: usize = 4;
/// The memory of a node whose settings do not contain it, in bytes.
const DEFAULT_MEMORY: usize = 96 * 1024 * 1024;

/// The time in which a node that started is known to the others and receives their reports.
const REPORT_TIME: Duration = Duration::from_millis(1_500);

/// The dependencies of a node.
#[derive(Debug)]
pub struct Parts {
    /// The executor.
    pub ex: runtime::Handle,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The protocol spoken with callers and endpoints.
    pub dialect: Arc<dyn Dialect>,
    /// The decoder of rows that others write.
    pub decoder: Arc<dyn Decoder>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// The event log.
    pub log: Log,
}

/// The shared state of one node.
#[derive(Debug)]
pub struct Gateway {
    /// The executor.
    pub ex: runtime::Handle,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The protocol spoken with callers and endpoints.
    pub dialect: Arc<dyn Dialect>,
    /// The decoder of rows that others write.
    pub decoder: Arc<dyn Decoder>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// The event log.
    pub log: Log,
    /// The node's settings.
    pub settings: Settings,
    /// The node's metrics.
    pub metrics: Metrics,
    /// The connections to endpoints and peers.
    pub pool: Pool,
    /// The configuration in force; none before the first was read.
    pub configuration: ArcSwapOption<Configuration>,
    /// The known endpoints.
    pub directory: Mutex<Directory>,
    /// Which endpoints have prefilled which shared prompt parts.
    pub affinity: Mutex<Affinity>,
    /// The observed speed of models.
    pub latency_estimator: Mutex<Estimator>,
    /// The prices of the largest model, by service.
    pub price_scales: Mutex<HashMap<String, price::Scale>>,
    /// Which snapshots of latency estimates were taken or rejected.
    pub snapshots: Mutex<Decided>,
    /// When the speed of models was last observed.
    pub observations: Mutex<Observations>,
    /// The share of engines' time that requests take, by service.
    pub utilization: Mutex<HashMap<String, Utilization>>,
    /// Which services this node is cut off from.
    pub forwarding: Forwarding,
    /// The budget for retries.
    pub retry_budget: Mutex<Budget>,
    /// The nodes that hold permits.
    pub lenders: Mutex<Lenders>,
    /// The retry times that were given to refused callers.
    pub retry_schedule: Mutex<Reservations>,
    /// Requests that were refused as overloaded and may return.
    pub refused: Mutex<Refused>,
    /// Requests that are blamed for endpoint failures.
    pub poison: Mutex<Register>,
    /// Parts of prompts that are suspected to crash endpoints.
    pub suspects: Mutex<Suspects>,
    /// The rollouts of all services.
    pub rollouts: Mutex<Rollouts>,
    /// When the store's eras began.
    pub eras: Mutex<Eras>,
    /// A copy of the store's rows.
    pub mirror: Mutex<Mirror>,
    /// Rows that were encoded for other nodes.
    pub sections: Mutex<Sections>,
    /// What is known of the tree of relays.
    pub topology: Mutex<Topology>,
    /// Rows of other nodes that this node writes.
    pub joins: joins::Queue,
    /// Tracks whether a store outage affects all nodes or only this one.
    pub outage: Mutex<Outage>,
    /// Work that other nodes have pending at endpoints.
    pub load_table: Mutex<LoadTable>,
    /// Requests that other nodes have in flight at endpoints of services without models.
    pub in_flight_table: Mutex<in_flight::Table>,
    /// The owner of each endpoint's load information, in a large fleet.
    pub load_owners: Mutex<Owners>,
    /// The datagram socket for load reports; none if the node has no address for it.
    pub load_reports: OnceLock<Arc<Socket>>,
    /// Wakes the task that reports this node's pending work to others.
    pub pending_work_changed: Signal,
    /// Wakes peers' queries that wait for changed rows.
    pub rows_changed: Signal,
    /// Wakes tasks when an answer of the store or a parent tells whether rows are missing.
    pub currency_changed: Signal,
    /// The nodes of the fleet, by name.
    pub peers: Mutex<HashMap<String, fleet::Node>>,
    /// The nodes among them that have no row.
    pub unlisted: Mutex<fleet::unlisted::Nodes>,
    /// Which processes may have run before this one; unset before the fleet's rows were read.
    pub start: OnceLock<fleet::Start>,
    /// Headers from endpoints that are not recognized.
    pub unknown_headers: Mutex<UnknownHeaders>,
    /// The memory for responses that are read completely.
    pub response_memory: body::Memory,
    /// The memory for the bodies of requests.
    pub request_memory: intake::Memory,
    /// Requests that wait for the first configuration.
    pub startup_waiters: Waiters,
    /// When the process started.
    pub started: Instant,
    /// Whether the node is shutting down.
    pub shutdown: Shutdown,
    in_flight: AtomicUsize,
}

/// A configuration and its row in the store.
#[derive(Debug)]
pub struct Configuration {
    /// The configuration.
    pub document: Document,
    /// The row that it was decoded from. The store may have lost it.
    pub row: Row,
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Gateway>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Gateway {
    /// Creates a node that has read no rows yet.
    pub fn new(parts: Parts, settings: Settings) -> Arc<Self> {
        let Parts { ex, clock, dialect, decoder, store, log } = parts;
        let started = clock.now();
        let schedule = Schedule::new(settings.max_exposure);
        let schedule = settings.exposure_slack.map_or(schedule, |it| schedule.with_slack(it));
        let pool = Pool::new(Arc::clone(&ex), Arc::clone(&clock));
        let pool = pool.with_connect_timeout(CONNECT_TIMEOUT).with_liveness(UNACKED_TIMEOUT);
        let memory = settings.memory.unwrap_or(DEFAULT_MEMORY) / REQUEST_MEMORY_DIVISOR;
        let request_memory = intake::Memory::new(memory, Arc::clone(&clock));
        Arc::new(Self {
            pool,
            rollouts: Mutex::new(Rollouts::new(schedule)),
            retry_budget: Mutex::new(Budget::new(settings.retries, started)),
            unlisted: Mutex::new(fleet::unlisted::Nodes::new(settings.retries.window)),
            refused: Mutex::new(Refused::new(REFUSED_CAPACITY)),
            poison: Mutex::new(Register::new(POISON_CAPACITY)),
            suspects: Mutex::new(Suspects::new(SUSPECTS_CAPACITY)),
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
            forwarding: Forwarding::default(),
            lenders: Mutex::default(),
            retry_schedule: Mutex::default(),
            affinity: Mutex::default(),
            price_scales: Mutex::default(),
            latency_estimator: Mutex::default(),
            snapshots: Mutex::default(),
            observations: Mutex::default(),
            utilization: Mutex::default(),
            eras: Mutex::default(),
            mirror: Mutex::default(),
            sections: Mutex::default(),
            topology: Mutex::default(),
            joins: joins::Queue::default(),
            outage: Mutex::default(),
            load_table: Mutex::default(),
            in_flight_table: Mutex::default(),
            load_owners: Mutex::default(),
            load_reports: OnceLock::new(),
            pending_work_changed: Signal::default(),
            rows_changed: Signal::default(),
            currency_changed: Signal::default(),
            peers: Mutex::default(),
            start: OnceLock::new(),
            unknown_headers: Mutex::default(),
            response_memory: body::Memory::new(RESPONSE_MEMORY),
            request_memory,
            startup_waiters: Waiters::default(),
            started,
            shutdown: Shutdown::default(),
            in_flight: AtomicUsize::new(0),
        })
    }

    /// The current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The store's clock; none if it is unknown.
    pub fn store_time(&self) -> Option<Duration> {
        self.mirror.lock().store_time(self.now())
    }

    /// How much this node can know of the progress of rollouts.
    pub fn rollout_knowledge(&self) -> Knowledge {
        let (mirror, now) = (self.mirror.lock(), self.now());
        let is_current = mirror.is_fresh(Table::Fleet, MAX_ANSWER_GAP, now);
        Knowledge { now: mirror.store_time(now), is_current }
    }

    /// The number of nodes in the fleet, including this one.
    pub fn n_nodes(&self) -> usize {
        self.peers.lock().len().max(1)
    }

    /// Whether the node has run long enough to have received what others report of their requests.
    pub fn knows_requests(&self) -> bool {
        REPORT_TIME <= self.now().saturating_duration_since(self.started)
    }

    /// This node's part of what the fleet may do in addition to what each node's own requests allow.
    /// None before the node knows the others, and from when it is shutting down, as a process that
    /// replaces it has the part then.
    pub fn fleet_part(&self) -> Part {
        let knows_nodes = self.mirror.lock().has_read(Table::Fleet);
        match knows_nodes && !self.is_stopping() {
            true => Part::OneOf(self.n_nodes()),
            false => Part::None,
        }
    }

    /// Reads a property of a service from the configuration in force; none if it is not set.
    pub fn service<T>(&self, name: &str, read: impl FnOnce(&Service) -> Option<T>) -> Option<T> {
        read(self.configuration.load().as_ref()?.document.services.get(name)?)
    }

    /// The tree of relays; none if it is not known yet.
    pub fn tree(&self) -> Option<Arc<Tree>> {
        let mut topology = self.topology.lock();
        if topology.is_outdated() && self.mirror.lock().has_read(Table::Fleet) {
            let peers = self.peers.lock();
            let nodes = peers.iter().map(|(name, it)| relays::Node {
                name,
                addr: it.peers,
                capacity: it.capacity,
                domain: it.domain.as_ref(),
            });
            topology.set_derived(Tree::new(&nodes.collect::<Vec<_>>()));
        }
        topology.tree()
    }

    /// Uses a tree that another node derived, until this node has read the rows of all nodes.
    pub fn receive_tree(&self, tree: Tree) {
        self.topology.lock().receive(tree);
        self.rows_changed.wake();
    }

    /// Waits until the fleet table has been read, but at most for `limit`.
    pub async fn wait_for_members(&self, limit: Duration) {
        let are_known = || self.mirror.lock().has_read(Table::Fleet);
        // The caller goes on without the rows after the limit.
        let _elapsed = timeout::run(limit, self.wait_until(are_known)).await;
    }

    /// Waits until the tree of relays is known, but at most for `limit`.
    pub async fn wait_for_topology(&self, limit: Duration) {
        // The caller goes on without the tree after the limit.
        let _elapsed = timeout::run(limit, self.wait_until(|| self.tree().is_some())).await;
    }

    /// Waits until rows were applied that make `condition` true.
    pub async fn wait_until(&self, condition: impl Fn() -> bool) {
        loop {
            let changed = self.rows_changed.wait();
            if condition() {
                return;
            }
            changed.await;
        }
    }

    /// Whether the node accepts new callers.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.is_serving()
    }

    /// Whether the node has a configuration and has read all tables, as serving requests requires.
    pub fn is_serving(&self) -> bool {
        self.configuration.load().is_some() && self.mirror.lock().has_read_all()
    }

    /// Whether the node is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.shutdown.is_begun()
    }

    /// Counts a request as in flight for the lifetime of the returned guard.
    pub fn track_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(self))
    }

    /// The number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}
