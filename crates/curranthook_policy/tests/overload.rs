//! Tests of overload handling: rate limits, the queue, retries and poison requests.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use curranthook_policy::{
    limit::Bucket,
    poison::Register,
    queue::{Fair, Next},
    retry::{Attempt, Budget, Decision, Delivered, Repeat, Sent, Stop, decide},
};
use curranthook_settings::config::Limit;
use curranthook_types::{account, retry};
use proptest::prelude::*;

const TICK: Duration = Duration::from_millis(10);
const TIME_TO_DEADLINE: Duration = Duration::from_secs(1);

/// The load is twice the capacity, most of it from one account. Without fair shares, the large
/// account's requests would fill the queue and small accounts would get nothing.
#[test]
fn small_accounts_are_served_under_overload() {
    let (mut queue, mut now) = (Fair::new(200), Instant::now());
    let (large, small) = (account::Id::new("large"), account::Id::new("small"));
    let (mut n_expired, mut n_refused) = (0, 0);
    let mut served: BTreeMap<account::Id, u32> = BTreeMap::new();
    for round in 0..5_000 {
        now += TICK;
        let mut push = |account: &account::Id| {
            let pushed = queue.push(account.clone(), account, 1.0, now + TIME_TO_DEADLINE, now);
            n_refused += u32::from(pushed.is_err());
        };
        push(&large);
        push(&large);
        if round % 5 == 0 {
            push(&small);
        }
        while let Some(Next::Expired(_)) = {
            let next = queue.pop(now);
            if let Some(Next::Run(account)) = &next {
                *served.entry(account.clone()).or_default() += 1;
            }
            next
        } {
            n_expired += 1;
        }
        queue.record_service(now);
    }
    assert!(4_900 <= served.values().sum::<u32>(), "endpoints stay busy: {served:?}");
    assert!(980 <= served[&small], "the small account gets what it requests: {served:?}");
    assert!(4_500 <= n_refused, "the rest is refused on arrival: {n_refused}");
    assert!(n_expired <= 100, "hardly any request expires in the queue: {n_expired}");
}

/// All endpoints stop responding. If requests that arrive then were queued, they would wait until
/// their deadline and fail.
#[test]
fn requests_are_refused_on_arrival_during_a_stall() {
    let (mut queue, mut now) = (Fair::new(100), Instant::now());
    let account = account::Id::new("a");
    let mut push = |now| queue.push((), &account, 1.0, now + TIME_TO_DEADLINE, now);
    (0..10).for_each(|_| push(now).expect("the queue has capacity"));
    now += Duration::from_secs(5);
    let refusal = push(now).expect_err("nothing was served for five seconds");
    assert!(TIME_TO_DEADLINE < refusal.retry_after);
}

/// A second account starts after the first one was the only one for a while. The second one must
/// not be served exclusively to make up for the time when it sent no requests.
#[test]
fn idle_time_earns_no_extra_share() {
    let (mut queue, now) = (Fair::new(10_000), Instant::now());
    let (first_account, late_account) = (account::Id::new("early"), account::Id::new("late"));
    let push = |queue: &mut Fair<bool>, account: &account::Id| {
        let pushed =
            queue.push(*account == late_account, account, 1.0, now + TIME_TO_DEADLINE, now);
        pushed.expect("the queue has capacity");
    };
    for _ in 0..500 {
        push(&mut queue, &first_account);
        assert_eq!(queue.pop(now), Some(Next::Run(false)));
        push(&mut queue, &first_account);
    }
    (0..100).for_each(|_| push(&mut queue, &late_account));
    let n_late = (0..100).filter(|_| queue.pop(now) == Some(Next::Run(true))).count();
    assert!((45..=55).contains(&n_late), "{n_late} of 100 for the late account");
}

/// Nothing arrived for an hour. Later requests must not be refused as if the queue had stalled.
#[test]
fn idle_time_does_not_count_as_a_stall() {
    let (mut queue, mut now) = (Fair::new(100), Instant::now());
    let account = account::Id::new("a");
    queue.push(0, &account, 1.0, now + TIME_TO_DEADLINE, now).expect("the queue has capacity");
    assert_eq!(queue.pop(now), Some(Next::Run(0)));
    now += Duration::from_secs(3_600);
    for item in 0..20 {
        let pushed = queue.push(item, &account, 1.0, now + TIME_TO_DEADLINE, now);
        assert_eq!(pushed, Ok(()), "request {item}");
    }
}

/// Every endpoint fails from overload, and each retry would add to the load.
#[test]
fn retry_budget_is_exhausted_without_successes() {
    let now = Instant::now();
    let mut budget = Budget::new(0.1, now);
    let reason = retry::Reason::ServerError;
    let n = (0..1_000).filter(|_| budget.spend(reason, now).is_ok()).count();
    assert!(n <= 20, "{n} retries without a success");
    (0..100).for_each(|_| budget.succeeded());
    let n = (0..1_000).filter(|_| budget.spend(reason, now).is_ok()).count();
    assert!((9..=11).contains(&n), "{n} retries after a hundred successes");
}

#[yare::parameterized(
    unsent = { Repeat::AtMostOnce, Sent::Unsent, Delivered::Nothing, 1, Decision::Retry },
    not_started = { Repeat::AtMostOnce, Sent::NotStarted, Delivered::Nothing, 1, Decision::Retry },
    may_have_run = { Repeat::AtMostOnce, Sent::MayHaveRun, Delivered::Nothing, 1, Decision::Stop(Stop::MayHaveRun) },
    idempotent = { Repeat::Idempotent, Sent::MayHaveRun, Delivered::Nothing, 1, Decision::Retry },
    delivered = { Repeat::Idempotent, Sent::MayHaveRun, Delivered::Partial, 1, Decision::Resume },
    too_often = { Repeat::Idempotent, Sent::Unsent, Delivered::Nothing, 3, Decision::Stop(Stop::Attempts) },
)]
fn retry_decisions(
    repeat: Repeat,
    sent: Sent,
    delivered: Delivered,
    attempts: u32,
    expected: Decision,
) {
    let attempt = Attempt { repeat, sent, delivered, attempts, time_left: TIME_TO_DEADLINE };
    assert_eq!(decide(&attempt), expected);
    if expected != Decision::Stop(Stop::MayHaveRun) && attempts < 3 {
        let late = Attempt { time_left: Duration::ZERO, ..attempt };
        assert_eq!(decide(&late), Decision::Stop(Stop::Deadline));
    }
}

/// All callers of an account use one node. With even shares, the account would get a quarter of its
/// limit.
#[test]
fn rate_limit_shares_follow_demand() {
    let start = Instant::now();
    let limit = Limit { requests: 40.0, burst: 4.0, weight: 1.0 };
    let mut bucket = Bucket::new(&limit, 4, start);
    let mut n_granted = 0;
    for step in 0..2_000_u32 {
        let now = start + TICK * step;
        n_granted += u32::from(bucket.take(now).is_ok());
        bucket.set_share(bucket.demand(), bucket.demand(), 4);
    }
    assert!((80.0..120.0).contains(&bucket.demand()), "{}", bucket.demand());
    let per_second = n_granted / 20;
    assert!((30..=40).contains(&per_second), "{per_second} a second");
}

/// A request that crashes its endpoint is repeated. Each crash takes down an endpoint together with
/// the answers that it was generating for others.
#[test]
fn poison_request_is_refused_on_all_nodes() {
    let (now, fingerprint) = (Instant::now(), [1; 16]);
    let (mut first_node, mut second_node) = (Register::new(10), Register::new(10));
    first_node.record_crash(fingerprint, &"engine-1".into(), now);
    second_node.record_crash(fingerprint, &"engine-2".into(), now);
    assert!(!first_node.is_poison(fingerprint, now) && !second_node.is_poison(fingerprint, now));
    second_node.merge(first_node.export(now), now);
    assert!(
        second_node.is_poison(fingerprint, now),
        "two endpoints crashed, each recorded by another node"
    );
    assert!(
        !second_node.is_poison(fingerprint, now + Duration::from_secs(3_600)),
        "the record expires"
    );
    second_node.clear(fingerprint);
    second_node.merge(first_node.export(now), now);
    assert!(!second_node.is_poison(fingerprint, now), "an endpoint answered the request");
}

/// Nodes exchange a record back and forth. If each exchange reset the age of the record, it would
/// never expire, and the request would be refused forever.
#[test]
fn exchanged_poison_records_still_expire() {
    const TRANSIT_TIME: Duration = Duration::from_secs(30);
    let (start, fingerprint) = (Instant::now(), [1; 16]);
    let (mut first_node, mut second_node) = (Register::new(10), Register::new(10));
    first_node.record_crash(fingerprint, &"engine-1".into(), start);
    first_node.record_crash(fingerprint, &"engine-2".into(), start);
    for minute in 0..90 {
        let now = start + Duration::from_secs(60) * minute;
        second_node.merge(first_node.export(now), now + TRANSIT_TIME);
        first_node.merge(second_node.export(now), now + TRANSIT_TIME);
    }
    let now = start + Duration::from_secs(60 * 90);
    assert!(!first_node.is_poison(fingerprint, now) && !second_node.is_poison(fingerprint, now));
    assert!(first_node.export(now).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// While all accounts have waiting requests, they are served in proportion to their weights.
    #[test]
    fn queue_serves_accounts_by_weight(weights in proptest::collection::vec(1_u32..6, 2..6)) {
        let (mut queue, now) = (Fair::new(100_000), Instant::now());
        let deadline = now + TIME_TO_DEADLINE;
        for _ in 0..150 {
            for (account, weight) in weights.iter().enumerate() {
                let id = account::Id::new(account.to_string());
                queue.push(account, &id, f64::from(*weight), deadline, now).expect("the queue has capacity");
            }
        }
        let rounds = 25;
        let mut served = vec![0_u32; weights.len()];
        for _ in 0..rounds * weights.iter().sum::<u32>() {
            if let Some(Next::Run(account)) = queue.pop(now) {
                served[account] += 1;
            }
        }
        for (served, weight) in served.iter().zip(&weights) {
            prop_assert!(served.abs_diff(rounds * weight) <= 2, "{served} for weight {weight}");
        }
    }

    /// No admitted request is lost, and none is returned twice.
    #[test]
    fn queue_returns_each_request_exactly_once(
        pushes in proptest::collection::vec((0_u32..5, 0_u64..2_000), 0..100),
        capacity in 0_usize..60,
    ) {
        let (mut queue, now) = (Fair::new(capacity), Instant::now());
        let mut expected = Vec::new();
        for (item, (account, deadline_millis)) in pushes.into_iter().enumerate() {
            let id = account::Id::new(account.to_string());
            let deadline = now + Duration::from_millis(deadline_millis);
            match queue.push(item, &id, 1.0, deadline, now) {
                Ok(()) => expected.push(item),
                Err(refusal) => prop_assert!(Duration::ZERO < refusal.retry_after),
            }
        }
        prop_assert!(expected.len() <= capacity);
        let mut returned: Vec<usize> = std::iter::from_fn(|| queue.pop(now))
            .map(|it| match it { Next::Run(it) | Next::Expired(it) => it })
            .collect();
        returned.sort_unstable();
        prop_assert_eq!(returned, expected);
    }

    /// The shares of a limit that nodes compute from the same demands add up to the limit.
    #[test]
    fn rate_limit_shares_add_up_to_the_limit(demands in proptest::collection::vec(0.1_f64..100.0, 1..20)) {
        let fleet_demand: f64 = demands.iter().sum();
        let shares = demands.iter().map(|own_demand| {
            let mut bucket = Bucket::new(&Limit::default(), demands.len(), Instant::now());
            bucket.set_share(*own_demand, fleet_demand, demands.len());
            bucket.share()
        });
        prop_assert!((shares.sum::<f64>() - 1.0).abs() < 1e-9);
    }

    /// Registers that merged the same records agree, regardless of the order.
    #[test]
    fn poison_records_merge_in_any_order(
        crashes in proptest::collection::vec((0_u8..3, 0_u8..4, any::<bool>()), 0..20),
    ) {
        let now = Instant::now();
        let registers: Vec<Register> = crashes.iter().map(|(fingerprint, endpoint, is_cleared)| {
            let mut register = Register::new(100);
            register.record_crash([*fingerprint; 16], &format!("engine-{endpoint}").as_str().into(), now);
            if *is_cleared {
                register.clear([*fingerprint; 16]);
            }
            register
        }).collect();
        let (mut forward, mut backward) = (Register::new(100), Register::new(100));
        registers.iter().for_each(|it| forward.merge(it.export(now), now));
        registers.iter().rev().chain(&registers).for_each(|it| backward.merge(it.export(now), now));
        prop_assert_eq!(forward.export(now), backward.export(now));
    }
}
