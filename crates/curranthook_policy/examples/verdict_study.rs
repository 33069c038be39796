//! Measures the sequential test of versions: its false alarms and its time to detection.
//!
//! `cargo run --release -p curranthook_policy --example verdict_study -- 2000` runs each row over
//! 2,000 seeds. Eight routers serve a version whose mean rating drops from 0.9 to 0.5.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use curranthook_policy::verdict::{Config, Reference};

use crate::fleet::{Fleet, Sampling, Setup, established_reference};

/// The number of answers in a run without a drop in quality.
const GOOD_RUN_ANSWERS: u64 = 10_000;
const ANSWERS_BEFORE_DROP: u64 = 2_000;
/// The number of bad answers after which a run is abandoned.
const MAX_BAD_ANSWERS: u64 = 5_000;
const N_THREADS: usize = 6;
/// The number of bad answers that a run should stay below.
const TARGET_BAD_ANSWERS: u64 = 60;

fn main() {
    let seeds = std::env::args().nth(1).and_then(|it| it.parse().ok()).unwrap_or(200);
    println!("{seeds} seeds, {} routers, quality 0.9 falls to 0.5", fleet::N_ROUTERS);
    println!(
        "| reference | sampling | base | exchange | false alarms | rated when good | bad from start: mean p95 under {TARGET_BAD_ANSWERS} | bad after drop: mean p95 under {TARGET_BAD_ANSWERS} |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (name, reference) in
        [("replaced", established_reference(0.9)), ("own past", Reference::Own)]
    {
        for sampling in [Sampling::Fixed, Sampling::Adaptive] {
            for base_sampling in [0.1, 0.3, 1.0] {
                if sampling == Sampling::Adaptive && base_sampling == 1.0 {
                    continue;
                }
                for exchange_every in [4, 16] {
                    let config = Config::default();
                    let setup = Setup {
                        config,
                        reference,
                        base_sampling,
                        sampling,
                        exchange_every,
                        good_quality: 0.9,
                        bad_quality: 0.5,
                    };
                    print_row(name, setup, seeds);
                }
            }
        }
    }
}

/// The result of one seed.
#[derive(Debug)]
struct Run {
    has_false_alarm: bool,
    n_good: u64,
    n_ratings: u64,
    n_bad_from_start: u64,
    n_bad_after_drop: Option<u64>,
}

fn run(setup: Setup, seed: u64) -> Run {
    let mut healthy = Fleet::new(setup, seed);
    let false_alarm = healthy.run_good(GOOD_RUN_ANSWERS);
    let mut degrading = Fleet::new(setup, !seed);
    let has_no_false_alarm = degrading.run_good(ANSWERS_BEFORE_DROP).is_none();
    Run {
        has_false_alarm: false_alarm.is_some(),
        n_good: false_alarm.unwrap_or(GOOD_RUN_ANSWERS),
        n_ratings: healthy.n_ratings,
        n_bad_from_start: Fleet::new(setup, seed).run_bad(MAX_BAD_ANSWERS),
        n_bad_after_drop: has_no_false_alarm.then(|| degrading.run_bad(MAX_BAD_ANSWERS)),
    }
}

fn print_row(name: &str, setup: Setup, seeds: u64) {
    let runs: Vec<Run> = std::thread::scope(|scope| {
        let spawn = |thread_index| scope.spawn(move || run_thread(setup, seeds, thread_index));
        let threads: Vec<_> = (0..N_THREADS).map(spawn).collect();
        threads.into_iter().flat_map(|it| it.join().expect("a run doesn't panic")).collect()
    });
    let n_alarms = runs.iter().filter(|it| it.has_false_alarm).count();
    let n_good: u64 = runs.iter().map(|it| it.n_good).sum();
    let n_ratings: u64 = runs.iter().map(|it| it.n_ratings).sum();
    let n_bad_from_start = match setup.reference {
        Reference::Own => "-".to_owned(),
        Reference::Other(_) => summary(runs.iter().map(|it| it.n_bad_from_start).collect()),
    };
    println!(
        "| {name} | {:?} | {} | {} | {:.4} | {:.3} | {n_bad_from_start} | {} |",
        setup.sampling,
        setup.base_sampling,
        setup.exchange_every,
        n_alarms as f64 / seeds as f64,
        n_ratings as f64 / n_good as f64,
        summary(runs.iter().filter_map(|it| it.n_bad_after_drop).collect()),
    );
}

fn run_thread(setup: Setup, seeds: u64, thread_index: usize) -> Vec<Run> {
    (thread_index as u64..seeds).step_by(N_THREADS).map(|seed| run(setup, seed)).collect()
}

fn summary(mut bad_answers: Vec<u64>) -> String {
    bad_answers.sort_unstable();
    let n = bad_answers.len();
    let mean = bad_answers.iter().sum::<u64>() as f64 / n as f64;
    let share_below_target =
        bad_answers.iter().filter(|it| **it < TARGET_BAD_ANSWERS).count() as f64 / n as f64;
    format!("{mean:.1} {} {share_below_target:.3}", bad_answers[n * 95 / 100])
}
