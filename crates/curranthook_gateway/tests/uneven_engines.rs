//! Simulates a large fleet of nodes whose engines differ in speed and report how slow they are.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashSet},
    time::{Duration, Instant},
};

use curranthook_gateway::placement::{self, CacheHolders, Candidate, Locality, Task};
use curranthook_policy::{
    hash,
    slowdown::{Estimate, Factor, Figure},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use yare::parameterized;

const N_NODES: usize = 84;
const N_ENGINES: usize = 90;
const N_SLOW_ENGINES: usize = 30;
const N_DOMAINS: usize = 3;
const SHORTLIST_LEN: usize = 4;
/// The lasting factors of slow and of other engines.
const LASTING: (f64, f64) = (1.7, 0.7);
/// In periods of this length, an engine is slowed by the factor with the probability.
const PERIOD: Duration = Duration::from_millis(600);
const SLOW_PERIODS: (f64, f64) = (2.5, 0.15);
/// The prefill time of a shared prefix and of a request's own part, at usual speed.
const PREFILL: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(200));
const N_PREFIXES: f64 = 40_000.0;
const OBJECTIVE: Duration = Duration::from_secs(1);
const SIMULATED_TIME: Duration = Duration::from_secs(50);
/// The time after which requests are counted: by then the nodes have some figures.
const WARM_UP: Duration = Duration::from_secs(5);
/// The index of the engine that reports a false figure, if one does.
const MISREPORTING_ENGINE: usize = 0;

/// How the engines differ and what they report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Engines {
    /// All have the usual speed and report no figure.
    Even,
    /// They differ and report no figure.
    Silent,
    /// They differ and report it.
    Honest,
    /// As [`Engines::Honest`], but one that works at usual speed reports a tenth of the time.
    OneMisreports,
}

impl Engines {
    /// The true factor of an engine at `time`.
    fn factor(self, engine: usize, time: Duration) -> f64 {
        if self == Self::Even || (self == Self::OneMisreports && engine == MISREPORTING_ENGINE) {
            return 1.0;
        }
        let lasting = if engine < N_SLOW_ENGINES { LASTING.0 } else { LASTING.1 };
        let seed = hash::pair(engine as u64, period(engine, time));
        if hash::unit(seed) < SLOW_PERIODS.1 { lasting * SLOW_PERIODS.0 } else { lasting }
    }

    fn reported(self, engine: usize, time: Duration) -> Option<Factor> {
        match self {
            Self::Even | Self::Silent => None,
            Self::OneMisreports if engine == MISREPORTING_ENGINE => Factor::new(0.1),
            Self::Honest | Self::OneMisreports => Factor::new(self.factor(engine, time)),
        }
    }

    /// When work that begins at `start` and usually takes `usual` is done.
    fn end(self, engine: usize, start: Duration, usual: Duration) -> Duration {
        let (mut time, mut left) = (start, usual);
        loop {
            let factor = self.factor(engine, time);
            let phase = phase(engine);
            let next = PERIOD * u32::try_from(period(engine, time) + 1).unwrap() - phase;
            if time + left.mul_f64(factor) <= next {
                return time + left.mul_f64(factor);
            }
            left -= (next - time).div_f64(factor).min(left);
            time = next;
        }
    }
}

fn phase(engine: usize) -> Duration {
    PERIOD.mul_f64(hash::unit(engine as u64 + 1))
}

/// The number of the period that an engine is in.
fn period(engine: usize, time: Duration) -> u64 {
    u64::try_from((time + phase(engine)).as_nanos() / PERIOD.as_nanos()).unwrap()
}

/// An engine that prefills one prompt after another and caches all prefixes.
#[derive(Debug, Clone, Default)]
struct Engine {
    /// For each request without a first event: its time, the node, and the usual prefill time.
    prefills: Vec<(Duration, usize, Duration)>,
    cached_prefixes: HashSet<u64>,
    /// What the owner of the engine's load information knows.
    owner: Estimate,
}

impl Engine {
    fn pending(&self, now: Duration, is_visible: impl Fn(usize) -> bool) -> Duration {
        let visible = self.prefills.iter().filter(|(end, node, _)| now < *end && is_visible(*node));
        visible.map(|(.., usual)| *usual).sum()
    }
}

/// The outcome of a simulation.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    late_share: f64,
    /// The share of work that the slow engines did.
    slow_share: f64,
    /// The work that the misreporting engine did, relative to the mean of all engines.
    misreporting_engine_work: f64,
    /// The mean time to the first event.
    mean: Duration,
}

/// Simulates requests of all nodes, at this share of the engines' capacity.
fn simulate(engines: Engines, utilization: f64, seed: u64) -> Outcome {
    let (mut rng, origin) = (Pcg64::seed_from_u64(seed), Instant::now());
    let mut knowledge = vec![vec![Estimate::default(); N_ENGINES]; N_NODES];
    let mut state = vec![Engine::default(); N_ENGINES];
    let mut first_events: BinaryHeap<Reverse<(Duration, usize, usize)>> = BinaryHeap::new();
    let work_per_request = (PREFILL.0 + PREFILL.1).as_secs_f64();
    let rate = utilization * uneven_capacity() / work_per_request;
    let mut now = Duration::ZERO;
    let (mut n, mut n_late, mut total, mut work) =
        (0_u32, 0_u32, Duration::ZERO, vec![0.0; N_ENGINES]);
    while now < SIMULATED_TIME {
        now += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        while let Some(Reverse((at, engine, node))) = first_events.peek().copied()
            && at <= now
        {
            first_events.pop();
            if let Some(factor) = engines.reported(engine, at) {
                let figure = Figure { factor, at: origin + at };
                knowledge[node][engine].record(figure);
                state[engine].owner.record(figure);
            }
        }
        let node = rng.random_range(0..N_NODES);
        let prefix = (rng.random::<f64>() * N_PREFIXES) as u64;
        let task = |holders| Task {
            prefix_hash: Some(prefix),
            prefix_prefill: PREFILL.0,
            own_time: PREFILL.1,
            holders,
            salt: 0,
        };
        let candidate = |state: &[Engine], own: &[Estimate], engine: usize, sees_all: bool| {
            let is_local = engine % N_DOMAINS == node % N_DOMAINS;
            Candidate {
                id_hash: hash::bytes(format!("engine-{engine}").as_bytes()),
                wait: state[engine].pending(now, |it| sees_all || it == node),
                slowdown: own[engine].outlook(origin + now),
                failure_rate: 0.0,
                locality: if is_local { Locality::SameDomain } else { Locality::DifferentDomain },
                has_prefix_cached: sees_all && state[engine].cached_prefixes.contains(&prefix),
            }
        };
        let own = &knowledge[node];
        let all: Vec<_> = (0..N_ENGINES).map(|it| candidate(&state, own, it, false)).collect();
        let asked = placement::best(&all, &task(CacheHolders::Guessed), SHORTLIST_LEN);
        for it in &asked {
            if let Some(figure) = state[*it].owner.newest() {
                knowledge[node][*it].record(figure);
            }
        }
        let own = &knowledge[node];
        let known: Vec<_> = asked.iter().map(|it| candidate(&state, own, *it, true)).collect();
        let engine = asked[placement::choose(&known, &task(CacheHolders::Known)).unwrap()];
        let it = &mut state[engine];
        it.prefills.retain(|(end, ..)| now < *end);
        let start = it.prefills.iter().map(|(end, ..)| *end).max().unwrap_or(now);
        let is_cached = !it.cached_prefixes.insert(prefix);
        let usual = if is_cached { PREFILL.1 } else { PREFILL.0 + PREFILL.1 };
        let end = engines.end(engine, start, usual);
        it.prefills.push((end, node, usual));
        first_events.push(Reverse((end, engine, node)));
        if WARM_UP <= now {
            (n, total) = (n + 1, total + (end - now));
            n_late += u32::from(OBJECTIVE < end - now);
            work[engine] += usual.as_secs_f64();
        }
    }
    let all_work: f64 = work.iter().sum();
    Outcome {
        late_share: f64::from(n_late) / f64::from(n),
        slow_share: work[..N_SLOW_ENGINES].iter().sum::<f64>() / all_work,
        misreporting_engine_work: work[MISREPORTING_ENGINE] * N_ENGINES as f64 / all_work,
        mean: total / n,
    }
}

/// The work that the uneven engines do per second, in seconds at usual speed.
fn uneven_capacity() -> f64 {
    let mean_slowdown = 1.0 + (SLOW_PERIODS.0 - 1.0) * SLOW_PERIODS.1;
    let fast = (N_ENGINES - N_SLOW_ENGINES) as f64 / LASTING.1;
    (N_SLOW_ENGINES as f64 / LASTING.0 + fast) / mean_slowdown
}

/// The slow engines' share of the capacity.
fn slow_capacity_share() -> f64 {
    let (slow, fast) =
        (N_SLOW_ENGINES as f64 / LASTING.0, (N_ENGINES - N_SLOW_ENGINES) as f64 / LASTING.1);
    slow / (slow + fast)
}

/// Guards against work that is spread evenly over engines of different speed: the slow ones have
/// queues while fast ones are idle, and callers get their first events late.
#[parameterized(moderate = { 0.5, 1 }, busy = { 0.7, 2 }, very_busy = { 0.85, 3 }, full = { 0.95, 4 })]
fn work_goes_by_speed(utilization: f64, seed: u64) {
    let [even, silent, honest] =
        [Engines::Even, Engines::Silent, Engines::Honest].map(|it| simulate(it, utilization, seed));
    println!("{utilization}: even {even:?}\n silent {silent:?}\n honest {honest:?}");
    assert!(honest.slow_share < 1.3 * slow_capacity_share(), "{honest:?}");
    assert!(honest.late_share < even.late_share + 0.02, "{honest:?}, even: {even:?}");
    assert!(honest.late_share < silent.late_share, "{honest:?}, silent: {silent:?}");
    assert!(honest.mean < silent.mean, "{honest:?}, silent: {silent:?}");
}

/// Guards against an engine that attracts work without bound by a false figure: its queue must make
/// nodes choose others.
#[parameterized(moderate = { 0.5, 1 }, busy = { 0.7, 2 })]
fn queue_corrects_a_false_figure(utilization: f64, seed: u64) {
    let [honest, misreported] =
        [Engines::Honest, Engines::OneMisreports].map(|it| simulate(it, utilization, seed));
    println!("{utilization}: honest {honest:?}\n misreported {misreported:?}");
    assert!(misreported.misreporting_engine_work < 3.0, "{misreported:?}");
    assert!(
        misreported.late_share < honest.late_share + 0.02,
        "{misreported:?}, honest: {honest:?}"
    );
}
