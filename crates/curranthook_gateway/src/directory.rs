//! The endpoints that a node knows, and what it has seen of each.

mod tracked;

use std::{
    cmp::Ordering,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use curranthook_types::{domain, endpoint};

use crate::{
    advertised::{Advertised, Departed, Incarnation},
    dialect::Load,
    entry::Entry,
    rate_limit,
    store::Row,
};

pub use self::tracked::Tracked;

/// How much one answer or failure moves the share of failures: about the last ten count.
const SMOOTHING: f64 = 0.1;
/// How long ago an endpoint must have answered for this node to blame another endpoint, and not its own
/// links, for a connection that fails.
const LINKS_EXPIRY: Duration = Duration::from_secs(1);
/// How long a new version of a service that has others gets nothing, if no order for it is known.
/// Entries and orders come by different calls; a lost call delays an order by up to this.
const UNKNOWN_VERSION: Duration = Duration::from_secs(4);

/// What this node may send to an endpoint whose rate all nodes share: the least time between two requests,
/// none if there may be none. Endpoints are told by the hash of their id.
pub trait Permits {
    /// To an endpoint in slow start.
    fn slow_start(&self, endpoint: u64) -> Option<Duration>;
    /// To one that names a limit of `rate` requests a second, in the present rotation.
    fn rate_limited(&self, endpoint: u64, rate: f64) -> Option<Duration>;
    /// The present rotation (see [`rate_limit::rotation`]).
    fn rotation(&self) -> u64;
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
    ConnectFailed,
    /// It broke off.
    ConnectionLost,
    /// The address belongs to another endpoint by now.
    AddressReused,
    /// The node dropped it.
    Abandoned,
}

impl Directory {
    /// Takes in an entry.
    pub fn upsert(&mut self, entry: Entry, now: Instant) {
        if self.drop_older(&entry, now) == Some(entry.id.clone()) {
            return;
        }
        let versions = self.versions.entry(entry.service.clone()).or_default();
        let from = if versions.is_empty() { now } else { now + UNKNOWN_VERSION };
        let established_at = *versions.entry(entry.version.clone()).or_insert(from);
        let (id, warm_in) = (entry.id.clone(), entry.slow_start);
        match self.endpoints.get_mut(&id) {
            // The same id after a restart is another endpoint: nothing known of it holds.
            Some(it) if Incarnation::of(&it.entry) == Incarnation::of(&entry) => {
                it.entry = entry;
                it.missing = false;
            }
            _ => {
                let advertised = self.departed.take(&entry, now);
                self.endpoints.insert(id.clone(), Tracked::new(entry, advertised, established_at));
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
        let born = self.endpoints.get(&other)?.entry.started_ms;
        let (own, others) = entry.started_ms.zip(born)?;
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
    pub fn keep_missing_until(&mut self, until: Instant) {
        self.lapsing_until = Some(until);
    }

    /// Drops entries that lapsed and didn't come back in time.
    pub fn remove_lapsed(&mut self, now: Instant) {
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
    pub fn end_evacuation(&mut self, domain: &domain::Id) {
        self.evacuated.remove(domain);
    }

    /// All endpoints.
    pub fn all(&self) -> impl Iterator<Item = &Tracked> {
        self.endpoints.values()
    }

    /// One endpoint.
    pub fn get(&self, id: &endpoint::Id) -> Option<&Tracked> {
        self.endpoints.get(id)
    }

    /// Works out what this node may send to the endpoints of a service that take a bounded rate from all
    /// nodes, where that isn't known.
    pub fn renew_permits(&mut self, service: &str, permits: &impl Permits, now: Instant) {
        for it in self.endpoints.values_mut().filter(|it| it.entry.service == service) {
            let slow_start = it.slow_start.as_mut();
            if let Some(slow_start) = slow_start.filter(|it| it.is_outdated(now)) {
                slow_start.share.set_interval(permits.slow_start(it.id_hash), now);
            }
            let (limit, rotation) = (it.advertised.rate_limit.as_mut(), permits.rotation());
            if let Some(limit) = limit.filter(|it| it.is_outdated(rotation, now)) {
                limit.set_interval(permits.rate_limited(it.id_hash, limit.rate), rotation, now);
            }
        }
    }

    /// Takes in what another node heard of an endpoint's limit. Returns whether that changes it.
    pub fn apply_reported_limit(&mut self, id: &endpoint::Id, notice: &rate_limit::Notice) -> bool {
        self.endpoints.get_mut(id).is_some_and(|it| it.advertised.set_rate_limit(notice))
    }

    /// Takes in what an endpoint said of its limit. Returns whether that changes it.
    pub fn set_rate_limit(
        &mut self,
        incarnation: &Incarnation,
        notice: &rate_limit::Notice,
        now: Instant,
    ) -> bool {
        self.advertised(incarnation, now).is_some_and(|it| it.set_rate_limit(notice))
    }

    /// An endpoint said that it's leaving. Returns whether that's news.
    pub fn set_leaving(&mut self, incarnation: &Incarnation, now: Instant) -> bool {
        let known = self.advertised(incarnation, now);
        known.is_some_and(|it| !std::mem::replace(&mut it.is_leaving, true))
    }

    /// An endpoint wants no requests of this node for so long.
    pub fn pause(&mut self, incarnation: &Incarnation, length: Duration, now: Instant) {
        if let Some(it) = self.advertised(incarnation, now) {
            it.pause(length, now);
        }
    }

    /// What a start of an endpoint says of itself; none if there is another one under its id.
    fn advertised(&mut self, incarnation: &Incarnation, now: Instant) -> Option<&mut Advertised> {
        match self.endpoints.get_mut(&incarnation.id) {
            Some(it) if Incarnation::of(&it.entry) == *incarnation => Some(&mut it.advertised),
            Some(_) => None,
            None => self.departed.get_mut(incarnation, now),
        }
    }

    /// A request goes to an endpoint.
    pub fn request_sent(&mut self, id: &endpoint::Id, work: Duration, now: Instant) {
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
    pub fn first_byte_received(
        &mut self,
        id: &endpoint::Id,
        work: Duration,
        load: Option<Load>,
        now: Instant,
    ) {
        self.last_answer = Some(now);
        if let Some(it) = self.endpoints.get_mut(id) {
            it.pending = it.pending.saturating_sub(work);
            if let Some(load) = load {
                it.load = Some((load, now, it.in_flight));
            }
        }
    }

    /// The request ended; `work` is what it still had pending.
    pub fn request_ended(
        &mut self,
        id: &endpoint::Id,
        outcome: Outcome,
        work: Duration,
        now: Instant,
    ) {
        let Some(it) = self.endpoints.get_mut(id) else { return };
        it.in_flight = it.in_flight.saturating_sub(1);
        it.pending = it.pending.saturating_sub(work);
        let failed = match outcome {
            Outcome::Answered => {
                it.pause = Duration::ZERO;
                it.ejected_until = None;
                it.unreachable_since = None;
                0.0
            }
            Outcome::Failed => 1.0,
            Outcome::ConnectFailed => {
                it.failed(now);
                it.unreachable_since = Some(now);
                1.0
            }
            Outcome::ConnectionLost => {
                it.failed(now);
                1.0
            }
            Outcome::AddressReused => {
                self.forget(id, now);
                return;
            }
            Outcome::Full | Outcome::Abandoned => return,
        };
        it.failures += SMOOTHING * (failed - it.failures);
    }

    /// Whether a connection that fails is its endpoint's fault, as this node reaches others.
    pub fn has_recent_answer(&self, now: Instant) -> bool {
        self.last_answer.is_some_and(|at| now.saturating_duration_since(at) < LINKS_EXPIRY)
    }

    /// Another node found that no connection to an endpoint can be opened.
    pub fn report_unreachable(&mut self, id: &endpoint::Id, now: Instant) {
        if let Some(it) = self.endpoints.get_mut(id) {
            it.unreachable_since = Some(now);
            it.eject(now);
        }
    }

    /// Leaves an endpoint alone that others can't reach.
    pub fn eject(&mut self, id: &endpoint::Id, now: Instant) {
        if let Some(it) = self.endpoints.get_mut(id) {
            it.eject(now);
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
