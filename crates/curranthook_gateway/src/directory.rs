//! The endpoints known to a node, and what the node has observed of each.

mod brittleness;
mod permits;
mod suspension;
mod tracked;

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use curranthook_policy::slowdown;
use curranthook_types::{domain, endpoint};

use crate::{
    advertised::{Advertised, Cache, Incarnation},
    brittle::Statements,
    dialect::Load,
    entry::Entry,
    load::work::Work,
    permit::{self, usage::Usage},
    rate_limit,
};

use self::suspension::Addresses;
pub use self::{
    permits::Permits,
    suspension::{Cause, Transition},
    tracked::Tracked,
};

/// The weight of a new outcome in the moving average of failures; roughly the last ten outcomes
/// count.
const FAILURE_SMOOTHING: f64 = 0.1;
/// How recently some endpoint must have answered for a failed connection to be blamed on the
/// endpoint rather than on this node's own network links.
const RECENT_ANSWER: Duration = Duration::from_secs(1);
/// How long a new version of a service that already has another version gets no requests if no
/// rollout order for it is known. Entries and orders are read by separate calls, and a lost call
/// can delay an order by up to this.
const NEW_VERSION_DELAY: Duration = Duration::from_secs(4);

/// The endpoints of all services.
#[derive(Debug, Default)]
pub struct Directory {
    endpoints: HashMap<endpoint::Id, Tracked>,
    /// Which endpoints are listed at each address, and which of them are suspended.
    addresses: Addresses,
    /// When each version counts as established and gets requests without an order, by service and
    /// version.
    versions: HashMap<String, HashMap<String, Instant>>,
    /// The reported state of endpoints that have no entry at present.
    advertised_cache: Cache,
    /// Failure domains whose endpoints get no new requests.
    evacuated: HashSet<domain::Id>,
    /// The services of which a slowdown of some endpoint was recorded.
    slowdown_services: HashSet<String>,
    /// What the endpoints of each service state of the rejections that they can bear.
    statements: Statements,
    /// The requests that this node sends to limited endpoints.
    permit_usage: Usage,
    /// When any endpoint last answered.
    last_answer: Option<Instant>,
    /// Until when endpoints whose entries were removed are kept, because the entries may have
    /// lapsed while the store was unavailable.
    missing_kept_until: Option<Instant>,
}

/// How a request to an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered, and not with a server error.
    Answered,
    /// The endpoint answered with a server error, or its answer was incomplete or invalid.
    Failed,
    /// The endpoint refused the request because it is at capacity.
    Full,
    /// No connection to the endpoint could be opened.
    ConnectFailed,
    /// The connection was lost before the answer was complete.
    ConnectionLost,
    /// Another endpoint responded at the address.
    AddressReused,
    /// This node stopped the request, for reasons that are no evidence about the endpoint.
    Abandoned,
}

impl Directory {
    /// Adds or updates an endpoint from its entry in the store.
    pub fn upsert(&mut self, entry: Entry, now: Instant) {
        let versions = self.versions.entry(entry.service.clone()).or_default();
        let established_at = if versions.is_empty() { now } else { now + NEW_VERSION_DELAY };
        let established_at = *versions.entry(entry.version.clone()).or_insert(established_at);
        let (id, slow_start) = (entry.id.clone(), entry.slow_start);
        let is_same = |it: &Tracked| {
            Incarnation::of(&it.entry) == Incarnation::of(&entry)
                && it.entry.service == entry.service
        };
        match self.endpoints.get_mut(&id) {
            Some(it) if is_same(it) => {
                it.entry = entry;
                it.is_missing = false;
            }
            // An endpoint that restarted under the same id is a different one; nothing observed of
            // the old one applies to it.
            known => {
                let known = known.map(|it| it.entry.clone());
                let advertised = self.advertised_cache.take(&entry, now);
                self.endpoints.insert(id.clone(), Tracked::new(entry, advertised, established_at));
                self.forget_suspension(&id);
                if let Some(known) = known {
                    self.unlist(&known);
                }
                self.list(&id, now);
            }
        }
        if let Some(it) = self.endpoints.get_mut(&id) {
            it.set_slow_start(slow_start, now);
        }
    }

    /// Handles the removal of an entry: removes the endpoint, or marks it as missing during the
    /// time set by [`Directory::keep_missing_until`].
    pub fn remove(&mut self, id: &endpoint::Id, now: Instant) {
        let keeps_missing = self.missing_kept_until.is_some_and(|until| now < until);
        match self.endpoints.get_mut(id) {
            Some(it) if keeps_missing && it.is_ready() => it.is_missing = true,
            _ => self.remove_tracked(id, now),
        }
    }

    /// Removes an endpoint. The state that it reported is cached, in case its entry is added again.
    fn remove_tracked(&mut self, id: &endpoint::Id, now: Instant) {
        if let Some(it) = self.endpoints.remove(id) {
            self.forget_suspension(id);
            self.unlist(&it.entry);
            self.advertised_cache.insert(&it.entry, it.advertised, now);
        }
    }

    /// Called when the store is available again after an outage. Entries of live endpoints may have
    /// lapsed during it. Removing these endpoints at once could leave none to send requests to, so
    /// they are kept until `until`.
    pub fn keep_missing_until(&mut self, until: Instant) {
        self.missing_kept_until = Some(until);
    }

    /// Removes the endpoints marked as missing, if the time for which they are kept is over, and makes
    /// suspended ones available whose pause is over.
    pub fn refresh(&mut self, now: Instant) {
        if self.missing_kept_until.is_some_and(|until| until <= now) {
            self.missing_kept_until = None;
            let missing = self.endpoints.iter().filter(|(_, it)| it.is_missing);
            let missing: Vec<_> = missing.map(|(id, _)| id.clone()).collect();
            missing.iter().for_each(|id| self.remove_tracked(id, now));
        }
        self.release_probes(now);
    }

    /// The endpoints of a service that accept new requests.
    ///
    /// ```
    /// # use curranthook_gateway::directory::Directory;
    /// assert_eq!(Directory::default().ready("engines").count(), 0);
    /// ```
    pub fn ready<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Tracked> {
        let of_service = move |it: &&Tracked| it.entry.service == service && it.is_available();
        let is_evacuated = |it: &&Tracked| self.evacuated.contains(&it.entry.domain);
        self.endpoints.values().filter(of_service).filter(move |it| !is_evacuated(it))
    }

    /// Stops new requests to the endpoints of a failure domain.
    pub fn evacuate(&mut self, domain: domain::Id) {
        self.evacuated.insert(domain);
    }

    /// Allows new requests to the endpoints of a failure domain again.
    pub fn end_evacuation(&mut self, domain: &domain::Id) {
        self.evacuated.remove(domain);
    }

    /// All known endpoints, including those that accept no requests.
    pub fn all(&self) -> impl Iterator<Item = &Tracked> {
        self.endpoints.values()
    }

    /// The endpoint with this id.
    pub fn get(&self, id: &endpoint::Id) -> Option<&Tracked> {
        self.endpoints.get(id)
    }

    /// Applies another node's report about an endpoint's rate limit. Returns whether the rate
    /// changed.
    pub fn apply_reported_limit(&mut self, id: &endpoint::Id, notice: &rate_limit::Notice) -> bool {
        self.endpoints.get_mut(id).is_some_and(|it| it.advertised.set_rate_limit(notice))
    }

    /// Applies an endpoint's own report about its rate limit. Returns whether the rate changed.
    pub fn set_rate_limit(
        &mut self,
        incarnation: &Incarnation,
        notice: &rate_limit::Notice,
        now: Instant,
    ) -> bool {
        self.advertised(incarnation, now).is_some_and(|it| it.set_rate_limit(notice))
    }

    /// Records how long work takes at an endpoint, as reported by the incarnation that started at
    /// `started_ms`. Returns whether that is the known one.
    pub fn record_slowdown(
        &mut self,
        id: &endpoint::Id,
        started_ms: Option<u64>,
        figure: slowdown::Figure,
    ) -> bool {
        let known = self.endpoints.get_mut(id).filter(|it| it.entry.started_ms == started_ms);
        let Some(it) = known else { return false };
        it.slowdown.record(figure);
        if !self.slowdown_services.contains(&it.entry.service) {
            self.slowdown_services.insert(it.entry.service.clone());
        }
        true
    }

    /// Marks an endpoint as leaving. Returns whether it was not marked before.
    pub fn set_leaving(&mut self, incarnation: &Incarnation, now: Instant) -> bool {
        let known = self.advertised(incarnation, now);
        known.is_some_and(|it| !std::mem::replace(&mut it.is_leaving, true))
    }

    /// Stops requests from this node to an endpoint for `length`.
    pub fn pause(&mut self, incarnation: &Incarnation, length: Duration, now: Instant) {
        if let Some(it) = self.advertised(incarnation, now) {
            it.pause(length, now);
        }
    }

    /// The reported state of this incarnation; none if another incarnation is known under its id.
    fn advertised(&mut self, incarnation: &Incarnation, now: Instant) -> Option<&mut Advertised> {
        match self.endpoints.get_mut(&incarnation.id) {
            Some(it) if Incarnation::of(&it.entry) == *incarnation => Some(&mut it.advertised),
            Some(_) => None,
            None => self.advertised_cache.get_or_insert(incarnation, now),
        }
    }

    /// Records that a request is being sent. `work` is its expected prefill time, which counts as
    /// pending until the first byte of the answer.
    pub fn request_sent(
        &mut self,
        id: &endpoint::Id,
        work: Work,
        permits: permit::Owner,
        now: Instant,
    ) {
        self.record_probe(id, now);
        let Some(it) = self.endpoints.get_mut(id) else { return };
        it.in_flight += 1;
        it.pending += work;
        if permits == permit::Owner::Sender {
            it.use_permits(now);
        }
        if let Some(share) = &mut it.brittle {
            share.sent(now);
        }
        if it.is_limited(now) {
            self.permit_usage.record(&it.entry.service, now);
        }
    }

    /// Records the first byte of the answer, with the load that the endpoint reported.
    pub fn first_byte_received(
        &mut self,
        id: &endpoint::Id,
        work: Work,
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

    /// Whether a slowdown of some endpoint of a service was recorded since the node started.
    pub fn reports_slowdown(&self, service: &str) -> bool {
        self.slowdown_services.contains(service)
    }

    /// Records the end of a request. `work` is the part of its expected prefill time that was still
    /// pending.
    pub fn request_ended(&mut self, id: &endpoint::Id, outcome: Outcome, work: Work, now: Instant) {
        let Some(it) = self.endpoints.get_mut(id) else { return };
        it.in_flight = it.in_flight.saturating_sub(1);
        it.pending = it.pending.saturating_sub(work);
        let failure = match outcome {
            Outcome::Answered => {
                it.ejection_time = Duration::ZERO;
                it.ejected_until = None;
                it.unreachable_since = None;
                0.0
            }
            Outcome::Failed => 1.0,
            Outcome::ConnectFailed => {
                it.eject_after_failure(now);
                it.unreachable_since = Some(now);
                1.0
            }
            Outcome::ConnectionLost => {
                it.eject_after_failure(now);
                1.0
            }
            Outcome::AddressReused => return self.suspend(id, Cause::OtherInstance, now),
            Outcome::Full => {
                it.refused_as_full(now);
                return;
            }
            Outcome::Abandoned => return,
        };
        it.failures += FAILURE_SMOOTHING * (failure - it.failures);
    }

    /// Records that an answer of this incarnation was longer than it stated, which showed only after it
    /// had been taken for a whole one.
    pub fn record_surplus(&mut self, incarnation: &Incarnation, now: Instant) {
        let known = self.endpoints.get_mut(&incarnation.id);
        if let Some(it) = known.filter(|it| Incarnation::of(&it.entry) == *incarnation) {
            it.eject_after_failure(now);
            it.failures += FAILURE_SMOOTHING * (1.0 - it.failures);
        }
    }

    /// Whether any endpoint answered recently. If so, this node's own links work, and a failed
    /// connection is the endpoint's fault.
    pub fn has_recent_answer(&self, now: Instant) -> bool {
        self.last_answer.is_some_and(|at| now.saturating_duration_since(at) < RECENT_ANSWER)
    }

    /// Applies another node's report that no connection to an endpoint can be opened.
    pub fn report_unreachable(&mut self, id: &endpoint::Id, now: Instant) {
        if let Some(it) = self.endpoints.get_mut(id) {
            it.unreachable_since = Some(now);
            it.eject(now);
        }
    }

    /// Ejects an endpoint for a while because other nodes cannot reach it.
    pub fn eject(&mut self, id: &endpoint::Id, now: Instant) {
        if let Some(it) = self.endpoints.get_mut(id) {
            it.eject(now);
        }
    }

    /// The number of endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}
