//! Selects an endpoint for each request, and queues requests while all endpoints are busy.
//!
//! There is a dispatcher for each version and each plain service. It leases endpoints: a [`Lease`]
//! counts as one request in flight until it is finished or dropped.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use curranthook_policy::{
    baseline::{self, Balancer},
    endpoint::{Member, Outcome, Unavailable},
    queue::{Fair, Next},
};
use curranthook_types::{Clock, Refusal, domain, endpoint, refusal::Reason, version, vm};
use futures_lite::future;
use parking_lot::{Mutex, RwLock};

use crate::{parse::Metadata, selection, snapshot::Snapshot};

/// How often a queued request checks for a free endpoint without being notified: an endpoint may
/// become available although no request of this router ended, for example when a load report
/// expires.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The queue capacity of a dispatcher, in requests, until the configuration sets one.
const DEFAULT_QUEUE_CAPACITY: usize = 1_000;
/// The `Retry-After` of a refusal because there is no endpoint at all.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The version or service whose endpoints a dispatcher leases.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Target {
    /// A version of a model.
    Version(version::Id),
    /// A plain service.
    Service(String),
}

/// All dispatchers of a router.
#[derive(Debug)]
pub struct Dispatchers {
    clock: Arc<dyn Clock>,
    domain: domain::Id,
    vm: vm::Id,
    balancer_name: &'static str,
    leaving: Mutex<HashSet<SocketAddr>>,
    /// Those among them that the platform's list shows as leaving.
    listed_as_leaving: Mutex<HashSet<SocketAddr>>,
    dispatchers: RwLock<HashMap<Target, Arc<Dispatcher>>>,
}

impl Dispatchers {
    /// Creates an empty set of dispatchers; [`update`](Self::update) adds them. `balancer_name` is
    /// the name of the endpoint selection strategy, as defined by [`baseline::balancer`].
    pub fn new(
        clock: Arc<dyn Clock>,
        domain: domain::Id,
        vm: vm::Id,
        balancer_name: &'static str,
    ) -> Self {
        Self {
            clock,
            domain,
            vm,
            balancer_name,
            leaving: Mutex::default(),
            listed_as_leaving: Mutex::default(),
            dispatchers: RwLock::default(),
        }
    }

    /// Applies the endpoints of a new configuration epoch.
    pub fn update(&self, snapshot: &Snapshot) {
        let mut members: HashMap<Target, Vec<(Member, SocketAddr)>> = HashMap::new();
        for (id, it) in &snapshot.config().endpoints {
            if !snapshot.is_in_service(id) {
                continue;
            }
            let versions = it.versions.iter().cloned().map(Target::Version);
            let service = it.service.iter().cloned().map(Target::Service);
            for target in versions.chain(service) {
                let member =
                    Member { id: id.clone(), domain: it.failure_domain.clone(), slots: it.slots };
                members.entry(target).or_default().push((member, it.address));
            }
        }
        let capacity = snapshot.config().policy.queue;
        let mut dispatchers = self.dispatchers.write();
        dispatchers.retain(|target, _| members.contains_key(target));
        for (target, members) in members {
            let dispatcher = dispatchers.entry(target).or_insert_with_key(|target| {
                let seed = selection::stable_hash(&format!("{}/{target:?}", self.vm));
                let balancer = baseline::balancer(self.balancer_name, self.domain.clone(), seed)
                    .expect("the names of the policies are fixed");
                Arc::new(Dispatcher::new(Arc::clone(&self.clock), balancer))
            });
            dispatcher.set_members(members, capacity);
            dispatcher.set_leaving(&self.leaving.lock());
        }
    }

    /// The dispatcher for `target`.
    pub fn get(&self, target: &Target) -> Result<Arc<Dispatcher>, Refusal> {
        let dispatcher = self.dispatchers.read().get(target).cloned();
        dispatcher.ok_or_else(|| no_endpoint("no endpoint serves this"))
    }

    /// Marks the endpoints at these addresses as leaving.
    pub fn mark_leaving(&self, leaving: &HashSet<SocketAddr>) {
        self.leaving.lock().extend(leaving);
        self.dispatchers.read().values().for_each(|dispatcher| dispatcher.set_leaving(leaving));
    }

    /// Marks the endpoints that the platform's list shows as leaving. Those that it showed before
    /// stay marked until they report themselves that they are not leaving.
    pub fn set_listed_as_leaving(&self, leaving: HashSet<SocketAddr>) {
        self.mark_leaving(&leaving);
        *self.listed_as_leaving.lock() = leaving;
    }

    /// Clears the mark of an endpoint that reported itself that it is not leaving.
    pub fn clear_leaving(&self, addr: SocketAddr) {
        self.leaving.lock().remove(&addr);
        self.dispatchers.read().values().for_each(|dispatcher| dispatcher.clear_leaving(addr));
    }

    /// The addresses of the endpoints that are marked as leaving, except for those that the
    /// platform's list shows as leaving.
    pub fn leaving(&self) -> HashSet<SocketAddr> {
        let listed = self.listed_as_leaving.lock();
        self.leaving.lock().iter().filter(|it| !listed.contains(*it)).copied().collect()
    }
}

/// Leases the endpoints of one version or service.
#[derive(Debug)]
pub struct Dispatcher {
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
    /// When the endpoints that are marked as leaving were last checked because a request found no
    /// other. Held during such a check.
    pub(crate) rechecked_at: async_lock::Mutex<Option<Instant>>,
}

#[derive(Debug)]
struct Inner {
    balancer: Box<dyn Balancer>,
    addresses: HashMap<endpoint::Id, SocketAddr>,
    queue: Fair<Sender<()>>,
}

/// The parameters by which a request is queued and its endpoint selected.
#[derive(Debug, Clone, Copy)]
pub struct Params<'a> {
    /// The metadata of the request.
    pub metadata: &'a Metadata,
    /// The account's weight in the queue.
    pub weight: f64,
    /// A hash that is equal for requests that share a prompt prefix, so that they go to the same
    /// endpoint if possible.
    pub affinity: Option<u64>,
    /// Endpoints on which the request has failed.
    pub excluded: &'a [endpoint::Id],
}

impl Dispatcher {
    fn new(clock: Arc<dyn Clock>, balancer: Box<dyn Balancer>) -> Self {
        let inner =
            Inner { balancer, addresses: HashMap::new(), queue: Fair::new(DEFAULT_QUEUE_CAPACITY) };
        Self { clock, inner: Mutex::new(inner), rechecked_at: async_lock::Mutex::new(None) }
    }

    /// Whether one of its endpoints has this address.
    pub fn contains(&self, addr: SocketAddr) -> bool {
        self.inner.lock().addresses.values().any(|it| *it == addr)
    }

    fn set_members(&self, members: Vec<(Member, SocketAddr)>, capacity: usize) {
        let mut inner = self.inner.lock();
        inner.queue.set_capacity(capacity);
        inner.addresses = members.iter().map(|(it, addr)| (it.id.clone(), *addr)).collect();
        inner.balancer.set_members(members.into_iter().map(|(it, _)| it).collect());
    }

    fn set_leaving(&self, leaving: &HashSet<SocketAddr>) {
        let inner = &mut *self.inner.lock();
        let marked = inner.addresses.iter().filter(|(_, addr)| leaving.contains(*addr));
        marked.for_each(|(id, _)| inner.balancer.set_leaving(id));
    }

    fn clear_leaving(&self, addr: SocketAddr) {
        let inner = &mut *self.inner.lock();
        let cleared = inner.addresses.iter().filter(|(_, it)| **it == addr);
        cleared.for_each(|(id, _)| inner.balancer.clear_leaving(id));
    }

    /// Leases an endpoint, after waiting in the queue if all are busy. A request that cannot be
    /// served by its deadline is refused on arrival, not when the deadline expires.
    pub async fn acquire(self: &Arc<Self>, params: Params<'_>) -> Result<Lease, Refusal> {
        let mut queue_slot: Option<Receiver<()>> = None;
        loop {
            let now = self.clock.now();
            if params.metadata.deadline <= now {
                return Err(Refusal::not_run(Reason::Deadline, "the deadline passed in the queue"));
            }
            // A new request is queued behind the waiting ones. If new requests took the endpoints
            // that become free, the waiting ones would wait until their deadlines under overload.
            let has_waiters = queue_slot.is_none() && !self.inner.lock().queue.is_empty();
            let acquired = if has_waiters {
                Err(Unavailable::AllBusy)
            } else {
                self.try_acquire_at(params, now)
            };
            match acquired {
                Ok(lease) => return Ok(lease),
                Err(Unavailable::Empty) => return Err(no_endpoint("no endpoint is in service")),
                Err(Unavailable::AllExcluded) => return Err(no_endpoint("each endpoint failed")),
                Err(Unavailable::AllBusy) => {}
            }
            let wakeup = match &queue_slot {
                Some(it) => it,
                None => queue_slot.insert(self.enqueue(params, now)?),
            };
            let notified = async { _ = wakeup.recv().await };
            let timer = async { _ = Timer::after(RECHECK_INTERVAL).await };
            future::or(notified, timer).await;
            // The request was notified and removed from the queue. If another request took the
            // endpoint first, it is queued again; refusing it would turn away a caller whose
            // deadline can still be met.
            if wakeup.is_closed() {
                match self.try_acquire_at(params, self.clock.now()) {
                    Ok(lease) => return Ok(lease),
                    Err(_) => queue_slot = None,
                }
            }
        }
    }

    /// Leases an endpoint if one is free now.
    fn try_acquire(self: &Arc<Self>, params: Params<'_>) -> Option<Lease> {
        self.try_acquire_at(params, self.clock.now()).ok()
    }

    /// Leases an endpoint for a hedged attempt in parallel with the one at `first`, if one is free
    /// now: preferably another endpoint, else the same one, since possibly only its connection is
    /// unresponsive.
    pub fn try_acquire_hedge(
        self: &Arc<Self>,
        params: Params<'_>,
        first: &endpoint::Id,
    ) -> Option<Lease> {
        let mut excluded = params.excluded.to_vec();
        excluded.push(first.clone());
        let other = self.try_acquire(Params { excluded: &excluded, ..params });
        other.or_else(|| self.try_acquire(params))
    }

    /// How long the first byte of a response from `id` may take before a hedged attempt is made.
    pub fn hedge_delay(&self, id: &endpoint::Id) -> Duration {
        self.inner.lock().balancer.first_byte_timeout(id)
    }

    fn try_acquire_at(
        self: &Arc<Self>,
        params: Params<'_>,
        now: Instant,
    ) -> Result<Lease, Unavailable> {
        let mut inner = self.inner.lock();
        let chosen = inner.balancer.select(params.affinity, params.excluded, now)?;
        let Some(addr) = inner.addresses.get(&chosen.id).copied() else {
            return Err(Unavailable::Empty);
        };
        inner.balancer.started(&chosen.id, now);
        Ok(Lease {
            dispatcher: Arc::clone(self),
            endpoint: chosen.id,
            addr,
            started: now,
            progress: Progress::AwaitingFirstByte,
        })
    }

    fn enqueue(&self, params: Params<'_>, now: Instant) -> Result<Receiver<()>, Refusal> {
        let (tx, rx) = async_channel::bounded(1);
        let Metadata { account, deadline, .. } = params.metadata;
        let queued = self.inner.lock().queue.push(tx, account, params.weight, *deadline, now);
        queued.map_err(|full| overloaded(full.retry_after))?;
        Ok(rx)
    }

    fn release(&self, endpoint: &endpoint::Id, outcome: Outcome) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        inner.balancer.finished(endpoint, outcome, now);
        inner.queue.record_service(now);
        // The endpoint may have less capacity than before. A request notified now would be removed
        // from the queue without getting an endpoint.
        if inner.balancer.select(None, &[], now).is_err() {
            return;
        }
        // A request that was cancelled has dropped its receiver; notify the next one instead.
        while let Some(Next::Run(waiter) | Next::Expired(waiter)) = inner.queue.pop(now) {
            if waiter.try_send(()).is_ok() {
                break;
            }
        }
    }
}

fn no_endpoint(message: &str) -> Refusal {
    Refusal::not_run(Reason::NoEndpoint, message).with_retry_after(NO_ENDPOINT_RETRY_AFTER)
}

fn overloaded(retry_after: Duration) -> Refusal {
    let message = "all endpoints are busy and the deadline can't be met";
    Refusal::not_run(Reason::Overloaded, message).with_retry_after(retry_after)
}

/// An endpoint leased to one attempt.
#[derive(Debug)]
pub struct Lease {
    dispatcher: Arc<Dispatcher>,
    endpoint: endpoint::Id,
    addr: SocketAddr,
    started: Instant,
    progress: Progress,
}

/// The progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The first byte of the response has not arrived.
    AwaitingFirstByte,
    /// The response is being received.
    Responding,
    /// The endpoint was returned.
    Released,
}

impl Lease {
    /// The leased endpoint.
    pub fn endpoint(&self) -> &endpoint::Id {
        &self.endpoint
    }

    /// The address of the endpoint.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// When the endpoint was leased.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// How long the first byte may take before a hedged attempt is made.
    pub fn hedge_delay(&self) -> Duration {
        self.dispatcher.hedge_delay(&self.endpoint)
    }

    /// Records the load that the endpoint reported.
    pub fn record_load(&self, load: u64) {
        self.dispatcher.inner.lock().balancer.report_load(
            &self.endpoint,
            load,
            self.dispatcher.clock.now(),
        );
    }

    /// Records that the first byte of the response arrived, and returns the time it took.
    pub fn record_first_byte(&mut self) -> Duration {
        let now = self.dispatcher.clock.now();
        let first_byte = now.saturating_duration_since(self.started);
        if self.progress == Progress::AwaitingFirstByte {
            self.progress = Progress::Responding;
            self.dispatcher.inner.lock().balancer.answer_started(&self.endpoint, first_byte, now);
        }
        first_byte
    }

    /// Returns the endpoint with the outcome of the attempt.
    pub fn finish(mut self, outcome: Outcome) {
        let outcome = match (self.progress, outcome) {
            (Progress::Responding, Outcome::Answered { .. }) => Outcome::Completed,
            (_, outcome) => outcome,
        };
        self.progress = Progress::Released;
        self.dispatcher.release(&self.endpoint, outcome);
    }

    /// The outcome for the endpoint if the attempt is cancelled now. A caller that disconnects
    /// early says nothing about the endpoint. If it disconnects, or a second attempt is faster,
    /// after a wait that is unusual for the endpoint, the endpoint is slow. If that were not
    /// recorded, the endpoint would keep receiving requests, as long as hedged attempts at other
    /// endpoints succeed in its place.
    fn outcome_if_dropped(&self) -> Outcome {
        let waited = self.dispatcher.clock.now().saturating_duration_since(self.started);
        if self.progress == Progress::AwaitingFirstByte && self.hedge_delay() <= waited {
            Outcome::HedgeLost { waited }
        } else {
            Outcome::Cancelled
        }
    }
}

impl Drop for Lease {
    // When a caller disconnects, its request is dropped at any point; without this, the endpoint
    // would count as busy forever.
    fn drop(&mut self) {
        if self.progress != Progress::Released {
            self.dispatcher.release(&self.endpoint, self.outcome_if_dropped());
        }
    }
}
