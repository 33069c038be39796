//! Measures the cost and quality of the version selection strategies with three versions.
//!
//! `cargo run --release -p curranthook_policy --example choice_study -- 50` runs each row over 50
//! seeds of 20,000 requests.

#[path = "../tests/market/mod.rs"]
mod market;

use curranthook_policy::{baseline::STRATEGIES, choice::Rater};
use curranthook_settings::config::{Objective, Policy};

use crate::market::{Difficulty, Setup, TARGET_QUALITY, simulate};

fn main() {
    let seeds = std::env::args().nth(1).and_then(|it| it.parse().ok()).unwrap_or(20);
    println!("{seeds} seeds, target {TARGET_QUALITY}; mean (least to most)");
    println!("| difficulty | rater | weigh | strategy | cost | quality |");
    println!("|---|---|---|---|---|---|");
    for difficulty in [Difficulty::Independent, Difficulty::Shared] {
        for rater in [Rater::Up, Rater::Down] {
            for weigh in [Objective::Latency, Objective::Exposure] {
                let setup = Setup { rater, difficulty, n_requests: 20_000 };
                for name in STRATEGIES {
                    print_row(name, weigh, setup, seeds);
                }
            }
        }
    }
}

fn print_row(name: &str, weigh: Objective, setup: Setup, seeds: u64) {
    let policy = Policy { weigh, ..Policy::default() };
    let runs: Vec<_> = (0..seeds).map(|seed| simulate(name, &policy, setup, seed)).collect();
    let costs = summary(runs.iter().map(market::Tally::mean_cost).collect());
    let qualities = summary(runs.iter().map(market::Tally::quality).collect());
    let Setup { difficulty, rater, .. } = setup;
    println!("| {difficulty:?} | {rater:?} | {weigh:?} | {name} | {costs} | {qualities} |");
}

fn summary(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    format!("{mean:.3} ({:.3} to {:.3})", values[0], values[values.len() - 1])
}
