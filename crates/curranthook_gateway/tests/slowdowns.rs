//! Tests of decisions by the slowdown that endpoints report, and of the messages that share it.

use std::time::{Duration, Instant};

use curranthook_gateway::{
    dialect::Load,
    directory::Directory,
    entry::{Entry, State},
    load::{
        latency::Estimator,
        occupancy::Occupancy,
        prefill::Prompt,
        slowdowns::{Entries, Queue},
        work::Work,
    },
    placement::{self, CacheHolders, Candidate, Locality, Task},
    selection::{Choice, Room},
};
use curranthook_policy::{
    hash,
    slowdown::{Estimate, Factor, Figure, Outlook},
};
use curranthook_types::endpoint;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use yare::parameterized;

fn factor(value: f64) -> Factor {
    Factor::new(value).unwrap()
}

/// The outlook for an endpoint that is always as slow.
fn steady(value: f64) -> Outlook {
    Outlook { expected: factor(value), lasting: factor(value), age: Some(Duration::ZERO) }
}

/// The outlook at the begin of a slow period.
fn slow_period(expected: f64, lasting: f64) -> Outlook {
    Outlook { expected: factor(expected), ..steady(lasting) }
}

fn entry(id: &str, started_ms: Option<u64>) -> Entry {
    Entry {
        id: id.into(),
        service: "models".to_owned(),
        addr: "127.0.0.1:9".parse().unwrap(),
        domain: "z-a".into(),
        version: "v1".to_owned(),
        slots: 8,
        state: State::Ready,
        slow_start: Duration::ZERO,
        started_ms,
    }
}

fn random_case(seed: u64, slowdown: Outlook, penalties: bool) -> (Vec<Candidate>, Task) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut millis = |n: u64| Duration::from_millis(rng.random_range(0..n));
    let task = Task {
        prefix_hash: seed.is_multiple_of(2).then_some(seed),
        prefix_prefill: millis(300),
        own_time: millis(500),
        holders: if seed.is_multiple_of(3) { CacheHolders::Known } else { CacheHolders::Guessed },
        salt: seed,
    };
    let candidates = (0..20).map(|id| Candidate {
        id_hash: hash::pair(seed, id),
        // Many endpoints have no known work, so that ties are frequent.
        wait: Duration::from_millis(rng.random_range(0..400_u64).saturating_sub(200)),
        slowdown,
        failure_rate: if penalties { rng.random() } else { 0.0 },
        locality: match penalties && rng.random() {
            true => Locality::DifferentDomain,
            false => Locality::SameDomain,
        },
        has_prefix_cached: rng.random_bool(0.1),
    });
    (candidates.collect(), task)
}

/// The order of the candidates by the rules for endpoints that report no slowdown.
fn order_without_slowdowns(candidates: &[Candidate], task: &Task) -> Vec<usize> {
    let weight = |prefix_hash, index: &usize| hash::pair(prefix_hash, candidates[*index].id_hash);
    let indices = 0..candidates.len();
    let preferred = task
        .prefix_hash
        .filter(|_| task.holders == CacheHolders::Guessed)
        .and_then(|prefix_hash| indices.clone().max_by_key(|it| weight(prefix_hash, it)));
    let mut order: Vec<usize> = indices.collect();
    order.sort_by_key(|index| {
        let it = &candidates[*index];
        let is_cached = preferred == Some(*index) || it.has_prefix_cached;
        let prefill = if is_cached { Duration::ZERO } else { task.prefix_prefill };
        let failure_penalty =
            Duration::from_millis(1_500).mul_f64((it.failure_rate - 0.3).max(0.0));
        let is_local = it.locality == Locality::SameDomain;
        let domain_penalty = Duration::from_millis(if is_local { 0 } else { 3 });
        let tie_breaker = match task.prefix_hash {
            Some(prefix_hash) => u64::MAX - weight(prefix_hash, index),
            None => hash::pair(task.salt, it.id_hash),
        };
        (it.wait + prefill + failure_penalty + domain_penalty, tie_breaker)
    });
    order
}

/// Guards against decisions that change where no endpoint reports a slowdown.
#[test]
fn placement_without_figures_is_unchanged() {
    for seed in 0..2_000 {
        let slowdown = Estimate::default().outlook(Instant::now());
        let (candidates, task) = random_case(seed, slowdown, true);
        let order = order_without_slowdowns(&candidates, &task);
        assert_eq!(placement::choose(&candidates, &task), Some(order[0]), "{seed}");
        assert_eq!(placement::best(&candidates, &task, 4), order[..4], "{seed}");
    }
}

/// Guards against estimates that change, be it by rounding, where no endpoint reports a slowdown.
#[test]
fn estimates_without_figures_are_unchanged() {
    let mut directory = Directory::default();
    directory.upsert(entry("e-1", None), Instant::now());
    let endpoint = directory.get(&"e-1".into()).unwrap();
    let latency = Estimator::default().estimate("models", "large", 1.0);
    let mut rng = Pcg64::seed_from_u64(1);
    for _ in 0..1_000 {
        let prompt = Prompt::new(rng.random_range(0..50_000), rng.random_range(0..9_000));
        let queue_delay = Duration::from_nanos(rng.random_range(0..u64::MAX >> 20));
        let outstanding = rng.random_range(0..128);
        let slowdown = endpoint.slowdown.outlook(Instant::now());
        let choice = Choice {
            endpoint,
            prompt,
            outstanding,
            queue_delay,
            waiting: Work::default(),
            waiting_age: None,
            slowdown,
            occupancy: Occupancy::default(),
            is_concentrated: false,
            room: Room::Any,
        };
        let usual = latency.time_to_first_event(prompt, outstanding, queue_delay);
        assert_eq!(choice.time_to_first_event(&latency), usual);
        assert_eq!(choice.queue_time(), queue_delay);
        assert_eq!(slowdown.expected.unscale(queue_delay), queue_delay);
    }
}

/// If all endpoints are equally slow, none may be preferred over another for it.
#[parameterized(fast = { 0.7 }, slow = { 1.7 }, very_slow = { 4.25 })]
fn equal_slowdowns_leave_the_order_unchanged(value: f64) {
    for seed in 0..1_000 {
        let (candidates, task) = random_case(seed, steady(value), false);
        let order = order_without_slowdowns(&candidates, &task);
        assert_eq!(placement::choose(&candidates, &task), Some(order[0]), "{seed}");
        assert_eq!(placement::best(&candidates, &task, 4), order[..4], "{seed}");
    }
}

/// A long prompt takes half a second at usual speed. Guards against placing it at a slow endpoint
/// because that has less other work, although a fast one has the first event sooner.
#[parameterized(
    short_queue = { 0, 100, Some(1) },
    long_queue = { 0, 1_500, Some(0) },
    queues_at_both = { 400, 1_000, Some(1) },
)]
fn request_and_queue_count_at_the_speed_of_the_endpoint(
    slow_queue_ms: u64,
    fast_queue_ms: u64,
    chosen: Option<usize>,
) {
    let (mut candidates, task) = random_case(2, Outlook::UNKNOWN, false);
    let task = Task {
        prefix_hash: None,
        own_time: Duration::from_millis(500),
        prefix_prefill: Duration::ZERO,
        ..task
    };
    candidates.truncate(2);
    let queues = [(1.7, slow_queue_ms), (0.7, fast_queue_ms)];
    for (it, (slowdown, queue_ms)) in candidates.iter_mut().zip(queues) {
        (it.slowdown, it.wait) = (steady(slowdown), Duration::from_millis(queue_ms));
    }
    assert_eq!(placement::choose(&candidates, &task), chosen);
}

/// Guards against an endpoint that attracts requests by a low figure while most requests fail there.
#[test]
fn failing_endpoint_is_avoided_whatever_it_reports() {
    let (mut candidates, task) = random_case(2, steady(1.7), false);
    let task = Task { prefix_hash: None, own_time: Duration::from_millis(500), ..task };
    candidates.truncate(2);
    candidates.iter_mut().for_each(|it| it.wait = Duration::ZERO);
    (candidates[0].slowdown, candidates[0].failure_rate) = (steady(0.1), 0.9);
    assert_eq!(placement::choose(&candidates, &task), Some(1));
}

/// The load owners are asked only about a few endpoints. Guards against asking only about fast ones,
/// which leaves the slow ones idle when all fast ones are busy, and against asking about all alike,
/// which wastes most questions on slow ones.
#[test]
fn shortlist_has_endpoints_in_proportion_to_their_speed() {
    const N: u64 = 3_000;
    let mut n_slow = 0;
    for seed in 0..N {
        let (mut candidates, task) = random_case(seed, Outlook::UNKNOWN, false);
        for (index, it) in candidates.iter_mut().enumerate() {
            it.wait = Duration::ZERO;
            it.has_prefix_cached = false;
            it.slowdown = steady(if index < 10 { 2.0 } else { 0.5 });
        }
        let task = Task { prefix_hash: None, ..task };
        let first = placement::best(&candidates, &task, 4)[0];
        n_slow += u64::from(first < 10);
    }
    let slow_share = n_slow as f64 / N as f64;
    assert!((0.18..0.22).contains(&slow_share), "{slow_share}");
}

/// Guards against a long queue that counts at the speed of a short period, by which an endpoint is
/// avoided or preferred although most of the queue is processed after the period.
#[parameterized(
    short_work = { slow_period(1.75, 0.7), 0, steady(1.0), 0, Some(1) },
    long_queue = { slow_period(1.75, 0.7), 2_000, steady(1.7), 1_000, Some(0) },
    long_queue_at_a_slow_endpoint = { slow_period(0.7, 1.7), 2_000, steady(1.0), 2_000, Some(1) },
)]
fn queue_counts_at_lasting_speed_after_a_period(
    slowdown: Outlook,
    queue_ms: u64,
    other_slowdown: Outlook,
    other_queue_ms: u64,
    chosen: Option<usize>,
) {
    let (mut candidates, task) = random_case(2, slowdown, false);
    let task = Task {
        prefix_hash: None,
        own_time: Duration::from_millis(500),
        prefix_prefill: Duration::ZERO,
        ..task
    };
    candidates.truncate(2);
    candidates[0].wait = Duration::from_millis(queue_ms);
    candidates[1].wait = Duration::from_millis(other_queue_ms);
    candidates[1].slowdown = other_slowdown;
    assert_eq!(placement::choose(&candidates, &task), chosen);
}

/// Guards against a forecast for a slow endpoint that counts its queue or its prefill at usual
/// speed, and against one that counts the speed of a short period for longer than that.
#[test]
fn first_event_is_expected_at_the_speed_of_the_endpoint() {
    let mut directory = Directory::default();
    directory.upsert(entry("e-1", None), Instant::now());
    let latency = Estimator::default().estimate("models", "large", 1.0);
    let (prompt, ms) = (Prompt::new(10_000, 0), Duration::from_millis);
    let endpoint = directory.get(&"e-1".into()).unwrap();
    let choice = |slowdown, queue_delay| Choice {
        endpoint,
        prompt,
        outstanding: 3,
        queue_delay,
        waiting: Work::default(),
        waiting_age: None,
        slowdown,
        occupancy: Occupancy::default(),
        is_concentrated: false,
        room: Room::Any,
    };
    let usual = latency.time_to_first_event(prompt, 3, ms(300));
    let steady = choice(steady(4.0), ms(300));
    assert_eq!(steady.time_to_first_event(&latency), usual * 4);
    assert_eq!(steady.queue_time(), ms(1_200));
    // In the 600 ms of the period, the endpoint does what usually takes 150 ms.
    let in_period = choice(slow_period(4.0, 1.0), ms(300));
    assert_eq!(in_period.time_to_first_event(&latency), ms(600) + usual - ms(150));
    assert_eq!(in_period.queue_time(), ms(750));
    assert_eq!(choice(slow_period(4.0, 1.0), ms(100)).queue_time(), ms(400));
}

/// A crashed endpoint is replaced under the same id. Guards against treating the new one by figures
/// of the old one, be they its own or late reports of other nodes.
#[test]
fn new_incarnation_starts_without_a_figure() {
    let (mut directory, now, id) = (Directory::default(), Instant::now(), "e-1".into());
    directory.upsert(entry("e-1", Some(1)), now);
    assert!(directory.record_slowdown(&id, Some(1), Figure { factor: factor(1.7), at: now }));
    let reports = Entries::known(&directory, std::slice::from_ref(&id), now);
    directory.upsert(entry("e-1", Some(2)), now);
    assert_eq!(reports.record(&mut directory, now), 0);
    assert_eq!(directory.get(&id).unwrap().slowdown.outlook(now), Outlook::UNKNOWN);
}

/// Guards against figures that lose their age on the way, and so seem young at every node.
#[test]
fn shared_figures_keep_their_age() {
    let (mut ours, mut theirs) = (Directory::default(), Directory::default());
    let (start, s, id) = (Instant::now(), Duration::from_secs(1), endpoint::Id::new("e-1"));
    for directory in [&mut ours, &mut theirs] {
        directory.upsert(entry("e-1", Some(7)), start);
    }
    ours.record_slowdown(&id, Some(7), Figure { factor: factor(1.75), at: start });
    let now = start + 3 * s;
    let sent = serde_json::to_string(&Entries::known(&ours, std::slice::from_ref(&id), now));
    let received: Entries = serde_json::from_str(&sent.unwrap()).unwrap();
    assert_eq!(received.record(&mut theirs, now), 1);
    let outlook = theirs.get(&id).unwrap().slowdown.outlook(now);
    assert_eq!((outlook.age, outlook.expected.value()), (Some(3 * s), 1.75));
}

/// Guards against losing a whole message because of one figure that another node encodes
/// differently, and against figures that keep all requests away from an endpoint or attract all.
#[parameterized(
    not_a_map = { r#"[70, 1]"# },
    null = { "null" },
    text = { r#"{"e-1": ["70", 1]}"# },
    missing_age = { r#"{"e-1": [70]}"# },
    negative = { r#"{"e-1": [-70, 1]}"# },
    zero = { r#"{"e-1": [0, 1]}"# },
    absurd = { r#"{"e-1": [1e300, 1]}"# },
    negative_age = { r#"{"e-1": [70, -1]}"# },
    too_old = { r#"{"e-1": [70, 700000]}"# },
    age_overflow = { r#"{"e-1": [70, 18446744073709551615]}"# },
    unknown_endpoint = { r#"{"e-2": [70, 1]}"# },
    other_incarnation = { r#"{"e-1": [70, 1, 7]}"# },
)]
fn invalid_shared_figures_are_dropped(json: &str) {
    let (mut directory, now) = (Directory::default(), Instant::now() + Duration::from_secs(1_000));
    directory.upsert(entry("e-1", None), now);
    let entries: Entries = serde_json::from_str(json).unwrap();
    assert_eq!(entries.record(&mut directory, now), 0);
    assert_eq!(directory.get(&"e-1".into()).unwrap().slowdown.outlook(now), Outlook::UNKNOWN);
}

/// Guards against datagrams and queues that grow with the number of endpoints, and against repeated
/// reports of the same figure.
#[test]
fn reported_figures_are_bounded_and_sent_once() {
    let (queue, now) = (Queue::default(), Instant::now());
    for n in 0..1_000 {
        let id = endpoint::Id::new(format!("e-{n}"));
        queue.push(&id, None, Figure { factor: factor(0.5), at: now });
        queue.push(&id, None, Figure { factor: factor(0.7), at: now });
    }
    let mut reported = Vec::new();
    while !queue.is_empty() {
        let entries = queue.take(now);
        assert!(serde_json::to_vec(&entries).unwrap().len() < 300);
        reported.extend(entries);
    }
    assert_eq!(reported.len(), 32);
    reported.dedup_by(|a, b| a.endpoint == b.endpoint);
    assert_eq!(reported.len(), 32);
}

/// Guards against learned state that counts as free of slowdowns, or as subject to them, because of
/// a response that is no evidence of the endpoint's speed: a misdirected or failed one, or one of
/// an earlier incarnation.
#[test]
fn only_recorded_figures_show_that_a_service_reports_slowdowns() {
    let (mut directory, now, id) = (Directory::default(), Instant::now(), "e-1".into());
    directory.upsert(entry("e-1", Some(2)), now);
    let load = Load { running: 1, waiting: 0, slots: 8, slowdown: Some(1.7) };
    directory.first_byte_received(&id, Work::default(), Some(load), now);
    let figure = Figure { factor: factor(1.7), at: now };
    assert!(!directory.record_slowdown(&id, Some(1), figure));
    assert!(!directory.reports_slowdown("models"));
    assert!(directory.record_slowdown(&id, Some(2), figure));
    assert!(directory.reports_slowdown("models"));
    assert!(!directory.reports_slowdown("others"));
}
