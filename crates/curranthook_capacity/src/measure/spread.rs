//! From a publication until every node has it.

use std::time::Duration;

use async_io::Timer;
use curranthook_peers::documents::Documents;
use curranthook_types::Epoch;

use crate::{
    bench::{Bench, quantile},
    cluster::{Cluster, Kind, growth},
    document,
    measure::fleet::{LAYOUT, shape},
    report::Table,
};

/// The configuration sizes that are measured.
const SIZES: [usize; 3] = [1_000, 10_000, 100_000];
/// The time between polls of a node at 1,800 nodes. With it a small fleet learns as slowly from
/// the table as a large one does, and what peers do for one another shows.
const POLL_MS: &str = "9000";
/// By then a node has polled the table itself, whatever peers do.
const LIMIT: Duration = Duration::from_secs(30);
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

/// A fleet with parts left out.
#[derive(Debug, Clone, Copy)]
struct Variant {
    name: &'static str,
    without: &'static [&'static str],
    sizes: &'static [usize],
}

const VARIANTS: [Variant; 5] = [
    Variant { name: "all parts", without: &[], sizes: &SIZES },
    Variant { name: "without deltas", without: &["delta"], sizes: &SIZES },
    Variant { name: "without push-pull", without: &["push-pull"], sizes: &[SIZES[1]] },
    Variant { name: "without news", without: &["news"], sizes: &[SIZES[1]] },
    Variant { name: "polls alone", without: &["push-pull", "news"], sizes: &[SIZES[1]] },
];

/// By the size of the fleet and of the configuration.
pub async fn run(bench: &Bench) -> anyhow::Result<Vec<Table>> {
    let mut table = Table::new("Publication to every node, polls as in a small fleet", &COLUMNS);
    let sizes = bench.pick(&SIZES[..], &SIZES[..1]);
    for n in bench.pick(vec![8, 24, 48, 96], vec![6]) {
        fleet(bench, n, &format!("{n}"), Vec::new(), sizes, &mut table).await?;
    }
    Ok(vec![transfers()?, table])
}

/// With and without each part, at polls as in a large fleet.
pub async fn parts(bench: &Bench) -> anyhow::Result<Vec<Table>> {
    let mut table = Table::new("The same with each node's polls 9 s apart", &COLUMNS);
    let n = bench.pick(48, 6);
    for variant in bench.pick(&VARIANTS[..], &VARIANTS[..1]) {
        let mut args = vec!["--poll-ms".to_owned(), POLL_MS.to_owned()];
        for part in variant.without {
            args.extend(["--without".to_owned(), (*part).to_owned()]);
        }
        let sizes = bench.pick(variant.sizes, &SIZES[..1]);
        fleet(bench, n, &format!("{n}, {}", variant.name), args, sizes, &mut table).await?;
    }
    Ok(vec![table])
}

/// Publishes a few changes of documents of each size.
async fn fleet(
    bench: &Bench,
    n: usize,
    name: &str,
    args: Vec<String>,
    sizes: &[usize],
    table: &mut Table,
) -> anyhow::Result<()> {
    let first = shape()?.sized(SIZES[0]).document();
    let mut cluster = Cluster::start(bench, LAYOUT, first).await?;
    cluster.add(n, &Kind::Peer(args)).await?;
    Timer::after(bench.settling()).await;
    for &size in sizes {
        let mut document = shape()?.sized(size).document();
        document.epoch = Epoch(cluster.document.epoch.0 + 1);
        let accepted = cluster.publish(document).await?;
        cluster.spread(accepted, LIMIT).await?;
        let row = changes(bench, &mut cluster).await?;
        table.named(name, [size as f64 / BYTES_PER_KB].into_iter().chain(row));
    }
    cluster.close();
    Ok(())
}

async fn changes(bench: &Bench, cluster: &mut Cluster<'_>) -> anyhow::Result<[f64; 5]> {
    // A pause that isn't a multiple of the rounds, so that changes meet them at any phase.
    const PAUSE: Duration = Duration::from_millis(1_370);
    let n_changes = bench.pick(5, 2);
    let (mut times, mut longest, mut bytes, mut whole) = (Vec::new(), Vec::new(), 0.0, 0.0);
    for _ in 0..n_changes {
        let steady = traffic(cluster, PAUSE).await?;
        let before = cluster.statuses().await?;
        let accepted = cluster.publish(document::next(&cluster.document)).await?;
        let spread = cluster.spread(accepted, LIMIT).await?;
        let after = cluster.statuses().await?;
        let seconds = accepted.elapsed().as_secs_f64();
        bytes += growth(&before, &after, "bytes_in") - steady * seconds;
        whole += growth(&before, &after, "epoch_from_table");
        longest.push(quantile(spread.clone(), 1.0));
        times.extend(spread);
    }
    let n_nodes = cluster.nodes.len() as f64;
    Ok([
        quantile(times.clone(), 0.5),
        quantile(times, 0.95),
        quantile(longest, 1.0),
        // What one node sends another receives, so counting one way counts each byte once.
        bytes / f64::from(n_changes) / n_nodes,
        whole / f64::from(n_changes),
    ])
}

/// Control bytes a second that all nodes together receive while nothing changes.
async fn traffic(cluster: &Cluster<'_>, window: Duration) -> anyhow::Result<f64> {
    let before = cluster.statuses().await?;
    let start = std::time::Instant::now();
    Timer::after(window).await;
    let after = cluster.statuses().await?;
    Ok(growth(&before, &after, "bytes_in") / start.elapsed().as_secs_f64())
}

/// Bytes of a change as a delta and as the whole document; no process is needed to tell.
fn transfers() -> anyhow::Result<Table> {
    let columns = ["configuration, KB", "as a delta, bytes", "as a whole, bytes"];
    let mut table = Table::new("What a change of one endpoint is long", &columns);
    for size in SIZES {
        let (spread, first) = (Documents::default(), shape()?.sized(size).document());
        spread.offer(first.clone(), None);
        spread.offer(document::next(&first), None);
        let length = |have: Epoch| -> anyhow::Result<f64> {
            Ok(serde_json::to_vec(&spread.transfer(have))?.len() as f64)
        };
        let whole = length(Epoch::default())?;
        table.row([size as f64 / BYTES_PER_KB, length(first.epoch)?, whole]);
    }
    Ok(table)
}
