//! Load balancing: which endpoint runs a request.

use std::{
    cmp::Reverse,
    collections::HashMap,
    time::{Duration, Instant},
};

use curranthook_types::domain;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{endpoint::state::State, hash};

mod ejection;
mod first_byte;
mod state;
mod window;

pub use curranthook_types::endpoint::Id;

/// The maximum number of endpoints of a version that a node uses. With ten thousand endpoints and
/// many nodes, each node uses its own subset: a node learns load and latency from its own answers,
/// which would be too few for each of ten thousand endpoints.
pub const MAX_SUBSET: usize = 64;

/// Bounded-load factor of prefix affinity: an endpoint serves the prompts assigned to it until its
/// load exceeds the mean by this factor.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// An endpoint that may be selected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The endpoint.
    pub id: Id,
    /// Its failure domain.
    pub domain: domain::Id,
    /// How many requests it runs concurrently.
    pub slots: usize,
}

/// The selected endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Selection {
    /// The endpoint.
    pub id: Id,
    /// Why it was selected.
    pub reason: Reason,
}

/// Why an endpoint was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It is the endpoint that requests with the same prompt prefix are sent to, so its cache
    /// probably has that prefix.
    Affinity,
    /// It has the better score of two endpoints drawn at random, or is the only one that is neither
    /// ejected nor at its concurrency limit.
    PowerOfTwo,
    /// It was ejected, and this request probes whether it has recovered.
    Probe,
    /// It is the only endpoint that is neither leaving nor excluded by the caller.
    OnlyOne,
    /// A baseline balancer selected it by its fixed rule.
    Fixed,
}

impl Reason {
    /// A stable name, for use in counter names.
    ///
    /// ```
    /// # use curranthook_policy::endpoint::Reason;
    /// assert_eq!(Reason::PowerOfTwo.name(), "power_of_two");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Affinity => "affinity",
            Self::PowerOfTwo => "power_of_two",
            Self::Probe => "probe",
            Self::OnlyOne => "only_one",
            Self::Fixed => "fixed",
        }
    }
}

/// Why no endpoint was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Unavailable {
    /// The pool has no endpoints.
    Empty,
    /// All endpoints are leaving, or the request has already tried them.
    AllExcluded,
    /// All remaining endpoints are at their concurrency limit, or are ejected and already being
    /// probed.
    AllBusy,
}

impl Unavailable {
    /// A stable name, for use in counter names.
    ///
    /// ```
    /// # use curranthook_policy::endpoint::Unavailable;
    /// assert_eq!(Unavailable::AllBusy.name(), "all_busy");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::AllExcluded => "all_excluded",
            Self::AllBusy => "all_busy",
        }
    }
}

/// How a request at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered.
    Answered {
        /// The time to the first byte.
        first_byte: Duration,
    },
    /// The endpoint answered, and the time to the first byte was reported before by
    /// [`Pool::answer_started`].
    Completed,
    /// The attempt was abandoned before its first byte, because a hedged attempt beside it answered
    /// sooner.
    HedgeLost {
        /// How long the attempt waited.
        waited: Duration,
    },
    /// A server error, a broken connection or a timeout.
    Failed,
    /// The endpoint refused the request as it was full, and did not start it.
    Refused,
    /// No connection could be established.
    Unreachable,
    /// The caller or the router gave up; this says nothing about the endpoint.
    Cancelled,
}

/// The endpoints of one version, or of a service that is not a model, with their load and health.
///
/// ```
/// # use std::time::{Duration, Instant};
/// # use curranthook_policy::endpoint::{Member, Outcome, Pool, Reason};
/// let now = Instant::now();
/// let mut pool = Pool::new("zone-a".into(), 1);
/// pool.set_members([Member { id: "engine-1".into(), domain: "zone-a".into(), slots: 16 }]);
/// let selection = pool.select(None, &[], now).unwrap();
/// assert_eq!(selection.reason, Reason::OnlyOne);
/// pool.started(&selection.id, now);
/// let first_byte = Duration::from_millis(80);
/// pool.finished(&selection.id, Outcome::Answered { first_byte }, now);
/// ```
#[derive(Debug)]
pub struct Pool {
    local_domain: domain::Id,
    seed: u64,
    rng: Pcg64Mcg,
    endpoints: Vec<State>,
    indices: HashMap<Id, usize>,
    /// Indices of the endpoints that may be selected now; a field only to avoid an allocation per
    /// selection.
    eligible: Vec<usize>,
}

impl Pool {
    /// Creates an empty pool for a node in the failure domain `local_domain`. The seed should
    /// differ between nodes: it also determines the node's subset.
    pub fn new(local_domain: domain::Id, seed: u64) -> Self {
        Self {
            local_domain,
            seed,
            rng: Pcg64Mcg::seed_from_u64(seed),
            endpoints: Vec::new(),
            indices: HashMap::new(),
            eligible: Vec::new(),
        }
    }

    /// Replaces the list of endpoints. Endpoints that remain retain their state.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Member>) {
        let mut previous: HashMap<Id, State> =
            self.endpoints.drain(..).map(|it| (it.member.id.clone(), it)).collect();
        let chosen = subset(members, self.seed);
        self.endpoints.extend(chosen.into_iter().map(|member| match previous.remove(&member.id) {
            Some(endpoint) => endpoint.with_member(member),
            None => State::new(member),
        }));
        ejection::enforce_floor(&mut self.endpoints);
        let indices = self.endpoints.iter().enumerate();
        self.indices = indices.map(|(index, it)| (it.member.id.clone(), index)).collect();
    }

    /// The number of endpoints that this node uses.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether this node uses no endpoint.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Selects an endpoint. Requests with the same `affinity`, a hash of the start of the prompt, go
    /// to the same endpoint where possible, so that it can use its prefix cache. `exclude` lists the
    /// endpoints that the request has already tried.
    pub fn select(
        &mut self,
        affinity: Option<u64>,
        exclude: &[Id],
        now: Instant,
    ) -> Result<Selection, Unavailable> {
        if self.endpoints.is_empty() {
            return Err(Unavailable::Empty);
        }
        let is_candidate = |it: &State| !it.is_leaving && !exclude.contains(&it.member.id);
        let n_candidates = self.endpoints.iter().filter(|it| is_candidate(it)).count();
        if n_candidates == 0 {
            return Err(Unavailable::AllExcluded);
        }
        if let Some(index) =
            self.endpoints.iter().position(|it| is_candidate(it) && it.is_probe_due(now))
        {
            return Ok(self.selection_of(index, Reason::Probe));
        }

        self.eligible.clear();
        for (index, it) in self.endpoints.iter().enumerate() {
            if is_candidate(it) && !it.is_ejected() && it.has_capacity() {
                self.eligible.push(index);
            }
        }
        let Some(first) = self.eligible.first().copied() else {
            return self.select_ejected(exclude);
        };
        if self.eligible.len() == 1 {
            let reason = if n_candidates == 1 { Reason::OnlyOne } else { Reason::PowerOfTwo };
            return Ok(self.selection_of(first, reason));
        }
        if let Some(index) = affinity.and_then(|key| self.affinity_endpoint(key, now)) {
            return Ok(self.selection_of(index, Reason::Affinity));
        }
        let index = self.better_of_two(now);
        Ok(self.selection_of(index, Reason::PowerOfTwo))
    }

    /// Records that a request was sent to an endpoint.
    pub fn started(&mut self, id: &Id, now: Instant) {
        if let Some(it) = self.endpoint_mut(id) {
            it.start(now);
        }
    }

    /// Records the first byte of an answer. Reporting it before the answer ends detects a slow
    /// endpoint before the first of its slow answers is complete.
    pub fn answer_started(&mut self, id: &Id, first_byte: Duration, now: Instant) {
        let Some(index) = self.indices.get(id).copied() else {
            return;
        };
        self.endpoints[index].record_first_byte(first_byte);
        ejection::update_ejection(&mut self.endpoints, index, now);
    }

    /// Records that a request at an endpoint ended. Each `started` is followed by exactly one
    /// `finished`.
    pub fn finished(&mut self, id: &Id, outcome: Outcome, now: Instant) {
        let Some(index) = self.indices.get(id).copied() else {
            return;
        };
        self.endpoints[index].finish(outcome, now);
        if outcome == Outcome::Completed {
            // `answer_started` has already updated the ejection state for this answer.
            return;
        }
        ejection::update_ejection(&mut self.endpoints, index, now);
    }

    /// Records the load reported by an endpoint: all requests it holds, from any node.
    pub fn report_load(&mut self, id: &Id, load: u64, now: Instant) {
        if let Some(it) = self.endpoint_mut(id) {
            it.report_load(load, now);
        }
    }

    /// Marks an endpoint as leaving: it gets no new requests.
    pub fn set_leaving(&mut self, id: &Id) {
        if let Some(it) = self.endpoint_mut(id) {
            it.is_leaving = true;
            ejection::enforce_floor(&mut self.endpoints);
        }
    }

    /// Clears the leaving mark, after the endpoint itself reported that it is no longer leaving.
    pub fn clear_leaving(&mut self, id: &Id) {
        if let Some(it) = self.endpoint_mut(id) {
            it.is_leaving = false;
        }
    }

    /// How long to wait for an endpoint's first byte before trying another connection or endpoint:
    /// well above its recent times.
    pub fn first_byte_timeout(&self, id: &Id) -> Duration {
        let measured =
            self.indices.get(id).and_then(|index| self.endpoints[*index].first_byte.timeout());
        measured.unwrap_or(first_byte::DEFAULT_TIMEOUT)
    }

    /// The number of endpoints ejected for being slow or failing.
    pub fn n_ejected(&self) -> usize {
        self.endpoints.iter().filter(|it| it.is_ejected()).count()
    }

    /// The number of this node's own requests in flight at an endpoint.
    pub fn in_flight(&self, id: &Id) -> usize {
        self.indices.get(id).map_or(0, |index| self.endpoints[*index].in_flight)
    }

    fn endpoint_mut(&mut self, id: &Id) -> Option<&mut State> {
        let index = *self.indices.get(id)?;
        Some(&mut self.endpoints[index])
    }

    fn selection_of(&self, index: usize, reason: Reason) -> Selection {
        Selection { id: self.endpoints[index].member.id.clone(), reason }
    }

    /// Selects an ejected endpoint if every healthy one is excluded, which is better than none.
    fn select_ejected(&self, exclude: &[Id]) -> Result<Selection, Unavailable> {
        let mut candidates =
            self.endpoints.iter().filter(|it| !it.is_leaving && !exclude.contains(&it.member.id));
        if candidates.clone().any(|it| !it.is_ejected()) {
            return Err(Unavailable::AllBusy);
        }
        let idle = candidates.find(|it| it.in_flight == 0);
        idle.map(|it| Selection { id: it.member.id.clone(), reason: Reason::Probe })
            .ok_or(Unavailable::AllBusy)
    }

    /// The endpoint that the key maps to by rendezvous hashing, unless its load exceeds the bound.
    /// Then the request is balanced by load: recomputing a prompt costs less than waiting behind an
    /// overloaded endpoint.
    fn affinity_endpoint(&self, key: u64, now: Instant) -> Option<usize> {
        let weight = |index: &usize| hash::pair(self.endpoints[*index].hash, key);
        let index = *self.eligible.iter().max_by_key(|it| weight(it))?;
        let utilisation = |index: usize| {
            let it = &self.endpoints[index];
            (it.load(now) + 1.0) / it.slots()
        };
        let total: f64 = self.eligible.iter().map(|it| utilisation(*it)).sum();
        let mean = total / self.eligible.len() as f64;
        // The bound always allows one request more than the mean. Otherwise, in a nearly idle pool,
        // a single request would exceed the bound, and prompts would be sent to endpoints that have
        // not cached them.
        let bound = (mean * AFFINITY_LOAD_FACTOR).max(mean + 1.0 / self.endpoints[index].slots());
        (utilisation(index) <= bound).then_some(index)
    }

    fn better_of_two(&mut self, now: Instant) -> usize {
        let n = self.eligible.len();
        let left = self.rng.random_range(0..n);
        let right = (left + self.rng.random_range(1..n)) % n;
        let (left, right) = (self.eligible[left], self.eligible[right]);
        let score = |index: usize| self.endpoints[index].score(&self.local_domain, now);
        if score(right) < score(left) { right } else { left }
    }
}

/// The subset of endpoints used by this node: those whose hash with the node's seed is highest
/// (rendezvous hashing), so a change to the list changes as few endpoints of the subset as
/// possible.
fn subset(members: impl IntoIterator<Item = Member>, seed: u64) -> Vec<Member> {
    let mut members: Vec<Member> = members.into_iter().collect();
    if MAX_SUBSET < members.len() {
        let weight = |it: &Member| hash::pair(hash::bytes(it.id.as_str().as_bytes()), seed);
        members.sort_by_cached_key(|it| Reverse(weight(it)));
        members.truncate(MAX_SUBSET);
    }
    members.sort_by(|a, b| a.id.cmp(&b.id));
    members.dedup_by(|a, b| a.id == b.id);
    members
}
