//! Limits, the queue, retries and poison requests: what happens when there is too much.

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

const STEP: Duration = Duration::from_millis(10);
const PATIENCE: Duration = Duration::from_secs(1);

/// Twice as much comes as can be served, most of it from one account. Without fair shares the
/// large account's requests would fill the queue and small accounts would get nothing.
#[test]
fn small_accounts_are_served_under_overload() {
    let (mut queue, mut now) = (Fair::new(200), Instant::now());
    let (large, small) = (account::Id::new("large"), account::Id::new("small"));
    let (mut n_late, mut n_refused) = (0, 0);
    let mut served: BTreeMap<account::Id, u32> = BTreeMap::new();
    for round in 0..5_000 {
        now += STEP;
        let mut push = |account: &account::Id| {
            let pushed = queue.push(account.clone(), account, 1.0, now + PATIENCE, now);
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
            n_late += 1;
        }
        queue.record_service(now);
    }
    assert!(4_900 <= served.values().sum::<u32>(), "endpoints stay busy: {served:?}");
    assert!(980 <= served[&small], "small account gets what it asks for: {served:?}");
    assert!(4_500 <= n_refused, "the rest is refused as it comes: {n_refused}");
    assert!(n_late <= 100, "hardly any waits in vain: {n_late}");
}

/// Endpoints stop. Requests that come now would wait until their deadline for nothing.
#[test]
fn a_stall_is_noticed_at_the_door() {
    let (mut queue, mut now) = (Fair::new(100), Instant::now());
    let account = account::Id::new("a");
    let mut push = |now| queue.push((), &account, 1.0, now + PATIENCE, now);
    (0..10).for_each(|_| push(now).expect("there is room"));
    now += Duration::from_secs(5);
    let full = push(now).expect_err("nothing was served for five seconds");
    assert!(PATIENCE < full.retry_after);
}

/// One account was alone for long, then another comes. It must not be served alone to make up
/// for time when it asked for nothing.
#[test]
fn a_late_account_claims_no_past_share() {
    let (mut queue, now) = (Fair::new(10_000), Instant::now());
    let (early, late) = (account::Id::new("early"), account::Id::new("late"));
    let push = |queue: &mut Fair<bool>, account: &account::Id| {
        let pushed = queue.push(*account == late, account, 1.0, now + PATIENCE, now);
        pushed.expect("there is room");
    };
    for _ in 0..500 {
        push(&mut queue, &early);
        assert_eq!(queue.pop(now), Some(Next::Run(false)));
        push(&mut queue, &early);
    }
    (0..100).for_each(|_| push(&mut queue, &late));
    let n_late = (0..100).filter(|_| queue.pop(now) == Some(Next::Run(true))).count();
    assert!((45..=55).contains(&n_late), "{n_late} of 100 for the late account");
}

/// Nothing came for an hour. That must not look like a stall to those who come next.
#[test]
fn an_idle_queue_is_no_stall() {
    let (mut queue, mut now) = (Fair::new(100), Instant::now());
    let account = account::Id::new("a");
    queue.push(0, &account, 1.0, now + PATIENCE, now).expect("there is room");
    assert_eq!(queue.pop(now), Some(Next::Run(0)));
    now += Duration::from_secs(3_600);
    for item in 0..20 {
        let pushed = queue.push(item, &account, 1.0, now + PATIENCE, now);
        assert_eq!(pushed, Ok(()), "request {item}");
    }
}

/// Every endpoint fails. Each request that is tried again adds to the load that broke them.
#[test]
fn retries_stop_when_nothing_succeeds() {
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
fn attempts(repeat: Repeat, sent: Sent, delivered: Delivered, attempts: u32, expected: Decision) {
    let attempt = Attempt { repeat, sent, delivered, attempts, time_left: PATIENCE };
    assert_eq!(decide(&attempt), expected);
    if expected != Decision::Stop(Stop::MayHaveRun) && attempts < 3 {
        let late = Attempt { time_left: Duration::ZERO, ..attempt };
        assert_eq!(decide(&late), Decision::Stop(Stop::Deadline));
    }
}

/// An account's callers all come to one node. With even shares it would get a quarter of what
/// it pays for.
#[test]
fn limits_follow_demand() {
    let start = Instant::now();
    let limit = Limit { requests: 40.0, burst: 4.0, weight: 1.0 };
    let mut bucket = Bucket::new(&limit, 4, start);
    let mut n_granted = 0;
    for step in 0..2_000_u32 {
        let now = start + STEP * step;
        n_granted += u32::from(bucket.take(now).is_ok());
        bucket.set_share(bucket.demand(), bucket.demand(), 4);
    }
    assert!((80.0..120.0).contains(&bucket.demand()), "{}", bucket.demand());
    let per_second = n_granted / 20;
    assert!((30..=40).contains(&per_second), "{per_second} a second");
}

/// A request that crashes its endpoint is sent again and again. Each time an endpoint goes
/// down, and with it the answers that it was writing for others.
#[test]
fn a_poison_request_stops_everywhere() {
    let (now, body) = (Instant::now(), [1; 16]);
    let (mut here, mut there) = (Register::new(10), Register::new(10));
    here.record_crash(body, &"engine-1".into(), now);
    there.record_crash(body, &"engine-2".into(), now);
    assert!(!here.is_poison(body, now) && !there.is_poison(body, now));
    there.merge(here.export(now), now);
    assert!(there.is_poison(body, now), "two endpoints, as seen by two nodes");
    assert!(!there.is_poison(body, now + Duration::from_secs(3_600)), "it expires");
    there.clear(body);
    there.merge(here.export(now), now);
    assert!(!there.is_poison(body, now), "an endpoint answered it");
}

/// Nodes send an entry to and fro. Were it young again each time, it would never expire.
#[test]
fn echoes_dont_keep_an_entry_alive() {
    const ON_THE_WAY: Duration = Duration::from_secs(30);
    let (start, body) = (Instant::now(), [1; 16]);
    let (mut here, mut there) = (Register::new(10), Register::new(10));
    here.record_crash(body, &"engine-1".into(), start);
    here.record_crash(body, &"engine-2".into(), start);
    for minute in 0..90 {
        let now = start + Duration::from_secs(60) * minute;
        there.merge(here.export(now), now + ON_THE_WAY);
        here.merge(there.export(now), now + ON_THE_WAY);
    }
    let now = start + Duration::from_secs(60 * 90);
    assert!(!here.is_poison(body, now) && !there.is_poison(body, now));
    assert!(here.export(now).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// While all accounts have requests waiting, they are served by their weights.
    #[test]
    fn the_queue_shares_by_weight(weights in proptest::collection::vec(1_u32..6, 2..6)) {
        let (mut queue, now) = (Fair::new(100_000), Instant::now());
        let deadline = now + PATIENCE;
        for _ in 0..150 {
            for (account, weight) in weights.iter().enumerate() {
                let id = account::Id::new(account.to_string());
                queue.push(account, &id, f64::from(*weight), deadline, now).expect("there is room");
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

    /// Nothing that is taken in is lost, and nothing comes out twice.
    #[test]
    fn the_queue_gives_each_request_once(
        pushes in proptest::collection::vec((0_u32..5, 0_u64..2_000), 0..100),
        capacity in 0_usize..60,
    ) {
        let (mut queue, now) = (Fair::new(capacity), Instant::now());
        let mut expected = Vec::new();
        for (item, (account, patience)) in pushes.into_iter().enumerate() {
            let id = account::Id::new(account.to_string());
            let deadline = now + Duration::from_millis(patience);
            match queue.push(item, &id, 1.0, deadline, now) {
                Ok(()) => expected.push(item),
                Err(full) => prop_assert!(Duration::ZERO < full.retry_after),
            }
        }
        prop_assert!(expected.len() <= capacity);
        let mut given: Vec<usize> = std::iter::from_fn(|| queue.pop(now))
            .map(|it| match it { Next::Run(it) | Next::Expired(it) => it })
            .collect();
        given.sort_unstable();
        prop_assert_eq!(given, expected);
    }

    /// Shares of a limit worked out by all nodes from the same demands add up to the limit.
    #[test]
    fn limit_shares_add_up(demands in proptest::collection::vec(0.1_f64..100.0, 1..20)) {
        let fleet: f64 = demands.iter().sum();
        let shares = demands.iter().map(|own| {
            let mut bucket = Bucket::new(&Limit::default(), demands.len(), Instant::now());
            bucket.set_share(*own, fleet, demands.len());
            bucket.share()
        });
        prop_assert!((shares.sum::<f64>() - 1.0).abs() < 1e-9);
    }

    /// Registers that learned the same things, in whatever order, agree.
    #[test]
    fn poison_merges_in_any_order(
        charges in proptest::collection::vec((0_u8..3, 0_u8..4, any::<bool>()), 0..20),
    ) {
        let now = Instant::now();
        let parts: Vec<Register> = charges.iter().map(|(body, endpoint, is_released)| {
            let mut register = Register::new(100);
            register.record_crash([*body; 16], &format!("engine-{endpoint}").as_str().into(), now);
            if *is_released {
                register.clear([*body; 16]);
            }
            register
        }).collect();
        let (mut forward, mut backward) = (Register::new(100), Register::new(100));
        parts.iter().for_each(|it| forward.merge(it.export(now), now));
        parts.iter().rev().chain(&parts).for_each(|it| backward.merge(it.export(now), now));
        prop_assert_eq!(forward.export(now), backward.export(now));
    }
}
