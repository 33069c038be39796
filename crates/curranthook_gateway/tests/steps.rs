//! Roll-outs: how much a bad version meets, and what speaks against one.

use std::time::Duration;

use curranthook_gateway::{
    rollouts::{Kind, Rollouts, Rule},
    steps::{self, Counts, Delay, Evidence, Phase, Schedule, Step},
    store::{Order, Rev},
};
use yare::parameterized;

fn order(time_limit: Duration) -> Order {
    Order { service: "models".to_owned(), target: "v2".to_owned(), time_limit }
}

fn step(phase: Phase, since: Duration) -> Step {
    let target = "v2".to_owned();
    Step { order: Rev(1), target, phase, began: Duration::ZERO, since }
}

fn counts(answers: u64, bad: u64) -> Counts {
    Counts { answers, bad, ..Counts::default() }
}

fn delays(ratios: impl IntoIterator<Item = f64>) -> Delay {
    let mut delay = Delay::default();
    ratios.into_iter().for_each(|it| delay.add(it));
    delay
}

/// A version whose faults nobody can see before it's in full use is completed. Until the end of
/// the order's time it has met no more requests than the bound allows, as otherwise a fault that
/// shows late would reach many callers.
#[parameterized(
    short = { 12, 0.15 },
    usual = { 24, 0.15 },
    large_fleet = { 24, 0.0975 },
    long = { 600, 0.05 },
)]
fn a_version_that_seems_good_stays_within_the_bound(seconds: u64, bound: f64) {
    let (schedule, order) = (Schedule::new(bound), order(Duration::from_secs(seconds)));
    let seen = Evidence { new: counts(100, 0), old: counts(1_000, 0) };
    let mut now = step(Phase::Waiting, Duration::ZERO);
    let (mut met, mut early) = (0.0, 0.0);
    let slices = 10_000;
    for slice in 0..slices {
        let at = order.time_limit.mul_f64(f64::from(slice) / f64::from(slices));
        if let Some(phase) = steps::due(&schedule, &order, &now, seen, at) {
            now = step(phase, at);
        }
        met += schedule.share(now.phase) / f64::from(slices);
        if slice < slices / 2 {
            early += schedule.share(now.phase);
        }
    }
    assert_eq!(now.phase, Phase::Completed, "it's done in time");
    assert!(met <= bound, "{met} of all requests met it");
    assert!(schedule.exposure() < bound);
    assert_eq!(early, 0.0, "sessions keep their version in the first half");
}

/// Half of a version's answers take eight times as long as usual. Single answers vary that much
/// by themselves, so only all of them together tell.
#[test]
fn a_slow_version_is_found() {
    let usual = || (0..200).map(|it| [0.4, 0.7, 1.0, 1.5, 2.5][it % 5]);
    let slow =
        (0..24).map(|it| [0.4, 0.7, 1.0, 1.5, 2.5][it % 5] * if it % 2 == 0 { 8.0 } else { 1.0 });
    let old = Counts { rest: delays(usual()), ..counts(200, 0) };
    let new = Counts { rest: delays(slow), ..counts(24, 0) };
    assert!(Evidence { new, old }.is_bad());
    let same = Counts { rest: delays(usual().take(24)), ..counts(24, 0) };
    assert!(!Evidence { new: same, old }.is_bad());
}

/// A new version's engines begin without the prompts that the old ones keep, so its first events
/// come later for a while. That's no fault of the version.
#[test]
fn cold_engines_are_no_bad_version() {
    let old =
        Counts { first: delays((0..200).map(|it| [0.5, 1.0, 2.0][it % 3])), ..counts(200, 0) };
    let new = Counts { first: delays((0..40).map(|it| [1.0, 2.0, 4.0][it % 3])), ..counts(40, 0) };
    assert!(!Evidence { new, old }.is_bad());
}

/// Nodes are killed while a version is on trial, and the old one's answers come late too. What
/// is slow at both must not hide that half of the new one's answers are failures.
#[test]
fn failures_are_seen_beside_a_disturbance() {
    let late = || delays((0..100).map(|_| 9.0));
    let old = Counts { first: late(), rest: late(), ..counts(280, 0) };
    let new = Counts { first: late(), rest: late(), ..counts(14, 6) };
    assert!(Evidence { new, old }.is_bad());
}

/// A plain service fails one lookup in seven, whichever version runs it. By chance a new version
/// meets a few more of them at first.
#[test]
fn what_fails_anyway_speaks_against_nobody() {
    let old = counts(97, 10);
    assert!(!Evidence { new: counts(24, 5), old }.is_bad());
    assert!(!Evidence { new: counts(9, 4), old: counts(20, 4) }.is_bad());
    assert!(Evidence { new: counts(22, 14), old: counts(52, 7) }.is_bad());
}

/// A node that was frozen comes back with an old step. Nothing follows a final one.
#[parameterized(completed = { Phase::Completed }, rolled_back = { Phase::RolledBack })]
fn nothing_follows_the_end(phase: Phase) {
    let (schedule, order) = (Schedule::new(0.15), order(Duration::from_secs(24)));
    let bad = Evidence { new: counts(100, 90), old: counts(100, 0) };
    let late = Duration::from_secs(1_000);
    assert_eq!(steps::due(&schedule, &order, &step(phase, Duration::ZERO), bad, late), None);
}

/// Nodes are cut off while a version is on trial, so few answers are known, and half of them are
/// failures: too few to condemn the version. Given to everybody on that, it would fail half of all
/// requests for seconds.
#[test]
fn a_doubtful_version_goes_no_further() {
    let (schedule, order) = (Schedule::new(0.15), order(Duration::from_secs(24)));
    let doubtful = Evidence { new: counts(6, 2), old: counts(96, 0) };
    let worse = Evidence { new: counts(6, 3), old: counts(96, 0) };
    for phase in [Phase::Canary, Phase::Partial] {
        let (late, at) = (Duration::from_secs(23), step(phase, Duration::ZERO));
        assert_eq!(steps::due(&schedule, &order, &at, doubtful, late), None);
        assert_eq!(steps::due(&schedule, &order, &at, worse, late), Some(Phase::RolledBack));
    }
    let few = Evidence { new: counts(7, 0), old: counts(96, 0) };
    let partial = step(Phase::Partial, Duration::ZERO);
    assert_eq!(steps::due(&schedule, &order, &partial, few, Duration::from_secs(23)), None);
}

/// A plain service has few requests, so that few answers are known when the first phase ends. Its
/// version goes on in time all the same; operators would otherwise see a good one reported late.
#[test]
fn a_version_of_a_quiet_service_goes_on_in_time() {
    let (schedule, order) = (Schedule::new(0.15), order(Duration::from_secs(24)));
    let seen = Evidence { new: counts(3, 0), old: counts(90, 5) };
    let canary = step(Phase::Canary, Duration::ZERO);
    let at = order.time_limit.mul_f64(0.85);
    assert_eq!(steps::due(&schedule, &order, &canary, seen, at), Some(Phase::Partial));
}

/// A node alone sees that the new version fails. It stops sending requests there at once, whatever
/// step the fleet is at; the store may be away, and the others may not have seen it yet.
#[test]
fn a_node_that_sees_failures_stops_by_itself() {
    let mut rollouts = Rollouts::new(Schedule::new(0.15));
    rollouts.apply_order(order(Duration::from_secs(24)), Rev(1), None);
    assert!(rollouts.apply_step("models", step(Phase::Full, Duration::ZERO), Rev(2)));
    assert_eq!(rollouts.rule("models", 7), Rule::Only("v2".to_owned()));
    let kind = Kind { route: "r", model: 0 };
    for n in 0..8 {
        let took = (n % 2 == 0).then_some(Duration::from_millis(50));
        rollouts.record_answer("models", "v1", kind, Some(Duration::from_millis(50)));
        rollouts.record_answer("models", "v2", kind, took);
    }
    for _ in 0..20 {
        rollouts.record_answer("models", "v1", kind, Some(Duration::from_millis(50)));
    }
    assert_eq!(rollouts.rule("models", 7), Rule::Not("v2".to_owned()));
}

/// A version fails at one kind of request only, so few of all its answers are failures; the old
/// version has none at all. Taken for good, it would go on failing that kind for everybody.
#[test]
fn failures_of_one_kind_of_request_are_found_among_many_good_answers() {
    let (schedule, order) = (Schedule::new(0.15), order(Duration::from_secs(24)));
    let late = Duration::from_secs(23);
    let one = Evidence { new: counts(33, 3), old: counts(333, 0) };
    assert!(one.is_bad());
    let canary = step(Phase::Canary, Duration::ZERO);
    let doubtful = Evidence { new: counts(11, 1), old: counts(120, 0) };
    assert!(!doubtful.is_bad());
    assert_eq!(steps::due(&schedule, &order, &canary, doubtful, late), None);
    // One failure among very many is no reason to wait.
    let fine = Evidence { new: counts(90, 1), old: counts(900, 2) };
    assert_eq!(steps::due(&schedule, &order, &canary, fine, late), Some(Phase::Partial));
}

/// Half of a version's answers take a few times as long. Few have ended when all requests could go
/// there, and the slow ones end last, so the rest of them look only somewhat late: not enough to
/// condemn the version, and too much to give it to everybody.
#[test]
fn a_version_that_seems_slow_goes_no_further() {
    let (schedule, order) = (Schedule::new(0.15), order(Duration::from_secs(17)));
    let usual = |n: usize| (0..n).map(|it| [0.4, 0.7, 1.0, 1.5, 2.5][it % 5]);
    let old = Counts { first: delays(usual(170)), rest: delays(usual(120)), ..counts(170, 0) };
    let partial = step(Phase::Partial, Duration::ZERO);
    let due = |factor: f64| {
        let times = || delays(usual(28).map(|it| it * factor));
        let new = Counts { first: times(), rest: times(), ..counts(28, 0) };
        steps::due(&schedule, &order, &partial, Evidence { new, old }, Duration::from_secs(16))
    };
    assert_eq!(due(1.5), None);
    assert_eq!(due(0.8), Some(Phase::Full));
    assert_eq!(due(1.1), Some(Phase::Full));
}
