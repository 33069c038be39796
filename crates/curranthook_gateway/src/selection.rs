//! The endpoints that may take a request, and what each offers it as far as the node knows.

use std::{
    cell::LazyCell,
    time::{Duration, Instant},
};

use curranthook_policy::hash;
use curranthook_types::endpoint;

use crate::{
    Gateway, cascade,
    directory::{Directory, Permits, Tracked},
    latency::Estimate,
    load_owners,
    load_reports::PeerState,
    permit,
    placement::{self, CacheHolders, Candidate, Locality, Task},
    prefill::Prompt,
    rate_limit,
    rollouts::Rule,
    slow_start,
};

/// How long a plain service works on a request, about.
const PLAIN_SERVICE_TIME: Duration = Duration::from_millis(50);

/// Of how many endpoints other nodes are asked before a request is placed. Each costs two datagrams.
const SHORTLIST_LEN: usize = 4;

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// The service.
    pub service: &'a str,
    /// The versions that may take it.
    pub rule: &'a Rule,
    /// Endpoints that were tried before.
    pub tried: &'a [endpoint::Id],
    /// The hash of the model and of the parts that it shares with others.
    pub prefix_hash: Option<u64>,
    /// The tokens of those parts.
    pub prefix_tokens: u64,
    /// The tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// The model; none for plain services.
    pub model: Option<TargetModel>,
    /// A number that differs between requests.
    pub salt: u64,
}

/// A model that is wanted.
#[derive(Debug, Clone, Copy)]
pub struct TargetModel {
    /// Its price against the dearest one's.
    pub relative_price: f64,
    /// How fast it has been.
    pub latency: Estimate,
}

impl Criteria<'_> {
    /// The prompt as an engine reads it that keeps the shared parts, or doesn't.
    fn prompt(&self, has_prefix_cached: bool) -> Prompt {
        Prompt::new(self.prompt_tokens, if has_prefix_cached { self.prefix_tokens } else { 0 })
    }

    fn prefill(&self, has_prefix_cached: bool) -> Duration {
        let prompt = self.prompt(has_prefix_cached);
        self.model.map_or(Duration::ZERO, |it| it.latency.coefficients.prefill_time(prompt))
    }

    fn task(&self, holders: CacheHolders) -> Task {
        let prefix_prefill = self.prefill(false).saturating_sub(self.prefill(true));
        Task { prefix_hash: self.prefix_hash, prefix_prefill, holders, salt: self.salt }
    }
}

/// An endpoint and how a request would fare there.
#[derive(Debug)]
pub struct Choice<'a> {
    /// The endpoint.
    pub endpoint: &'a Tracked,
    /// The prompt as it would read it.
    pub prompt: Prompt,
    /// How busy it seems.
    pub outstanding: u32,
    /// The work that waits there before the request.
    pub queue_delay: Duration,
}

impl Choice<'_> {
    /// When the first event of a model of `pace` is likely to come.
    pub fn first_event(&self, latency: &Estimate) -> Duration {
        latency.first_event(self.prompt, self.outstanding, self.queue_delay)
    }
}

/// The best endpoint for a request, if there is one. `heard` is what other nodes have waiting at some
/// endpoints; if it says anything, those are the ones to choose from.
pub fn best<'a>(
    gateway: &Gateway,
    directory: &'a Directory,
    criteria: &Criteria<'_>,
    peer_reports: &PeerState,
) -> Option<Choice<'a>> {
    let now = gateway.now();
    let all: Vec<&Tracked> = directory.ready(criteria.service).collect();
    let mut list = eligible(&all, criteria, now);
    if list.iter().any(|it| peer_reports.waiting.contains_key(&it.entry.id)) {
        // Of the others nobody knows how busy they are; they'd seem idle.
        list.retain(|it| peer_reports.waiting.contains_key(&it.entry.id));
    }
    let (holders, candidates) = candidates(gateway, &list, criteria, peer_reports, now);
    let index = placement::choose(&candidates, &criteria.task(holders))?;
    let endpoint = list[index];
    Some(Choice {
        prompt: criteria.prompt(candidates[index].has_prefix_cached),
        outstanding: endpoint.estimated_requests(now),
        queue_delay: queue_delay(
            endpoint,
            criteria,
            remote_queue(gateway, &endpoint.entry.id, peer_reports, now),
        ),
        endpoint,
    })
}

/// The endpoints of which other nodes are asked before a request is placed, the best first by what
/// this node knows; none in a small fleet, whose nodes tell each other.
pub fn shortlist(gateway: &Gateway, criteria: &Criteria<'_>) -> Vec<endpoint::Id> {
    if criteria.model.is_none() || !load_owners::are_used(gateway.n_nodes()) {
        return Vec::new();
    }
    let now = gateway.now();
    let mut directory = gateway.directory.lock();
    renew_permits(gateway, &mut directory, criteria.service, now);
    let all: Vec<&Tracked> = directory.ready(criteria.service).collect();
    let list = eligible(&all, criteria, now);
    let (holders, candidates) = candidates(gateway, &list, criteria, &PeerState::default(), now);
    let best = placement::best(&candidates, &criteria.task(holders), SHORTLIST_LEN);
    best.into_iter().map(|it| list[it].entry.id.clone()).collect()
}

/// What the endpoints take that could take a request, but not one of this node now.
#[derive(Debug, Clone, Copy, Default)]
pub struct Throttled {
    /// The requests a second that all nodes together may send to those whose rate is shared.
    pub rate: f64,
    /// When the first pause ends that one of them named.
    pub resumes_at: Option<Instant>,
}

/// The endpoints that could take a request but take none of this node now; none if there are none.
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

/// Works out what this node may send to the endpoints of `service` whose rate all nodes share.
pub fn renew_permits(gateway: &Gateway, directory: &mut Directory, service: &str, now: Instant) {
    let node_hashes = LazyCell::new(|| {
        let peers = gateway.peers.lock();
        peers.keys().map(|it| hash::bytes(it.as_bytes())).collect::<Vec<_>>()
    });
    let permits = FleetPermits {
        slow_start_rate: gateway.service(service, |it| it.slow_start_rate),
        rotation: rate_limit::rotation(gateway.store_time().unwrap_or_default()),
        node_hash: hash::bytes(gateway.settings.node.as_bytes()),
        node_hashes,
    };
    directory.renew_permits(service, &permits, now);
}

/// What the nodes of the fleet may send.
struct FleetPermits<F> {
    slow_start_rate: Option<f64>,
    rotation: u64,
    /// The hash of this node's name.
    node_hash: u64,
    /// Those of all nodes' names.
    node_hashes: LazyCell<Vec<u64>, F>,
}

impl<F: FnOnce() -> Vec<u64>> Permits for FleetPermits<F> {
    fn slow_start(&self, endpoint: u64) -> Option<Duration> {
        match self.slow_start_rate {
            Some(rate) => permit::interval(
                slow_start::granted(rate),
                endpoint,
                self.node_hash,
                &self.node_hashes,
            ),
            None => Some(Duration::ZERO),
        }
    }

    fn rate_limited(&self, endpoint: u64, rate: f64) -> Option<Duration> {
        rate_limit::interval(rate, endpoint, self.rotation, self.node_hash, &self.node_hashes)
    }

    fn rotation(&self) -> u64 {
        self.rotation
    }
}

fn candidates(
    gateway: &Gateway,
    list: &[&Tracked],
    criteria: &Criteria<'_>,
    peer_reports: &PeerState,
    now: Instant,
) -> (CacheHolders, Vec<Candidate>) {
    let own_record = || {
        let prefix_hash = criteria.prefix_hash?;
        Some(gateway.affinity.lock().holders(prefix_hash, now))
    };
    // The nodes of a small fleet tell all others what they sent to be read.
    let is_known = peer_reports.holders.is_some() || !load_owners::are_used(gateway.n_nodes());
    let holders = if is_known { CacheHolders::Known } else { CacheHolders::Guessed };
    let cached_at = peer_reports.holders.clone().or_else(own_record).unwrap_or_default();
    let candidate = |it: &&Tracked| Candidate {
        id_hash: it.id_hash,
        wait: expected_wait(
            it,
            criteria,
            remote_queue(gateway, &it.entry.id, peer_reports, now),
            now,
        ),
        failure_rate: it.failures,
        locality: locality(gateway, it),
        has_prefix_cached: cached_at.contains(&it.entry.id),
    };
    (holders, list.iter().map(candidate).collect())
}

/// The work that other nodes have waiting at an endpoint.
fn remote_queue(
    gateway: &Gateway,
    id: &endpoint::Id,
    peer_reports: &PeerState,
    now: Instant,
) -> Duration {
    let peer_reports = peer_reports.waiting.get(id).copied();
    peer_reports
        .unwrap_or_else(|| gateway.load_table.lock().waiting(id, &gateway.settings.node, now))
}

/// The endpoints to choose from, of those that take a request now. Whoever was tried, is left alone or runs
/// a version that the request shouldn't go to is taken only if there is nobody else.
fn eligible<'a>(all: &[&'a Tracked], criteria: &Criteria<'_>, now: Instant) -> Vec<&'a Tracked> {
    let is_allowed = |it: &Tracked| criteria.rule.allows(&it.entry.version);
    let is_untried = |it: &Tracked| !criteria.tried.contains(&it.entry.id);
    let select = |keep: &dyn Fn(&Tracked) -> bool| -> Vec<&'a Tracked> {
        all.iter().copied().filter(|it| it.admits(now) && keep(it)).collect()
    };
    // A version whose order may still be on its way waits, unless there is an order that decides.
    let is_known = |it: &Tracked| *criteria.rule != Rule::Any || it.is_established_version(now);
    // A version whose endpoints take no more for now isn't gone: no other takes its place.
    let is_throttled = |it: &Tracked| !it.admits(now) && is_allowed(it) && is_known(it);
    let has_throttled = all.iter().any(|it| is_throttled(it));
    let is_usable = |it: &Tracked| is_allowed(it) && (is_known(it) || !has_throttled);
    let preferences: [&dyn Fn(&Tracked) -> bool; 4] = [
        &|it| is_allowed(it) && is_known(it) && is_untried(it) && !it.is_ejected(now),
        &|it| is_usable(it) && is_untried(it) && !it.is_ejected(now),
        &|it| is_usable(it) && is_untried(it),
        &|it| is_usable(it),
    ];
    for keep in preferences {
        let list = select(keep);
        if !list.is_empty() {
            return list;
        }
    }
    // Nobody runs a version that the rule allows: what the others run is better than nothing,
    // once the roll-out has begun to move requests to it or away from it.
    match criteria.rule {
        Rule::Only(_) => select(&|it| is_untried(it)),
        // No other version is left, so the roll-out is over, whatever this node has heard of it.
        Rule::Not(_) if !has_throttled => select(&|it| is_untried(it) && !it.is_ejected(now)),
        Rule::Not(_) | Rule::Any => Vec::new(),
    }
}

fn expected_wait(
    it: &Tracked,
    criteria: &Criteria<'_>,
    remote_queue: Duration,
    now: Instant,
) -> Duration {
    let outstanding = it.estimated_requests(now);
    if let Some(model) = criteria.model {
        return queue_delay(it, criteria, remote_queue)
            + model.latency.coefficients.delay_per_running() * outstanding;
    }
    let slots = it.entry.slots.max(1);
    let waiting = (outstanding + 1).saturating_sub(slots);
    PLAIN_SERVICE_TIME * waiting / slots + Duration::from_millis(1) * outstanding
}

/// The work that keeps a request waiting.
fn queue_delay(it: &Tracked, criteria: &Criteria<'_>, remote_queue: Duration) -> Duration {
    let waiting = it.pending + remote_queue;
    // Small models go first at an engine and wait for what is being read just then only.
    let is_small_model =
        criteria.model.is_some_and(|it| it.relative_price < cascade::LARGE_MODEL_MIN_PRICE);
    if is_small_model { waiting / 8 } else { waiting }
}

fn locality(gateway: &Gateway, it: &Tracked) -> Locality {
    if it.entry.domain == gateway.settings.domain {
        Locality::SameDomain
    } else {
        Locality::DifferentDomain
    }
}

/// The hash that places a request: of the model and of the parts that it shares.
pub fn prefix_hash(parts: Option<u64>, model: &str) -> Option<u64> {
    parts.map(|it| hash::pair(it, hash::bytes(model.as_bytes())))
}
