//! Tests of placement, escalation, the retry budget, startup and event splitting, without a
//! network.

use std::time::{Duration, Instant};

use curranthook_gateway::{
    cascade::{self, Forecast, Targets},
    placement::{self, CacheHolders, Candidate, Locality, Task},
    retry_budget::{Budget, Limit, Part},
    splitter::Splitter,
    startup::{self, Waiters},
};
use curranthook_policy::slowdown::Outlook;
use yare::parameterized;

fn idle(id_hash: u64) -> Candidate {
    Candidate {
        id_hash,
        wait: Duration::ZERO,
        slowdown: Outlook::UNKNOWN,
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
        own_time: Duration::ZERO,
        holders: CacheHolders::Guessed,
        salt: prefix_hash,
    }
}

/// Two nodes that list the same endpoints in different orders must send the same prefix to the same
/// endpoint.
#[test]
fn nodes_prefer_the_same_endpoint_without_coordination() {
    let endpoints: Vec<_> = (1..=12).map(idle).collect();
    let reversed: Vec<_> = endpoints.iter().rev().copied().collect();
    for prefix_hash in 0..200 {
        let task = task(prefix_hash, 300);
        let preferred_id = |candidates: &[Candidate]| {
            candidates[placement::choose(candidates, &task).unwrap()].id_hash
        };
        assert_eq!(preferred_id(&endpoints), preferred_id(&reversed));
    }
}

/// If it is known which endpoints have a prefix cached, a prefix that none has cached is placed at
/// an idle endpoint rather than at its busy preferred one, and a cached prefix at the endpoint that
/// has it.
#[test]
fn known_cache_holders_take_precedence() {
    let mut endpoints: Vec<_> = (1..=12).map(idle).collect();
    let guessed = task(7, 600);
    let preferred = placement::choose(&endpoints, &guessed).unwrap();
    endpoints[preferred].wait = Duration::from_millis(300);
    assert_eq!(placement::choose(&endpoints, &guessed), Some(preferred));
    let known = Task { holders: CacheHolders::Known, ..guessed };
    assert_ne!(placement::choose(&endpoints, &known), Some(preferred));
    let other = (preferred + 5) % endpoints.len();
    endpoints[other].has_prefix_cached = true;
    assert_eq!(placement::choose(&endpoints, &known), Some(other));
}

/// One of twelve endpoints is lost. Only prefixes that preferred the lost endpoint may move; all
/// others stay at the endpoint that has them cached.
#[test]
fn losing_an_endpoint_moves_only_its_own_prefixes() {
    let endpoints: Vec<_> = (1..=12).map(idle).collect();
    let moved = (0..1_200).filter(|prefix_hash| {
        let task = task(*prefix_hash, 300);
        let before = endpoints[placement::choose(&endpoints, &task).unwrap()].id_hash;
        let after = endpoints[..11][placement::choose(&endpoints[..11], &task).unwrap()].id_hash;
        before != after
    });
    let moved = moved.count();
    assert!((60..150).contains(&moved), "{moved} of 1200, a twelfth is 100");
}

/// Many requests share one prefix at the same time. Once waiting at the prefix's preferred endpoint
/// takes longer than processing the prefix elsewhere, other endpoints get requests.
#[test]
fn a_busy_preferred_endpoint_is_skipped() {
    let mut endpoints: Vec<_> = (1..=4).map(idle).collect();
    let task = task(7, 300);
    let preferred = placement::choose(&endpoints, &task).unwrap();
    endpoints[preferred].wait = Duration::from_millis(200);
    assert_eq!(
        placement::choose(&endpoints, &task),
        Some(preferred),
        "waiting is shorter than prefill"
    );
    endpoints[preferred].wait = Duration::from_millis(400);
    assert_ne!(placement::choose(&endpoints, &task), Some(preferred));
}

/// One of four endpoints fails most requests while its health check passes, so up to one in four
/// requests would fail. The endpoint gets no requests as long as others are available.
#[test]
fn a_failing_endpoint_is_avoided() {
    let mut endpoints: Vec<_> = (1..=4).map(idle).collect();
    endpoints[2].failure_rate = 0.6;
    for salt in 0..100 {
        let holders = CacheHolders::Guessed;
        let task = Task {
            prefix_hash: None,
            prefix_prefill: Duration::ZERO,
            own_time: Duration::ZERO,
            holders,
            salt,
        };
        assert_ne!(placement::choose(&endpoints, &task), Some(2));
    }
}

/// The small model has low confidence, and the latency of the large one grows with the load. The
/// large model is called exactly while its answer is likely to arrive in time.
#[parameterized(
    idle_and_low_confidence = { 10, 700, 2_000, true },
    idle_and_high_confidence = { 80, 700, 2_000, false },
    late_and_low_confidence = { 20, 2_600, 5_000, false },
    on_time_and_low_confidence = { 30, 1_900, 4_000, true },
    on_time_and_even_confidence = { 49, 300, 2_000, true },
    on_time_and_high_confidence = { 60, 300, 2_000, false },
    misses_the_deadline = { 0, 1_000, 20_000, false },
)]
fn escalation_requires_a_better_expected_answer(
    confidence: u8,
    time_to_first_event_ms: u64,
    time_to_last_event_ms: u64,
    expected: bool,
) {
    let ms = Duration::from_millis;
    let targets = Targets { objective: ms(2_000), deadline: ms(15_000) };
    let small = Forecast { time_to_first_event: ms(100), time_to_last_event: ms(900), cost: 0.0 };
    let large = Forecast {
        time_to_first_event: ms(time_to_first_event_ms),
        time_to_last_event: ms(time_to_last_event_ms),
        cost: cascade::LARGE_MODEL_COST,
    };
    assert_eq!(cascade::should_escalate(confidence, &small, &large, &targets), expected);
}

/// All endpoints fail for a while, and every request would be retried again and again. The nodes of
/// a fleet together stay within the limit, in any window of its length.
#[test]
fn a_fleet_stays_within_the_retry_budget() {
    let limit = Limit { ratio: 0.9, slack: 52.0, window: Duration::from_secs(10) };
    let (start, n_nodes) = (Instant::now(), 6);
    let mut nodes: Vec<_> = (0..n_nodes).map(|_| Budget::new(limit, start)).collect();
    let mut retries = Vec::new();
    let mut requests = 0;
    for tick in 0..400_u64 {
        let now = start + Duration::from_millis(tick * 50);
        for node in &mut nodes {
            node.record_request("models", Part::OneOf(n_nodes), now);
            requests += 1;
            (0..3)
                .filter(|_| node.try_spend("models", Part::OneOf(n_nodes), now))
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

/// Thousands of requests arrive at a node that has no configuration. Only a limited number may wait
/// in the node's memory. All others are refused at once with a `Retry-After`, until a waiting
/// request is answered or canceled.
#[test]
fn the_number_of_requests_waiting_for_a_configuration_is_limited() {
    let waiters = Waiters::default();
    let mut slots: Vec<_> = (0..2_000).filter_map(|_| waiters.try_enter()).collect();
    assert_eq!(slots.len(), startup::MAX_WAITERS);
    assert!(waiters.try_enter().is_none());
    slots.pop();
    assert!(waiters.try_enter().is_some(), "a released slot is free again");
}

/// The bytes of a stream arrive in chunks of any size. For each size, the same complete events must
/// be forwarded, and the beginning of the next event must stay buffered.
#[test]
fn events_do_not_depend_on_chunk_boundaries() {
    let text: Vec<u8> =
        (1..=20).flat_map(|n| format!("id: {n}\ndata: e{n}\n\n").into_bytes()).collect();
    let all = [&text[..], b"id: 21\nda"].concat();
    for size in 1..60 {
        let (mut splitter, mut forwarded) = (Splitter::default(), Vec::new());
        let (mut count, mut last) = (0, None);
        for chunk in all.chunks(size) {
            if let Some(events) = splitter.push(chunk) {
                forwarded.extend_from_slice(&events.bytes);
                count += events.count;
                last = events.last_id.or(last);
            }
        }
        assert_eq!(
            (forwarded.as_slice(), count, last),
            (text.as_slice(), 20, Some(20)),
            "chunks of {size}"
        );
        assert!(!splitter.is_empty());
    }
}
