//! Cost for one node of storing and evaluating the version-health evidence from all nodes, by fleet
//! size.

use std::{hint::black_box, time::Instant};

use curranthook_peers::evidence::{Counts, Entry, Evidence};
use curranthook_policy::verdict::{Config, Reference, Test};
use curranthook_types::bill::Origin;

use crate::{
    bench::{Bench, quantile},
    cluster::vm_name,
    document::VERSIONS,
    report::Table,
};

/// Request kinds that the versions serve.
const KINDS: [&str; 2] = ["summary", "query"];
/// Calls and tokens counted in each entry; their digits are part of the measured entry size.
const CALLS_PER_ENTRY: u64 = 100_000;
const TOKENS_PER_ENTRY: u64 = 36_000_000;
/// Evaluations of the evidence per second by a router; see
/// `curranthook_router::version_health`.
const EVALUATIONS_PER_SECOND: f64 = 4.0;
/// Entries received per second: entries per frame times frames received per second.
const ENTRIES_PER_SECOND: f64 = 2.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;
const PERCENT: f64 = 100.0;
const SECONDS_PER_HOUR: f64 = 3_600.0;
const BYTES_PER_KB: f64 = 1_000.0;

/// Measures in this process; the tables are filled directly, without node processes.
pub async fn run(bench: &Bench) -> anyhow::Result<Vec<Table>> {
    let mut table = Table::new(
        "Evidence of all nodes on 7 versions at 2 kinds of work, in one node",
        &[
            "nodes",
            "entries",
            "an entry, bytes",
            "hours for all to come by once",
            "filling the table, ms an entry",
            "a router's look, ms",
            "its CPU, % of a core",
            "choosing for a frame, ms",
            "all of it as an answer to a steward, KB",
            "making that, ms",
        ],
    );
    for n_nodes in bench.for_extent(vec![8, 96, 600, 1_800], vec![8]) {
        table.add_row(measure_nodes(bench, n_nodes)?);
    }
    table.add_note("hours: arithmetic, at two entries a second, if no entry came twice");
    Ok(vec![table])
}

/// Fills a table with the evidence of `n_nodes` nodes; returns a row of the results.
fn measure_nodes(bench: &Bench, n_nodes: usize) -> anyhow::Result<[f64; 10]> {
    let evidence = Evidence::new(origin(0));
    let counts = Counts { calls: CALLS_PER_ENTRY, tokens: TOKENS_PER_ENTRY, ..Counts::default() };
    let mut entry_bytes = 0;
    let start = Instant::now();
    for n in 1..=n_nodes {
        for (version, kind) in VERSIONS.iter().flat_map(|it| KINDS.map(|kind| (*it, kind))) {
            let Origin { vm, incarnation } = origin(n);
            let entry = Entry(vm, incarnation, version.into(), kind.into(), counts.into());
            entry_bytes = serde_json::to_vec(&entry)?.len();
            evidence.merge(&entry);
        }
    }
    let fill_seconds = start.elapsed().as_secs_f64();
    let mut tests = VERSIONS.map(|it| (it.into(), Test::new(Config::default(), Reference::Own)));
    let (mut evaluation_times, mut selection_times, mut serialization_times) =
        (Vec::new(), Vec::new(), Vec::new());
    let mut response_bytes = 0;
    for _ in 0..bench.for_extent(9, 2) {
        let start = Instant::now();
        for (version, test) in &mut tests {
            for (origin, counts) in evidence.by_origin(version) {
                test.merge_counts(&origin, counts);
            }
        }
        black_box(evidence.peer_totals());
        evaluation_times.push(start.elapsed().as_secs_f64());
        let start = Instant::now();
        evidence.select_entries(|_| true);
        selection_times.push(start.elapsed().as_secs_f64());
        let start = Instant::now();
        let rows: Vec<_> = tests.iter().map(|(it, _)| (it, evidence.by_origin(it))).collect();
        response_bytes = serde_json::to_vec(&rows)?.len();
        serialization_times.push(start.elapsed().as_secs_f64());
    }
    let n_entries = (n_nodes * VERSIONS.len() * KINDS.len()) as f64;
    let evaluation_time = quantile(evaluation_times, 0.5);
    Ok([
        n_nodes as f64,
        n_entries,
        entry_bytes as f64,
        n_entries / ENTRIES_PER_SECOND / SECONDS_PER_HOUR,
        fill_seconds / n_entries * MILLIS_PER_SECOND,
        evaluation_time * MILLIS_PER_SECOND,
        evaluation_time * EVALUATIONS_PER_SECOND * PERCENT,
        quantile(selection_times, 0.5) * MILLIS_PER_SECOND,
        response_bytes as f64 / BYTES_PER_KB,
        quantile(serialization_times, 0.5) * MILLIS_PER_SECOND,
    ])
}

fn origin(n: usize) -> Origin {
    /// As many digits as a Unix time in milliseconds.
    const INCARNATION: u64 = 1_796_000_000_000;
    Origin { vm: vm_name(n).as_str().into(), incarnation: INCARNATION }
}
