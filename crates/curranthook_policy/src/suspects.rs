//! Detection of prompt parts that crash the endpoints that read them or begin an answer on them.
//!
//! Addresses requests of which no two are alike and that share a part: a record of each request
//! (see [`poison`](crate::poison)) never counts more than a crash or two. What crashes endpoints is
//! among the parts that were being answered at each of several crashes, and isn't answered
//! elsewhere meanwhile; a sound part is.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::{Duration, Instant},
};

/// A hash of a service and a part of the prompts for it.
pub type Part = u64;

/// How many different endpoints must have crashed under a part before it is refused.
const MIN_CRASHES: usize = 4;
/// How many different requests must have been among them. A sound request that is resumed may see
/// several crashes.
const MIN_REQUESTS: usize = 3;
/// The maximum number of crashes and of requests kept for a part.
const MAX_KEPT: usize = 8;
/// The time in which nodes that know of an answer can object to a verdict.
const OBJECTION_TIME: Duration = Duration::from_millis(400);
/// The minimum interval between two objections of a node for the same reason. Many nodes pass the same
/// verdict on to it.
const OBJECTION_INTERVAL: Duration = Duration::from_secs(1);
/// How long crashes count, and how long a verdict holds.
const EXPIRY: Duration = Duration::from_secs(600);
/// How many answers on other parts, to requests sent since the first crash, must have gone on at a
/// node before it refuses a part that was answered before. While nothing is answered, that the part
/// isn't either tells nothing, and answers to earlier requests come sooner than any to later ones.
const MIN_OTHER_ANSWERS: usize = 3;
/// The number of answers that are kept to count these.
const MAX_RECENT: usize = 64;
/// The times after a verdict from which one request with the part may test it.
const TEST_AFTER: [Duration; 2] = [Duration::from_secs(30), Duration::from_secs(120)];

/// A crash of an endpoint before it answered a request, or while it was beginning to.
#[derive(Debug, Clone, Copy)]
pub struct Crash<'a> {
    /// A hash of the endpoint's incarnation.
    pub endpoint: u64,
    /// A hash of the request, the same for equal requests.
    pub request: u64,
    /// The request's parts that others may share.
    pub parts: &'a [Part],
    /// When the endpoint crashed.
    pub at: Instant,
}

/// A finding that endpoints crash under a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The part.
    pub part: Part,
    /// The parts, this one included, that all requests had under which endpoints crashed. The
    /// crashes don't tell them apart.
    pub together: BTreeSet<Part>,
    /// The number of crashes.
    pub n_crashes: usize,
    /// The first of the crashes. An answer on the part that began later disproves the verdict.
    pub first_crash: Instant,
    /// When the verdict was reached.
    pub since: Instant,
}

/// What is known of a part that was being answered at a crash.
#[derive(Debug)]
struct Evidence {
    crashes: BTreeMap<u64, Instant>,
    requests: BTreeSet<u64>,
    together: BTreeSet<Part>,
    last: Instant,
}

/// A verdict, and how often it was tested.
#[derive(Debug)]
struct Held {
    verdict: Verdict,
    n_tests: usize,
}

/// An objection that this node made.
#[derive(Debug, Clone, Copy)]
struct Objection {
    at: Instant,
    /// When the answer began that it is based on.
    begun_at: Instant,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// No verdict concerns it.
    Admit,
    /// It tests the verdict on this part.
    Test(Part),
    /// Endpoints crash under this part.
    Refuse(Part),
}

/// A node's records of parts. Those of least evidence are dropped if there are too many; verdicts
/// aren't dropped for evidence.
///
/// ```
/// # use std::time::{Duration, Instant};
/// # use curranthook_policy::suspects::{Crash, Decision, Suspects};
/// let (mut it, now) = (Suspects::new(1_000), Instant::now());
/// let crash = |n| Crash { endpoint: n, request: n, parts: &[1, 7], at: now };
/// it.record_answer(&[1, 8], now, now, now);
/// assert!((0..3).all(|n| it.record_crash(7, &crash(n), now).is_none()));
/// let verdict = it.record_crash(7, &crash(3), now).unwrap();
/// assert!(it.record_verdict(verdict));
/// let later = now + Duration::from_secs(1);
/// assert_eq!(it.decide(&[1, 7], later, false), Decision::Refuse(7));
/// assert_eq!(it.decide(&[1, 8], later, false), Decision::Admit);
/// it.record_answer(&[1, 7], now, later, later);
/// assert_eq!(it.decide(&[1, 7], later, false), Decision::Admit);
/// ```
#[derive(Debug)]
pub struct Suspects {
    capacity: usize,
    evidence: HashMap<Part, Evidence>,
    verdicts: HashMap<Part, Held>,
    /// When the last answer on a part began that went on for a while.
    answered: HashMap<Part, Instant>,
    /// The last such answers at this node: when each request was sent, and its parts.
    recent: VecDeque<(Instant, Vec<Part>)>,
    /// The last objection of this node, by the part and whether its answer disproved a verdict.
    objected: HashMap<(Part, bool), Objection>,
}

impl Suspects {
    /// Creates records of at most `capacity` parts of each kind.
    pub fn new(capacity: usize) -> Self {
        let (evidence, verdicts, answered, recent, objected) = Default::default();
        Self { capacity, evidence, verdicts, answered, recent, objected }
    }

    /// Records a crash against one of its parts. Returns the verdict that follows from it, if there
    /// is none yet.
    pub fn record_crash(&mut self, part: Part, crash: &Crash<'_>, now: Instant) -> Option<Verdict> {
        if self.answered.get(&part).is_some_and(|at| crash.at <= *at) {
            return None;
        }
        self.evidence.retain(|_, it| now.saturating_duration_since(it.last) < EXPIRY);
        let is_new = !self.evidence.contains_key(&part);
        if is_new && self.capacity <= self.evidence.len() {
            let rank = |it: &Evidence| (it.crashes.len(), it.last);
            let least = self.evidence.iter().min_by_key(|(_, it)| rank(it)).map(|(part, _)| *part);
            least.and_then(|it| self.evidence.remove(&it));
        }
        let evidence = self.evidence.entry(part).or_insert_with(|| Evidence {
            crashes: BTreeMap::new(),
            requests: BTreeSet::new(),
            together: crash.parts.iter().copied().chain([part]).collect(),
            last: crash.at,
        });
        evidence.last = evidence.last.max(crash.at);
        evidence.together.retain(|it| *it == part || crash.parts.contains(it));
        if evidence.crashes.len() < MAX_KEPT {
            evidence.crashes.entry(crash.endpoint).or_insert(crash.at);
        }
        if evidence.requests.len() < MAX_KEPT {
            evidence.requests.insert(crash.request);
        }
        let is_enough =
            MIN_CRASHES <= evidence.crashes.len() && MIN_REQUESTS <= evidence.requests.len();
        // A part that all requests have in common is answered whenever any is.
        let is_distinct = self.recent.iter().any(|(_, answered)| !answered.contains(&part));
        if !is_enough || !is_distinct {
            return None;
        }
        let first_crash = evidence.crashes.values().min().copied().unwrap_or(crash.at);
        let verdict = Verdict {
            part,
            together: evidence.together.clone(),
            n_crashes: evidence.crashes.len(),
            first_crash,
            since: now,
        };
        let is_known = self
            .verdicts
            .get(&part)
            .is_some_and(|it| it.verdict.is_valid(now) && it.verdict.together == verdict.together);
        (!is_known).then_some(verdict)
    }

    /// Records a verdict. Returns whether it is new, and this node knows of no answer that disproves
    /// it.
    pub fn record_verdict(&mut self, verdict: Verdict) -> bool {
        let now = verdict.since;
        self.verdicts.retain(|_, it| it.verdict.is_valid(now));
        if self.is_disproved(&verdict) {
            // An objection to an earlier verdict says nothing against this one.
            let disproof = (verdict.part, true);
            if self.objected.get(&disproof).is_some_and(|it| it.begun_at <= verdict.first_crash) {
                self.objected.remove(&disproof);
            }
            return false;
        }
        if self.capacity <= self.verdicts.len() {
            return false;
        }
        match self.verdicts.get_mut(&verdict.part) {
            Some(it) => {
                let n_before = it.verdict.together.len();
                it.verdict.together.retain(|part| verdict.together.contains(part));
                it.verdict.together.len() < n_before
            }
            None => {
                self.verdicts.insert(verdict.part, Held { verdict, n_tests: 0 });
                true
            }
        }
    }

    /// Whether an answer that this node knows of disproves a verdict.
    pub fn is_disproved(&self, verdict: &Verdict) -> bool {
        self.answered.get(&verdict.part).is_some_and(|at| verdict.first_crash < *at)
    }

    /// Whether to tell other nodes of an answer on a part that began at `begun_at`, which `disproves` a
    /// verdict or not; not if that has just been done. Records that it is done.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_policy::suspects::Suspects;
    /// let (mut it, now) = (Suspects::new(1_000), Instant::now());
    /// assert!(it.objects(7, false, now, now));
    /// assert!(!it.objects(7, false, now, now));
    /// assert!(it.objects(7, true, now, now));
    /// assert!(it.objects(7, false, now, now + Duration::from_secs(1)));
    /// ```
    pub fn objects(
        &mut self,
        part: Part,
        disproves: bool,
        begun_at: Instant,
        now: Instant,
    ) -> bool {
        self.objected.retain(|_, it| now < it.at + OBJECTION_INTERVAL);
        if self.objected.contains_key(&(part, disproves)) {
            return false;
        }
        self.objected.insert((part, disproves), Objection { at: now, begun_at });
        true
    }

    /// When the last answer on a part began.
    pub fn answered_at(&self, part: Part) -> Option<Instant> {
        self.answered.get(&part).copied()
    }

    /// Records that the answer to a request of this node, which was sent at `sent_at`, began at
    /// `begun_at` and has gone on for a while. Returns the parts of which that disproves a verdict.
    pub fn record_answer(
        &mut self,
        parts: &[Part],
        sent_at: Instant,
        begun_at: Instant,
        now: Instant,
    ) -> Vec<Part> {
        self.recent.push_back((sent_at, parts.to_vec()));
        if MAX_RECENT < self.recent.len() {
            self.recent.pop_front();
        }
        let disproved = parts.iter().filter(|it| self.record_answered(**it, begun_at, now));
        disproved.copied().collect()
    }

    /// Records that an answer on a part that began at `begun_at` has gone on for a while, at any node.
    /// Returns whether that disproves a verdict.
    pub fn record_answered(&mut self, part: Part, begun_at: Instant, now: Instant) -> bool {
        if self.capacity <= self.answered.len() && !self.answered.contains_key(&part) {
            let mut times: Vec<_> = self.answered.values().copied().collect();
            let middle = times.len() / 2;
            let oldest_kept = *times.select_nth_unstable(middle).1;
            self.answered.retain(|_, at| oldest_kept <= *at && *at <= now);
        }
        let at = self.answered.entry(part).or_insert(begun_at);
        *at = begun_at.max(*at);
        let is_older = |crash: &Instant| *crash <= begun_at;
        if let Some(it) = self.evidence.get_mut(&part) {
            it.crashes.retain(|_, at| !is_older(at));
            if it.crashes.is_empty() {
                self.evidence.remove(&part);
            }
        }
        let is_disproved =
            self.verdicts.get(&part).is_some_and(|it| it.verdict.first_crash < begun_at);
        if is_disproved {
            self.verdicts.remove(&part);
        }
        is_disproved
    }

    /// Whether a request with these parts may be sent. `is_tester` is whether this node tests
    /// verdicts on behalf of all: the first request after some time is let through.
    pub fn decide(&mut self, parts: &[Part], now: Instant, is_tester: bool) -> Decision {
        let refused = parts.iter().copied().find(|it| self.is_refused(*it, parts, now));
        let Some(part) = refused else { return Decision::Admit };
        if is_tester
            && let Some(held) = self.verdicts.get_mut(&part)
            && let Some(after) = TEST_AFTER.get(held.n_tests)
            && *after <= now.saturating_duration_since(held.verdict.since)
        {
            held.n_tests += 1;
            return Decision::Test(part);
        }
        Decision::Refuse(part)
    }

    fn is_refused(&self, part: Part, parts: &[Part], now: Instant) -> bool {
        let Some(Held { verdict, .. }) = self.verdicts.get(&part) else { return false };
        let is_suspected = |it: &&Part| {
            let answered_at = self.answered.get(it);
            answered_at.is_none_or(|at| *at <= verdict.first_crash)
        };
        let is_other = |(sent_at, answered): &&(Instant, Vec<Part>)| {
            verdict.first_crash < *sent_at && !answered.contains(&part)
        };
        let n_others = self.recent.iter().filter(is_other).take(MIN_OTHER_ANSWERS).count();
        let is_established = self.answered.contains_key(&part);
        let are_others_answered = !is_established || MIN_OTHER_ANSWERS <= n_others;
        let is_in_force = verdict.since + OBJECTION_TIME <= now && verdict.is_valid(now);
        is_in_force
            && are_others_answered
            && verdict.together.iter().filter(is_suspected).all(|it| parts.contains(it))
    }

    /// The valid verdicts.
    pub fn verdicts(&self, now: Instant) -> impl Iterator<Item = &Verdict> {
        self.verdicts.values().map(|it| &it.verdict).filter(move |it| it.is_valid(now))
    }
}

impl Verdict {
    fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) < EXPIRY
    }
}
