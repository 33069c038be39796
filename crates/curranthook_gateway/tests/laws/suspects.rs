//! Crashes of endpoints under a part of prompts, each seen by another node.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use curranthook_gateway::load::owners::Owners;
use curranthook_policy::suspects::{Crash, Decision, Suspects};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::law::{Law, N_NODES};

/// The nodes to which a node passes a verdict on, and those that add up crashes.
const FANOUT: usize = 8;
const N_JUDGES: usize = 3;
const PART: u64 = 7;

fn addr(node: usize) -> SocketAddr {
    ([10, 0, (node / 250) as u8, (node % 250) as u8], 7_000).into()
}

fn owners(n_nodes: usize) -> Owners {
    let mut owners = Owners::default();
    (0..n_nodes).for_each(|it| owners.set_node(&format!("node-{it}"), Some(addr(it))));
    owners
}

/// The records of a node that has answered another part.
fn suspects(now: Instant) -> Suspects {
    let mut it = Suspects::new(64);
    it.record_answer(&[PART + 1], now, now, now);
    it
}

/// Records answers on another part.
fn answer_others(it: &mut Suspects, at: Instant) {
    (0..3).for_each(|_| _ = it.record_answer(&[PART + 1], at, at, at));
}

/// The number of crashes, each reported by another of `n_nodes`, until a node reaches a verdict, and
/// the number of reports.
fn crashes_until_verdict(n_nodes: usize) -> (usize, usize) {
    let (owners, now) = (owners(n_nodes), Instant::now());
    let mut judges: HashMap<SocketAddr, Suspects> = HashMap::new();
    let mut n_reports = 0;
    for n in 0.. {
        let crash = Crash { endpoint: n, request: n, parts: &[PART], at: now };
        let mut is_found = false;
        for judge in owners.nearest(PART, N_JUDGES) {
            n_reports += 1;
            let judge = judges.entry(judge).or_insert_with(|| suspects(now));
            is_found |= judge.record_crash(PART, &crash, now).is_some();
        }
        if is_found {
            return (n as usize + 1, n_reports);
        }
    }
    unreachable!("crashes end with a verdict")
}

/// Guards against crashes that nobody adds up because each is seen by another node, and against
/// reports to all nodes.
#[test]
fn crashes_seen_by_different_nodes_are_added_up() {
    Law::Constant.assert(&N_NODES, |n_nodes| crashes_until_verdict(n_nodes).0);
    Law::Constant.assert(&N_NODES, |n_nodes| crashes_until_verdict(n_nodes).1);
    assert!(crashes_until_verdict(985).0 <= 5, "a part is known by its fifth crash");
}

/// Guards against a verdict that takes longer to reach all nodes the more there are, and against
/// nodes that tell each other of it again and again.
#[test]
fn verdict_reaches_all_nodes_in_a_few_rounds() {
    let now = Instant::now();
    let verdict = {
        let mut judge = suspects(now);
        let crash = |n| Crash { endpoint: n, request: n, parts: &[PART], at: now };
        (0..4).find_map(|n| judge.record_crash(PART, &crash(n), now)).unwrap()
    };
    let gossip = |n_nodes: usize| {
        let mut rng = StdRng::seed_from_u64(7);
        let mut nodes: Vec<_> = (0..n_nodes).map(|_| Suspects::new(64)).collect();
        let (mut n_sent, mut max_round, mut queue) = (0, 0, VecDeque::from([(0, 0)]));
        while let Some((node, round)) = queue.pop_front() {
            if nodes[node].record_verdict(verdict.clone()) {
                n_sent += FANOUT;
                max_round = round;
                queue.extend((0..FANOUT).map(|_| (rng.random_range(0..n_nodes), round + 1)));
            }
        }
        let later = now + Duration::from_secs(1);
        let is_refused = |it: &mut Suspects| it.decide(&[PART], later, false);
        let n_known = nodes
            .iter_mut()
            .filter_map(|it| (is_refused(it) == Decision::Refuse(PART)).then_some(()));
        let n_known = n_known.count();
        assert!(0.99 * n_nodes as f64 <= n_known as f64, "{n_known} of {n_nodes} nodes know");
        (n_sent / n_nodes, max_round)
    };
    Law::Constant.assert(&N_NODES, |n_nodes| gossip(n_nodes).0);
    Law::Logarithmic.assert(&N_NODES, |n_nodes| gossip(n_nodes).1);
}

/// Guards against objections to a false verdict for each of the copies that a node gets of it.
#[test]
fn node_objects_to_a_verdict_once() {
    let now = Instant::now();
    let later = now + Duration::from_millis(10);
    let verdict = {
        let mut judge = suspects(now);
        let crash = |n| Crash { endpoint: n, request: n, parts: &[PART], at: now };
        (0..4).find_map(|n| judge.record_crash(PART, &crash(n), now)).unwrap()
    };
    Law::Constant.assert(&N_NODES, |n_nodes| {
        let mut rng = StdRng::seed_from_u64(7);
        let mut nodes: Vec<_> = (0..n_nodes).map(|_| Suspects::new(64)).collect();
        // Every second node has answered the part since.
        nodes
            .iter_mut()
            .step_by(2)
            .for_each(|it| _ = it.record_answer(&[PART], later, later, later));
        let (mut n_sent, mut queue) = (0, VecDeque::from([(1, false)]));
        while let Some((index, is_objection)) = queue.pop_front() {
            let node = &mut nodes[index];
            let disproves = is_objection || node.is_disproved(&verdict);
            if is_objection {
                node.record_answered(PART, later, later);
            }
            if disproves && node.objects(PART, true, later, later) {
                n_sent += FANOUT;
                queue.extend((0..FANOUT).map(|_| (rng.random_range(0..n_nodes), true)));
            }
            if !is_objection && node.record_verdict(verdict.clone()) {
                n_sent += FANOUT;
                queue.extend((0..FANOUT).map(|_| (rng.random_range(0..n_nodes), false)));
            }
        }
        let is_refused = |it: &mut Suspects| {
            answer_others(it, later);
            it.decide(&[PART], now + Duration::from_secs(1), false) != Decision::Admit
        };
        let n_refusing = nodes.iter_mut().filter_map(|it| is_refused(it).then_some(())).count();
        assert!(n_refusing as f64 <= 0.01 * n_nodes as f64, "{n_refusing} of {n_nodes} refuse");
        assert!(n_sent <= 2 * FANOUT * n_nodes, "{n_sent} datagrams of {n_nodes} nodes");
        n_sent / n_nodes
    });
}

/// Guards against a caller that sends thousands of parts to push out a verdict or the crashes under
/// another part.
#[test]
fn parts_of_callers_push_out_no_verdict() {
    let now = Instant::now();
    let mut suspects = suspects(now);
    let crash = |n| Crash { endpoint: n, request: n, parts: &[PART], at: now };
    let verdict = (0..4).find_map(|n| suspects.record_crash(PART, &crash(n), now)).unwrap();
    assert!(suspects.record_verdict(verdict));
    let later = now + Duration::from_secs(1);
    for part in 100..10_000 {
        suspects.record_answer(&[part], later, later, later);
        let crash = Crash { endpoint: 1, request: part, parts: &[part], at: later };
        assert!(suspects.record_crash(part + 20_000, &crash, later).is_none());
    }
    assert_eq!(suspects.decide(&[PART], later, false), Decision::Refuse(PART));
}
