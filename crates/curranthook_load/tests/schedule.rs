//! The schedule depends only on its seed, not on the server.

use std::time::Duration;

use curranthook_load::{
    plan,
    scenario::Scenario,
    schedule::{self, Phase, Spacing},
};
use proptest::prelude::*;
use yare::parameterized;

fn phase(seconds: u64, rate: f64, spacing: Spacing) -> Phase {
    Phase { duration: Duration::from_secs(seconds), rate, spacing }
}

proptest! {
    #[test]
    fn same_seed_gives_same_arrivals_in_order(seed: u64, rate in 0.0..300.0, seconds in 1_u64..8) {
        let phases = [phase(seconds, rate, Spacing::Poisson), phase(1, rate, Spacing::Fixed)];
        let arrivals = schedule::arrivals(&phases, seed);
        prop_assert_eq!(&arrivals, &schedule::arrivals(&phases, seed));
        prop_assert!(arrivals.is_sorted_by_key(|it| it.at));
        let end = Duration::from_secs(seconds + 1);
        prop_assert!(arrivals.iter().all(|it| it.at < end));
        let begin = Duration::from_secs(seconds);
        prop_assert!(arrivals.iter().all(|it| (begin <= it.at) == (it.phase == 1)));
    }
}

#[parameterized(
    slow = { 20.0 },
    fast = { 400.0 },
)]
fn poisson_arrivals_match_the_rate(rate: f64) {
    const SECONDS: u32 = 200;
    let arrivals = schedule::arrivals(&[phase(SECONDS.into(), rate, Spacing::Poisson)], 7);
    let expected = rate * f64::from(SECONDS);
    // Five standard deviations of a Poisson count.
    let tolerance = 5.0 * expected.sqrt();
    let difference = (arrivals.len() as f64 - expected).abs();
    assert!(difference < tolerance, "{} arrivals, {expected} expected", arrivals.len());
}

#[test]
fn plan_depends_on_the_seed_alone() {
    let scenario = Scenario::load(std::path::Path::new("../../scenarios/mekong.yaml")).unwrap();
    let plan = plan::requests(&scenario, 3);
    assert_eq!(plan, plan::requests(&scenario, 3));
    assert_ne!(plan, plan::requests(&scenario, 4));
    let mut ids: Vec<_> = plan.iter().map(|it| &it.id).collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), plan.len(), "request ids are unique");
}

#[test]
fn sessions_do_not_exceed_their_length() {
    let scenario = Scenario::load(std::path::Path::new("../../scenarios/mekong.yaml")).unwrap();
    let mut lengths = std::collections::BTreeMap::<String, u64>::new();
    for request in plan::requests(&scenario, 1) {
        let session_length = scenario.kinds[&request.kind].session_length;
        assert_eq!(request.session.is_some(), session_length.is_some());
        let Some(session) = request.session else { continue };
        let n = lengths.entry(session).or_default();
        *n += 1;
        assert!(*n <= session_length.unwrap(), "a session is longer than the scenario says");
    }
    assert!(!lengths.is_empty());
}
