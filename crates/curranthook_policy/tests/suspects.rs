//! Tests of the detection of prompt parts that crash endpoints.

use std::time::{Duration, Instant};

use curranthook_policy::suspects::{Crash, Decision, Part, Suspects, Verdict};

const S: Duration = Duration::from_secs(1);

/// Records a crash under each of a request's parts, and adopts the verdicts.
fn crash(it: &mut Suspects, endpoint: u64, request: u64, parts: &[Part], now: Instant) -> usize {
    let crash = Crash { endpoint, request, parts, at: now };
    let verdicts = parts.iter().filter_map(|part| it.record_crash(*part, &crash, now));
    let verdicts: Vec<Verdict> = verdicts.collect();
    verdicts.into_iter().filter(|verdict| it.record_verdict(verdict.clone())).count()
}

/// Records of a node that has answered other parts at `now`.
fn suspects(now: Instant) -> Suspects {
    let mut it = Suspects::new(64);
    it.record_answer(&[98], now, now, now);
    it
}

/// Records answers on another part that began at `at`.
fn answer_others(it: &mut Suspects, at: Instant) {
    (0..3).for_each(|_| _ = it.record_answer(&[99], at, at, at));
}

/// Guards against refusing what all requests have in common because all endpoints crash at once, so
/// that nothing is answered.
#[test]
fn nothing_is_refused_while_nothing_is_answered() {
    let (mut it, now) = (Suspects::new(64), Instant::now());
    (0..20).for_each(|n| _ = crash(&mut it, n, n, &[1, n % 3 + 2], now));
    let later = now + S;
    assert_eq!(it.decide(&[1, 2], later, false), Decision::Admit);
    // Once other requests are answered, further crashes show which part it is.
    it.record_answer(&[1, 3], later, later, later);
    (30..33).for_each(|n| _ = crash(&mut it, n, n, &[1, 2], later + S));
    assert_eq!(it.decide(&[1, 9], later + 2 * S, false), Decision::Admit);
    assert_eq!(it.decide(&[1, 2], later + 2 * S, false), Decision::Refuse(2));
}

/// Guards against refusing what was answered before all endpoints crash at once, and against waiting
/// for answers before a part is refused that never was.
#[test]
fn part_that_was_never_answered_is_refused_at_once() {
    let (mut it, now) = (Suspects::new(64), Instant::now());
    (0..3).for_each(|_| _ = it.record_answer(&[1, 3], now, now, now));
    (1..5).for_each(|n| _ = crash(&mut it, n, n, &[1, 2], now + S));
    (1..5).for_each(|n| _ = crash(&mut it, n, n + 10, &[1, 3], now + S));
    let later = now + 2 * S;
    assert_eq!(it.decide(&[1, 2], later, false), Decision::Refuse(2));
    assert_eq!(it.decide(&[1, 3], later, false), Decision::Admit);
}

/// Guards against refusing a part whose requests wait at endpoints that are killed one after the other,
/// because answers to earlier requests on others begin meanwhile.
#[test]
fn answers_to_earlier_requests_tell_nothing_of_a_part() {
    let (mut it, now) = (suspects(Instant::now()), Instant::now());
    it.record_answer(&[1, 2], now, now, now);
    let killed_at = now + S;
    (0..4).for_each(|n| _ = crash(&mut it, n, n, &[1, 2], killed_at));
    let (sent_at, begun_at) = (killed_at - S / 2, killed_at + S);
    (0..3).for_each(|_| _ = it.record_answer(&[1, 3], sent_at, begun_at, begun_at));
    assert_eq!(it.decide(&[1, 2], begun_at, false), Decision::Admit);
    let sent_at = killed_at + S / 10;
    (0..3).for_each(|_| _ = it.record_answer(&[3], sent_at, begun_at, begun_at));
    assert_eq!(it.decide(&[1, 2], begun_at, false), Decision::Refuse(2));
}

/// Guards against blaming the parts of a sound request that is resumed at endpoints which crash for
/// another reason.
#[test]
fn one_request_in_many_crashes_is_not_enough() {
    let now = Instant::now();
    let mut it = suspects(now);
    assert!((0..8).all(|endpoint| crash(&mut it, endpoint, 1, &[7], now) == 0));
    assert_eq!(it.decide(&[7], now + S, false), Decision::Admit);
}

/// Guards against blaming a part for the crash of one endpoint under many requests.
#[test]
fn many_requests_in_one_crash_are_not_enough() {
    let now = Instant::now();
    let mut it = suspects(now);
    assert!((0..50).all(|request| crash(&mut it, 1, request, &[7], now) == 0));
}

/// Guards against refusing sound requests that share some of the parts which the crashes don't tell
/// apart.
#[test]
fn parts_that_came_together_are_refused_together() {
    let now = Instant::now();
    let mut it = suspects(now);
    (0..4).for_each(|n| _ = crash(&mut it, n, n, &[1, 7], now));
    let later = now + S;
    answer_others(&mut it, later);
    assert!(matches!(it.decide(&[1, 7, 9], later, false), Decision::Refuse(_)));
    assert_eq!(it.decide(&[1, 9], later, false), Decision::Admit);
    assert_eq!(it.decide(&[2, 7], later, false), Decision::Admit);
    // An answer on one of them leaves the other.
    it.record_answer(&[1], later, later, later);
    assert_eq!(it.decide(&[2, 7], later, false), Decision::Refuse(7));
}

/// Guards against refusing a part that is answered elsewhere while endpoints crash.
#[test]
fn answered_part_is_not_blamed() {
    let now = Instant::now();
    let mut it = suspects(now);
    for n in 0..12_u32 {
        let at = now + S * n;
        assert_eq!(crash(&mut it, n.into(), n.into(), &[1], at), 0);
        if n % 3 == 2 {
            it.record_answer(&[1], at + S / 2, at + S / 2, at + S / 2);
        }
    }
}

/// Guards against a false verdict that reaches nodes after the answer that disproves it.
#[test]
fn node_that_knows_of_an_answer_does_not_adopt_a_verdict() {
    let now = Instant::now();
    let (mut judge, mut other) = (suspects(now), Suspects::new(64));
    let crashed = |n| Crash { endpoint: n, request: n, parts: &[7], at: now };
    let verdict = (0..4).find_map(|n| judge.record_crash(7, &crashed(n), now)).unwrap();
    other.record_answer(&[7], now + S / 10, now + S / 10, now + S);
    assert!(other.is_disproved(&verdict) && !other.record_verdict(verdict));
    assert_eq!(other.decide(&[7], now + 2 * S, false), Decision::Admit);
}

/// Guards against a false verdict that stays in force at some nodes, because the one that knows better
/// has just objected to an earlier one.
#[test]
fn node_objects_to_each_verdict_that_it_disproves() {
    let (mut it, now) = (suspects(Instant::now()), Instant::now());
    let verdict = |first_crash| Verdict {
        part: 7,
        together: [7].into(),
        n_crashes: 4,
        first_crash,
        since: first_crash + S / 10,
    };
    let begun_at = now + S / 10;
    it.record_answer(&[7], now, begun_at, begun_at);
    assert!(!it.record_verdict(verdict(now)));
    assert!(it.objects(7, true, begun_at, begun_at));
    // Copies of the verdict that other nodes pass on.
    assert!(!it.record_verdict(verdict(now)));
    assert!(!it.objects(7, true, begun_at, begun_at));
    let (first_crash, begun_at) = (begun_at + S / 10, begun_at + S / 5);
    it.record_answer(&[7], first_crash, begun_at, begun_at);
    assert!(!it.record_verdict(verdict(first_crash)));
    assert!(it.objects(7, true, begun_at, begun_at));
}

/// Guards against refusing before nodes that know of an answer can say so.
#[test]
fn verdict_takes_effect_after_others_could_object() {
    let now = Instant::now();
    let mut it = suspects(now);
    (0..4).for_each(|n| _ = crash(&mut it, n, n, &[7], now));
    answer_others(&mut it, now + S / 20);
    assert_eq!(it.decide(&[7], now + S / 10, false), Decision::Admit);
    assert_eq!(it.decide(&[7], now + S / 2, false), Decision::Refuse(7));
}

/// Guards against a verdict that is never tested, and against tests that crash many endpoints.
#[test]
fn verdict_is_tested_twice_by_one_node() {
    let now = Instant::now();
    let mut it = suspects(now);
    (0..4).for_each(|n| _ = crash(&mut it, n, n, &[7], now));
    answer_others(&mut it, now + S / 2);
    let decisions: Vec<_> = (1..500).map(|s| it.decide(&[7], now + S * s, true)).collect();
    let n_tests = decisions.iter().filter(|it| **it == Decision::Test(7)).count();
    assert_eq!(n_tests, 2);
    assert!(decisions[..20].iter().all(|it| *it == Decision::Refuse(7)));
    assert!((1..500).all(|s| it.decide(&[7], now + S * s, false) == Decision::Refuse(7)));
}
