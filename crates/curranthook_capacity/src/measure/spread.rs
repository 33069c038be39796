//! Propagation time of a publication to every node.

use std::time::Duration;

use async_io::Timer;
use curranthook_peers::documents::Documents;
use curranthook_types::Epoch;

use crate::{
    bench::{Bench, quantile},
    cluster::{Cluster, Kind, counter_increase},
    document,
    measure::fleet::{LAYOUT, shape},
    report::Table,
};

/// Measured configuration sizes in bytes.
const DOCUMENT_SIZES: [usize; 3] = [1_000, 10_000, 100_000];
/// Poll interval of a node in a fleet of 1,800 nodes, in milliseconds. With it a small fleet gets
/// changes from the table as slowly as a large one, which makes the effect of peer exchange
/// visible.
const POLL_MS: &str = "9000";
/// Propagation timeout, by which a node has polled the table itself regardless of its peers.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(30);
const BYTES_PER_KB: f64 = 1_000.0;

const COLUMNS: [&str; 7] = [
    "nodes, parts",
    "configuration, KB",
    "p50, s",
    "p95, s",
    "max, s",
    "control bytes a node and change",
    "nodes that had it from the table",
];

/// A fleet with some propagation mechanisms disabled.
#[derive(Debug, Clone, Copy)]
struct Variant {
    name: &'static str,
    disabled: &'static [&'static str],
    document_sizes: &'static [usize],
}

const VARIANTS: [Variant; 5] = [
    Variant { name: "all parts", disabled: &[], document_sizes: &DOCUMENT_SIZES },
    Variant { name: "without deltas", disabled: &["delta"], document_sizes: &DOCUMENT_SIZES },
    Variant {
        name: "without push-pull",
        disabled: &["push-pull"],
        document_sizes: &[DOCUMENT_SIZES[1]],
    },
    Variant { name: "without news", disabled: &["news"], document_sizes: &[DOCUMENT_SIZES[1]] },
    Variant {
        name: "polls alone",
        disabled: &["push-pull", "news"],
        document_sizes: &[DOCUMENT_SIZES[1]],
    },
];

/// Measures propagation by fleet size and configuration size.
pub async fn run(bench: &Bench) -> anyhow::Result<Vec<Table>> {
    let mut table = Table::new("Publication to every node, polls as in a small fleet", &COLUMNS);
    let sizes = bench.for_extent(&DOCUMENT_SIZES[..], &DOCUMENT_SIZES[..1]);
    for n in bench.for_extent(vec![8, 24, 48, 96], vec![6]) {
        measure_fleet(bench, n, &format!("{n}"), Vec::new(), sizes, &mut table).await?;
    }
    Ok(vec![measure_transfer_sizes()?, table])
}

/// Measures propagation with and without each mechanism, at the poll interval of a large fleet.
pub async fn compare_variants(bench: &Bench) -> anyhow::Result<Vec<Table>> {
    let mut table = Table::new("The same with each node's polls 9 s apart", &COLUMNS);
    let n = bench.for_extent(48, 6);
    for variant in bench.for_extent(&VARIANTS[..], &VARIANTS[..1]) {
        let mut args = vec!["--poll-ms".to_owned(), POLL_MS.to_owned()];
        for mechanism in variant.disabled {
            args.extend(["--without".to_owned(), (*mechanism).to_owned()]);
        }
        let sizes = bench.for_extent(variant.document_sizes, &DOCUMENT_SIZES[..1]);
        measure_fleet(bench, n, &format!("{n}, {}", variant.name), args, sizes, &mut table).await?;
    }
    Ok(vec![table])
}

/// Starts `n` nodes, publishes a few changes to a document of each size, and adds a row per size to
/// `table`.
async fn measure_fleet(
    bench: &Bench,
    n: usize,
    name: &str,
    args: Vec<String>,
    document_sizes: &[usize],
    table: &mut Table,
) -> anyhow::Result<()> {
    let first = shape()?.with_document_size(DOCUMENT_SIZES[0]).document();
    let mut cluster = Cluster::start(bench, LAYOUT, first).await?;
    cluster.add_nodes(n, &Kind::Peer(args)).await?;
    Timer::after(bench.settle_time()).await;
    for &size in document_sizes {
        let mut document = shape()?.with_document_size(size).document();
        document.epoch = Epoch(cluster.document.epoch.0 + 1);
        let accepted_at = cluster.publish(document).await?;
        cluster.propagation_times(accepted_at, PROPAGATION_TIMEOUT).await?;
        let row = measure_changes(bench, &mut cluster).await?;
        table.add_named_row(name, [size as f64 / BYTES_PER_KB].into_iter().chain(row));
    }
    cluster.close();
    Ok(())
}

/// Publishes small changes; returns the cells of a row after the document size.
async fn measure_changes(bench: &Bench, cluster: &mut Cluster<'_>) -> anyhow::Result<[f64; 5]> {
    // Not a multiple of the peers' round interval, so that changes fall into any phase of a round.
    const CHANGE_INTERVAL: Duration = Duration::from_millis(1_370);
    let n_changes = bench.for_extent(5, 2);
    let (mut times, mut longest, mut bytes, mut from_table) = (Vec::new(), Vec::new(), 0.0, 0.0);
    for _ in 0..n_changes {
        let steady = idle_bytes_per_second(cluster, CHANGE_INTERVAL).await?;
        let before = cluster.statuses().await?;
        let accepted_at = cluster.publish(document::next_epoch(&cluster.document)).await?;
        let delays = cluster.propagation_times(accepted_at, PROPAGATION_TIMEOUT).await?;
        let after = cluster.statuses().await?;
        let seconds = accepted_at.elapsed().as_secs_f64();
        bytes += counter_increase(&before, &after, "bytes_in") - steady * seconds;
        from_table += counter_increase(&before, &after, "epoch_from_table");
        longest.push(quantile(delays.clone(), 1.0));
        times.extend(delays);
    }
    let n_nodes = cluster.nodes.len() as f64;
    Ok([
        quantile(times.clone(), 0.5),
        quantile(times, 0.95),
        quantile(longest, 1.0),
        // Each byte sent by one node is received by another, so only received bytes are counted.
        bytes / f64::from(n_changes) / n_nodes,
        from_table / f64::from(n_changes),
    ])
}

/// Control bytes per second received by all nodes together while nothing changes.
async fn idle_bytes_per_second(cluster: &Cluster<'_>, window: Duration) -> anyhow::Result<f64> {
    let before = cluster.statuses().await?;
    let start = std::time::Instant::now();
    Timer::after(window).await;
    let after = cluster.statuses().await?;
    Ok(counter_increase(&before, &after, "bytes_in") / start.elapsed().as_secs_f64())
}

/// Size of a change in bytes, as a delta and as the whole document; measured in this process.
fn measure_transfer_sizes() -> anyhow::Result<Table> {
    let columns = ["configuration, KB", "as a delta, bytes", "as a whole, bytes"];
    let mut table = Table::new("What a change of one endpoint is long", &columns);
    for size in DOCUMENT_SIZES {
        let (documents, first) =
            (Documents::default(), shape()?.with_document_size(size).document());
        documents.offer(first.clone(), None);
        documents.offer(document::next_epoch(&first), None);
        let length = |known_epoch: Epoch| -> anyhow::Result<f64> {
            Ok(serde_json::to_vec(&documents.transfer(known_epoch))?.len() as f64)
        };
        let full_length = length(Epoch::default())?;
        table.add_row([size as f64 / BYTES_PER_KB, length(first.epoch)?, full_length]);
    }
    Ok(table)
}
