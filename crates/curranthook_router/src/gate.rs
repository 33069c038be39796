//! Which endpoint takes a request, and who waits when all are busy.
//!
//! There is a gate for each version and each plain service. It lends endpoints: a
//! [`Lease`] counts as one request in flight until it's finished or dropped.

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

use crate::{admit::Ask, choose, snapshot::Snapshot};

/// A waiter looks again after this long even if nobody woke it: an endpoint may have become
/// free without a request of ours ending, as when a load report aged.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// How many requests may wait at one gate until the settings say otherwise.
const QUEUE: usize = 1_000;
/// When to come back if there is no endpoint at all.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(1);

/// What a gate leads to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Target {
    /// A version of a model.
    Version(version::Id),
    /// A plain service.
    Service(String),
}

/// All gates of a router.
#[derive(Debug)]
pub struct Gates {
    clock: Arc<dyn Clock>,
    domain: domain::Id,
    vm: vm::Id,
    balance: &'static str,
    leaving: Mutex<HashSet<SocketAddr>>,
    gates: RwLock<HashMap<Target, Arc<Gate>>>,
}

impl Gates {
    /// No gate yet. `balance` names the way in which endpoints are picked, as
    /// [`baseline::balancer`] knows it.
    pub fn new(
        clock: Arc<dyn Clock>,
        domain: domain::Id,
        vm: vm::Id,
        balance: &'static str,
    ) -> Self {
        Self { clock, domain, vm, balance, leaving: Mutex::default(), gates: RwLock::default() }
    }

    /// Takes over the endpoints of a new epoch.
    pub fn update(&self, snapshot: &Snapshot) {
        let mut members: HashMap<Target, Vec<(Member, SocketAddr)>> = HashMap::new();
        for (id, it) in &snapshot.config().endpoints {
            if !snapshot.in_service(id) {
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
        let mut gates = self.gates.write();
        gates.retain(|target, _| members.contains_key(target));
        for (target, members) in members {
            let gate = gates.entry(target).or_insert_with_key(|target| {
                let seed = choose::hash(&format!("{}/{target:?}", self.vm));
                let pool = baseline::balancer(self.balance, self.domain.clone(), seed)
                    .expect("the names of the policies are fixed");
                Arc::new(Gate::new(Arc::clone(&self.clock), pool))
            });
            gate.set(members, capacity);
            gate.set_leaving(&self.leaving.lock());
        }
    }

    /// The gate that leads to `target`.
    pub fn get(&self, target: &Target) -> Result<Arc<Gate>, Refusal> {
        let gate = self.gates.read().get(target).cloned();
        gate.ok_or_else(|| no_endpoint("no endpoint serves this"))
    }

    /// Marks the endpoints at these addresses as leaving.
    pub fn mark_leaving(&self, leaving: &HashSet<SocketAddr>) {
        self.leaving.lock().extend(leaving);
        self.gates.read().values().for_each(|gate| gate.set_leaving(leaving));
    }

    /// Unmarks an endpoint that said itself that it stays.
    pub fn clear_leaving(&self, addr: SocketAddr) {
        self.leaving.lock().remove(&addr);
        self.gates.read().values().for_each(|gate| gate.clear_leaving(addr));
    }

    /// Where endpoints are marked as leaving.
    pub fn leaving(&self) -> HashSet<SocketAddr> {
        self.leaving.lock().clone()
    }
}

/// Lends the endpoints of one version or service.
#[derive(Debug)]
pub struct Gate {
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    pool: Box<dyn Balancer>,
    addresses: HashMap<endpoint::Id, SocketAddr>,
    queue: Fair<Sender<()>>,
}

/// How a request stands with a gate.
#[derive(Debug, Clone, Copy)]
pub struct Entry<'a> {
    /// The request.
    pub ask: &'a Ask,
    /// Its account's weight in the queue.
    pub weight: f64,
    /// Equal for requests that share a prompt prefix.
    pub affinity: Option<u64>,
    /// Endpoints that were tried in vain.
    pub exclude: &'a [endpoint::Id],
}

impl Gate {
    fn new(clock: Arc<dyn Clock>, pool: Box<dyn Balancer>) -> Self {
        let inner = Inner { pool, addresses: HashMap::new(), queue: Fair::new(QUEUE) };
        Self { clock, inner: Mutex::new(inner) }
    }

    fn set(&self, members: Vec<(Member, SocketAddr)>, capacity: usize) {
        let mut inner = self.inner.lock();
        inner.queue.set_capacity(capacity);
        inner.addresses = members.iter().map(|(it, addr)| (it.id.clone(), *addr)).collect();
        inner.pool.set_members(members.into_iter().map(|(it, _)| it).collect());
    }

    fn set_leaving(&self, leaving: &HashSet<SocketAddr>) {
        let inner = &mut *self.inner.lock();
        let marked = inner.addresses.iter().filter(|(_, addr)| leaving.contains(*addr));
        marked.for_each(|(id, _)| inner.pool.set_leaving(id));
    }

    fn clear_leaving(&self, addr: SocketAddr) {
        let inner = &mut *self.inner.lock();
        let cleared = inner.addresses.iter().filter(|(_, it)| **it == addr);
        cleared.for_each(|(id, _)| inner.pool.clear_leaving(id));
    }

    /// Lends an endpoint, after a wait in the queue if all are busy. What can't be served by
    /// its deadline is refused on arrival, not when the deadline comes.
    pub async fn enter(self: &Arc<Self>, entry: Entry<'_>) -> Result<Lease, Refusal> {
        let mut place: Option<Receiver<()>> = None;
        loop {
            let now = self.clock.now();
            if entry.ask.deadline <= now {
                return Err(Refusal::not_run(Reason::Deadline, "the deadline passed in the queue"));
            }
            // Newcomers go behind those that wait. If they took what gets free, those that wait
            // would do so until their deadlines under overload.
            let is_behind = place.is_none() && !self.inner.lock().queue.is_empty();
            let entered =
                if is_behind { Err(Unavailable::AllBusy) } else { self.try_enter(entry, now) };
            match entered {
                Ok(lease) => return Ok(lease),
                Err(Unavailable::Empty) => return Err(no_endpoint("no endpoint is in service")),
                Err(Unavailable::AllExcluded) => return Err(no_endpoint("each endpoint failed")),
                Err(Unavailable::AllBusy) => {}
            }
            let turn = match &place {
                Some(it) => it,
                None => place.insert(self.line_up(entry, now)?),
            };
            let woken = async { _ = turn.recv().await };
            let timer = async { _ = Timer::after(LOOK_AGAIN).await };
            future::or(woken, timer).await;
            // Its turn came. If the endpoint was taken first, it lines up again; to refuse it
            // then would turn away a caller whose deadline can still be met.
            if turn.is_closed() {
                match self.try_enter(entry, self.clock.now()) {
                    Ok(lease) => return Ok(lease),
                    Err(_) => place = None,
                }
            }
        }
    }

    /// Lends an endpoint if one is free right now.
    fn try_now(self: &Arc<Self>, entry: Entry<'_>) -> Option<Lease> {
        self.try_enter(entry, self.clock.now()).ok()
    }

    /// Lends an endpoint for a second attempt beside the one at `first`, if one is free right
    /// now: another one where there is one, else the same. Its connection may be what is silent.
    pub fn try_second(self: &Arc<Self>, entry: Entry<'_>, first: &endpoint::Id) -> Option<Lease> {
        let mut exclude = entry.exclude.to_vec();
        exclude.push(first.clone());
        let other = self.try_now(Entry { exclude: &exclude, ..entry });
        other.or_else(|| self.try_now(entry))
    }

    /// How long the first byte of an answer from `id` may take before another try is made.
    pub fn slow_after(&self, id: &endpoint::Id) -> Duration {
        self.inner.lock().pool.first_byte_timeout(id)
    }

    fn try_enter(self: &Arc<Self>, entry: Entry<'_>, now: Instant) -> Result<Lease, Unavailable> {
        let mut inner = self.inner.lock();
        let pick = inner.pool.select(entry.affinity, entry.exclude, now)?;
        let Some(addr) = inner.addresses.get(&pick.id).copied() else {
            return Err(Unavailable::Empty);
        };
        inner.pool.started(&pick.id, now);
        Ok(Lease {
            gate: Arc::clone(self),
            endpoint: pick.id,
            addr,
            started: now,
            stage: Stage::Waiting,
        })
    }

    fn line_up(&self, entry: Entry<'_>, now: Instant) -> Result<Receiver<()>, Refusal> {
        let (tx, rx) = async_channel::bounded(1);
        let Ask { account, deadline, .. } = entry.ask;
        let pushed = self.inner.lock().queue.push(tx, account, entry.weight, *deadline, now);
        pushed.map_err(|full| overloaded(full.retry_after))?;
        Ok(rx)
    }

    fn leave(&self, endpoint: &endpoint::Id, outcome: Outcome) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        inner.pool.finished(endpoint, outcome, now);
        inner.queue.record_service(now);
        // The endpoint may have less room than before. Whoever were woken then would lose its
        // place in the queue for nothing.
        if inner.pool.select(None, &[], now).is_err() {
            return;
        }
        // Whoever gave up has dropped its receiver; go on to the next one.
        while let Some(Next::Run(waiter) | Next::Expired(waiter)) = inner.queue.pop(now) {
            if waiter.try_send(()).is_ok() {
                break;
            }
        }
    }
}

fn no_endpoint(message: &str) -> Refusal {
    Refusal::not_run(Reason::NoEndpoint, message).with_retry_after(NO_ENDPOINT_RETRY)
}

fn overloaded(retry_after: Duration) -> Refusal {
    let message = "all endpoints are busy and the deadline can't be met";
    Refusal::not_run(Reason::Overloaded, message).with_retry_after(retry_after)
}

/// An endpoint lent to one attempt.
#[derive(Debug)]
pub struct Lease {
    gate: Arc<Gate>,
    endpoint: endpoint::Id,
    addr: SocketAddr,
    started: Instant,
    stage: Stage,
}

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Its first byte hasn't come.
    Waiting,
    /// Its answer comes.
    Begun,
    /// The endpoint was given back.
    Done,
}

impl Lease {
    /// The endpoint.
    pub fn endpoint(&self) -> &endpoint::Id {
        &self.endpoint
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// When it was lent.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// How long its first byte may take before another try is made.
    pub fn slow_after(&self) -> Duration {
        self.gate.slow_after(&self.endpoint)
    }

    /// Notes what the endpoint said of its load.
    pub fn hint(&self, load: u64) {
        self.gate.inner.lock().pool.report_load(&self.endpoint, load, self.gate.clock.now());
    }

    /// Notes that the first byte of the answer came, and says after how long.
    pub fn begin(&mut self) -> Duration {
        let now = self.gate.clock.now();
        let first_byte = now.saturating_duration_since(self.started);
        if self.stage == Stage::Waiting {
            self.stage = Stage::Begun;
            self.gate.inner.lock().pool.answer_started(&self.endpoint, first_byte, now);
        }
        first_byte
    }

    /// Gives the endpoint back.
    pub fn finish(mut self, outcome: Outcome) {
        let outcome = match (self.stage, outcome) {
            (Stage::Begun, Outcome::Answered { .. }) => Outcome::Completed,
            (_, outcome) => outcome,
        };
        self.stage = Stage::Done;
        self.gate.leave(&self.endpoint, outcome);
    }

    /// What it tells of the endpoint that the attempt is given up now. A caller that goes away
    /// soon says nothing of it. If it goes, or a second attempt is faster, after a wait that is
    /// unusual for the endpoint, then the endpoint is slow; were that not noted, it would get
    /// requests for as long as each is rescued by another endpoint.
    fn given_up(&self) -> Outcome {
        let waited = self.gate.clock.now().saturating_duration_since(self.started);
        if self.stage == Stage::Waiting && self.slow_after() <= waited {
            Outcome::HedgeLost { waited }
        } else {
            Outcome::Cancelled
        }
    }
}

impl Drop for Lease {
    // A caller that goes away drops its request wherever it stands; without this the endpoint
    // would count as busy for good.
    fn drop(&mut self) {
        if self.stage != Stage::Done {
            self.gate.leave(&self.endpoint, self.given_up());
        }
    }
}
