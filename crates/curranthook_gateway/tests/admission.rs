//! A simulation of callers that compete for capacity: half of the engines are lost for a time, and
//! the least urgent callers send a burst. Compares admission with queueing everything and with a
//! bound on the queue alone, by what callers get.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::{Duration, Instant},
};

use curranthook_gateway::retry_schedule::Reservations;
use curranthook_policy::{
    admission::{self, Decision, Forecast, Request},
    utilization::Utilization,
};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64;
use yare::parameterized;

/// All times in the simulation are in seconds.
const LENGTH: f64 = 80.0;
const TICK: f64 = 0.01;
const LOSS: (f64, f64) = (10.0, 40.0);
const BURST: (f64, f64) = (10.0, 16.0);
const BURST_FACTOR: f64 = 2.2;
const N_ENGINES: usize = 90;
const N_NODES: usize = 30;
/// The mean time that an engine spends on a thousand tokens of a prompt.
const PREFILL_PER_THOUSAND: f64 = 0.03;
/// The time from the first event of an answer to the last one.
const OUTPUT_TIME: f64 = 2.0;
/// A large account sends this share of each kind's requests, with prompts longer by this factor.
const LARGE_SHARE: f64 = 0.1;
const LARGE_FACTOR: f64 = 2.0;
/// The value of a late answer relative to one on time.
const LATE_VALUE: f64 = 0.2;

/// A kind of requests. Its index is its level, relative to the most urgent kind.
struct Kind {
    rate: f64,
    prompt: f64,
    objective: f64,
    deadline: f64,
}

const KINDS: [Kind; 3] = [
    Kind { rate: 89.0, prompt: 1.46, objective: 2.0, deadline: 8.0 },
    Kind { rate: 91.0, prompt: 9.19, objective: 3.0, deadline: 12.0 },
    Kind { rate: 70.0, prompt: 17.02, objective: 8.0, deadline: 20.0 },
];

/// The level of the most urgent kind: 0 if accounts have the most urgent priority, 2 if they all
/// have priority 1.
const BASE_LEVELS: [u8; 2] = [0, 2];

/// What a node does with a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    /// Queues it.
    None,
    /// Refuses it if this many requests wait at the best engine.
    QueueBound(usize),
    /// Decides by [`admission`].
    Admission,
}

/// What a caller got.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Outcome {
    InTime,
    Late,
    Failed,
}

#[derive(Debug, Clone)]
struct Job {
    level: usize,
    is_large: bool,
    work: f64,
    /// When the caller sent the request first, and when it sent this attempt.
    created_at: f64,
    sent_at: f64,
    n_refusals: u32,
    refused_at: f64,
    outcome: Outcome,
}

impl Job {
    fn patience(&self) -> f64 {
        f64::max(2.0, 4.0 * KINDS[self.level].objective)
    }

    fn deadline(&self) -> f64 {
        self.created_at + KINDS[self.level].deadline
    }

    fn has_left(&self, now: f64) -> bool {
        self.deadline() <= now || self.sent_at + self.patience() <= now
    }
}

/// An engine, which prefills one prompt after another, the most urgent first.
#[derive(Default)]
struct Engine {
    busy_until: f64,
    queues: [VecDeque<usize>; KINDS.len()],
}

impl Engine {
    fn n_waiting(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// The time until the work in progress and that of `level` or more urgent ones is done.
    fn queue_delay(&self, jobs: &[Job], level: usize, now: f64) -> f64 {
        let queued = self.queues[..=level].iter().flatten().map(|it| jobs[*it].work);
        (self.busy_until - now).max(0.0) + queued.sum::<f64>()
    }

    /// Starts the jobs that are due until `now`. Callers that have left cancel their requests.
    fn advance(&mut self, jobs: &mut [Job], now: f64) {
        for queue in &mut self.queues {
            queue.retain(|it| !jobs[*it].has_left(now));
        }
        while self.busy_until <= now
            && let Some(index) = self.queues.iter_mut().find_map(VecDeque::pop_front)
        {
            let job = &mut jobs[index];
            self.busy_until = self.busy_until.max(now - TICK) + job.work;
            let (first, last) = (self.busy_until, self.busy_until + OUTPUT_TIME);
            let is_lost = job.deadline() < last || job.sent_at + job.patience() < first;
            let is_on_time = first <= job.created_at + KINDS[job.level].objective;
            job.outcome = match (is_lost, is_on_time) {
                (true, _) => Outcome::Failed,
                (false, true) => Outcome::InTime,
                (false, false) => Outcome::Late,
            };
        }
    }
}

/// What a node knows of the requests that it received itself.
#[derive(Debug, Clone, Default)]
struct Node {
    reservations: Reservations,
    utilization: Utilization,
}

/// A whole day: the state of the site and the requests so far.
struct Day {
    policy: Policy,
    base_level: u8,
    engines: Vec<Engine>,
    jobs: Vec<Job>,
    /// Refused callers and when they return, in milliseconds.
    returns: BinaryHeap<Reverse<(u64, usize)>>,
    nodes: Vec<Node>,
    started: Instant,
    arrivals: Pcg64,
    errors: Pcg64,
}

impl Day {
    /// Simulates a day with or without the loss and the burst.
    fn run(policy: Policy, base_level: u8, is_calm: bool, seed: u64) -> Vec<Job> {
        let mut day = Self {
            policy,
            base_level,
            engines: (0..N_ENGINES).map(|_| Engine::default()).collect(),
            jobs: Vec::new(),
            returns: BinaryHeap::new(),
            nodes: vec![Node::default(); N_NODES],
            started: Instant::now(),
            arrivals: Pcg64::seed_from_u64(seed),
            errors: Pcg64::seed_from_u64(seed),
        };
        let mut next_arrivals = KINDS.map(|_| 0.0);
        for step in 0..(LENGTH / TICK) as u64 {
            let now = step as f64 * TICK;
            let is_within = |(start, end): (f64, f64)| !is_calm && start <= now && now < end;
            day.set_engines(if is_within(LOSS) { N_ENGINES / 2 } else { N_ENGINES }, now);
            for (level, kind) in KINDS.iter().enumerate() {
                let is_burst = level + 1 == KINDS.len() && is_within(BURST);
                let rate = kind.rate * if is_burst { BURST_FACTOR } else { 1.0 };
                while next_arrivals[level] <= now {
                    next_arrivals[level] += Exp::new(rate).unwrap().sample(&mut day.arrivals);
                    let index = day.create(level, now);
                    day.arrive(index, now);
                }
            }
            while let Some(Reverse((at, index))) = day.returns.peek().copied()
                && at as f64 / 1e3 <= now
            {
                day.returns.pop();
                day.jobs[index].sent_at = now;
                day.arrive(index, now);
            }
            let Self { engines, jobs, .. } = &mut day;
            engines.iter_mut().for_each(|it| it.advance(jobs, now));
        }
        // Requests of the last seconds may not be decided yet.
        day.jobs.retain(|it| it.deadline() < LENGTH);
        day.jobs
    }

    /// Starts or stops engines. The requests that wait at a stopped one are sent to others.
    fn set_engines(&mut self, n: usize, now: f64) {
        let lost = self.engines.split_off(n.min(self.engines.len()));
        self.engines.resize_with(n, Engine::default);
        for index in lost.iter().flat_map(|it| it.queues.iter().flatten().copied()) {
            let engine = self.best_engine(self.jobs[index].level, now);
            self.engines[engine].queues[self.jobs[index].level].push_back(index);
        }
    }

    fn create(&mut self, level: usize, now: f64) -> usize {
        let is_large = self.arrivals.random_bool(LARGE_SHARE);
        let prompt = KINDS[level].prompt * if is_large { LARGE_FACTOR } else { 1.0 };
        self.jobs.push(Job {
            level,
            is_large,
            work: prompt * PREFILL_PER_THOUSAND,
            created_at: now,
            sent_at: now,
            n_refusals: 0,
            refused_at: 0.0,
            outcome: Outcome::Failed,
        });
        self.jobs.len() - 1
    }

    fn best_engine(&self, level: usize, now: f64) -> usize {
        let delay = |index: &usize| self.engines[*index].queue_delay(&self.jobs, level, now);
        let indices = 0..self.engines.len();
        indices.min_by(|a, b| delay(a).total_cmp(&delay(b))).unwrap()
    }

    fn arrive(&mut self, index: usize, now: f64) {
        let level = self.jobs[index].level;
        let priority = self.priority(level);
        let engine = self.best_engine(level, now);
        let refusal = match self.policy {
            Policy::None => None,
            Policy::QueueBound(max) => {
                (max <= self.engines[engine].n_waiting()).then_some(Some(Duration::from_secs(1)))
            }
            Policy::Admission => self.decide(index, engine, now),
        };
        match refusal {
            None => {
                self.engines[engine].queues[level].push_back(index);
                let at = self.started + Duration::from_secs_f64(now);
                let work = Duration::from_secs_f64(self.jobs[index].work);
                let node = &mut self.nodes[index % N_NODES];
                node.utilization.record(priority, work, at);
            }
            Some(retry_after) => {
                let job = &mut self.jobs[index];
                job.n_refusals += 1;
                job.refused_at = now;
                // Callers retry once.
                if let Some(after) = retry_after.filter(|_| job.n_refusals == 1) {
                    let at = ((now + after.as_secs_f64()) * 1e3) as u64;
                    self.returns.push(Reverse((at, index)));
                }
            }
        }
    }

    fn priority(&self, level: usize) -> u8 {
        self.base_level + u8::try_from(level).unwrap()
    }

    /// The `Retry-After` if the request is refused, as a node with a forecast that errs decides.
    fn decide(&mut self, index: usize, engine: usize, now: f64) -> Option<Option<Duration>> {
        let seconds = |it: f64| Duration::from_secs_f64(it.max(0.0));
        let error = self.errors.random_range(0.8..1.2);
        let level = self.priority(self.jobs[index].level);
        let (job, kind) = (&self.jobs[index], &KINDS[self.jobs[index].level]);
        let (node, at) = (&mut self.nodes[index % N_NODES], self.started + seconds(now));
        let n_engines = self.engines.len() as f64 / N_NODES as f64;
        let queued = seconds(self.engines[engine].queue_delay(&self.jobs, job.level, now));
        let delay = node.utilization.time_for(queued, level, n_engines, at).as_secs_f64();
        let request = Request {
            objective: seconds(kind.objective),
            max_event_gap: None,
            deadline: seconds(kind.deadline),
            elapsed: seconds(now - job.created_at),
            has_returned: 0 < job.n_refusals,
            level,
        };
        let forecast = Forecast {
            time_to_first_event: seconds((delay + job.work) * error),
            time_to_last_event: seconds((delay + job.work) * error + OUTPUT_TIME),
            queue_delay: seconds(delay * error),
            is_idle: delay == 0.0,
            age: Some(Duration::from_millis(300)),
        };
        let Decision::Refuse(refusal) = admission::decide(&request, &forecast) else { return None };
        let rate = 0.5 * n_engines / job.work;
        Some(refusal.retry.and_then(|it| {
            let window = it.earliest..=it.latest;
            node.reservations.reserve_between(&job.level.to_string(), rate, window, at)
        }))
    }
}

/// What callers got: the shares that were served in time, late and not at all.
#[derive(Debug, Clone, Copy)]
struct Shares {
    in_time: f64,
    late: f64,
    failed: f64,
}

impl Shares {
    fn new(jobs: &[Job], is_selected: impl Fn(&Job) -> bool) -> Self {
        let selected: Vec<_> = jobs.iter().filter(|it| is_selected(it)).collect();
        assert!(!selected.is_empty());
        let share = |outcome| {
            let n = selected.iter().filter(|it| it.outcome == outcome).count();
            n as f64 / selected.len() as f64
        };
        Self {
            in_time: share(Outcome::InTime),
            late: share(Outcome::Late),
            failed: share(Outcome::Failed),
        }
    }

    fn value(self) -> f64 {
        self.in_time + LATE_VALUE * self.late
    }
}

/// Whether a request was made while capacity was short.
fn is_in_shortage(job: &Job) -> bool {
    (LOSS.0..LOSS.1).contains(&job.created_at)
}

fn by_level(jobs: &[Job]) -> [Shares; KINDS.len()] {
    [0, 1, 2].map(|level| Shares::new(jobs, |it| is_in_shortage(it) && it.level == level))
}

/// Guards against engines that serve requests too late for their callers, and against refusals
/// regardless of urgency, which a bound on the queue makes.
#[parameterized(
    one = { 1, BASE_LEVELS[0] },
    two = { 2, BASE_LEVELS[0] },
    three = { 3, BASE_LEVELS[0] },
    one_usual = { 1, BASE_LEVELS[1] },
    two_usual = { 2, BASE_LEVELS[1] },
    three_usual = { 3, BASE_LEVELS[1] },
)]
fn callers_get_more_than_without_admission_and_with_a_bound_on_the_queue(
    seed: u64,
    base_level: u8,
) {
    let value = |jobs: &[Job]| Shares::new(jobs, is_in_shortage).value();
    let (queued, admitted) = (
        Day::run(Policy::None, base_level, false, seed),
        Day::run(Policy::Admission, base_level, false, seed),
    );
    println!("queued: {:.3?}", by_level(&queued));
    println!("admission: {:.3?}", by_level(&admitted));
    assert!(value(&queued) + 0.01 < value(&admitted));
    for level in 0..KINDS.len() {
        let (before, after) = (by_level(&queued)[level], by_level(&admitted)[level]);
        assert!(after.failed <= before.failed && before.value() <= after.value());
    }
    for max in [4, 16] {
        let bounded = Day::run(Policy::QueueBound(max), base_level, false, seed);
        println!("bound of {max}: {:.3?}", by_level(&bounded));
        assert!(value(&bounded) + 0.1 < value(&admitted));
    }
}

/// Guards against refusals by errors of the forecast while there is enough capacity.
#[parameterized(most_urgent = { BASE_LEVELS[0] }, usual = { BASE_LEVELS[1] })]
fn nothing_is_refused_on_a_calm_day(base_level: u8) {
    let jobs = Day::run(Policy::Admission, base_level, true, 1);
    assert!(jobs.iter().all(|it| it.n_refusals == 0 && it.outcome != Outcome::Failed));
}

/// Guards against callers that are asked to return when there is no room for them either.
#[parameterized(
    one = { 1, BASE_LEVELS[0] },
    two = { 2, BASE_LEVELS[0] },
    three = { 3, BASE_LEVELS[0] },
    one_usual = { 1, BASE_LEVELS[1] },
    two_usual = { 2, BASE_LEVELS[1] },
    three_usual = { 3, BASE_LEVELS[1] },
)]
fn refused_callers_find_room_when_they_return(seed: u64, base_level: u8) {
    let jobs = Day::run(Policy::Admission, base_level, false, seed);
    let is_returned = |it: &&Job| it.created_at < it.sent_at;
    let n_returned = jobs.iter().filter(is_returned).count();
    let n_refused_twice = jobs.iter().filter(|it| 1 < it.n_refusals).count();
    println!("refused twice: {n_refused_twice} of {n_returned}");
    println!("returned: {:.3?}", Shares::new(&jobs, |it| is_returned(&it)));
    assert!(0 < n_returned && n_refused_twice * 5 < n_returned);
    let in_calm = jobs.iter().filter(is_returned).filter(|it| LOSS.1 <= it.sent_at);
    let (n_in_calm, n_served) = in_calm.fold((0, 0), |(n, n_served), it| {
        (n + 1, n_served + usize::from(it.outcome != Outcome::Failed))
    });
    assert!(0 < n_in_calm && n_served == n_in_calm, "{n_served} of {n_in_calm} served");
    assert!(jobs.iter().all(|it| it.n_refusals < 2 || it.refused_at < LOSS.1));
}

/// Guards against starvation of the least urgent requests and of long prompts.
#[parameterized(
    one = { 1, BASE_LEVELS[0] },
    two = { 2, BASE_LEVELS[0] },
    three = { 3, BASE_LEVELS[0] },
    one_usual = { 1, BASE_LEVELS[1] },
    two_usual = { 2, BASE_LEVELS[1] },
    three_usual = { 3, BASE_LEVELS[1] },
)]
fn each_level_and_a_large_account_get_a_quarter_of_the_mean_share(seed: u64, base_level: u8) {
    let jobs = Day::run(Policy::Admission, base_level, false, seed);
    let all = Shares::new(&jobs, is_in_shortage);
    let large = Shares::new(&jobs, |it| is_in_shortage(it) && it.is_large);
    let large_of_least_urgent =
        Shares::new(&jobs, |it| is_in_shortage(it) && it.is_large && it.level == 2);
    println!("all {all:.3?}, large {large:.3?}, of the least urgent {large_of_least_urgent:.3?}");
    for it in by_level(&jobs).into_iter().chain([large, large_of_least_urgent]) {
        assert!((1.0 - all.failed) / 4.0 <= 1.0 - it.failed);
    }
}
