//! A large fleet before many engines, where no node sees the load of an engine by itself.

use std::{collections::HashSet, time::Duration};

use curranthook_gateway::placement::{self, CacheHolders, Candidate, Locality, Task};
use curranthook_policy::hash;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use yare::parameterized;

const N_NODES: usize = 70;
const N_ENGINES: usize = 140;
/// Requests a second for the largest model.
const RATE: f64 = 130.0;
/// How long it takes to read what requests share, and what is a request's own.
const READING: (Duration, Duration) = (Duration::from_millis(600), Duration::from_millis(150));
/// What requests are about; some are asked for more often than others.
const SUBJECTS: Subjects = Subjects { n: 225, skew: 2.0 };
/// Subjects of which most are asked for a few times only.
const MANY_SUBJECTS: Subjects = Subjects { n: 4_000, skew: 1.0 };
/// By when callers want the first event.
const OBJECTIVE: Duration = Duration::from_secs(2);
const LENGTH: Duration = Duration::from_secs(40);
/// Of how many candidates others are asked.
const SHORTLIST: usize = 4;

/// How many subjects there are, and how much more often the first are asked for than the last.
#[derive(Debug, Clone, Copy)]
struct Subjects {
    n: u64,
    skew: f64,
}

/// How requests fared.
#[derive(Debug, Clone, Copy)]
struct Fared {
    /// The share of first events that came too late.
    late: f64,
    /// The mean time to them.
    mean: Duration,
}

/// What a node knows of the work that waits at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sight {
    /// Its own.
    Own,
    /// That of all nodes, at the candidates that it asks about.
    Asked,
    /// That of all nodes, everywhere.
    Whole,
}

/// An engine reads one prompt after another and keeps what it read.
#[derive(Debug, Clone, Default)]
struct Engine {
    /// For each request that waits or is read: when its first event comes, and who sent it.
    prefills: Vec<(Duration, usize)>,
    holds: HashSet<u64>,
}

impl Engine {
    /// How long the work of the nodes that `is_known` takes from `now` on.
    fn wait(&self, now: Duration, is_known: impl Fn(usize) -> bool) -> Duration {
        let known = self.prefills.iter().filter(|(_, node)| is_known(*node));
        let ends = known.map(|(end, _)| end.saturating_sub(now));
        ends.max().unwrap_or_default()
    }

    fn read(&mut self, prefix: u64, node: usize, now: Duration) -> Duration {
        self.prefills.retain(|(end, _)| now < *end);
        let start = now + self.wait(now, |_| true);
        let shared = if self.holds.insert(prefix) { READING.0 } else { Duration::ZERO };
        let end = start + shared + READING.1;
        self.prefills.push((end, node));
        end
    }
}

/// Places requests for a while.
fn play(sight: Sight, holders: CacheHolders, subjects: Subjects, seed: u64) -> Fared {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut engines = vec![Engine::default(); N_ENGINES];
    let (mut now, mut n_late, mut n_all, mut sum) = (Duration::ZERO, 0, 0, Duration::ZERO);
    while now < LENGTH {
        now += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / RATE);
        let node = rng.random_range(0..N_NODES);
        let prefix = (rng.random::<f64>().powf(subjects.skew) * subjects.n as f64) as u64;
        let task = Task { prefix_hash: Some(prefix), prefix_prefill: READING.0, holders, salt: 0 };
        let offer = |index: usize, sees_all: bool| Candidate {
            id_hash: hash::bytes(format!("engine-{index}").as_bytes()),
            wait: engines[index].wait(now, |it| sees_all || it == node),
            failure_rate: 0.0,
            locality: Locality::SameDomain,
            has_prefix_cached: holders == CacheHolders::Known
                && engines[index].holds.contains(&prefix),
        };
        let all = |sees_all| (0..N_ENGINES).map(|it| offer(it, sees_all)).collect::<Vec<_>>();
        let index = match sight {
            Sight::Own => placement::choose(&all(false), &task).unwrap(),
            Sight::Whole => placement::choose(&all(true), &task).unwrap(),
            Sight::Asked => {
                let best = placement::best(&all(false), &task, SHORTLIST);
                let offers: Vec<_> = best.iter().map(|it| offer(*it, true)).collect();
                best[placement::choose(&offers, &task).unwrap()]
            }
        };
        let first = engines[index].read(prefix, node, now) - now;
        n_all += 1;
        n_late += u32::from(OBJECTIVE < first);
        sum += first;
    }
    Fared { late: f64::from(n_late) / f64::from(n_all), mean: sum / n_all }
}

/// Seventy nodes send prompts to 140 engines, each to the home of what the prompt is about. Homes of
/// what many ask for have a queue that no single node sees, while most engines are idle; callers
/// wait for seconds. A node that asks the owners of a few candidates does nearly as well as one
/// that sees everything. Late first events: 6 in 100 by its own sight alone, none with answers.
#[parameterized(first = { 1 }, second = { 2 }, third = { 3 })]
fn asking_about_a_few_engines_keeps_callers_from_queues(seed: u64) {
    let late = |sight| play(sight, CacheHolders::Guessed, SUBJECTS, seed).late;
    let (own, asked, whole) = (late(Sight::Own), late(Sight::Asked), late(Sight::Whole));
    assert!(asked < own / 5.0, "late: {own} without, {asked} with answers");
    assert!(asked < whole + 0.02, "late: {asked} with answers, {whole} with all in sight");
}

/// Most prompts are about something that no engine has read yet. A node that takes their home for one
/// that has lets callers wait there for others' prompts, beside idle engines, and doesn't find the engine
/// that read them elsewhere.
#[parameterized(first = { 1 }, second = { 2 }, third = { 3 })]
fn telling_what_was_read_shortens_the_wait(seed: u64) {
    let mean = |holders| play(Sight::Asked, holders, MANY_SUBJECTS, seed).mean;
    let (guessed, known) = (mean(CacheHolders::Guessed), mean(CacheHolders::Known));
    assert!(known < guessed.mul_f64(0.95), "first events after {known:?}, {guessed:?} by guess");
}
