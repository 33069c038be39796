//! Measures false removals of peers under network cuts, with and without trusting the reports of
//! peers.
//!
//! There are nine nodes, so that each has all others in its view, and they run at twenty times the
//! usual rate. After a cut, it is sampled every 50 ms, for every pair whose link is intact, whether
//! one node considers the other unreachable.

#[path = "../tests/peers/support.rs"]
#[expect(dead_code, reason = "shared with the tests, which use more of it")]
mod support;

use std::{collections::HashSet, sync::Arc, time::Duration};

use async_io::Timer;
use curranthook_peers::{
    Node,
    tuning::{Trust, Tuning},
};
use support::{Fleet, wait_until};

/// Number of nodes in the fleet.
const N_NODES: u16 = 9;
/// Number of times that all links are sampled after a cut.
const N_SAMPLES: usize = 100;
/// The time between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// The time limit for all nodes to connect, and for all cuts to be detected.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Pairs of nodes of which the first can't call the second.
type Cuts = HashSet<(usize, usize)>;

#[derive(Debug, Default)]
struct Outcome {
    /// Number of samples of intact links whose peer was considered unreachable.
    n_false_removals: usize,
    /// Number of samples of cut links whose peer was still considered alive.
    n_undetected_cuts: usize,
    /// Number of samples of intact links, one per link and interval.
    n_intact_samples: usize,
    /// Number of samples of cut links, one per link and interval.
    n_cut_samples: usize,
    /// The time until every cut link was detected at least once.
    detection_time: Option<Duration>,
}

fn main() {
    let both_ways = |pairs: &[(usize, usize)]| {
        pairs.iter().flat_map(|(a, b)| [(*a, *b), (*b, *a)]).collect::<Cuts>()
    };
    let one_way: Cuts = (1..7).map(|it| (0, it)).collect();
    let cases = [
        ("none", Cuts::new()),
        ("one way, from one node to six", one_way),
        ("one pair, both ways", both_ways(&[(0, 1)])),
        ("non-transitive, four pairs", both_ways(&[(0, 1), (2, 4), (3, 8), (5, 7)])),
    ];
    println!("| cut | trust | false removals | undetected cuts | all detected after |");
    println!("|---|---|---|---|---|");
    for (name, cuts) in &cases {
        for trust in [Trust::Own, Trust::Others] {
            let outcome = async_io::block_on(measure(cuts, trust));
            println!("| {name} | {trust:?} | {} |", outcome.table_row());
        }
    }
}

impl Outcome {
    fn table_row(&self) -> String {
        let percent = |n: usize, total: usize| 100.0 * n as f64 / total.max(1) as f64;
        let detection_time = self.detection_time.map_or("-".to_owned(), |it| format!("{it:.1?}"));
        format!(
            "{:.2} % | {:.2} % | {detection_time}",
            percent(self.n_false_removals, self.n_intact_samples),
            percent(self.n_undetected_cuts, self.n_cut_samples),
        )
    }
}

async fn measure(cuts: &Cuts, trust: Trust) -> Outcome {
    let mut fleet = Fleet::new();
    fleet.tuning = Tuning { trust, ..fleet.tuning.clone() };
    let nodes = fleet.start(N_NODES);
    // Under `Trust::Others` a first failed call can make two nodes consider each other unreachable
    // for long, so this may time out, which is part of the measurement.
    wait_until(TIMEOUT, || all_connected(&nodes)).await;
    for (a, b) in cuts {
        fleet.network.cut(&nodes[*a], &nodes[*b]);
    }
    let detection_time =
        wait_until(TIMEOUT, || cuts.iter().all(|(a, b)| !considers_alive(&nodes[*a], &nodes[*b])))
            .await;
    let mut outcome = Outcome { detection_time, ..Outcome::default() };
    for _ in 0..N_SAMPLES {
        Timer::after(SAMPLE_INTERVAL).await;
        sample(&nodes, cuts, &mut outcome);
    }
    if cuts.is_empty() {
        outcome.detection_time = None;
    }
    outcome
}

fn sample(nodes: &[Arc<Node>], cuts: &Cuts, outcome: &mut Outcome) {
    for (a, node) in nodes.iter().enumerate() {
        let unreachable = node.view().unreachable;
        for (b, other) in nodes.iter().enumerate().filter(|(b, _)| *b != a) {
            if cuts.contains(&(a, b)) {
                outcome.n_cut_samples += 1;
                outcome.n_undetected_cuts += usize::from(considers_alive(node, other));
            } else {
                outcome.n_intact_samples += 1;
                outcome.n_false_removals +=
                    usize::from(unreachable.contains(&other.identity().addr));
            }
        }
    }
}

fn all_connected(nodes: &[Arc<Node>]) -> bool {
    nodes.iter().all(|it| it.view().alive.len() + 1 == nodes.len())
}

fn considers_alive(node: &Node, other: &Node) -> bool {
    node.view().alive.iter().any(|it| it.identity.vm == other.identity().vm)
}
