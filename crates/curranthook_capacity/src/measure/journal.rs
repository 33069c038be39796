//! Bill lines, with the object store up and down.

use std::time::{Duration, Instant};

use async_io::Timer;
use curranthook_peers::{journal::MAX_BYTES, replica};
use curranthook_types::{bill, price};

use crate::{
    bench::{Bench, mean},
    cluster::{Cluster, Kind, Layout, Status, counter_increase, vm_name},
    document::Shape,
    fit::Line,
    report::Table,
};

/// One site with three failure domains.
const LAYOUT: Layout = Layout { n_sites: 1, n_domains: 3 };
const N_NODES: usize = 8;
/// Bill lines per second per node at the target size.
const TARGET_LINES_PER_SECOND: f64 = 26.0;
const PERCENT: f64 = 100.0;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// Measures the cost of bill lines, then an outage of the object store.
pub async fn run(bench: &Bench) -> anyhow::Result<Vec<Table>> {
    Ok(vec![measure_rates(bench).await?, measure_outage(bench).await?])
}

/// Measures the cost of bill lines for several rates.
async fn measure_rates(bench: &Bench) -> anyhow::Result<Table> {
    let mut table = Table::new(
        "Bill lines on 8 nodes, each",
        &[
            "lines/s asked for",
            "lines/s",
            "CPU, % of a core",
            "memory, MB",
            "journal, B/s in + out",
            "control, B/s in + out",
            "object writes/s",
        ],
    );
    let mut points = Vec::new();
    for rate in bench.for_extent(vec![1.0, 13.0, 26.0, 52.0], vec![1.0, 26.0]) {
        let row = measure_rate(bench, rate).await?;
        points.push((row[1], row[2]));
        table.add_row(row);
    }
    let line = Line::fit(&points);
    table.add_note(format!(
        "fit: {:.3} % of a core for each line a second and {:.2} % besides; at \
         {TARGET_LINES_PER_SECOND} lines a second {:.2} %",
        line.slope,
        line.intercept,
        line.value_at(TARGET_LINES_PER_SECOND)
    ));
    Ok(table)
}

/// Measures nodes that each generate `rate` bill lines per second; returns a row of the table.
async fn measure_rate(bench: &Bench, rate: f64) -> anyhow::Result<[f64; 7]> {
    let mut cluster = start(bench, rate).await?;
    let (start, before, used) = (Instant::now(), cluster.statuses().await?, cluster.usages()?);
    let object_writes = cluster.counts().await?.objects.writes;
    Timer::after(bench.window()).await;
    let (after, used_after) = (cluster.statuses().await?, cluster.usages()?);
    let object_writes = cluster.counts().await?.objects.writes - object_writes;
    let seconds = start.elapsed().as_secs_f64();
    let each = |sum: f64| sum / seconds / N_NODES as f64;
    let both = |a: &str, b: &str| {
        each(counter_increase(&before, &after, a) + counter_increase(&before, &after, b))
    };
    let cpu = used.iter().zip(&used_after).map(|(a, b)| (b.cpu - a.cpu).as_secs_f64());
    let row = [
        rate,
        each(acknowledged_lines(&after) - acknowledged_lines(&before)),
        mean(cpu) / seconds * PERCENT,
        mean(used_after.iter().map(|it| it.resident_bytes)) / BYTES_PER_MB,
        both("journal_bytes_in", "journal_bytes_out"),
        both("bytes_in", "bytes_out"),
        each(object_writes as f64),
    ];
    cluster.nodes.truncate(N_NODES);
    cluster.close();
    Ok(row)
}

/// Measures the memory that unstored lines use during an outage of the object store, and the time
/// until they are stored afterwards.
async fn measure_outage(bench: &Bench) -> anyhow::Result<Table> {
    /// Maximum wait for all lines to be stored after the outage.
    const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);
    const POLL_INTERVAL: Duration = Duration::from_millis(200);
    let columns = ["seconds", "lines waiting a node", "memory, MB"];
    let mut table = Table::new("The store out, 26 lines a second and node", &columns);
    let cluster = start(bench, TARGET_LINES_PER_SECOND).await?;
    let down = serde_json::json!({"objects": {"mode": "down"}});
    cluster.set_faults(&down).await?;
    let (start, mut points) = (Instant::now(), Vec::new());
    for _ in 0..bench.for_extent(7, 2) {
        let seconds = start.elapsed().as_secs_f64();
        let lines = mean(cluster.statuses().await?.iter().map(|it| it.journal_lines as f64));
        let resident = mean(cluster.usages()?.iter().map(|it| it.resident_bytes));
        points.push((lines, resident));
        table.add_row([seconds, lines, resident / BYTES_PER_MB]);
        Timer::after(bench.window() / 2).await;
    }
    cluster.set_faults(&serde_json::json!({})).await?;
    let statuses = cluster.statuses().await?;
    let acknowledged: Vec<f64> =
        statuses.iter().map(|it| acknowledged_lines(std::slice::from_ref(it))).collect();
    let (drain, mut missing) = (Instant::now(), f64::INFINITY);
    while 0.0 < missing && drain.elapsed() < DRAIN_TIMEOUT {
        missing = count_unstored_lines(&cluster, &acknowledged).await?;
        Timer::after(POLL_INTERVAL).await;
    }
    let drained = drain.elapsed().as_secs_f64();
    let line = Line::fit(&points);
    let seconds_to_bound = MAX_BYTES as f64 / line_bytes() / TARGET_LINES_PER_SECOND;
    table.add_note(format!(
        "fit: {:.0} bytes of memory a line and node, its copies of peers' lines included; the \
         bound of {:.0} MB is {:.0} minutes of lines away (arithmetic)",
        line.slope,
        MAX_BYTES as f64 / BYTES_PER_MB,
        seconds_to_bound / 60.0
    ));
    table.add_note(format!(
        "of {:.0} lines acknowledged when the store came back, {missing:.0} weren't stored after \
         {drained:.1} s",
        acknowledged.iter().sum::<f64>()
    ));
    cluster.close();
    Ok(table)
}

/// Number of lines acknowledged by the nodes that are not in the object store.
async fn count_unstored_lines(cluster: &Cluster<'_>, acknowledged: &[f64]) -> anyhow::Result<f64> {
    let stored = cluster.stored_bill_lines().await?;
    let missing = acknowledged.iter().enumerate().map(|(index, lines)| {
        let vm = vm_name(index);
        let n_stored = stored.iter().filter(|it| it.starts_with(&vm)).count();
        (lines - n_stored as f64).max(0.0)
    });
    Ok(missing.sum())
}

async fn start(bench: &Bench, rate: f64) -> anyhow::Result<Cluster<'_>> {
    let shape = Shape {
        n_sites: LAYOUT.n_sites,
        n_domains: LAYOUT.n_domains,
        n_endpoints: 9,
        n_accounts: 10,
        address: "127.0.0.1:9".parse()?,
    };
    let mut cluster = Cluster::start(bench, LAYOUT, shape.document()).await?;
    let args = vec!["--load".to_owned(), rate.to_string()];
    cluster.add_nodes(N_NODES, &Kind::Peer(args)).await?;
    Timer::after(bench.settle_time()).await;
    Ok(cluster)
}

/// Number of lines that the nodes have acknowledged.
pub fn acknowledged_lines(all: &[Status]) -> f64 {
    /// Counters of acknowledged lines, one for each way in which a line can be acknowledged.
    const COUNTERS: [&str; 3] = ["line_replicated", "line_stored", "line_alone"];
    let acknowledged =
        |it: &Status| COUNTERS.iter().filter_map(|name| it.counters.get(*name)).sum::<u64>();
    all.iter().map(acknowledged).sum::<u64>() as f64
}

/// Estimated size in bytes, as computed by the journal, of a line like those that
/// `curranthook-peer` generates.
fn line_bytes() -> f64 {
    let line = bill::Line {
        request: "vm-0000-000000000000".into(),
        account: "account-0".into(),
        served_by: "tally-llm@1".to_owned(),
        prompt_tokens: 0,
        completion_tokens: 0,
        cost: price::Micros(0),
        at_millis: 0,
    };
    replica::estimated_size(&line) as f64
}
