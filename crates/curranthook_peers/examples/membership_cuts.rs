//! Measures false removals under cuts, with and without trusting others' word.
//!
//! Nine nodes, so that each has all others in its view, run twenty times as fast as in service.
//! After a cut, every 50 ms and for every pair whose link is whole, it's noted whether the one
//! takes the other for unreachable.

#[path = "../tests/peers/support.rs"]
#[expect(dead_code, reason = "shared with the tests, which use more of it")]
mod support;

use std::{collections::HashSet, sync::Arc, time::Duration};

use async_io::Timer;
use curranthook_peers::{
    Node,
    tuning::{Trust, Tuning},
};
use support::{Fleet, wait};

const N_NODES: u16 = 9;
const SAMPLES: usize = 100;
const STEP: Duration = Duration::from_millis(50);
const LIMIT: Duration = Duration::from_secs(10);

/// Pairs of nodes of which the first can't call the second.
type Cuts = HashSet<(usize, usize)>;

#[derive(Debug, Default)]
struct Outcome {
    /// Samples of whole links over which a peer was taken for unreachable.
    n_false: usize,
    /// Samples of cut links over which a peer was.
    n_missed: usize,
    n_whole: usize,
    n_cut: usize,
    /// Until every cut link was noticed for the first time.
    detection: Option<Duration>,
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
    println!(
        "| cut | trust | false removals | cut links still taken for whole | all noticed after |"
    );
    println!("|---|---|---|---|---|");
    for (name, cuts) in &cases {
        for trust in [Trust::Own, Trust::Others] {
            let outcome = async_io::block_on(measure(cuts, trust));
            println!("| {name} | {trust:?} | {} |", outcome.row());
        }
    }
}

impl Outcome {
    fn row(&self) -> String {
        let percent = |n: usize, of: usize| 100.0 * n as f64 / of.max(1) as f64;
        let detection = self.detection.map_or("-".to_owned(), |it| format!("{it:.1?}"));
        format!(
            "{:.2} % | {:.2} % | {detection}",
            percent(self.n_false, self.n_whole),
            percent(self.n_missed, self.n_cut),
        )
    }
}

async fn measure(cuts: &Cuts, trust: Trust) -> Outcome {
    let mut fleet = Fleet::new();
    fleet.tuning = Tuning { trust, ..fleet.tuning.clone() };
    let nodes = fleet.start(N_NODES);
    // Under `Trust::Others` a first failed call can keep a pair apart for long, so this may
    // run into its limit; that's part of what is measured.
    wait(LIMIT, || all_met(&nodes)).await;
    for (a, b) in cuts {
        fleet.net.cut(&nodes[*a], &nodes[*b]);
    }
    let detection = wait(LIMIT, || cuts.iter().all(|(a, b)| !sees(&nodes[*a], &nodes[*b]))).await;
    let mut outcome = Outcome { detection, ..Outcome::default() };
    for _ in 0..SAMPLES {
        Timer::after(STEP).await;
        sample(&nodes, cuts, &mut outcome);
    }
    if cuts.is_empty() {
        outcome.detection = None;
    }
    outcome
}

fn sample(nodes: &[Arc<Node>], cuts: &Cuts, outcome: &mut Outcome) {
    for (a, node) in nodes.iter().enumerate() {
        let unreachable = node.view().unreachable;
        for (b, other) in nodes.iter().enumerate().filter(|(b, _)| *b != a) {
            if cuts.contains(&(a, b)) {
                outcome.n_cut += 1;
                outcome.n_missed += usize::from(sees(node, other));
            } else {
                outcome.n_whole += 1;
                outcome.n_false += usize::from(unreachable.contains(&other.identity().addr));
            }
        }
    }
}

fn all_met(nodes: &[Arc<Node>]) -> bool {
    nodes.iter().all(|it| it.view().alive.len() + 1 == nodes.len())
}

fn sees(node: &Node, other: &Node) -> bool {
    node.view().alive.iter().any(|it| it.identity.vm == other.identity().vm)
}
