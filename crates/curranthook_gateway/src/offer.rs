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
    load_owners,
    load_reports::PeerState,
    pace::Pace,
    permit,
    place::{self, Candidate, Distance, Holders, Work},
    prefill::Prompt,
    rate_limit,
    rollouts::Rule,
    slow_start,
};

/// How long a plain service works on a request, about.
const PLAIN_WORK: Duration = Duration::from_millis(50);

/// Of how many endpoints other nodes are asked before a request is placed. Each costs two datagrams.
const SHORTLIST: usize = 4;

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a str,
    /// The versions that may take it.
    pub rule: &'a Rule,
    /// Endpoints that were tried before.
    pub tried: &'a [endpoint::Id],
    /// The hash of the model and of the parts that it shares with others.
    pub subject: Option<u64>,
    /// The tokens of those parts.
    pub shared_tokens: u64,
    /// The tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// The model; none for plain services.
    pub model: Option<Wants>,
    /// A number that differs between requests.
    pub salt: u64,
}

/// A model that is wanted.
#[derive(Debug, Clone, Copy)]
pub struct Wants {
    /// Its price against the dearest one's.
    pub weight: f64,
    /// How fast it has been.
    pub pace: Pace,
}

impl Wanted<'_> {
    /// The prompt as an engine reads it that keeps the shared parts, or doesn't.
    fn prompt(&self, holds_parts: bool) -> Prompt {
        Prompt::new(self.prompt_tokens, if holds_parts { self.shared_tokens } else { 0 })
    }

    fn prefill(&self, holds_parts: bool) -> Duration {
        let prompt = self.prompt(holds_parts);
        self.model.map_or(Duration::ZERO, |it| it.pace.speed.prefill(prompt))
    }

    fn work(&self, holders: Holders) -> Work {
        let shared = self.prefill(false).saturating_sub(self.prefill(true));
        Work { subject: self.subject, shared, holders, salt: self.salt }
    }
}

/// An endpoint and how a request would fare there.
#[derive(Debug)]
pub struct Offer<'a> {
    /// The endpoint.
    pub endpoint: &'a Tracked,
    /// The prompt as it would read it.
    pub prompt: Prompt,
    /// How busy it seems.
    pub busy: u32,
    /// The work that waits there before the request.
    pub waited: Duration,
}

impl Offer<'_> {
    /// When the first event of a model of `pace` is likely to come.
    pub fn first_event(&self, pace: &Pace) -> Duration {
        pace.first(self.prompt, self.busy, self.waited)
    }
}

/// The best endpoint for a request, if there is one. `heard` is what other nodes have waiting at some
/// endpoints; if it says anything, those are the ones to choose from.
pub fn best<'a>(
    gateway: &Gateway,
    directory: &'a Directory,
    wanted: &Wanted<'_>,
    heard: &PeerState,
) -> Option<Offer<'a>> {
    let now = gateway.now();
    let all: Vec<&Tracked> = directory.ready(wanted.service).collect();
    let mut list = eligible(&all, wanted, now);
    if list.iter().any(|it| heard.waiting.contains_key(&it.entry.id)) {
        // Of the others nobody knows how busy they are; they'd seem idle.
        list.retain(|it| heard.waiting.contains_key(&it.entry.id));
    }
    let (holders, candidates) = candidates(gateway, &list, wanted, heard, now);
    let index = place::choose(&candidates, &wanted.work(holders))?;
    let endpoint = list[index];
    Some(Offer {
        prompt: wanted.prompt(candidates[index].holds_parts),
        busy: endpoint.estimated_requests(now),
        waited: waiting(endpoint, wanted, of_others(gateway, &endpoint.entry.id, heard, now)),
        endpoint,
    })
}

/// The endpoints of which other nodes are asked before a request is placed, the best first by what
/// this node knows; none in a small fleet, whose nodes tell each other.
pub fn shortlist(gateway: &Gateway, wanted: &Wanted<'_>) -> Vec<endpoint::Id> {
    if wanted.model.is_none() || !load_owners::are_used(gateway.n_nodes()) {
        return Vec::new();
    }
    let now = gateway.now();
    let mut directory = gateway.directory.lock();
    renew_permits(gateway, &mut directory, wanted.service, now);
    let all: Vec<&Tracked> = directory.ready(wanted.service).collect();
    let list = eligible(&all, wanted, now);
    let (holders, candidates) = candidates(gateway, &list, wanted, &PeerState::default(), now);
    let best = place::best(&candidates, &wanted.work(holders), SHORTLIST);
    best.into_iter().map(|it| list[it].entry.id.clone()).collect()
}

/// What the endpoints take that could take a request, but not one of this node now.
#[derive(Debug, Clone, Copy, Default)]
pub struct Throttled {
    /// The requests a second that all nodes together may send to those whose rate is shared.
    pub rate: f64,
    /// When the first pause ends that one of them named.
    pub resumes: Option<Instant>,
}

/// The endpoints that could take a request but take none of this node now; none if there are none.
pub fn throttled(gateway: &Gateway, wanted: &Wanted<'_>) -> Option<Throttled> {
    let now = gateway.now();
    let slow_start_rate = gateway.service(wanted.service, |it| it.slow_start_rate);
    let directory = gateway.directory.lock();
    let ready = directory.ready(wanted.service);
    let held_back = ready.filter(|it| wanted.rule.allows(&it.entry.version) && !it.admits(now));
    held_back.fold(None, |sum, it| {
        let Throttled { rate, resumes } = sum.unwrap_or_default();
        let own = it.throttled_rate(slow_start_rate, now).unwrap_or_default();
        let resumes = resumes.into_iter().chain(it.paused_until(now)).min();
        Some(Throttled { rate: rate + own, resumes })
    })
}

/// Works out what this node may send to the endpoints of `service` whose rate all nodes share.
pub fn renew_permits(gateway: &Gateway, directory: &mut Directory, service: &str, now: Instant) {
    let nodes = LazyCell::new(|| {
        let peers = gateway.peers.lock();
        peers.keys().map(|it| hash::bytes(it.as_bytes())).collect::<Vec<_>>()
    });
    let shared = Shared {
        slow_start_rate: gateway.service(service, |it| it.slow_start_rate),
        rotation: rate_limit::rotation(gateway.store_time().unwrap_or_default()),
        own: hash::bytes(gateway.settings.node.as_bytes()),
        nodes,
    };
    directory.renew_permits(service, &shared, now);
}

/// What the nodes of the fleet may send.
struct Shared<F> {
    slow_start_rate: Option<f64>,
    rotation: u64,
    /// The hash of this node's name.
    own: u64,
    /// Those of all nodes' names.
    nodes: LazyCell<Vec<u64>, F>,
}

impl<F: FnOnce() -> Vec<u64>> Permits for Shared<F> {
    fn slow_start(&self, endpoint: u64) -> Option<Duration> {
        match self.slow_start_rate {
            Some(rate) => {
                permit::interval(slow_start::granted(rate), endpoint, self.own, &self.nodes)
            }
            None => Some(Duration::ZERO),
        }
    }

    fn rate_limited(&self, endpoint: u64, rate: f64) -> Option<Duration> {
        rate_limit::interval(rate, endpoint, self.rotation, self.own, &self.nodes)
    }

    fn rotation(&self) -> u64 {
        self.rotation
    }
}

fn candidates(
    gateway: &Gateway,
    list: &[&Tracked],
    wanted: &Wanted<'_>,
    heard: &PeerState,
    now: Instant,
) -> (Holders, Vec<Candidate>) {
    let own = || {
        let subject = wanted.subject?;
        Some(gateway.affinity.lock().holders(subject, now))
    };
    // The nodes of a small fleet tell all others what they sent to be read.
    let is_known = heard.holders.is_some() || !load_owners::are_used(gateway.n_nodes());
    let holders = if is_known { Holders::Known } else { Holders::Guessed };
    let holding = heard.holders.clone().or_else(own).unwrap_or_default();
    let candidate = |it: &&Tracked| Candidate {
        seed: it.id_hash,
        wait: wait(it, wanted, of_others(gateway, &it.entry.id, heard, now), now),
        failures: it.failures,
        distance: distance(gateway, it),
        holds_parts: holding.contains(&it.entry.id),
    };
    (holders, list.iter().map(candidate).collect())
}

/// The work that other nodes have waiting at an endpoint.
fn of_others(gateway: &Gateway, id: &endpoint::Id, heard: &PeerState, now: Instant) -> Duration {
    let heard = heard.waiting.get(id).copied();
    heard.unwrap_or_else(|| gateway.load_table.lock().waiting(id, &gateway.settings.node, now))
}

/// The endpoints to choose from, of those that take a request now. Whoever was tried, is left alone or runs
/// a version that the request shouldn't go to is taken only if there is nobody else.
fn eligible<'a>(all: &[&'a Tracked], wanted: &Wanted<'_>, now: Instant) -> Vec<&'a Tracked> {
    let is_allowed = |it: &Tracked| wanted.rule.allows(&it.entry.version);
    let is_new = |it: &Tracked| !wanted.tried.contains(&it.entry.id);
    let select = |keep: &dyn Fn(&Tracked) -> bool| -> Vec<&'a Tracked> {
        all.iter().copied().filter(|it| it.admits(now) && keep(it)).collect()
    };
    // A version whose order may still be on its way waits, unless there is an order that decides.
    let is_known = |it: &Tracked| *wanted.rule != Rule::Any || it.is_established_version(now);
    // A version whose endpoints take no more for now isn't gone: no other takes its place.
    let is_throttled = |it: &Tracked| !it.admits(now) && is_allowed(it) && is_known(it);
    let has_throttled = all.iter().any(|it| is_throttled(it));
    let is_usable = |it: &Tracked| is_allowed(it) && (is_known(it) || !has_throttled);
    let in_order: [&dyn Fn(&Tracked) -> bool; 4] = [
        &|it| is_allowed(it) && is_known(it) && is_new(it) && !it.is_ejected(now),
        &|it| is_usable(it) && is_new(it) && !it.is_ejected(now),
        &|it| is_usable(it) && is_new(it),
        &|it| is_usable(it),
    ];
    for keep in in_order {
        let list = select(keep);
        if !list.is_empty() {
            return list;
        }
    }
    // Nobody runs a version that the rule allows: what the others run is better than nothing,
    // once the roll-out has begun to move requests to it or away from it.
    match wanted.rule {
        Rule::Only(_) => select(&|it| is_new(it)),
        // No other version is left, so the roll-out is over, whatever this node has heard of it.
        Rule::Not(_) if !has_throttled => select(&|it| is_new(it) && !it.is_ejected(now)),
        Rule::Not(_) | Rule::Any => Vec::new(),
    }
}

fn wait(it: &Tracked, wanted: &Wanted<'_>, of_others: Duration, now: Instant) -> Duration {
    let busy = it.estimated_requests(now);
    if let Some(model) = wanted.model {
        return waiting(it, wanted, of_others) + model.pace.speed.per_running() * busy;
    }
    let slots = it.entry.slots.max(1);
    let waiting = (busy + 1).saturating_sub(slots);
    PLAIN_WORK * waiting / slots + Duration::from_millis(1) * busy
}

/// The work that keeps a request waiting.
fn waiting(it: &Tracked, wanted: &Wanted<'_>, of_others: Duration) -> Duration {
    let waiting = it.pending + of_others;
    // Small models go first at an engine and wait for what is being read just then only.
    let is_small = wanted.model.is_some_and(|it| it.weight < cascade::LARGE_WEIGHT);
    if is_small { waiting / 8 } else { waiting }
}

fn distance(gateway: &Gateway, it: &Tracked) -> Distance {
    if it.entry.domain == gateway.settings.domain { Distance::Near } else { Distance::Far }
}

/// The hash that places a request: of the model and of the parts that it shares.
pub fn subject(parts: Option<u64>, model: &str) -> Option<u64> {
    parts.map(|it| hash::pair(it, hash::bytes(model.as_bytes())))
}
