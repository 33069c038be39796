//! Placing, cascading and repeating, without a network.

use std::time::{Duration, Instant};

use curranthook_gateway::{
    cascade::{self, Forecast, Targets},
    placement::{self, CacheHolders, Candidate, Locality, Task},
    retry_budget::{Budget, Limit},
    splitter::Splitter,
    startup::{self, Waiters},
};
use yare::parameterized;

fn idle(id_hash: u64) -> Candidate {
    Candidate {
        id_hash,
        wait: Duration::ZERO,
        failure_rate: 0.0,
        locality: Locality::SameDomain,
        has_prefix_cached: false,
    }
}

fn task(prefix_hash: u64, prefill_ms: u64) -> Task {
    let prefix_prefill = Duration::from_millis(prefill_ms);
    Task {
        prefix_hash: Some(prefix_hash),
        prefix_prefill,
        holders: CacheHolders::Guessed,
        salt: prefix_hash,
    }
}

/// Two nodes that see the same endpoints in another order send the same parts to the same one.
#[test]
fn nodes_agree_on_homes_without_a_message() {
    let ours: Vec<_> = (1..=12).map(idle).collect();
    let theirs: Vec<_> = ours.iter().rev().copied().collect();
    for prefix_hash in 0..200 {
        let task = task(prefix_hash, 300);
        let at = |all: &[Candidate]| all[placement::choose(all, &task).unwrap()].id_hash;
        assert_eq!(at(&ours), at(&theirs));
    }
}

/// Parts that nobody has read yet go to an idle endpoint rather than to their busy home, and to the
/// one that read them wherever that is.
#[test]
fn parts_are_sent_where_they_are_known_to_be() {
    let mut all: Vec<_> = (1..=12).map(idle).collect();
    let guessed = task(7, 600);
    let home = placement::choose(&all, &guessed).unwrap();
    all[home].wait = Duration::from_millis(300);
    assert_eq!(placement::choose(&all, &guessed), Some(home));
    let known = Task { holders: CacheHolders::Known, ..guessed };
    assert_ne!(placement::choose(&all, &known), Some(home));
    let other = (home + 5) % all.len();
    all[other].has_prefix_cached = true;
    assert_eq!(placement::choose(&all, &known), Some(other));
}

/// One endpoint of twelve goes. Only what had its home there moves; the rest is still found.
#[test]
fn the_loss_of_an_endpoint_moves_only_its_own() {
    let all: Vec<_> = (1..=12).map(idle).collect();
    let moved = (0..1_200).filter(|prefix_hash| {
        let task = task(*prefix_hash, 300);
        let before = all[placement::choose(&all, &task).unwrap()].id_hash;
        let after = all[..11][placement::choose(&all[..11], &task).unwrap()].id_hash;
        before != after
    });
    let moved = moved.count();
    assert!((60..150).contains(&moved), "{moved} of 1200, a twelfth is 100");
}

/// A subject is asked for by everybody at once. Its home fills up, and when waiting there takes
/// longer than reading the parts elsewhere, others help.
#[test]
fn a_busy_home_is_passed_over() {
    let mut all: Vec<_> = (1..=4).map(idle).collect();
    let task = task(7, 300);
    let home = placement::choose(&all, &task).unwrap();
    all[home].wait = Duration::from_millis(200);
    assert_eq!(placement::choose(&all, &task), Some(home), "waiting is shorter than reading");
    all[home].wait = Duration::from_millis(400);
    assert_ne!(placement::choose(&all, &task), Some(home));
}

/// An endpoint fails most requests while its health check is good. Callers would see it in one
/// request of four; it's left alone as long as others are there.
#[test]
fn a_failing_endpoint_is_left_alone() {
    let mut all: Vec<_> = (1..=4).map(idle).collect();
    all[2].failure_rate = 0.6;
    for salt in 0..100 {
        let holders = CacheHolders::Guessed;
        let task = Task { prefix_hash: None, prefix_prefill: Duration::ZERO, holders, salt };
        assert_ne!(placement::choose(&all, &task), Some(2));
    }
}

/// The small model is unsure, and how long the large one takes grows with the load. It's asked
/// as long as its answer is likely to come in time, and no longer.
#[parameterized(
    idle_unsure = { 10, 700, 2_000, true },
    idle_sure = { 80, 700, 2_000, false },
    late_but_unsure = { 20, 2_600, 5_000, false },
    rather_unsure = { 30, 1_900, 4_000, true },
    even = { 49, 300, 2_000, true },
    rather_sure = { 60, 300, 2_000, false },
    never_whole = { 0, 1_000, 20_000, false },
)]
fn a_larger_model_is_asked_if_it_helps(confidence: u8, first: u64, last: u64, expected: bool) {
    let ms = Duration::from_millis;
    let targets = Targets { objective: ms(2_000), deadline: ms(15_000) };
    let small = Forecast { first_event: ms(100), last_event: ms(900), cost: 0.0 };
    let large =
        Forecast { first_event: ms(first), last_event: ms(last), cost: cascade::LARGE_MODEL_COST };
    assert_eq!(cascade::should_escalate(confidence, &small, &large, &targets), expected);
}

/// All endpoints fail for a while, and every request would be sent again and again. The nodes of
/// a fleet together stay within the bound, in any span of its length.
#[test]
fn a_fleet_keeps_the_bound_on_repeats() {
    let limit = Limit { ratio: 0.9, slack: 52.0, window: Duration::from_secs(10) };
    let (start, n_nodes) = (Instant::now(), 6);
    let mut nodes: Vec<_> = (0..n_nodes).map(|_| Budget::new(limit)).collect();
    let mut retries = Vec::new();
    let mut requests = 0;
    for tick in 0..400_u64 {
        let now = start + Duration::from_millis(tick * 50);
        for node in &mut nodes {
            node.record_request("models", now);
            requests += 1;
            (0..3)
                .filter(|_| node.try_spend("models", n_nodes, now))
                .for_each(|_| retries.push(now));
        }
    }
    let requests_per_window = f64::from(requests) / 2.0;
    for from in (0..200).map(|it| start + Duration::from_millis(it * 50)) {
        let inside = |at: &&Instant| from <= **at && **at < from + limit.window;
        let n = retries.iter().filter(inside).count() as f64;
        assert!(n <= limit.ratio * requests_per_window + limit.slack, "{n} retries in a window");
    }
}

/// Thousands of callers come to a node that has no configuration. Only so many may wait in its memory;
/// the others hear at once when to come back, until one of those that wait is answered or leaves.
#[test]
fn only_so_many_requests_wait_for_a_configuration() {
    let waiters = Waiters::default();
    let mut slots: Vec<_> = (0..2_000).filter_map(|_| waiters.try_enter()).collect();
    assert_eq!(slots.len(), startup::MAX_WAITERS);
    assert!(waiters.try_enter().is_none());
    slots.pop();
    assert!(waiters.try_enter().is_some(), "a place that was left is free again");
}

/// Bytes come in pieces of any size. What is passed on is the same, whole events only, and what
/// is left is the beginning of the next one.
#[test]
fn events_are_the_same_however_they_are_cut() {
    let text: Vec<u8> =
        (1..=20).flat_map(|n| format!("id: {n}\ndata: e{n}\n\n").into_bytes()).collect();
    let all = [&text[..], b"id: 21\nda"].concat();
    for size in 1..60 {
        let (mut splitter, mut out) = (Splitter::default(), Vec::new());
        let (mut count, mut last) = (0, None);
        for piece in all.chunks(size) {
            if let Some(events) = splitter.push(piece) {
                out.extend_from_slice(&events.bytes);
                count += events.count;
                last = events.last_id.or(last);
            }
        }
        assert_eq!(
            (out.as_slice(), count, last),
            (text.as_slice(), 20, Some(20)),
            "pieces of {size}"
        );
        assert!(!splitter.is_empty());
    }
}
