//! The contents of digests merge idempotently.

use std::{sync::Arc, time::Duration};

use curranthook_peers::{
    demand::Demand,
    evidence::{Counts, Entry, Evidence, Outcome, Sample},
    poison::Poison,
    suspect::Suspects,
};
use curranthook_settings::Document;
use curranthook_types::{bill::Origin, clock, endpoint, version};
use proptest::prelude::*;

use crate::support::{Fleet, wait_until};

fn origin(n: u8) -> Origin {
    Origin { vm: format!("vm-{n}").as_str().into(), incarnation: 1 }
}

/// The entries that three nodes send as their counters grow, each state sent twice, and the total
/// of the counters.
fn entries_sent(ratings: &[(u8, f64)], version: &version::Id) -> (Vec<Entry>, Counts) {
    let nodes: Vec<_> = (0..3).map(|it| Evidence::new(origin(it))).collect();
    let mut entries = Vec::new();
    for (n, rating) in ratings {
        let node = &nodes[usize::from(*n)];
        let kind = if *rating < 0.5 { "summary" } else { "reconcile" }.into();
        node.record(
            version,
            &kind,
            Sample { rating: Some(*rating), outcome: Outcome::Answered, tokens: 5 },
        );
        entries.extend(node.select_entries(|_| true));
        entries.extend(node.select_entries(|_| true));
    }
    let totals = nodes.iter().map(|it| it.total(version));
    (entries, totals.fold(Counts::default(), |sum, it| sum.plus(&it)))
}

proptest! {
    /// Digests are repeated, reordered and forwarded by several peers. If a repeated entry were
    /// counted again, a few bad responses would look like many, and a good version would be
    /// withdrawn.
    #[test]
    fn evidence_repeated_and_reordered_counts_once(
        ratings in prop::collection::vec((0_u8..3, 0_u8..=4), 1..30),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let version = version::Id::new("tally-llm@1");
        let ratings: Vec<_> = ratings.iter().map(|(n, it)| (*n, f64::from(*it) / 4.0)).collect();
        let (mut entries, expected) = entries_sent(&ratings, &version);
        for index in order {
            let entry = index.get(&entries).clone();
            entries.push(entry);
            let index = index.index(entries.len());
            entries.swap(0, index);
        }
        let receiver = Evidence::new(origin(9));
        entries.iter().for_each(|it| receiver.merge(it));
        let total = receiver.total(&version);
        prop_assert_eq!((total.calls, total.n), (expected.calls, expected.n));
        prop_assert!((total.sum - expected.sum).abs() < 1e-9);
    }
}

/// One request crashes an endpoint of one router and, when it is retried, an endpoint of another.
/// No single router has seen two crashes.
#[test]
fn crashes_seen_by_two_nodes_mark_a_request_as_poison_until_they_expire() {
    let clock = Arc::new(clock::Manual::default());
    let nodes: Vec<_> = (0..3).map(|_| Poison::new(clock.clone())).collect();
    let fingerprint = [7; 16];
    nodes[0].record_crash(fingerprint, &endpoint::Id::new("e-1"));
    nodes[0].record_crash(fingerprint, &endpoint::Id::new("e-1"));
    assert!(!nodes[0].is_poison(&fingerprint), "one endpoint may have crashed for another reason");
    nodes[1].record_crash(fingerprint, &endpoint::Id::new("e-2"));
    for sender in &nodes[..2] {
        sender.recent_entries(0, 8).iter().for_each(|it| nodes[2].merge(it));
    }
    assert!(nodes[2].is_poison(&fingerprint));
    let entries = nodes[2].recent_entries(0, 8);
    clock.advance(Duration::from_secs(601));
    entries.iter().for_each(|it| nodes[0].merge(it));
    assert!(!nodes[0].is_poison(&fingerprint), "an expired record must not be accepted again");
    assert!(!nodes[2].is_poison(&fingerprint));
}

/// A version that a node suspects is withdrawn for all nodes. That ends the suspicion, which must
/// not block a later return of the version.
#[test]
fn withdrawing_a_version_clears_the_suspicion() {
    let suspects = Suspects::new(Arc::new(clock::Manual::default()));
    let version = version::Id::new("tally-llm@2");
    suspects.declare(&version);
    suspects.prune(&Document::default());
    assert!(suspects.contains(&version));
    let withdrawn = [version.clone()].into();
    suspects.prune(&Document { withdrawn, ..Document::default() });
    assert!(!suspects.contains(&version));
}

/// Two nodes get an account's requests at different rates. If each took half of the limit, one
/// would reject requests while the other leaves capacity unused.
#[test]
fn shares_follow_demand_and_sum_to_one() {
    let clock = Arc::new(clock::Manual::default());
    let nodes: Vec<_> =
        ["vm-0", "vm-1"].iter().map(|it| Demand::new((*it).into(), 1, clock.clone())).collect();
    let account = "co-op".into();
    for _ in 0..20 {
        (0..30).for_each(|_| nodes[0].record_request(&account));
        (0..10).for_each(|_| nodes[1].record_request(&account));
        nodes.iter().for_each(|it| it.update_rates(Duration::from_secs(1)));
    }
    let entries: Vec<_> = nodes.iter().map(|it| it.select_entries(|_| true).remove(0)).collect();
    nodes[0].merge(&entries[1]);
    nodes[0].merge(&entries[1]);
    nodes[1].merge(&entries[0]);
    let shares: Vec<_> = nodes.iter().map(|it| it.share(&account, 2)).collect();
    assert!((shares[0] - 0.75).abs() < 0.02, "{shares:?}");
    assert!((shares.iter().sum::<f64>() - 1.0).abs() < 0.02, "{shares:?}");
}

/// A version turns bad, and each router sees only a few of its responses. Together they have seen
/// enough, provided that the counts reach every node.
#[test]
fn evidence_and_suspicions_reach_every_node() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let nodes = fleet.start(6);
        let version = version::Id::new("tally-llm@2");
        for node in &nodes {
            node.evidence().record(
                &version,
                &"summary".into(),
                Sample { rating: Some(0.0), outcome: Outcome::Answered, tokens: 1 },
            );
        }
        nodes[0].suspects().declare(&version);
        let converged = wait_until(Duration::from_secs(10), || {
            nodes
                .iter()
                .all(|it| it.evidence().total(&version).n == 6 && it.suspects().contains(&version))
        });
        assert!(converged.await.is_some(), "{:?}", nodes[5].evidence().total(&version));
    });
}

/// All requests for an account arrive at one router, since its callers reuse their connections. If
/// idle routers didn't report, that router would assume that they are as busy as itself and use
/// only a part of the limit.
#[test]
fn a_node_with_all_the_demand_gets_nearly_the_whole_limit() {
    let clock = Arc::new(clock::Manual::default());
    let nodes: Vec<_> = ["vm-0", "vm-1", "vm-2"]
        .iter()
        .map(|it| Demand::new((*it).into(), 1, clock.clone()))
        .collect();
    let account = "co-op".into();
    for _ in 0..20 {
        (0..60).for_each(|_| nodes[0].record_request(&account));
        nodes[0].update_rates(Duration::from_secs(1));
    }
    assert!(nodes[0].share(&account, 3) < 0.4, "no reports of the others yet");
    for idle in &nodes[1..] {
        idle.select_entries(|_| true).iter().for_each(|it| nodes[0].merge(it));
    }
    assert!(0.95 < nodes[0].share(&account, 3), "{}", nodes[0].share(&account, 3));
}
