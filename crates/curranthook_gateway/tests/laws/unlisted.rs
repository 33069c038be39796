//! What it costs to ask the nodes without a row whether they run.

use std::time::{Duration, Instant};

use curranthook_gateway::fleet::unlisted::Nodes;
use yare::parameterized;

const WINDOW: Duration = Duration::from_secs(10);
const INTERVAL: Duration = Duration::from_millis(500);

/// Plays a fleet whose rows are all lost at once, from one of its nodes. A node answers each question if
/// `are_running`, and its row is back after `lost_for`. Returns the questions in the second with most, and
/// how long the last node counted.
fn play(n_nodes: u16, are_running: bool, lost_for: Duration) -> (usize, Duration) {
    let (start, mut nodes) = (Instant::now(), Nodes::new(WINDOW));
    let name = |port: u16| format!("node-{port}");
    (1..n_nodes).for_each(|it| nodes.add(&name(it), Some(([127, 0, 0, 1], it).into()), start));
    let (mut questions, mut elapsed) = (Vec::new(), Duration::ZERO);
    while !nodes.is_empty() {
        elapsed += INTERVAL;
        let now = start + elapsed;
        if lost_for <= elapsed {
            (1..n_nodes).for_each(|it| _ = nodes.remove(&name(it)));
        }
        nodes.take_silent(now);
        let asked = nodes.take_questions(now);
        questions.push(asked.len());
        if are_running {
            asked.iter().for_each(|it| nodes.record_heard(&name(it.port()), now));
        }
    }
    let per_second = questions.windows(2).map(|it| it.iter().sum());
    (per_second.max().unwrap_or_default(), elapsed)
}

/// Guards against questions that grow faster than the fleet, or that never end.
#[parameterized(n_6 = { 6 }, n_40 = { 40 }, n_985 = { 985 })]
fn each_node_is_asked_a_few_times_in_a_window(n_nodes: u16) {
    let (n_most, _) = play(n_nodes, true, WINDOW * 6);
    assert!(n_most <= usize::from(n_nodes), "{n_most} questions in a second");
    let (n_most, counted_for) = play(n_nodes, false, WINDOW * 6);
    assert!(n_most <= usize::from(n_nodes), "{n_most} questions in a second");
    assert_eq!(counted_for, WINDOW, "nodes that are gone count for a window");
    let (n_most, _) = play(n_nodes, true, Duration::from_secs(3));
    assert_eq!(n_most, 0, "rows that are soon written again cost nothing");
}
