//! Tests of version selection: only allowed versions, the required quality, low cost.

mod market;

use std::time::{Duration, Instant};

use curranthook_policy::choice::{
    Candidate, Chooser, Counts, Delivery, Rater, Reason, Request, Sample, Scope,
};
use curranthook_settings::config::{Objective, Policy};
use curranthook_types::{
    kind,
    price::{Micros, Rate},
    refusal, version,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::market::{Difficulty, Setup, TARGET_QUALITY, request, simulate};

#[yare::parameterized(
    latency = { Objective::Latency, Difficulty::Independent },
    exposure = { Objective::Exposure, Difficulty::Independent },
    latency_shared = { Objective::Latency, Difficulty::Shared },
    exposure_shared = { Objective::Exposure, Difficulty::Shared },
)]
fn costs_less_than_the_best_version_at_the_target_quality(
    weigh: Objective,
    difficulty: Difficulty,
) {
    let policy = Policy { weigh, ..Policy::default() };
    let setup = Setup { rater: Rater::Up, difficulty, n_requests: 4_000 };
    for seed in 0..5 {
        let curranthook = simulate("curranthook", &policy, setup, seed);
        let best = simulate("best", &policy, setup, seed);
        assert!(
            TARGET_QUALITY <= curranthook.quality(),
            "quality {} with seed {seed}",
            curranthook.quality()
        );
        let ratio = curranthook.mean_cost() / best.mean_cost();
        assert!(ratio <= 0.7, "{ratio} of the cost of the best with seed {seed}");
    }
}

/// By chance, the best version is rated low at first, or a medium one high. If that were never
/// corrected, all later callers would get the answers of the medium version.
#[test]
fn early_misleading_ratings_are_corrected() {
    let setup = Setup { rater: Rater::Up, difficulty: Difficulty::Shared, n_requests: 20_000 };
    let policy = Policy { weigh: Objective::Exposure, ..Policy::default() };
    for seed in 0..20 {
        let quality = simulate("curranthook", &policy, setup, seed).quality();
        assert!(TARGET_QUALITY <= quality, "quality {quality} with seed {seed}");
    }
}

/// If versions fail on different requests, a cascade of two cheap versions may be as good as an
/// expensive one. It must be used once ratings prove it, and only then.
#[test]
fn cheap_cascades_are_used_once_ratings_prove_them() {
    let run = |difficulty| {
        let setup = Setup { rater: Rater::Up, difficulty, n_requests: 40_000 };
        simulate("curranthook", &Policy::default(), setup, 1)
    };
    let (independent, shared) = (run(Difficulty::Independent), run(Difficulty::Shared));
    assert!(TARGET_QUALITY <= independent.quality() && TARGET_QUALITY <= shared.quality());
    let ratio = independent.mean_cost() / shared.mean_cost();
    assert!(ratio < 0.8, "{ratio} of the cost with shared difficulty");
}

/// The rating service is down. Without ratings, wrong answers of a cheap version go unnoticed, so
/// no version of uncertain quality is tried.
#[test]
fn target_is_met_while_the_rating_service_is_down() {
    let setup = Setup { rater: Rater::Down, difficulty: Difficulty::Shared, n_requests: 4_000 };
    let tally = simulate("curranthook", &Policy::default(), setup, 1);
    assert!(TARGET_QUALITY <= tally.quality(), "quality {}", tally.quality());
}

/// The quality of a version for one kind of work drops in service. Callers get answers below their
/// target quality until the estimate follows.
#[test]
fn estimate_follows_a_drop_in_quality() {
    let (kind, now) = (kind::Id::new("summary"), Instant::now());
    let id = version::Id::new("m@1");
    let mut chooser = Chooser::new(Policy::default(), 1);
    (0..2_000).for_each(|_| chooser.record_rating(&kind, &id, 1.0, now));
    (0..500).for_each(|_| chooser.record_rating(&kind, &id, 0.0, now));
    let quality = chooser.quality(&kind, &id).expect("the version was rated");
    assert!(quality < 0.5, "{quality}");
}

#[test]
fn latency_sensitive_streams_get_no_cascade() {
    let (kind, ids) = (kind::Id::new("summary"), ["m@1", "m@2"].map(version::Id::new));
    let rates = [10, 1_000].map(|it| Rate { prompt: Micros(0), completion: Micros(it) });
    let candidates = [
        Candidate { id: &ids[0], rate: &rates[0], prior: Some(0.7) },
        Candidate { id: &ids[1], rate: &rates[1], prior: Some(0.99) },
    ];
    let policy = Policy { exploration: 0.0, ..Policy::default() };
    let whole = request(&kind, 0.7, &candidates);
    let stream = Request { delivery: Delivery::Stream, ..whole };
    let n_cascades = |request: &Request<'_>| {
        let mut chooser = Chooser::new(policy.clone(), 1);
        let plans = (0..100).map(|_| chooser.plan(request).expect("there are versions"));
        plans.filter(|it| it.second.is_some()).count()
    };
    assert!(0 < n_cascades(&whole), "there is time for both stages");
    assert_eq!(n_cascades(&stream), 0);
    let mut exposure_chooser = Chooser::new(Policy { weigh: Objective::Exposure, ..policy }, 1);
    (0..50).for_each(|_| exposure_chooser.record_rating(&kind, &ids[1], 1.0, Instant::now()));
    assert_eq!(exposure_chooser.plan(&stream).map(|it| it.reason), Ok(Reason::Cascade));
}

/// A cheap version's provider claims more quality than it has. Each answer until this is detected
/// may be bad, so detection must take only tens of answers, and later answers must compensate. An
/// honest version of nearly the same price makes the overclaimed one useless once its quality is
/// known.
#[test]
fn overclaimed_version_is_detected_within_60_answers() {
    for seed in 0..20 {
        let (n_overclaimed, quality) = serve_with_overclaimed_version(seed);
        assert!(
            n_overclaimed < 60,
            "{n_overclaimed} answers by the overclaimed version with seed {seed}"
        );
        assert!(TARGET_QUALITY <= quality, "quality {quality} with seed {seed}");
    }
}

/// Returns how many of 2,000 requests the overclaimed version answers without a second stage, and
/// the quality of all answers.
fn serve_with_overclaimed_version(seed: u64) -> (u32, f64) {
    let (kind, now) = (kind::Id::new("summary"), Instant::now());
    let ids = ["m@over", "m@middle", "m@large"].map(version::Id::new);
    let rates = [100, 120, 1_000].map(|it| Rate { prompt: Micros(0), completion: Micros(it) });
    let claimed_quality = [0.95, 0.86, 0.97];
    let true_quality = [0.5, 0.86, 0.97];
    let candidates = [0, 1, 2].map(|it| Candidate {
        id: &ids[it],
        rate: &rates[it],
        prior: Some(claimed_quality[it]),
    });
    let request = Request { scope: Scope::Session, ..request(&kind, TARGET_QUALITY, &candidates) };
    let mut chooser = Chooser::new(Policy { exploration: 0.0, ..Policy::default() }, seed);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (mut n_overclaimed, mut n_good) = (0, 0);
    for _ in 0..2_000 {
        let plan = chooser.plan(&request).expect("there are versions");
        let index = ids.iter().position(|it| *it == plan.first).expect("an allowed version");
        let is_good = rng.random::<f64>() < true_quality[index];
        if plan.sample == Sample::Rate {
            chooser.record_rating(&kind, &plan.first, f64::from(u8::from(is_good)), now);
        }
        n_overclaimed += u32::from(plan.first == ids[0]);
        n_good += u32::from(is_good);
    }
    (n_overclaimed, f64::from(n_good) / 2_000.0)
}

/// A session stays on the version it started with, so a second stage would never be used.
#[yare::parameterized(latency = { Objective::Latency }, exposure = { Objective::Exposure })]
fn sessions_get_no_cascade(weigh: Objective) {
    let kind = kind::Id::new("summary");
    let ids = ["m@1", "m@2", "m@3"].map(version::Id::new);
    let rates = [10, 100, 1_000].map(|it| Rate { prompt: Micros(0), completion: Micros(it) });
    let candidates = [0, 1, 2].map(|it| Candidate {
        id: &ids[it],
        rate: &rates[it],
        prior: Some([0.7, 0.9, 0.99][it]),
    });
    let request = Request { scope: Scope::Session, ..request(&kind, 0.85, &candidates) };
    let mut chooser = Chooser::new(Policy { weigh, ..Policy::default() }, 1);
    for _ in 0..1_000 {
        assert_eq!(chooser.plan(&request).expect("there are versions").second, None);
    }
}

#[test]
fn refusals_have_a_reason() {
    let (kind, id, rate) = (kind::Id::new("k"), version::Id::new("m@1"), Rate::default());
    let mut chooser = Chooser::new(Policy::default(), 1);
    let none = request(&kind, 0.9, &[]);
    assert_eq!(chooser.plan(&none), Err(refusal::Reason::NotAllowed));
    let candidates = [Candidate { id: &id, rate: &rate, prior: None }];
    let late = Request { time_left: Duration::ZERO, ..request(&kind, 0.9, &candidates) };
    assert_eq!(chooser.plan(&late), Err(refusal::Reason::Deadline));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Regardless of earlier ratings, a plan uses only candidates, fits into the time left, and
    /// explores no more than the configured share.
    #[test]
    fn plans_respect_candidates_deadline_and_exploration_share(
        seed in any::<u64>(),
        candidate_mask in 1_usize..32,
        ratings in proptest::collection::vec((0_usize..6, 0.0_f64..=1.0), 0..200),
        target in 0.0_f64..1.0,
        time_left in 1_u64..20_000,
        exploration in 0.0_f64..0.3,
        is_latency_sensitive in any::<bool>(),
    ) {
        let kind = kind::Id::new("k");
        let ids = [1, 2, 3, 4, 5, 6].map(|it| version::Id::new(format!("m@{it}")));
        let rates = [60, 50, 40, 300, 20, 10].map(|it| Rate { prompt: Micros(it), completion: Micros(it) });
        let candidates: Vec<Candidate<'_>> = (0..5)
            .filter(|it| candidate_mask >> it & 1 == 1)
            .map(|it| Candidate { id: &ids[it], rate: &rates[it], prior: Some(0.5) })
            .collect();
        let weigh = if is_latency_sensitive { Objective::Latency } else { Objective::Exposure };
        let mut chooser = Chooser::new(Policy { exploration, weigh, ..Policy::default() }, seed);
        let now = Instant::now();
        // Seconds per answer: as recorded, or as assumed for an unknown version.
        let mut answer_seconds = [5; 6];
        for (version, rating) in ratings {
            answer_seconds[version] = version as u64;
            chooser.record_rating(&kind, &ids[version], rating, now);
            chooser.record_duration(&ids[version], Duration::from_millis(version as u64 * 1_000), 1_000);
        }
        let request = Request {
            time_left: Duration::from_millis(time_left),
            delivery: if is_latency_sensitive { Delivery::Stream } else { Delivery::Whole },
            ..request(&kind, target, &candidates)
        };
        let mut n_explored = 0.0;
        for _ in 0..100 {
            let plan = chooser.plan(&request).expect("there are versions");
            let is_allowed = |id: &version::Id| candidates.iter().any(|it| it.id == id);
            prop_assert!(is_allowed(&plan.first));
            prop_assert!(plan.second.as_ref().is_none_or(is_allowed));
            prop_assert_ne!(Some(&plan.first), plan.second.as_ref());
            if let Some(second) = &plan.second {
                let time = |id| answer_seconds[ids.iter().position(|it| it == id).expect("known")];
                let total_time = Duration::from_secs(time(&plan.first) + time(second));
                prop_assert!(total_time <= request.time_left, "{plan:?} needs {total_time:?}");
            }
            n_explored += f64::from(u8::from(plan.reason == Reason::Explore));
        }
        prop_assert!(n_explored <= exploration * 100.0 + 1.0);
    }

    /// Gossip between nodes repeats totals and may deliver them late. If a repeated or older total
    /// were added again, its ratings would count twice and distort the estimate.
    #[test]
    fn merging_ignores_repeated_and_older_totals(totals in proptest::collection::vec(1_u64..100, 1..20)) {
        let (kind, id) = (kind::Id::new("k"), version::Id::new("m@1"));
        let counts = |n: u64| Counts { n, sum: n as f64 * 0.25 };
        let newest = *totals.iter().max().expect("there is one");
        let (mut merged_once, mut merged_repeatedly) =
            (Chooser::new(Policy::default(), 1), Chooser::new(Policy::default(), 1));
        merged_once.merge(&kind, &id, counts(newest));
        totals.iter().chain(&totals).for_each(|it| merged_repeatedly.merge(&kind, &id, counts(*it)));
        let quality = |it: &Chooser| it.quality(&kind, &id).expect("the version was rated");
        prop_assert!((quality(&merged_once) - quality(&merged_repeatedly)).abs() < 0.02);
    }
}
