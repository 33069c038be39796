//! What nodes together send to an endpoint that fails if it has to reject many requests.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use curranthook_gateway::{
    brittle::{
        self, Share, Statement, Statements,
        limit::{Limits, Rejection},
    },
    load::in_flight::Table,
    rate_limit,
};
use curranthook_policy::hash;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::law::{Law, N_NODES};

/// The nodes to which a node passes a statement on.
const FANOUT: usize = 8;

/// The largest number of attempts within a second, if each of `n_nodes` makes one whenever it may.
fn max_attempts(n_nodes: u64, max_rejections: f64) -> usize {
    let (start, step) = (Instant::now(), Duration::from_millis(50));
    let nodes: Vec<u64> = (0..n_nodes).map(|it| hash::pair(it, 1)).collect();
    let rate = brittle::attempt_rate(max_rejections);
    let mut shares = vec![Share::new(rate); nodes.len()];
    let mut recent: VecDeque<Instant> = VecDeque::new();
    let mut max = 0;
    for n in 0..400 {
        let (elapsed, now) = (step * n, start + step * n);
        let rotation = rate_limit::rotation(elapsed);
        recent.retain(|it| now < *it + Duration::from_secs(1));
        for (node, share) in nodes.iter().zip(&mut shares) {
            if share.attempts.is_outdated(rotation, now) {
                let interval = rate_limit::interval(rate, 7, rotation, *node, &nodes);
                share.attempts.set_interval(interval, rotation, now);
            }
            if share.attempts.admits(now) {
                share.attempts.sent(now);
                recent.push_back(now);
            }
        }
        max = max.max(recent.len());
    }
    max
}

/// Guards against attempts at endpoints without known room that grow with the nodes, or that an
/// endpoint cannot bear if it rejects all of them.
#[test]
fn attempts_without_known_room_are_bounded() {
    for max_rejections in [1.0, 2.0, 3.0, 4.0, 10.0] {
        for n_nodes in [4, 20, 40, 250, 1_000] {
            let max = max_attempts(n_nodes, max_rejections);
            let is_kept = max as f64 <= max_rejections;
            assert!(is_kept, "{max} attempts of {n_nodes} nodes, {max_rejections} borne");
        }
    }
}

/// Guards against rejections by an endpoint that takes none that grow with the requests or with the
/// lengths of their prompts.
#[test]
fn endpoint_that_takes_nothing_rejects_few() {
    const SLOTS: u32 = 32;
    let (start, step, mut rng) =
        (Instant::now(), Duration::from_millis(5), StdRng::seed_from_u64(3));
    for max_rejections in [1.0, 2.0, 4.0, 10.0] {
        let (mut limits, mut recent) = (Limits::default(), VecDeque::new());
        for n in 0..12_000 {
            let now = start + step * n;
            recent.retain(|it| now < *it + Duration::from_secs(1));
            let tokens = 2_u64.pow(rng.random_range(0..20));
            if 0 < limits.requests(SLOTS, tokens, now) {
                let rejection = Rejection { n_requests: 0, prompt_tokens: Some(tokens) };
                limits.record(rejection, SLOTS, max_rejections, now);
                recent.push_back(now);
            }
            let n_recent = recent.len();
            assert!(n_recent as f64 <= max_rejections, "{n_recent} of {max_rejections} borne");
        }
    }
}

/// Guards against an endpoint that takes requests again and stays nearly unused.
#[test]
fn endpoint_that_takes_requests_again_is_used_soon() {
    for slots in [8, 32, 128] {
        let (now, mut limits) = (Instant::now(), Limits::default());
        let rejection = Rejection { n_requests: 0, prompt_tokens: Some(0) };
        limits.record(rejection, slots, 4.0, now);
        let later = now + Duration::from_secs(2 + u64::from(slots.ilog2()));
        assert_eq!(limits.requests(slots, 0, later), Limits::default().requests(slots, 0, later));
    }
}

/// Guards against an endpoint that has been paused once and is never limited again.
#[test]
fn rejection_long_after_a_pause_sets_a_limit() {
    let (now, mut limits) = (Instant::now(), Limits::default());
    limits.record(Rejection { n_requests: 0, prompt_tokens: Some(0) }, 32, 4.0, now);
    let later = now + Duration::from_secs(60);
    limits.record(Rejection { n_requests: 16, prompt_tokens: None }, 32, 4.0, later);
    assert_eq!(limits.requests(32, 0, later), 14);
}

/// Guards against a free slot that all nodes are told of at once.
#[test]
fn owner_tells_as_many_nodes_of_room_as_there_is() {
    let (now, room) = (Instant::now(), 5);
    Law::Constant.assert(&N_NODES, |n_nodes| {
        let mut table = Table::default();
        let mut n_told = 0;
        for node in (0..n_nodes).map(|it| format!("node-{it}")) {
            if table.count(&"e-1".into(), &node, now) < room {
                table.expect(&node, &"e-1".into(), now);
                n_told += 1;
            }
        }
        assert_eq!(n_told, room as usize);
        n_told
    });
}

/// Guards against nodes that report to each other and all take the same free slot.
#[test]
fn nodes_divide_the_room_that_all_of_them_see() {
    let now = Instant::now();
    for n_nodes in 1..=12 {
        for free in 0..40 {
            let n_sent = |rank| {
                let mut share = Share::new(1.0).with_rank(rank, n_nodes);
                let mut n = 0;
                while share.has_part_of(free - n, now) {
                    share.sent(now);
                    n += 1;
                }
                n
            };
            assert_eq!((0..n_nodes).map(n_sent).sum::<u32>(), free);
        }
    }
}

/// Guards against a statement that nodes tell each other again and again, and against one that few
/// of them hear of.
#[test]
fn statement_is_passed_on_once_by_each_node() {
    let start = Instant::now();
    let statement = Statement { max_rejections: 4.0, at: start, since: start };
    Law::Constant.assert(&N_NODES, |n_nodes| {
        let mut rng = StdRng::seed_from_u64(7);
        let mut nodes: Vec<_> = (0..n_nodes).map(|_| Statements::default()).collect();
        let (mut n_sent, mut queue) = (0, VecDeque::from([0]));
        while let Some(node) = queue.pop_front() {
            if nodes[node].record("engines", statement) {
                n_sent += FANOUT;
                queue.extend((0..FANOUT).map(|_| rng.random_range(0..n_nodes)));
            }
        }
        let n_known = nodes.iter().filter(|it| it.max_rejections("engines", start).is_some());
        let n_known = n_known.count();
        assert!(0.99 * n_nodes as f64 <= n_known as f64, "{n_known} of {n_nodes} nodes know");
        n_sent / n_nodes
    });
}
