//! A simulation of requests to three versions of known price and quality.

use std::time::{Duration, Instant};

use curranthook_policy::{
    baseline,
    choice::{Candidate, Delivery, Rater, Request, Sample, Scope},
};
use curranthook_settings::config::Policy;
use curranthook_types::{
    kind,
    price::{Micros, Rate},
    version,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// The share of answers that must be good.
pub const TARGET_QUALITY: f64 = 0.9;

/// A version with its name, price and true quality.
#[derive(Debug, Clone, Copy)]
pub struct Offer {
    name: &'static str,
    price: u64,
    quality: f64,
}

pub const SMALL: Offer = Offer { name: "m@small", price: 100, quality: 0.7 };
pub const MEDIUM: Offer = Offer { name: "m@middle", price: 400, quality: 0.86 };
pub const LARGE: Offer = Offer { name: "m@large", price: 1_000, quality: 0.96 };

/// The totals of a run.
#[derive(Debug, Default)]
pub struct Tally {
    total_cost: f64,
    n_good: f64,
    n: f64,
}

impl Tally {
    pub fn mean_cost(&self) -> f64 {
        self.total_cost / self.n
    }

    pub fn quality(&self) -> f64 {
        self.n_good / self.n
    }
}

/// Whether a request that one version fails is also failed by all others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Difficulty {
    Independent,
    Shared,
}

/// The parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    pub rater: Rater,
    pub difficulty: Difficulty,
    /// The number of requests.
    pub n_requests: u32,
}

/// Serves requests with a named strategy and the three versions.
pub fn simulate(name: &str, policy: &Policy, setup: Setup, seed: u64) -> Tally {
    let mut strategy = baseline::strategy(name, policy.clone(), seed).expect("a known name");
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let offers = [SMALL, MEDIUM, LARGE];
    let ids = offers.map(|it| version::Id::new(it.name));
    let rates = offers.map(|it| Rate { prompt: Micros(0), completion: Micros(it.price) });
    let candidates = [0, 1, 2].map(|it| Candidate {
        id: &ids[it],
        rate: &rates[it],
        prior: Some(offers[it].quality),
    });
    let kind = kind::Id::new("summary");
    let request = Request { rater: setup.rater, ..request(&kind, TARGET_QUALITY, &candidates) };
    let now = Instant::now();
    let mut tally = Tally::default();
    for _ in 0..setup.n_requests {
        let plan = strategy.plan(&request).expect("there are versions");
        let index = |id| ids.iter().position(|it| it == id).expect("an allowed version");
        let first = index(&plan.first);
        let difficulty_draw = rng.random::<f64>();
        let mut is_good = difficulty_draw < offers[first].quality;
        tally.total_cost += offers[first].price as f64;
        if plan.second.is_some() || plan.sample == Sample::Rate {
            strategy.record_rating(&kind, &plan.first, f64::from(u8::from(is_good)), now);
        }
        if let Some(second) = plan.second.filter(|_| !is_good) {
            let second_draw = match setup.difficulty {
                Difficulty::Independent => rng.random::<f64>(),
                Difficulty::Shared => difficulty_draw,
            };
            is_good = second_draw < offers[index(&second)].quality;
            tally.total_cost += offers[index(&second)].price as f64;
            if plan.sample == Sample::Rate {
                strategy.record_second_rating(
                    &kind,
                    &plan.first,
                    &second,
                    f64::from(u8::from(is_good)),
                    now,
                );
            }
        }
        tally.n_good += f64::from(u8::from(is_good));
        tally.n += 1.0;
    }
    tally
}

/// A request with plenty of time left.
pub fn request<'a>(
    kind: &'a kind::Id,
    target_quality: f64,
    candidates: &'a [Candidate<'a>],
) -> Request<'a> {
    Request {
        kind,
        target_quality,
        candidates,
        time_left: Duration::from_secs(60),
        prompt_tokens: 0,
        expected_tokens: 1_000,
        delivery: Delivery::Whole,
        rater: Rater::Up,
        scope: Scope::Request,
    }
}
