//! Measures the test of versions: how often it is wrong, and how soon it is right.
//!
//! `cargo run --release -p curranthook_policy --example verdict_study -- 2000` runs each row
//! over 2,000 seeds. Eight routers serve a version rated 0.9 that falls to 0.5.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use curranthook_policy::verdict::{Config, Reference};

use crate::fleet::{Fleet, Sampling, Setup, long_past};

/// Good answers in a quiet run, and before a fall.
const QUIET_RUN: u64 = 10_000;
const BEFORE_FALL: u64 = 2_000;
/// Bad answers after which a run is given up.
const LIMIT: u64 = 5_000;
const THREADS: usize = 6;
/// The most bad answers that may be shown.
const AIM: u64 = 60;

fn main() {
    let seeds = std::env::args().nth(1).and_then(|it| it.parse().ok()).unwrap_or(200);
    println!("{seeds} seeds, {} routers, quality 0.9 falls to 0.5", fleet::ROUTERS);
    println!(
        "| reference | sampling | base | exchange | false alarms | rated when quiet | new: mean p95 under {AIM} | fallen: mean p95 under {AIM} |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (name, reference) in [("replaced", long_past(0.9)), ("own past", Reference::Own)] {
        for sampling in [Sampling::Fixed, Sampling::Adaptive] {
            for base in [0.1, 0.3, 1.0] {
                if sampling == Sampling::Adaptive && base == 1.0 {
                    continue;
                }
                for exchange_every in [4, 16] {
                    let config = Config::default();
                    let setup = Setup {
                        config,
                        reference,
                        base,
                        sampling,
                        exchange_every,
                        quiet: 0.9,
                        bad: 0.5,
                    };
                    print_row(name, setup, seeds);
                }
            }
        }
    }
}

/// What one seed gave.
#[derive(Debug)]
struct Run {
    is_alarmed: bool,
    n_quiet: u64,
    n_ratings: u64,
    fresh: u64,
    fallen: Option<u64>,
}

fn run(setup: Setup, seed: u64) -> Run {
    let mut quiet = Fleet::new(setup, seed);
    let alarm = quiet.run_quiet(QUIET_RUN);
    let mut falling = Fleet::new(setup, !seed);
    let is_calm = falling.run_quiet(BEFORE_FALL).is_none();
    Run {
        is_alarmed: alarm.is_some(),
        n_quiet: alarm.unwrap_or(QUIET_RUN),
        n_ratings: quiet.n_ratings,
        fresh: Fleet::new(setup, seed).run_bad(LIMIT),
        fallen: is_calm.then(|| falling.run_bad(LIMIT)),
    }
}

fn print_row(name: &str, setup: Setup, seeds: u64) {
    let runs: Vec<Run> = std::thread::scope(|scope| {
        let part = |part| scope.spawn(move || part_of(setup, seeds, part));
        let parts: Vec<_> = (0..THREADS).map(part).collect();
        parts.into_iter().flat_map(|it| it.join().expect("a run doesn't panic")).collect()
    });
    let n_alarms = runs.iter().filter(|it| it.is_alarmed).count();
    let n_quiet: u64 = runs.iter().map(|it| it.n_quiet).sum();
    let n_ratings: u64 = runs.iter().map(|it| it.n_ratings).sum();
    let fresh = match setup.reference {
        Reference::Own => "-".to_owned(),
        Reference::Other(_) => summary(runs.iter().map(|it| it.fresh).collect()),
    };
    println!(
        "| {name} | {:?} | {} | {} | {:.4} | {:.3} | {fresh} | {} |",
        setup.sampling,
        setup.base,
        setup.exchange_every,
        n_alarms as f64 / seeds as f64,
        n_ratings as f64 / n_quiet as f64,
        summary(runs.iter().filter_map(|it| it.fallen).collect()),
    );
}

fn part_of(setup: Setup, seeds: u64, part: usize) -> Vec<Run> {
    (part as u64..seeds).step_by(THREADS).map(|seed| run(setup, seed)).collect()
}

fn summary(mut answers: Vec<u64>) -> String {
    answers.sort_unstable();
    let n = answers.len();
    let mean = answers.iter().sum::<u64>() as f64 / n as f64;
    let under = answers.iter().filter(|it| **it < AIM).count() as f64 / n as f64;
    format!("{mean:.1} {} {under:.3}", answers[n * 95 / 100])
}
