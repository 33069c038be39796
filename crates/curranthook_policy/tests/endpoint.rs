//! Tests of load balancing: requests go to fast endpoints, but never all to a few.

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

fn id(index: usize) -> Id {
    Id::new(format!("engine-{index:04}"))
}

fn pool(n: usize) -> Pool {
    let mut pool = Pool::new("zone-a".into(), 7);
    pool.set_members(members(n));
    pool
}

fn answered(millis: u64) -> Outcome {
    Outcome::Answered { first_byte: Duration::from_millis(millis) }
}

/// One endpoint becomes ten times slower, for example because its host runs out of memory. Callers
/// of requests sent there wait ten times as long.
#[test]
fn slow_endpoint_gets_few_requests() {
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
    assert!(0 < n_slow, "the slow endpoint is still probed occasionally");
}

/// One endpoint becomes ten times slower. Prefix affinity sends it the same prompts regardless of
/// its latency, so callers of these prompts wait until it is ejected.
#[test]
fn slow_endpoint_loses_prefix_affinity() {
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

/// An endpoint fails and recovers. Only an answer to a request of this node proves that it can be
/// reached again; a load report alone must not readmit it.
#[test]
fn failed_endpoint_is_readmitted_by_a_successful_probe() {
    let (mut pool, start) = (pool(4), Instant::now());
    for _ in 0..3 {
        pool.started(&id(0), start);
        pool.finished(&id(0), Outcome::Unreachable, start);
    }
    assert_eq!(pool.n_ejected(), 1);
    pool.report_load(&id(0), 0, start);
    assert_eq!(pool.n_ejected(), 1, "a load report does not readmit an endpoint");

    let later = start + Duration::from_secs(2);
    let selection = pool.select(None, &[], later).expect("there are endpoints");
    assert_eq!((selection.reason, &selection.id), (Reason::Probe, &id(0)));
    pool.started(&selection.id, later);
    let other = pool.select(None, &[], later).expect("there are endpoints");
    assert_ne!(other.id, id(0), "one probe at a time");
    pool.finished(&selection.id, answered(50), later);
    assert_eq!(pool.n_ejected(), 0);
}

/// An endpoint becomes slow, and each of its requests is answered by a hedged attempt elsewhere. It
/// never completes an answer, yet must stop getting requests: each hedge costs its caller the wait
/// before it, and another endpoint the work.
#[test]
fn endpoint_that_always_loses_hedges_is_ejected() {
    let (mut pool, now) = (pool(4), Instant::now());
    for index in (0..4).cycle().take(80) {
        pool.started(&id(index), now);
        pool.answer_started(&id(index), Duration::from_millis(40), now);
        pool.finished(&id(index), Outcome::Completed, now);
    }
    let waited = pool.first_byte_timeout(&id(0));
    for _ in 0..2 {
        assert_eq!(pool.n_ejected(), 0);
        pool.started(&id(0), now);
        pool.finished(&id(0), Outcome::HedgeLost { waited }, now);
    }
    assert_eq!(pool.n_ejected(), 1);
}

/// At a slow endpoint, an answer ends long after its first byte. If the endpoint were only ejected
/// at the end of an answer, more requests would be sent to it until then.
#[test]
fn slow_first_bytes_eject_before_answers_end() {
    let (mut pool, now) = (pool(4), Instant::now());
    for index in (0..4).cycle().take(80) {
        pool.started(&id(index), now);
        pool.finished(&id(index), answered(40), now);
    }
    for _ in 0..3 {
        pool.started(&id(0), now);
        pool.answer_started(&id(0), Duration::from_millis(400), now);
    }
    assert_eq!(pool.n_ejected(), 1);
    assert_eq!(pool.in_flight(&id(0)), 3, "the slow answers are still in flight");
}

/// Several nodes share an endpoint, and each could fill it alone. The excess requests wait in the
/// endpoint's queue, where they can't be refused in time.
#[test]
fn node_limits_its_requests_at_an_overloaded_endpoint() {
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
    assert_eq!(
        fill(&mut pool, now),
        1,
        "the endpoint holds four times as many requests as it has slots"
    );
    for _ in 0..100 {
        pool.report_load(&id(0), 1, now);
    }
    assert_eq!(fill(&mut pool, now), 8, "the endpoint has free slots again");
}

/// Load reports lag. A report from seconds ago must not keep requests away from an endpoint that
/// has long been idle.
#[test]
fn load_reports_expire() {
    let (mut pool, now) = (pool(2), Instant::now());
    pool.report_load(&id(0), 8, now);
    let n_busy = |pool: &mut Pool, now| {
        let selections =
            (0..100).map(|_| pool.select(None, &[], now).expect("there are free slots"));
        selections.filter(|it| it.id == id(0)).count()
    };
    assert_eq!(n_busy(&mut pool, now), 0, "the reported load fills the endpoint");
    let later = now + Duration::from_secs(20);
    assert!(0 < n_busy(&mut pool, later), "the report has expired");
}

/// An endpoint's own report that it is leaving stops new requests to it at once.
#[test]
fn leaving_endpoint_gets_no_requests() {
    for name in baseline::BALANCERS {
        let mut balancer = baseline::balancer(name, "zone-a".into(), 1).expect("a known name");
        balancer.set_members(members(3));
        balancer.set_leaving(&id(1));
        let now = Instant::now();
        for _ in 0..100 {
            let selection = balancer.select(None, &[], now).expect("two endpoints remain");
            assert_ne!(selection.id, id(1), "{name}");
        }
        balancer.set_leaving(&id(0));
        balancer.set_leaving(&id(2));
        assert_eq!(balancer.select(None, &[], now), Err(Unavailable::AllExcluded), "{name}");
    }
}

/// Two of four endpoints are ejected when the other two start to leave. If the limit on ejections
/// counted all four, no endpoint would be eligible.
#[test]
fn leaving_endpoints_do_not_count_for_the_ejection_limit() {
    let (mut pool, now) = (pool(4), Instant::now());
    for index in [0, 0, 0, 1, 1, 1] {
        pool.started(&id(index), now);
        pool.finished(&id(index), Outcome::Failed, now);
    }
    assert_eq!(pool.n_ejected(), 2);
    pool.set_leaving(&id(2));
    pool.set_leaving(&id(3));
    for _ in 0..4 {
        let selection =
            pool.select(None, &[], now).expect("half of the remaining endpoints are eligible");
        pool.started(&selection.id, now);
    }
    assert_eq!(pool.n_ejected(), 1);
}

#[test]
fn prefix_affinity_holds_until_the_endpoint_is_overloaded() {
    let (mut pool, now) = (pool(8), Instant::now());
    let preferred = pool.select(Some(42), &[], now).expect("there are endpoints");
    assert_eq!(preferred.reason, Reason::Affinity);
    let mut n_preferred = 0;
    for _ in 0..40 {
        let selection = pool.select(Some(42), &[], now).expect("there are free slots");
        n_preferred += usize::from(selection.id == preferred.id);
        pool.started(&selection.id, now);
    }
    assert!(
        (2..=8).contains(&n_preferred),
        "{n_preferred} of 40 requests at the preferred endpoint"
    );
}

#[test]
fn full_pool_reports_all_busy() {
    let (mut pool, now) = (pool(2), Instant::now());
    for _ in 0..16 {
        let selection = pool.select(None, &[], now).expect("there are free slots");
        pool.started(&selection.id, now);
    }
    assert_eq!(pool.select(None, &[], now), Err(Unavailable::AllBusy));
    assert_eq!(pool.select(None, &[id(0), id(1)], now), Err(Unavailable::AllExcluded));
    pool.set_members([]);
    assert_eq!(pool.select(None, &[], now), Err(Unavailable::Empty));
}

#[test]
fn pool_uses_a_subset_of_many_endpoints() {
    let mut pool = pool(10_000);
    assert_eq!(pool.len(), MAX_SUBSET);
    let now = Instant::now();
    let selection = pool.select(None, &[], now).expect("there are endpoints");
    pool.started(&selection.id, now);
    let busy = |pool: &Pool| (0..10_000).filter(|it| pool.in_flight(&id(*it)) == 1).count();
    assert_eq!(busy(&pool), 1);
    pool.set_members(members(9_999));
    assert_eq!(busy(&pool), 1, "the state of remaining endpoints is kept");
}

#[test]
fn first_byte_timeout_follows_measured_latency() {
    let (mut pool, now) = (pool(1), Instant::now());
    assert_eq!(pool.first_byte_timeout(&id(0)), Duration::from_secs(2));
    for _ in 0..40 {
        pool.started(&id(0), now);
        pool.finished(&id(0), answered(100), now);
    }
    let timeout = pool.first_byte_timeout(&id(0));
    let (shortest, longest) = (Duration::from_millis(200), Duration::from_millis(400));
    assert!((shortest..longest).contains(&timeout), "{timeout:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the outcomes, at most half of the endpoints are ejected, and a selected endpoint is
    /// never excluded.
    #[test]
    fn at_most_half_of_the_endpoints_are_ejected(
        n in 1_usize..12,
        events in proptest::collection::vec((0_usize..12, 0_u8..5, 0_u64..2_000), 0..300),
    ) {
        let (mut pool, mut now) = (pool(n), Instant::now());
        pool.set_leaving(&id(n + 1));
        for (index, event, millis) in events {
            now += Duration::from_millis(millis);
            let exclude = [id(index)];
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
