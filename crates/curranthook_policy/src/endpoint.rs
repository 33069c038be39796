//! Which endpoint runs a request.

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

/// How many endpoints a node knows of a version at most. With ten thousand endpoints and many
/// nodes, each node keeps its own part: load is learned from one's own answers, which would be
/// too few for each of ten thousand.
pub const MAX_SUBSET: usize = 64;

/// An endpoint keeps its prompts until its load is above the mean by this factor.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// An endpoint that may be picked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The endpoint.
    pub id: Id,
    /// Where it stands.
    pub domain: domain::Id,
    /// How many requests it runs at once.
    pub slots: usize,
}

/// The endpoint picked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Selection {
    /// The endpoint.
    pub id: Id,
    /// Why.
    pub reason: Reason,
}

/// Why an endpoint was picked. Each has its counter, `selection.<name>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It has the start of the prompt in its cache.
    Affinity,
    /// It is the less loaded of two drawn at random.
    PowerOfTwo,
    /// It was left out and is tried again.
    Probe,
    /// No other may be picked.
    OnlyOne,
    /// A baseline picked it by its fixed rule.
    Fixed,
}

impl Reason {
    /// The last part of the counter's name.
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

/// Why no endpoint was picked. Each has its counter, `selection.miss.<name>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Unavailable {
    /// There is none.
    Empty,
    /// All are leaving or were tried before.
    AllExcluded,
    /// All are at work on as many requests as they can run.
    AllBusy,
}

impl Unavailable {
    /// The last part of the counter's name.
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
    /// With an answer.
    Answered {
        /// The time to its first byte.
        first_byte: Duration,
    },
    /// With an answer whose first byte was told before, by [`Pool::answer_started`].
    Completed,
    /// It was given up before its first byte, which another attempt beside it gave sooner.
    HedgeLost {
        /// For how long it was waited for.
        waited: Duration,
    },
    /// With a server error, a broken connection or a time-out.
    Failed,
    /// The endpoint said that it is full and has not begun.
    Refused,
    /// No connection could be made.
    Unreachable,
    /// The caller or the router gave up; this says nothing of the endpoint.
    Cancelled,
}

/// The endpoints of one version or plain service.
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
    /// Places that may be picked now; kept to save allocating on each pick.
    eligible: Vec<usize>,
}

impl Pool {
    /// An empty pool of a node in the failure domain `local_domain`. The seed should differ from node
    /// to node: it also draws the node's subset.
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

    /// Sets the endpoints. What is known of those that stay is kept.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Member>) {
        let mut known: HashMap<Id, State> =
            self.endpoints.drain(..).map(|it| (it.member.id.clone(), it)).collect();
        let chosen = subset(members, self.seed);
        self.endpoints.extend(chosen.into_iter().map(|member| match known.remove(&member.id) {
            Some(endpoint) => endpoint.with_member(member),
            None => State::new(member),
        }));
        ejection::enforce_floor(&mut self.endpoints);
        let indices = self.endpoints.iter().enumerate();
        self.indices = indices.map(|(index, it)| (it.member.id.clone(), index)).collect();
    }

    /// How many endpoints this node knows.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether this node knows no endpoint.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Picks an endpoint. `affinity` is a hash of what its cache should hold, `exclude` those
    /// that this request has tried.
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

    /// A request was sent to an endpoint.
    pub fn started(&mut self, id: &Id, now: Instant) {
        if let Some(it) = self.endpoint_mut(id) {
            it.start(now);
        }
    }

    /// An answer began. Told now and not with its end, a slow endpoint is noticed before the
    /// first of its slow answers is whole.
    pub fn answer_started(&mut self, id: &Id, first_byte: Duration, now: Instant) {
        let Some(index) = self.indices.get(id).copied() else {
            return;
        };
        self.endpoints[index].record_first_byte(first_byte);
        ejection::update_ejection(&mut self.endpoints, index, now);
    }

    /// A request at an endpoint ended. Each `started` is followed by exactly one `finished`.
    pub fn finished(&mut self, id: &Id, outcome: Outcome, now: Instant) {
        let Some(index) = self.indices.get(id).copied() else {
            return;
        };
        self.endpoints[index].finish(outcome, now);
        if outcome == Outcome::Completed {
            // It was reviewed as it began.
            return;
        }
        ejection::update_ejection(&mut self.endpoints, index, now);
    }

    /// An endpoint reported its load: all requests that it holds, from whatever node.
    pub fn report_load(&mut self, id: &Id, load: u64, now: Instant) {
        if let Some(it) = self.endpoint_mut(id) {
            it.report_load(load, now);
        }
    }

    /// An endpoint is leaving: it gets no new work.
    pub fn set_leaving(&mut self, id: &Id) {
        if let Some(it) = self.endpoint_mut(id) {
            it.is_leaving = true;
            ejection::enforce_floor(&mut self.endpoints);
        }
    }

    /// An endpoint is no longer leaving, by its own word.
    pub fn clear_leaving(&mut self, id: &Id) {
        if let Some(it) = self.endpoint_mut(id) {
            it.is_leaving = false;
        }
    }

    /// How long to wait for an endpoint's first byte before another connection or endpoint is
    /// tried: well above what it took of late.
    pub fn first_byte_timeout(&self, id: &Id) -> Duration {
        let measured =
            self.indices.get(id).and_then(|index| self.endpoints[*index].first_byte.timeout());
        measured.unwrap_or(first_byte::DEFAULT_TIMEOUT)
    }

    /// How many endpoints are left out for being slow or failing.
    pub fn n_ejected(&self) -> usize {
        self.endpoints.iter().filter(|it| it.is_ejected()).count()
    }

    /// This node's own requests at an endpoint.
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

    /// With every healthy endpoint excluded, one that was left out is better than none.
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

    /// The endpoint that the key belongs to, by rendezvous hashing, unless it is loaded above
    /// its share. Then the key goes where the load says: a prompt computed anew costs less
    /// than a wait behind a hot endpoint.
    fn affinity_endpoint(&self, key: u64, now: Instant) -> Option<usize> {
        let weight = |index: &usize| hash::pair(self.endpoints[*index].hash, key);
        let index = *self.eligible.iter().max_by_key(|it| weight(it))?;
        let utilisation = |index: usize| {
            let it = &self.endpoints[index];
            (it.load(now) + 1.0) / it.slots()
        };
        let total: f64 = self.eligible.iter().map(|it| utilisation(*it)).sum();
        let mean = total / self.eligible.len() as f64;
        // One request more than the mean is always allowed, or idle pools would spread prompts.
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

/// The endpoints that this node keeps: those with the highest hash with its seed. A change of
/// the list moves only what has to move.
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
