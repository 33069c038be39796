//! Tests of the sequential test: it detects bad versions soon, raises few false alarms, and accepts
//! counts in any order.

mod fleet;

use curranthook_policy::verdict::{
    Config, Counts, Origin, Outcome, Reason, Reference, Sample, State, Test,
};
use proptest::prelude::*;

use crate::fleet::{Fleet, Sampling, Setup, established_reference};

const SETUP: Setup = Setup {
    config: Config { alpha: 0.01, horizon: 1_000, min_effect: 0.02 },
    reference: Reference::Own,
    base_sampling: 0.3,
    sampling: Sampling::Adaptive,
    exchange_every: 4,
    good_quality: 0.9,
    bad_quality: 0.5,
};

/// A version's quality drops in service, for example because an adapter was loaded wrongly. Its
/// answers look normal but are useless to callers until the version is stopped.
#[test]
fn degraded_version_is_stopped() {
    let bad_answers = (0..60).map(|seed| {
        let mut fleet = Fleet::new(SETUP, seed);
        assert_eq!(fleet.run_good(2_000), None, "false alarm with seed {seed}");
        fleet.run_bad(5_000)
    });
    let mut bad_answers: Vec<u64> = bad_answers.collect();
    bad_answers.sort_unstable();
    assert!(bad_answers.iter().sum::<u64>() < 60 * 45, "mean too high: {bad_answers:?}");
    assert!(
        bad_answers[54] < 60,
        "nine in ten runs must stay below 60 bad answers: {bad_answers:?}"
    );
}

/// A new version is worse than the version it replaces, from its first answer on. Nearly all runs
/// must stop it before it has given 60 answers.
#[test]
fn bad_new_version_is_stopped() {
    let setup = Setup {
        reference: established_reference(0.9),
        base_sampling: 0.1,
        exchange_every: 16,
        ..SETUP
    };
    let bad_answers = (0..60).map(|seed| Fleet::new(setup, seed).run_bad(5_000));
    let n_below_limit = bad_answers.filter(|it| *it < 60).count();
    assert!(57 <= n_below_limit, "{n_below_limit} of 60 runs stayed below 60");
}

/// The quality does not change. A false alarm would take a good version away from all callers.
#[test]
fn healthy_version_raises_no_alarm() {
    for reference in [established_reference(0.9), Reference::Own] {
        let setup = Setup { reference, ..SETUP };
        let false_alarms =
            (0..100).filter(|seed| Fleet::new(setup, *seed).run_good(4_000).is_some());
        let n_alarms = false_alarms.count();
        assert!(n_alarms <= 1, "{n_alarms} false alarms in 100 runs");
    }
}

/// A version starts to fail, or to give empty or endless answers. This must be detected without
/// ratings.
#[yare::parameterized(
    errors = { Outcome::Error, 0, Reason::Errors },
    empty = { Outcome::Answered, 0, Reason::Short },
    endless = { Outcome::Answered, 30_000, Reason::Long },
)]
fn unrated_faults_are_detected(outcome: Outcome, tokens: u64, expected: Reason) {
    let mut test = Test::new(Config::default(), established_reference(0.9));
    for _ in 0..60 {
        test.add(Sample { rating: None, outcome, tokens });
    }
    assert_eq!(test.state(), State::Suspect(expected));
}

#[test]
fn sampling_rate_rises_after_a_bad_rating() {
    let mut test = Test::new(Config::default(), established_reference(0.9));
    let sample = |rating| Sample { rating: Some(rating), outcome: Outcome::Answered, tokens: 200 };
    assert_eq!(test.sampling_rate(0.1), 1.0, "every answer of a new version is rated");
    (0..60).for_each(|_| test.add(sample(1.0)));
    assert!(test.sampling_rate(0.1) < 0.2, "few answers of a good version are rated");
    test.add(sample(0.0));
    assert!(0.9 < test.sampling_rate(0.1), "one bad rating raises the rate");
}

fn counts(n: u64) -> Counts {
    Counts { n, sum: n as f64 * 0.8, squares: n as f64 * 0.8, calls: n, ..Counts::default() }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Gossip repeats counts and delivers them out of order. If one were counted twice, a node
    /// would see bad ratings that were never given.
    #[test]
    fn merging_ignores_order_and_repeats(
        merges in proptest::collection::vec((0_u64..3, 0_u64..200), 1..40),
        rotation in 0_usize..40,
    ) {
        let origin = |it: u64| Origin { vm: "vm".into(), incarnation: it };
        let total = |merges: &[(u64, u64)]| {
            let mut test = Test::new(Config::default(), Reference::Own);
            for (from, n) in merges {
                test.merge_counts(&origin(*from), counts(*n));
            }
            (test.total().n, test.total().calls)
        };
        let mut reordered = merges.clone();
        reordered.rotate_left(rotation % merges.len());
        reordered.extend_from_slice(&merges);
        prop_assert_eq!(total(&merges), total(&reordered));

        let newest = (0..3).map(|from| {
            merges.iter().filter(|it| it.0 == from).map(|it| it.1).max().unwrap_or(0)
        });
        prop_assert_eq!(total(&merges).0, newest.sum::<u64>());
    }
}
