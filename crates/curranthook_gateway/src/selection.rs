//! Selects the endpoint for a request, based on the load, failures and cached prefixes that the
//! node knows of each endpoint.

mod concentration;
mod eligible;
mod permits;
mod plain;
mod room;

use std::time::{Duration, Instant};

use curranthook_policy::{hash, slowdown::Outlook};
use curranthook_types::endpoint;

use crate::{
    Gateway, cascade,
    directory::{Directory, Tracked},
    load::{
        in_flight,
        latency::Estimate,
        occupancy::{self, Occupancy},
        owners,
        prefill::Prompt,
        reports::PeerState,
        work::Work,
    },
    placement::{self, CacheHolders, Candidate, Locality, Task},
    rollouts::Rule,
};

use self::{concentration::Concentration, eligible::eligible};
pub use self::{
    permits::{renew_permits, wanted_permits},
    room::Room,
};

/// The assumed processing time of a request to a service without models.
const DEFAULT_PROCESSING_TIME: Duration = Duration::from_millis(50);

/// The number of endpoints whose load is queried from peers before a request is placed. Each query
/// costs two datagrams.
const SHORTLIST_LEN: usize = 4;

/// The same for a service without models, whose calls are many and short.
const PLAIN_SHORTLIST_LEN: usize = 2;

/// What a request requires of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// The service that the request is sent to.
    pub service: &'a str,
    /// The versions that the request may be sent to.
    pub rule: &'a Rule,
    /// The endpoints that earlier attempts were sent to.
    pub tried: &'a [endpoint::Id],
    /// The hash of the model and of the prompt prefix that the request shares with others.
    pub prefix_hash: Option<u64>,
    /// The number of tokens of that prefix.
    pub prefix_tokens: u64,
    /// The number of tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// The model; `None` for a service without models.
    pub model: Option<TargetModel>,
    /// The priority that the request has at an engine with that model; `None` if decisions ignore
    /// how requests compete for capacity.
    pub priority: Option<u8>,
    /// The endpoint for which another node has lent a permit; the request goes to no other one.
    pub borrowed: Option<&'a endpoint::Id>,
    /// Whether the request is a call that may run only once.
    pub at_most_once: bool,
    /// The time left until the deadline.
    pub time_left: Duration,
    /// A value that differs between requests, to break ties.
    pub salt: u64,
}

/// The model that is to answer the request.
#[derive(Debug, Clone, Copy)]
pub struct TargetModel {
    /// The model's price relative to the most expensive model of the service.
    pub relative_price: f64,
    /// The model's estimated latency.
    pub latency: Estimate,
}

impl Criteria<'_> {
    /// The prompt as an engine processes it, with or without the prefix in its cache.
    fn prompt(&self, has_prefix_cached: bool) -> Prompt {
        Prompt::new(self.prompt_tokens, if has_prefix_cached { self.prefix_tokens } else { 0 })
    }

    fn prefill(&self, has_prefix_cached: bool) -> Duration {
        let prompt = self.prompt(has_prefix_cached);
        self.model.map_or(Duration::ZERO, |it| it.latency.coefficients.prefill_time(prompt))
    }

    fn task(&self, holders: CacheHolders, peer_state: &PeerState) -> Task {
        let prefix_prefill = self.prefill(false).saturating_sub(self.prefill(true));
        // Must be on the same scale as the waits of the candidates, see `expected_wait`.
        let plain_time = match peer_state.in_flight.counts.is_empty() {
            true => DEFAULT_PROCESSING_TIME,
            false => occupancy::CALL_TIME,
        };
        let own_time = self.model.map_or(plain_time, |_| self.prefill(true));
        Task { prefix_hash: self.prefix_hash, prefix_prefill, own_time, holders, salt: self.salt }
    }
}

/// The selected endpoint and its estimated load when the request arrives.
#[derive(Debug)]
pub struct Choice<'a> {
    /// The selected endpoint.
    pub endpoint: &'a Tracked,
    /// The prompt, split by what the endpoint is expected to have cached.
    pub prompt: Prompt,
    /// The estimated number of queued and running requests at the endpoint.
    pub outstanding: u32,
    /// The prefill time of the work that is queued at the endpoint ahead of the request, at usual
    /// speed.
    pub queue_delay: Duration,
    /// All work that is queued at the endpoint.
    pub waiting: Work,
    /// The age of the oldest report of another node that `waiting` is based on; `None` if it is
    /// based on no report, or on an answer to this node's question.
    pub waiting_age: Option<Duration>,
    /// How long work takes at the endpoint, relative to its usual time.
    pub slowdown: Outlook,
    /// What is known about the requests at the endpoint.
    pub occupancy: Occupancy,
    /// Whether the endpoint gets the load of a busy one, as its version is under test.
    pub is_concentrated: bool,
    /// Why the endpoint is expected to accept the request.
    pub room: Room,
}

/// Why no endpoint can take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// No endpoint accepts requests.
    NoEndpoint,
    /// No endpoint is likely to have a slot or a place in its queue.
    Full,
}

impl Choice<'_> {
    /// The expected time to the first event, for a model with this `latency`.
    pub fn time_to_first_event(&self, latency: &Estimate) -> Duration {
        let usual = latency.time_to_first_event(self.prompt, self.outstanding, self.queue_delay);
        self.slowdown.scale(usual)
    }

    /// The expected time for the work that is queued ahead of the request.
    pub fn queue_time(&self) -> Duration {
        self.slowdown.scale(self.queue_delay)
    }
}

/// The best endpoint for a request. `peer_state` contains the load that other
/// nodes put on some endpoints; if it covers any eligible endpoint, only covered ones are
/// considered. If the endpoints are brittle, one that is not known to have room is only chosen if
/// this node may make an attempt there.
pub fn best<'a>(
    gateway: &Gateway,
    directory: &'a Directory,
    criteria: &Criteria<'_>,
    peer_state: &PeerState,
) -> Result<Choice<'a>, Unavailable> {
    let endpoints = covered(gateway, directory, criteria, peer_state)?;
    let now = gateway.now();
    let (endpoints, room) =
        room::with_room(gateway, directory, endpoints, criteria, peer_state, now)?;
    choose(gateway, directory, criteria, peer_state, (&endpoints, room))
}

/// The best endpoint for a request, whether or not it has room for it.
pub fn best_with_any_room<'a>(
    gateway: &Gateway,
    directory: &'a Directory,
    criteria: &Criteria<'_>,
    peer_state: &PeerState,
) -> Result<Choice<'a>, Unavailable> {
    let endpoints = covered(gateway, directory, criteria, peer_state)?;
    choose(gateway, directory, criteria, peer_state, (&endpoints, Room::Any))
}

/// The eligible endpoints whose load `peer_state` covers; all of them if it covers none.
fn covered<'a>(
    gateway: &Gateway,
    directory: &'a Directory,
    criteria: &Criteria<'_>,
    peer_state: &PeerState,
) -> Result<Vec<&'a Tracked>, Unavailable> {
    let now = gateway.now();
    let ready: Vec<&Tracked> = directory.ready(criteria.service).collect();
    let concentration = Concentration::new(&ready, criteria.rule, now);
    let endpoints = eligible(&ready, criteria, concentration.as_ref(), now);
    if endpoints.iter().any(|it| peer_state.waiting.contains_key(&it.entry.id)) {
        // The load of endpoints that are not covered is unknown, so they would seem idle.
        let is_covered = |it: &&Tracked| peer_state.waiting.contains_key(&it.entry.id);
        let (covered, others) = endpoints.into_iter().partition(is_covered);
        return plain::with_room(covered, others, criteria, peer_state, now);
    }
    Ok(endpoints)
}

fn choose<'a>(
    gateway: &Gateway,
    directory: &'a Directory,
    criteria: &Criteria<'_>,
    peer_state: &PeerState,
    (endpoints, room): (&[&'a Tracked], Room),
) -> Result<Choice<'a>, Unavailable> {
    let now = gateway.now();
    let ready: Vec<&Tracked> = directory.ready(criteria.service).collect();
    let concentration = Concentration::new(&ready, criteria.rule, now);
    let (holders, candidates) = candidates(gateway, endpoints, criteria, peer_state, now);
    let index = placement::choose(&candidates, &criteria.task(holders, peer_state));
    let index = index.ok_or(Unavailable::NoEndpoint)?;
    let endpoint = endpoints[index];
    let id = &endpoint.entry.id;
    let waiting = endpoint.pending + remote_queue(gateway, id, peer_state, now);
    let is_answered = peer_state.waiting.contains_key(id);
    let reported_age = || gateway.load_table.lock().age(id, &gateway.settings.node, now);
    Ok(Choice {
        prompt: criteria.prompt(candidates[index].has_prefix_cached),
        outstanding: endpoint.estimated_requests(now),
        slowdown: endpoint.slowdown.outlook(now),
        queue_delay: queue_delay(&waiting, criteria),
        waiting,
        waiting_age: if is_answered { None } else { reported_age() },
        occupancy: plain::occupancy(endpoint, peer_state, now),
        is_concentrated: concentration.is_some_and(|it| it.contains(endpoint)),
        room,
        endpoint,
    })
}

/// The endpoints whose load is queried from peers before a request is placed, the best first
/// according to the load that this node knows; empty in a small fleet, whose nodes report their
/// load to each other.
pub fn shortlist(gateway: &Gateway, criteria: &Criteria<'_>) -> Vec<endpoint::Id> {
    if !owners::are_used(gateway.n_nodes()) {
        return Vec::new();
    }
    let now = gateway.now();
    let mut directory = gateway.directory.lock();
    let is_plain = criteria.model.is_none();
    if is_plain && !in_flight::is_shared(gateway, &directory, criteria.service) {
        return Vec::new();
    }
    let n = if is_plain { PLAIN_SHORTLIST_LEN } else { SHORTLIST_LEN };
    renew_permits(gateway, &mut directory, criteria.service, now);
    let ready: Vec<&Tracked> = directory.ready(criteria.service).collect();
    let concentration = Concentration::new(&ready, criteria.rule, now);
    let endpoints = eligible(&ready, criteria, concentration.as_ref(), now);
    let peer_state = PeerState::default();
    let (holders, candidates) = candidates(gateway, &endpoints, criteria, &peer_state, now);
    let indices = placement::best(&candidates, &criteria.task(holders, &peer_state), n);
    indices.into_iter().map(|it| endpoints[it].entry.id.clone()).collect()
}

/// The limits of endpoints that match a request but admit none from this node now.
#[derive(Debug, Clone, Copy, Default)]
pub struct Throttled {
    /// The requests per second that all nodes together may send to those endpoints whose rate is
    /// shared.
    pub rate: f64,
    /// When the first pause that one of them requested ends.
    pub resumes_at: Option<Instant>,
}

/// The limits of the endpoints that match a request but admit none from this node now; `None` if no
/// endpoint does.
pub fn throttled(gateway: &Gateway, criteria: &Criteria<'_>) -> Option<Throttled> {
    let now = gateway.now();
    let slow_start_rate = gateway.service(criteria.service, |it| it.slow_start_rate);
    let directory = gateway.directory.lock();
    let ready = directory.ready(criteria.service);
    let blocked = ready.filter(|it| criteria.rule.allows(&it.entry.version) && !it.admits(now));
    blocked.fold(None, |sum, it| {
        let Throttled { rate, resumes_at } = sum.unwrap_or_default();
        let endpoint_rate = it.throttled_rate(slow_start_rate, now).unwrap_or_default();
        let resumes_at = resumes_at.into_iter().chain(it.paused_until(now)).min();
        Some(Throttled { rate: rate + endpoint_rate, resumes_at })
    })
}

fn candidates(
    gateway: &Gateway,
    endpoints: &[&Tracked],
    criteria: &Criteria<'_>,
    peer_state: &PeerState,
    now: Instant,
) -> (CacheHolders, Vec<Candidate>) {
    let own_record = || {
        let prefix_hash = criteria.prefix_hash?;
        Some(gateway.affinity.lock().holders(prefix_hash, now))
    };
    // The nodes of a small fleet report to all others which prefixes they sent to which endpoints.
    let are_holders_known = peer_state.holders.is_some() || !owners::are_used(gateway.n_nodes());
    let holders = if are_holders_known { CacheHolders::Known } else { CacheHolders::Guessed };
    let cached_at = peer_state.holders.clone().or_else(own_record).unwrap_or_default();
    let candidate = |it: &&Tracked| Candidate {
        id_hash: it.id_hash,
        wait: expected_wait(
            it,
            criteria,
            remote_queue(gateway, &it.entry.id, peer_state, now),
            peer_state,
            now,
        ),
        slowdown: it.slowdown.outlook(now),
        failure_rate: it.failures,
        locality: locality(gateway, it),
        has_prefix_cached: cached_at.contains(&it.entry.id),
    };
    (holders, endpoints.iter().map(candidate).collect())
}

/// The prefill time of the work that other nodes have queued at an endpoint.
fn remote_queue(
    gateway: &Gateway,
    id: &endpoint::Id,
    peer_state: &PeerState,
    now: Instant,
) -> Work {
    let reported = peer_state.waiting.get(id).copied();
    reported.unwrap_or_else(|| gateway.load_table.lock().waiting(id, &gateway.settings.node, now))
}

/// The time that the work at the endpoint delays the request, at usual speed.
fn expected_wait(
    endpoint: &Tracked,
    criteria: &Criteria<'_>,
    remote_queue: Work,
    peer_state: &PeerState,
    now: Instant,
) -> Duration {
    let outstanding = endpoint.estimated_requests(now);
    if let Some(model) = criteria.model {
        return queue_delay(&(endpoint.pending + remote_queue), criteria)
            + model.latency.coefficients.delay_per_concurrent_request() * outstanding;
    }
    if !peer_state.in_flight.counts.is_empty() {
        return plain::occupancy(endpoint, peer_state, now).expected_wait(endpoint.entry.slots);
    }
    // One millisecond per outstanding request prefers the less loaded of endpoints with free slots.
    let slots = endpoint.entry.slots.max(1);
    let waiting = (outstanding + 1).saturating_sub(slots);
    DEFAULT_PROCESSING_TIME * waiting / slots + Duration::from_millis(1) * outstanding
}

/// The time that queued work delays the request, at usual speed.
fn queue_delay(waiting: &Work, criteria: &Criteria<'_>) -> Duration {
    if let Some(priority) = criteria.priority {
        return waiting.wait(priority);
    }
    let is_small_model = criteria
        .model
        .is_some_and(|it| it.relative_price < cascade::LARGE_MODEL_MIN_RELATIVE_PRICE);
    waiting.wait_ignoring_priorities(is_small_model)
}

fn locality(gateway: &Gateway, endpoint: &Tracked) -> Locality {
    if endpoint.entry.domain == gateway.settings.domain {
        Locality::SameDomain
    } else {
        Locality::DifferentDomain
    }
}

/// The hash of the model and of the shared prompt prefix, which determines the preferred endpoint.
pub fn prefix_hash(prompt_prefix_hash: Option<u64>, model: &str) -> Option<u64> {
    prompt_prefix_hash.map(|it| hash::pair(it, hash::bytes(model.as_bytes())))
}
