//! Versions are chosen within what is allowed, at the quality wanted, for little money.

use std::time::{Duration, Instant};

use curranthook_policy::{
    baseline,
    choice::{Ask, Candidate, Chooser, Counts, Delivery, Rater, Reason, Sample},
};
use curranthook_settings::config::{Policy, Weigh};
use curranthook_types::{
    kind,
    price::{Micros, Rate},
    refusal, version,
};
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

/// A version of a small market: its name, price and true quality.
#[derive(Debug, Clone, Copy)]
struct Offer {
    name: &'static str,
    price: u64,
    quality: f64,
}

const SMALL: Offer = Offer { name: "m@small", price: 100, quality: 0.7 };
const MIDDLE: Offer = Offer { name: "m@middle", price: 400, quality: 0.86 };
const LARGE: Offer = Offer { name: "m@large", price: 1_000, quality: 0.96 };

/// What a run cost and gave.
#[derive(Debug, Default)]
struct Tally {
    cost: f64,
    good: f64,
    n: f64,
}

impl Tally {
    fn mean_cost(&self) -> f64 {
        self.cost / self.n
    }

    fn quality(&self) -> f64 {
        self.good / self.n
    }
}

/// Whether what one version fails at is what all others fail at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Difficulty {
    Independent,
    Shared,
}

/// Serves `n` requests by a named strategy over the three versions.
fn serve(name: &str, policy: &Policy, rater: Rater, difficulty: Difficulty, seed: u64) -> Tally {
    const N: u32 = 4_000;
    let mut strategy = baseline::strategy(name, policy.clone(), seed).expect("a known name");
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let offers = [SMALL, MIDDLE, LARGE];
    let ids = offers.map(|it| version::Id::new(it.name));
    let rates = offers.map(|it| Rate { prompt: Micros(0), completion: Micros(it.price) });
    let allowed = [0, 1, 2].map(|it| Candidate {
        id: &ids[it],
        rate: &rates[it],
        prior: Some(offers[it].quality),
    });
    let kind = kind::Id::new("summary");
    let ask = Ask { rater, ..ask(&kind, 0.9, &allowed) };
    let now = Instant::now();
    let mut tally = Tally::default();
    for _ in 0..N {
        let plan = strategy.plan(&ask).expect("there are versions");
        let place = |id| ids.iter().position(|it| it == id).expect("an allowed version");
        let first = place(&plan.first);
        let hardness = rng.random::<f64>();
        let mut is_good = hardness < offers[first].quality;
        tally.cost += offers[first].price as f64;
        if plan.then.is_some() || plan.sample == Sample::Rate {
            strategy.learn(&kind, &plan.first, f64::from(u8::from(is_good)), now);
        }
        if let Some(then) = plan.then.filter(|_| !is_good) {
            let again = match difficulty {
                Difficulty::Independent => rng.random::<f64>(),
                Difficulty::Shared => hardness,
            };
            is_good = again < offers[place(&then)].quality;
            tally.cost += offers[place(&then)].price as f64;
        }
        tally.good += f64::from(u8::from(is_good));
        tally.n += 1.0;
    }
    tally
}

fn ask<'a>(kind: &'a kind::Id, target: f64, allowed: &'a [Candidate<'a>]) -> Ask<'a> {
    Ask {
        kind,
        target,
        allowed,
        time_left: Duration::from_secs(60),
        prompt_tokens: 0,
        expected_tokens: 1_000,
        delivery: Delivery::Whole,
        rater: Rater::Up,
    }
}

#[yare::parameterized(
    latency = { Weigh::Latency, Difficulty::Independent },
    exposure = { Weigh::Exposure, Difficulty::Independent },
    latency_shared = { Weigh::Latency, Difficulty::Shared },
    exposure_shared = { Weigh::Exposure, Difficulty::Shared },
)]
fn cost_falls_and_quality_holds(weigh: Weigh, difficulty: Difficulty) {
    let policy = Policy { weigh, ..Policy::default() };
    for seed in 0..5 {
        let ours = serve("curranthook", &policy, Rater::Up, difficulty, seed);
        let best = serve("best", &policy, Rater::Up, difficulty, seed);
        assert!(0.9 <= ours.quality(), "quality {} with seed {seed}", ours.quality());
        let ratio = ours.mean_cost() / best.mean_cost();
        assert!(ratio <= 0.7, "{ratio} of the cost of the best with seed {seed}");
    }
}

/// The rating service is down. Without ratings a cheap answer that is wrong isn't noticed, so
/// nothing is gambled on one.
#[test]
fn rater_down_means_the_sure_version() {
    let tally = serve("curranthook", &Policy::default(), Rater::Down, Difficulty::Shared, 1);
    assert!(0.9 <= tally.quality(), "quality {}", tally.quality());
}

/// A version gets worse for one kind of work while it serves, so callers get answers below the
/// quality they want until the estimate follows.
#[test]
fn a_change_is_noticed() {
    let (kind, now) = (kind::Id::new("summary"), Instant::now());
    let id = version::Id::new("m@1");
    let mut chooser = Chooser::new(Policy::default(), 1);
    (0..2_000).for_each(|_| chooser.learn(&kind, &id, 1.0, now));
    (0..500).for_each(|_| chooser.learn(&kind, &id, 0.0, now));
    let quality = chooser.quality(&kind, &id).expect("it was rated");
    assert!(quality < 0.5, "{quality}");
}

#[test]
fn hurried_streams_are_not_held_back() {
    let (kind, ids) = (kind::Id::new("summary"), ["m@1", "m@2"].map(version::Id::new));
    let rates = [10, 1_000].map(|it| Rate { prompt: Micros(0), completion: Micros(it) });
    let allowed = [
        Candidate { id: &ids[0], rate: &rates[0], prior: Some(0.7) },
        Candidate { id: &ids[1], rate: &rates[1], prior: Some(0.99) },
    ];
    let policy = Policy { exploration: 0.0, ..Policy::default() };
    let whole = ask(&kind, 0.7, &allowed);
    let stream = Ask { delivery: Delivery::Stream, ..whole };
    let mut chooser = Chooser::new(policy.clone(), 1);
    assert_eq!(chooser.plan(&whole).map(|it| it.reason), Ok(Reason::Cascade));
    assert_eq!(chooser.plan(&stream).map(|it| it.then), Ok(None));
    let mut careful = Chooser::new(Policy { weigh: Weigh::Exposure, ..policy }, 1);
    assert_eq!(careful.plan(&stream).map(|it| it.reason), Ok(Reason::Cascade));
}

#[test]
fn refusals_have_a_reason() {
    let (kind, id, rate) = (kind::Id::new("k"), version::Id::new("m@1"), Rate::default());
    let mut chooser = Chooser::new(Policy::default(), 1);
    let none = ask(&kind, 0.9, &[]);
    assert_eq!(chooser.plan(&none), Err(refusal::Reason::NotAllowed));
    let allowed = [Candidate { id: &id, rate: &rate, prior: None }];
    let late = Ask { time_left: Duration::ZERO, ..ask(&kind, 0.9, &allowed) };
    assert_eq!(chooser.plan(&late), Err(refusal::Reason::Deadline));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever was learned of other versions, a plan names allowed ones only, keeps to the
    /// time left, and explores no more than its share.
    #[test]
    fn plans_stay_within_bounds(
        seed in any::<u64>(),
        allowed_mask in 1_usize..32,
        rated in proptest::collection::vec((0_usize..6, 0.0_f64..=1.0), 0..200),
        target in 0.0_f64..1.0,
        time_left in 1_u64..20_000,
        exploration in 0.0_f64..0.3,
        is_hurried in any::<bool>(),
    ) {
        let kind = kind::Id::new("k");
        let ids = [1, 2, 3, 4, 5, 6].map(|it| version::Id::new(format!("m@{it}")));
        let rates = [60, 50, 40, 300, 20, 10].map(|it| Rate { prompt: Micros(it), completion: Micros(it) });
        let open: Vec<Candidate<'_>> = (0..5)
            .filter(|it| allowed_mask >> it & 1 == 1)
            .map(|it| Candidate { id: &ids[it], rate: &rates[it], prior: Some(0.5) })
            .collect();
        let weigh = if is_hurried { Weigh::Latency } else { Weigh::Exposure };
        let mut chooser = Chooser::new(Policy { exploration, weigh, ..Policy::default() }, seed);
        let now = Instant::now();
        // Seconds for the answer: what was observed, or what is assumed of an unknown version.
        let mut seconds = [5; 6];
        for (version, rating) in rated {
            seconds[version] = version as u64;
            chooser.learn(&kind, &ids[version], rating, now);
            chooser.observe(&ids[version], Duration::from_millis(version as u64 * 1_000), 1_000);
        }
        let ask = Ask {
            time_left: Duration::from_millis(time_left),
            delivery: if is_hurried { Delivery::Stream } else { Delivery::Whole },
            ..ask(&kind, target, &open)
        };
        let mut n_explored = 0.0;
        for _ in 0..100 {
            let plan = chooser.plan(&ask).expect("there are versions");
            let is_allowed = |id: &version::Id| open.iter().any(|it| it.id == id);
            prop_assert!(is_allowed(&plan.first));
            prop_assert!(plan.then.as_ref().is_none_or(is_allowed));
            prop_assert_ne!(Some(&plan.first), plan.then.as_ref());
            if let Some(then) = &plan.then {
                let time = |id| seconds[ids.iter().position(|it| it == id).expect("known")];
                let both = Duration::from_secs(time(&plan.first) + time(then));
                prop_assert!(both <= ask.time_left, "{plan:?} needs {both:?}");
            }
            n_explored += f64::from(u8::from(plan.reason == Reason::Explore));
        }
        prop_assert!(n_explored <= exploration * 100.0 + 1.0);
    }

    /// Other nodes' sums are repeated by the digest and may come late.
    #[test]
    fn merging_ignores_repeats_and_old_sums(sums in proptest::collection::vec(1_u64..100, 1..20)) {
        let (kind, id) = (kind::Id::new("k"), version::Id::new("m@1"));
        let counts = |n: u64| Counts { n, sum: n as f64 * 0.25 };
        let newest = *sums.iter().max().expect("there is one");
        let (mut once, mut often) =
            (Chooser::new(Policy::default(), 1), Chooser::new(Policy::default(), 1));
        once.merge(&kind, &id, counts(newest));
        sums.iter().chain(&sums).for_each(|it| often.merge(&kind, &id, counts(*it)));
        let quality = |it: &Chooser| it.quality(&kind, &id).expect("it was rated");
        prop_assert!((quality(&once) - quality(&often)).abs() < 0.02);
    }
}
