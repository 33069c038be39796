//! Requests go to endpoints that answer soon, and never all to a few.

use std::time::{Duration, Instant};

use curranthook_policy::{
    baseline,
    endpoint::{Id, MAX_SUBSET, Member, Outcome, Pool, Reason, Unavailable},
    hash,
};
use proptest::prelude::*;

fn members(n: usize) -> Vec<Member> {
    let member = |it| Member { id: id(it), domain: "zone-a".into(), slots: 8 };
    (0..n).map(member).collect()
}

fn id(place: usize) -> Id {
    Id::new(format!("engine-{place:04}"))
}

fn pool(n: usize) -> Pool {
    let mut pool = Pool::new("zone-a".into(), 7);
    pool.set_members(members(n));
    pool
}

fn answered(millis: u64) -> Outcome {
    Outcome::Answered { first_byte: Duration::from_millis(millis) }
}

/// One endpoint becomes ten times slower, say because its machine is short of memory. Callers
/// whose requests land there wait ten times as long.
#[test]
fn a_slow_endpoint_gets_little() {
    let (mut pool, mut now) = (pool(10), Instant::now());
    let mut n_slow = 0;
    for _ in 0..2_000 {
        let selection = pool.select(None, &[], now).expect("there are endpoints");
        let is_slow = selection.id == id(3);
        n_slow += usize::from(is_slow);
        pool.started(&selection.id, now);
        now += Duration::from_millis(10);
        pool.finished(&selection.id, answered(if is_slow { 800 } else { 80 }), now);
    }
    assert!(n_slow < 40, "{n_slow} of 2,000 requests went to the slow endpoint");
    assert!(0 < n_slow, "it is tried now and then");
}

/// The same for prompts that are cached there: an endpoint keeps its prompts whatever its
/// latency, so a slow one must be left out.
#[test]
fn a_slow_endpoint_loses_its_prompts() {
    let (mut pool, mut now) = (pool(10), Instant::now());
    let mut n_slow = 0;
    for key in 0..2_000 {
        let selection =
            pool.select(Some(hash::pair(key, 0)), &[], now).expect("there are endpoints");
        let is_slow = selection.id == id(3);
        n_slow += usize::from(is_slow);
        pool.started(&selection.id, now);
        now += Duration::from_millis(10);
        pool.finished(&selection.id, answered(if is_slow { 800 } else { 80 }), now);
    }
    assert_eq!(pool.n_ejected(), 1);
    assert!(n_slow < 40, "{n_slow} of 2,000 requests went to the slow endpoint");
}

/// An endpoint dies and comes back. Only an answer of its own shows that it is back.
#[test]
fn a_failed_endpoint_comes_back_by_its_own_answer() {
    let (mut pool, start) = (pool(4), Instant::now());
    for _ in 0..3 {
        pool.started(&id(0), start);
        pool.finished(&id(0), Outcome::Unreachable, start);
    }
    assert_eq!(pool.n_ejected(), 1);
    pool.report_load(&id(0), 0, start);
    assert_eq!(pool.n_ejected(), 1, "a report of its load is no direct contact");

    let later = start + Duration::from_secs(2);
    let selection = pool.select(None, &[], later).expect("there are endpoints");
    assert_eq!((selection.reason, &selection.id), (Reason::Probe, &id(0)));
    pool.started(&selection.id, later);
    let other = pool.select(None, &[], later).expect("there are endpoints");
    assert_ne!(other.id, id(0), "one probe at a time");
    pool.finished(&selection.id, answered(50), later);
    assert_eq!(pool.n_ejected(), 0);
}

/// An endpoint becomes slow, and each of its callers is rescued by a second attempt elsewhere. No
/// answer of it is ever seen, yet it must stop getting requests: each rescue costs its caller the
/// wait before it, and another endpoint the work.
#[test]
fn an_endpoint_that_is_always_overtaken_is_left_out() {
    let (mut pool, now) = (pool(4), Instant::now());
    for place in (0..4).cycle().take(80) {
        pool.started(&id(place), now);
        pool.answer_started(&id(place), Duration::from_millis(40), now);
        pool.finished(&id(place), Outcome::Completed, now);
    }
    let waited = pool.first_byte_timeout(&id(0));
    for _ in 0..2 {
        assert_eq!(pool.n_ejected(), 0);
        pool.started(&id(0), now);
        pool.finished(&id(0), Outcome::HedgeLost { waited }, now);
    }
    assert_eq!(pool.n_ejected(), 1);
}

/// An answer's end comes long after its first byte where the endpoint is slow.
#[test]
fn a_slow_endpoint_is_noticed_as_its_answers_begin() {
    let (mut pool, now) = (pool(4), Instant::now());
    for place in (0..4).cycle().take(80) {
        pool.started(&id(place), now);
        pool.finished(&id(place), answered(40), now);
    }
    for _ in 0..3 {
        pool.started(&id(0), now);
        pool.answer_started(&id(0), Duration::from_millis(400), now);
    }
    assert_eq!(pool.n_ejected(), 1);
    assert_eq!(pool.in_flight(&id(0)), 3, "they still run");
}

/// Several nodes share an endpoint, and each may fill it by itself. What is too much waits where
/// nobody can refuse it in time.
#[test]
fn a_node_takes_its_part_of_a_full_endpoint() {
    let (mut pool, mut now) = (pool(1), Instant::now());
    let fill = |pool: &mut Pool, now| {
        while let Ok(selection) = pool.select(None, &[], now) {
            pool.started(&selection.id, now);
        }
        pool.in_flight(&id(0))
    };
    assert_eq!(fill(&mut pool, now), 8);
    for _ in 0..8 {
        now += Duration::from_secs(1);
        pool.report_load(&id(0), 32, now);
        pool.finished(&id(0), answered(80), now);
    }
    assert_eq!(fill(&mut pool, now), 1, "the endpoint holds four times what it can run");
    for _ in 0..100 {
        pool.report_load(&id(0), 1, now);
    }
    assert_eq!(fill(&mut pool, now), 8, "it has room again");
}

/// Load reports lag. One that was true seconds ago must not keep requests from an endpoint that
/// has long been idle.
#[test]
fn load_reports_age() {
    let (mut pool, now) = (pool(2), Instant::now());
    pool.report_load(&id(0), 8, now);
    let n_busy = |pool: &mut Pool, now| {
        let selections = (0..100).map(|_| pool.select(None, &[], now).expect("there is room"));
        selections.filter(|it| it.id == id(0)).count()
    };
    assert_eq!(n_busy(&mut pool, now), 0, "it is full");
    let later = now + Duration::from_secs(20);
    assert!(0 < n_busy(&mut pool, later), "the report is old");
}

/// An endpoint's own word that it is leaving stops new work there at once.
#[test]
fn a_leaving_endpoint_gets_nothing() {
    for name in baseline::BALANCERS {
        let mut balance = baseline::balancer(name, "zone-a".into(), 1).expect("a known name");
        balance.set_members(members(3));
        balance.set_leaving(&id(1));
        let now = Instant::now();
        for _ in 0..100 {
            let selection = balance.select(None, &[], now).expect("two stay");
            assert_ne!(selection.id, id(1), "{name}");
        }
        balance.set_leaving(&id(0));
        balance.set_leaving(&id(2));
        assert_eq!(balance.select(None, &[], now), Err(Unavailable::AllExcluded), "{name}");
    }
}

/// Two of four endpoints are left out when the other two begin to leave. With the floor
/// counted over all four, no endpoint would be open.
#[test]
fn leaving_endpoints_dont_count_for_the_floor() {
    let (mut pool, now) = (pool(4), Instant::now());
    for place in [0, 0, 0, 1, 1, 1] {
        pool.started(&id(place), now);
        pool.finished(&id(place), Outcome::Failed, now);
    }
    assert_eq!(pool.n_ejected(), 2);
    pool.set_leaving(&id(2));
    pool.set_leaving(&id(3));
    for _ in 0..4 {
        let selection = pool.select(None, &[], now).expect("half of those that stay are open");
        pool.started(&selection.id, now);
    }
    assert_eq!(pool.n_ejected(), 1);
}

#[test]
fn prompts_stay_where_they_are_cached_until_it_is_full() {
    let (mut pool, now) = (pool(8), Instant::now());
    let home = pool.select(Some(42), &[], now).expect("there are endpoints");
    assert_eq!(home.reason, Reason::Affinity);
    let mut n_home = 0;
    for _ in 0..40 {
        let selection = pool.select(Some(42), &[], now).expect("there is room");
        n_home += usize::from(selection.id == home.id);
        pool.started(&selection.id, now);
    }
    assert!((2..=8).contains(&n_home), "{n_home} of 40 at the home of the prompt");
}

#[test]
fn full_pools_say_so() {
    let (mut pool, now) = (pool(2), Instant::now());
    for _ in 0..16 {
        let selection = pool.select(None, &[], now).expect("there is room");
        pool.started(&selection.id, now);
    }
    assert_eq!(pool.select(None, &[], now), Err(Unavailable::AllBusy));
    assert_eq!(pool.select(None, &[id(0), id(1)], now), Err(Unavailable::AllExcluded));
    pool.set_members([]);
    assert_eq!(pool.select(None, &[], now), Err(Unavailable::Empty));
}

#[test]
fn a_node_keeps_a_part_of_many_endpoints() {
    let mut pool = pool(10_000);
    assert_eq!(pool.len(), MAX_SUBSET);
    let now = Instant::now();
    let selection = pool.select(None, &[], now).expect("there are endpoints");
    pool.started(&selection.id, now);
    let busy = |pool: &Pool| (0..10_000).filter(|it| pool.in_flight(&id(*it)) == 1).count();
    assert_eq!(busy(&pool), 1);
    pool.set_members(members(9_999));
    assert_eq!(busy(&pool), 1, "what is known of those that stay is kept");
}

#[test]
fn the_limit_for_the_first_byte_follows_the_endpoint() {
    let (mut pool, now) = (pool(1), Instant::now());
    assert_eq!(pool.first_byte_timeout(&id(0)), Duration::from_secs(2));
    for _ in 0..40 {
        pool.started(&id(0), now);
        pool.finished(&id(0), answered(100), now);
    }
    let limit = pool.first_byte_timeout(&id(0));
    let (least, most) = (Duration::from_millis(200), Duration::from_millis(400));
    assert!((least..most).contains(&limit), "{limit:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever endpoints do, half of them stay in, and a pick is never excluded or leaving.
    #[test]
    fn never_more_than_half_left_out(
        n in 1_usize..12,
        events in proptest::collection::vec((0_usize..12, 0_u8..5, 0_u64..2_000), 0..300),
    ) {
        let (mut pool, mut now) = (pool(n), Instant::now());
        pool.set_leaving(&id(n + 1));
        for (place, event, millis) in events {
            now += Duration::from_millis(millis);
            let exclude = [id(place)];
            if let Ok(selection) = pool.select(Some(millis), &exclude, now) {
                prop_assert_ne!(&selection.id, &exclude[0]);
                pool.started(&selection.id, now);
                let outcome = match event {
                    0 => Outcome::Failed,
                    1 => Outcome::Unreachable,
                    2 => Outcome::Refused,
                    3 => Outcome::Cancelled,
                    _ => answered(millis),
                };
                pool.finished(&selection.id, outcome, now);
            }
            prop_assert!(pool.n_ejected() * 2 <= n);
        }
    }
}
