//! The evidence about a new version that all nodes receive.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use curranthook_gateway::{
    fleet_writer::collectors::Collectors,
    rollouts::Rollouts,
    steps::{Counts, Evidence, Schedule},
    store::{Order, Rev},
};

use crate::law::{Law, N_NODES};

const SERVICE: &str = "models";
const ORDER: Rev = Rev(1);

fn rollouts() -> Rollouts {
    let mut it = Rollouts::new(Schedule::new(0.15));
    let (service, target) = (SERVICE.to_owned(), "v2".to_owned());
    let time_limit = Duration::from_secs(100);
    it.apply_order(Order { service, target, time_limit }, ORDER, None);
    it
}

fn names(n_nodes: usize) -> Vec<String> {
    (0..n_nodes).map(|it| format!("node-{it}")).collect()
}

fn evidence(answers: u64, bad: u64) -> Evidence {
    Evidence { new: Counts { answers, bad, ..Counts::default() }, ..Evidence::default() }
}

/// Guards against evidence that is lost or counted twice on its way through the collectors, also
/// from nodes that have written a part of it themselves.
#[test]
fn each_answer_is_counted_once() {
    let names = names(985);
    let collectors = Collectors::new(SERVICE, names.iter().map(String::as_str));
    let (mut reader, now) = (rollouts(), Instant::now());
    let mut collecting: HashMap<&str, Rollouts> = HashMap::new();
    for (n, node) in names.iter().enumerate() {
        let (own, written) = (evidence(10, 2), evidence(4, 1));
        if collectors.contains(node) {
            reader.apply_evidence(SERVICE, ORDER, (node, own), None);
            continue;
        }
        let collector = collecting.entry(collectors.of(node).unwrap()).or_insert_with(rollouts);
        // A report replaces the one before.
        collector.apply_report(SERVICE, ORDER, (node, evidence(1, 0)), now);
        collector.apply_report(SERVICE, ORDER, (node, own), now);
        if n % 10 == 0 {
            reader.apply_evidence(SERVICE, ORDER, (node, written), None);
            collector.apply_report(SERVICE, ORDER, (node, own.minus(written)), now);
        }
    }
    for (name, it) in &collecting {
        let sum = it.get(SERVICE).unwrap().reported_sum();
        reader.apply_collected(SERVICE, ORDER, name, sum);
        reader.apply_collected(SERVICE, ORDER, name, sum);
    }
    let known = reader.get(SERVICE).unwrap();
    assert_eq!(known.evidence(), evidence(9_850, 1_970));
    assert!(985 <= known.n_reporting());
}

/// Guards against counting the answers of a node twice that reports to another collector, as nodes
/// have joined the fleet or left it.
#[test]
fn report_that_is_not_repeated_is_dropped() {
    let (mut collector, start, s) = (rollouts(), Instant::now(), Duration::from_secs);
    for (node, at) in [("node-1", 0), ("node-2", 0), ("node-2", 3)] {
        collector.apply_report(SERVICE, ORDER, (node, evidence(10, 1)), start + s(at));
    }
    let mut known = |at| {
        collector.expire_reports(start + s(at));
        let rollout = collector.get(SERVICE).unwrap();
        assert_eq!(rollout.evidence(), rollout.reported_sum().0);
        rollout.evidence()
    };
    assert_eq!(known(3), evidence(20, 2));
    assert_eq!(known(5), evidence(10, 1));
    assert_eq!(known(8), evidence(0, 0));
}

/// Guards against rows of evidence from each node, which the store takes only now and then.
#[test]
fn few_nodes_write_the_evidence_of_all() {
    Law::Linear.assert(&N_NODES, |n_nodes| {
        Collectors::new(SERVICE, names(n_nodes).iter().map(String::as_str)).len()
    });
    let names = names(985);
    let collectors = Collectors::new(SERVICE, names.iter().map(String::as_str));
    assert!(collectors.len() <= 16, "{} rows", collectors.len());
}

/// Guards against a collector that most nodes report to.
#[test]
fn reports_spread_over_the_collectors() {
    // A smaller fleet has fewer nodes for each of the minimum number of collectors.
    Law::Constant.assert(&N_NODES[1..], |n_nodes| {
        let names = names(n_nodes);
        let collectors = Collectors::new(SERVICE, names.iter().map(String::as_str));
        let mut n_reports: HashMap<&str, usize> = HashMap::new();
        for it in &names {
            *n_reports.entry(collectors.of(it).unwrap()).or_default() += 1;
        }
        n_reports.into_values().max().unwrap()
    });
}
