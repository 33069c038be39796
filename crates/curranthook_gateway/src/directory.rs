//! The endpoints that a node knows, and what it has seen of each.

use std::{
    cmp::Ordering,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use curranthook_policy::hash;
use curranthook_types::{domain, endpoint};

use crate::{
    advertised::{Advertised, Departed, Start},
    dialect::Load,
    entry::{Entry, State},
    rate_limit,
    slow_start::SlowStart,
    store::Row,
};

/// How long an endpoint that can't be reached is left alone after the first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// The longest that an endpoint is left alone; about the time that one takes to start again.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// How much one answer or failure moves the share of failures: about the last ten count.
const SMOOTHING: f64 = 0.1;
/// How old a load may be that an endpoint told of itself.
const LOAD_EXPIRY: Duration = Duration::from_secs(1);

/// How long it's believed that an endpoint can't be reached; then a node tries it again.
const UNREACHABLE_EXPIRY: Duration = Duration::from_secs(1);
/// How long ago an endpoint must have answered for this node to blame another endpoint, and not its own
/// links, for a connection that fails.
const LINKS_EXPIRY: Duration = Duration::from_secs(1);
/// The longest slow start that an entry is believed.
const MAX_SLOW_START: Duration = Duration::from_secs(600);
/// How long a new version of a service that has others gets nothing, if no order for it is known.
/// Entries and orders come by different calls; a lost call delays an order by up to this.
const UNKNOWN_VERSION: Duration = Duration::from_secs(4);

/// What this node may send to an endpoint whose rate all nodes share: the least time between two requests,
/// none if there may be none. Endpoints are told by the hash of their id.
pub trait Permits {
    /// To an endpoint in slow start.
    fn slow_start(&self, endpoint: u64) -> Option<Duration>;
    /// To one that names a limit of `rate` requests a second, in the present turn.
    fn limited(&self, endpoint: u64, rate: f64) -> Option<Duration>;
    /// The present turn (see [`rate_limit::turn`]).
    fn turn(&self) -> u64;
}

/// The endpoints of all services.
#[derive(Debug, Default)]
pub struct Directory {
    endpoints: HashMap<endpoint::Id, Tracked>,
    /// The endpoint that was last known at each address.
    by_addr: HashMap<SocketAddr, endpoint::Id>,
    /// From when on each version may be used, by service.
    versions: HashMap<String, HashMap<String, Instant>>,
    /// What endpoints said of themselves that aren't in the list for now.
    departed: Departed,
    /// Failure domains whose endpoints get no new work.
    evacuated: HashSet<domain::Id>,
    /// When an endpoint last answered.
    last_answer: Option<Instant>,
    /// Until when removed entries are kept, because they may have lapsed with the store.
    lapsing_until: Option<Instant>,
}

/// An endpoint and what was seen of it.
#[derive(Debug)]
pub struct Tracked {
    /// Its newest entry.
    pub entry: Entry,
    /// A hash of its id.
    pub seed: u64,
    /// Requests that this node has there.
    pub in_flight: u32,
    /// The work of those of them that have no first byte yet.
    pub pending: Duration,
    /// The share of requests that failed lately.
    pub failures: f64,
    load: Option<(Load, Instant, u32)>,
    pause: Duration,
    out_until: Option<Instant>,
    /// When this node, or one that told it, last found that no connection can be opened.
    unreachable_since: Option<Instant>,
    /// Its slow start, while there is one.
    slow_start: Option<SlowStart>,
    /// What it says of itself.
    advertised: Advertised,
    /// Whether it's missing from the list.
    missing: bool,
    /// From when on its version may be used without an order.
    known_from: Instant,
}

/// How a request at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With an answer.
    Answered,
    /// With an error of the endpoint's own.
    Failed,
    /// It was turned away, as the endpoint is full.
    Full,
    /// No connection to it could be opened.
    NoConnection,
    /// It broke off.
    Unreachable,
    /// The address belongs to another endpoint by now.
    Gone,
    /// The node dropped it.
    Dropped,
}

impl Tracked {
    fn new(entry: Entry, advertised: Advertised, known_from: Instant) -> Self {
        Self {
            known_from,
            seed: hash::bytes(entry.id.as_str().as_bytes()),
            entry,
            in_flight: 0,
            pending: Duration::ZERO,
            failures: 0.0,
            load: None,
            pause: Duration::ZERO,
            out_until: None,
            unreachable_since: None,
            slow_start: None,
            advertised,
            missing: false,
        }
    }

    /// Whether it takes new work, by its entry and by its own word.
    pub fn is_ready(&self) -> bool {
        self.entry.state == State::Ready && !self.advertised.is_leaving
    }

    /// Whether it's left alone after failures.
    pub fn is_out(&self, now: Instant) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }

    /// Whether this node, or one that told it, found lately that no connection can be opened.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        let since = self.unreachable_since;
        since.is_some_and(|at| now.saturating_duration_since(at) < UNREACHABLE_EXPIRY)
    }

    /// Whether its version has been in use for a while, or is the only one.
    pub fn is_known_version(&self, now: Instant) -> bool {
        self.known_from <= now
    }

    /// How many requests it has, its own word and this node's knowledge taken together.
    pub fn busy(&self, now: Instant) -> u32 {
        match self.load {
            Some((load, at, then)) if now.saturating_duration_since(at) < LOAD_EXPIRY => {
                let told = load.running.saturating_add(load.waiting);
                told.saturating_sub(then).saturating_add(self.in_flight)
            }
            _ => self.in_flight,
        }
    }

    /// Whether it takes a request of this node now: always, but for an endpoint in slow start or one that
    /// names a limit or a pause.
    pub fn admits(&self, now: Instant) -> bool {
        let is_slow_start = self.slow_start.is_some_and(|it| !it.admits(now));
        !is_slow_start && self.advertised.admits(now)
    }

    /// The requests a second that it takes from all nodes, if it's bounded and takes none of this node now.
    /// `slow_start_rate` is what endpoints in slow start take.
    pub fn throttled(&self, slow_start_rate: Option<f64>, now: Instant) -> Option<f64> {
        let limited = self
            .advertised
            .rate_limit
            .filter(|it| !it.admits(now))
            .map(|it| rate_limit::granted(it.rate));
        let slow_start = self.slow_start.filter(|it| !it.admits(now)).and(slow_start_rate);
        limited.into_iter().chain(slow_start).reduce(f64::min)
    }

    /// Until when it wants no requests of this node; none if it takes some.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.advertised.paused_until(now)
    }

    /// Takes in how long its entry says that it stays in slow start.
    fn set_warm_in(&mut self, warm_in: Duration, now: Instant) {
        let end = now + warm_in.min(MAX_SLOW_START);
        match &mut self.slow_start {
            _ if warm_in.is_zero() => self.slow_start = None,
            Some(it) => it.set_end(end),
            none => *none = Some(SlowStart::new(end)),
        }
    }

    fn avoid(&mut self, now: Instant) {
        self.out_until = self.out_until.max(Some(now + UNREACHABLE_EXPIRY));
    }

    fn failed(&mut self, now: Instant) {
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        self.out_until = Some(now + self.pause);
    }
}

impl Directory {
    /// Takes in an entry.
    pub fn set(&mut self, entry: Entry, now: Instant) {
        if self.drop_older(&entry, now) == Some(entry.id.clone()) {
            return;
        }
        let versions = self.versions.entry(entry.service.clone()).or_default();
        let from = if versions.is_empty() { now } else { now + UNKNOWN_VERSION };
        let known_from = *versions.entry(entry.version.clone()).or_insert(from);
        let (id, warm_in) = (entry.id.clone(), entry.warm_in);
        match self.endpoints.get_mut(&id) {
            // The same id after a restart is another endpoint: nothing known of it holds.
            Some(it) if Start::of(&it.entry) == Start::of(&entry) => {
                it.entry = entry;
                it.missing = false;
            }
            _ => {
                let advertised = self.departed.take(&entry, now);
                self.endpoints.insert(id.clone(), Tracked::new(entry, advertised, known_from));
            }
        }
        if let Some(it) = self.endpoints.get_mut(&id) {
            it.set_warm_in(warm_in, now);
        }
    }

    /// Drops the older one of `entry` and another endpoint that was known at its address, and says which.
    /// The list keeps the entry of an endpoint that crashed for some seconds, beside that of its successor.
    fn drop_older(&mut self, entry: &Entry, now: Instant) -> Option<endpoint::Id> {
        let known = self.by_addr.insert(entry.addr, entry.id.clone());
        let other = known.filter(|it| *it != entry.id)?;
        let born = self.endpoints.get(&other)?.entry.born;
        let (own, others) = entry.born.zip(born)?;
        let older = match own.cmp(&others) {
            Ordering::Greater => other,
            Ordering::Less => {
                self.by_addr.insert(entry.addr, other);
                entry.id.clone()
            }
            Ordering::Equal => return None,
        };
        self.forget(&older, now);
        Some(older)
    }

    /// An entry was removed.
    pub fn remove(&mut self, id: &endpoint::Id, now: Instant) {
        let keeps = self.lapsing_until.is_some_and(|until| now < until);
        match self.endpoints.get_mut(id) {
            Some(it) if keeps && it.is_ready() => it.missing = true,
            _ => self.forget(id, now),
        }
    }

    /// Takes an endpoint out of the list. What it said of itself holds if its entry comes back.
    fn forget(&mut self, id: &endpoint::Id, now: Instant) {
        if let Some(it) = self.endpoints.remove(id) {
            self.departed.put(&it.entry, it.advertised, now);
        }
    }

    /// Only these entries exist now.
    pub fn retain(&mut self, rows: &[Row], now: Instant) {
        let gone: Vec<_> = self
            .endpoints
            .keys()
            .filter(|id| !rows.iter().any(|row| row.value.is_some() && row.key == id.as_str()))
            .cloned()
            .collect();
        for id in gone {
            self.remove(&id, now);
        }
    }

    /// The store is back after it was away. Entries may have lapsed meanwhile though their
    /// endpoints live; dropping them at once would leave nobody to send to, so they're kept `until`
    /// then.
    pub fn store_returned(&mut self, until: Instant) {
        self.lapsing_until = Some(until);
    }

    /// Drops entries that lapsed and didn't come back in time.
    pub fn sweep(&mut self, now: Instant) {
        if self.lapsing_until.is_some_and(|until| until <= now) {
            self.lapsing_until = None;
            let missing = self.endpoints.extract_if(|_, it| it.missing);
            for (_, it) in missing {
                self.departed.put(&it.entry, it.advertised, now);
            }
        }
    }

    /// The endpoints of a service that take new work.
    ///
    /// ```
    /// # use curranthook_gateway::directory::Directory;
    /// assert_eq!(Directory::default().ready("engines").count(), 0);
    /// ```
    pub fn ready<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Tracked> {
        let of_service = move |it: &&Tracked| it.entry.service == service && it.is_ready();
        let is_evacuated = |it: &&Tracked| self.evacuated.contains(&it.entry.domain);
        self.endpoints.values().filter(of_service).filter(move |it| !is_evacuated(it))
    }

    /// The endpoints of a failure domain get no new work from now on.
    pub fn evacuate(&mut self, domain: domain::Id) {
        self.evacuated.insert(domain);
    }

    /// The endpoints of a failure domain get work again.
    pub fn readmit(&mut self, domain: &domain::Id) {
        self.evacuated.remove(domain);
    }

    /// All endpoints.
    pub fn all(&self) -> impl Iterator<Item = &Tracked> {
        self.endpoints.values()
    }

    /// One endpoint.
    pub fn tracked(&self, id: &endpoint::Id) -> Option<&Tracked> {
        self.endpoints.get(id)
    }

    /// Works out what this node may send to the endpoints of a service that take a bounded rate from all
    /// nodes, where that isn't known.
    pub fn renew_permits(&mut self, service: &str, permits: &impl Permits, now: Instant) {
        for it in self.endpoints.values_mut().filter(|it| it.entry.service == service) {
            let slow_start = it.slow_start.as_mut();
            if let Some(slow_start) = slow_start.filter(|it| it.is_outdated(now)) {
                slow_start.share.set_interval(permits.slow_start(it.seed), now);
            }
            let (limit, turn) = (it.advertised.rate_limit.as_mut(), permits.turn());
            if let Some(limit) = limit.filter(|it| it.is_outdated(turn, now)) {
                limit.set_interval(permits.limited(it.seed, limit.rate), turn, now);
            }
        }
    }

    /// Takes in what another node heard of an endpoint's limit. Returns whether that changes it.
    pub fn reported_limit(&mut self, id: &endpoint::Id, notice: &rate_limit::Notice) -> bool {
        self.endpoints.get_mut(id).is_some_and(|it| it.advertised.set_rate_limit(notice))
    }

    /// Takes in what an endpoint said of its limit. Returns whether that changes it.
    pub fn set_rate_limit(
        &mut self,
        start: &Start,
        notice: &rate_limit::Notice,
        now: Instant,
    ) -> bool {
        self.advertised(start, now).is_some_and(|it| it.set_rate_limit(notice))
    }

    /// An endpoint said that it's leaving. Returns whether that's news.
    pub fn set_leaving(&mut self, start: &Start, now: Instant) -> bool {
        let known = self.advertised(start, now);
        known.is_some_and(|it| !std::mem::replace(&mut it.is_leaving, true))
    }

    /// An endpoint wants no requests of this node for so long.
    pub fn pause(&mut self, start: &Start, length: Duration, now: Instant) {
        if let Some(it) = self.advertised(start, now) {
            it.pause(length, now);
        }
    }

    /// What a start of an endpoint says of itself; none if there is another one under its id.
    fn advertised(&mut self, start: &Start, now: Instant) -> Option<&mut Advertised> {
        match self.endpoints.get_mut(&start.id) {
            Some(it) if Start::of(&it.entry) == *start => Some(&mut it.advertised),
            Some(_) => None,
            None => self.departed.get_mut(start, now),
        }
    }

    /// A request goes to an endpoint.
    pub fn started(&mut self, id: &endpoint::Id, work: Duration, now: Instant) {
        if let Some(it) = self.endpoints.get_mut(id) {
            it.in_flight += 1;
            it.pending += work;
            if let Some(slow_start) = &mut it.slow_start {
                slow_start.share.sent(now);
            }
            if let Some(limit) = &mut it.advertised.rate_limit {
                limit.sent(now);
            }
        }
    }

    /// The first byte of its answer came.
    pub fn began(&mut self, id: &endpoint::Id, work: Duration, load: Option<Load>, now: Instant) {
        self.last_answer = Some(now);
        if let Some(it) = self.endpoints.get_mut(id) {
            it.pending = it.pending.saturating_sub(work);
            if let Some(load) = load {
                it.load = Some((load, now, it.in_flight));
            }
        }
    }

    /// The request ended; `work` is what it still had pending.
    pub fn finished(&mut self, id: &endpoint::Id, outcome: Outcome, work: Duration, now: Instant) {
        let Some(it) = self.endpoints.get_mut(id) else { return };
        it.in_flight = it.in_flight.saturating_sub(1);
        it.pending = it.pending.saturating_sub(work);
        let failed = match outcome {
            Outcome::Answered => {
                it.pause = Duration::ZERO;
                it.out_until = None;
                it.unreachable_since = None;
                0.0
            }
            Outcome::Failed => 1.0,
            Outcome::NoConnection => {
                it.failed(now);
                it.unreachable_since = Some(now);
                1.0
            }
            Outcome::Unreachable => {
                it.failed(now);
                1.0
            }
            Outcome::Gone => {
                self.forget(id, now);
                return;
            }
            Outcome::Full | Outcome::Dropped => return,
        };
        it.failures += SMOOTHING * (failed - it.failures);
    }

    /// Whether a connection that fails is its endpoint's fault, as this node reaches others.
    pub fn reaches_others(&self, now: Instant) -> bool {
        self.last_answer.is_some_and(|at| now.saturating_duration_since(at) < LINKS_EXPIRY)
    }

    /// Another node found that no connection to an endpoint can be opened.
    pub fn reported_unreachable(&mut self, id: &endpoint::Id, now: Instant) {
        if let Some(it) = self.endpoints.get_mut(id) {
            it.unreachable_since = Some(now);
            it.avoid(now);
        }
    }

    /// Leaves an endpoint alone that others can't reach.
    pub fn avoid(&mut self, id: &endpoint::Id, now: Instant) {
        if let Some(it) = self.endpoints.get_mut(id) {
            it.avoid(now);
        }
    }

    /// How many endpoints are in the list.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}
