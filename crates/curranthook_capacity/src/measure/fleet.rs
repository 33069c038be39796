//! Resource usage of a node by fleet size.

use std::time::Instant;

use async_io::Timer;

use crate::{
    bench::{Bench, mean},
    cluster::{Cluster, Kind, Layout, counter_increase},
    document::Shape,
    fit::Line,
    report::Table,
};

/// Number of nodes at the target size.
pub const TARGET_NODES: f64 = 1_800.0;
/// Number of sites and failure domains of the measured fleets.
pub const LAYOUT: Layout = Layout { n_sites: 3, n_domains: 9 };
/// Simulated requests per second per node: enough to produce evidence to exchange, few enough that
/// the cost of their bill lines is negligible.
const REQUESTS_PER_SECOND: &str = "0.2";
/// Approximate size of the published configuration.
const DOCUMENT_BYTES: usize = 10_000;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
const PERCENT: f64 = 100.0;

/// Results for one fleet in a steady state; all but the last two are per node.
#[derive(Debug, Clone, Copy)]
struct Point {
    n_nodes: f64,
    cpu_percent: f64,
    resident_mb: f64,
    bytes_per_second: f64,
    messages_per_second: f64,
    table_reads_per_second: f64,
    fleet_table_reads_per_second: f64,
    fleet_list_reads_per_second: f64,
}

/// Measures fleets of peers without routers.
pub async fn run(bench: &Bench) -> anyhow::Result<Vec<Table>> {
    let mut points = Vec::new();
    for n in bench.for_extent(vec![8, 24, 48, 96], vec![4, 8]) {
        points.push(measure_fleet(bench, n).await?);
    }
    Ok(vec![build_table(&points)])
}

/// Measures the steady state of a fleet of `n` nodes.
async fn measure_fleet(bench: &Bench, n: usize) -> anyhow::Result<Point> {
    let document = shape()?.with_document_size(DOCUMENT_BYTES).document();
    let mut cluster = Cluster::start(bench, LAYOUT, document).await?;
    let kind = Kind::Peer(vec!["--load".to_owned(), REQUESTS_PER_SECOND.to_owned()]);
    cluster.add_nodes(n, &kind).await?;
    Timer::after(bench.settle_time()).await;

    let (start, before, used) = (Instant::now(), cluster.statuses().await?, cluster.usages()?);
    let counts_before = cluster.counts().await?;
    Timer::after(bench.window()).await;
    let used_after = cluster.usages()?;
    let after = cluster.statuses().await?;
    let counts_after = cluster.counts().await?;
    let seconds = start.elapsed().as_secs_f64();

    let n_nodes = n as f64;
    let rate = |name: &str| counter_increase(&before, &after, name) / seconds / n_nodes;
    let cpu = used.iter().zip(&used_after).map(|(a, b)| (b.cpu - a.cpu).as_secs_f64());
    let point = Point {
        n_nodes,
        cpu_percent: mean(cpu) / seconds * PERCENT,
        resident_mb: mean(used_after.iter().map(|it| it.resident_bytes)) / BYTES_PER_MB,
        bytes_per_second: rate("bytes_in") + rate("bytes_out"),
        messages_per_second: rate("messages"),
        table_reads_per_second: rate("table_reads"),
        fleet_table_reads_per_second: (counts_after.table.reads - counts_before.table.reads) as f64
            / seconds,
        fleet_list_reads_per_second: (counts_after.vms.reads - counts_before.vms.reads) as f64
            / seconds,
    };
    cluster.close();
    Ok(point)
}

/// The shape of a configuration with the sites and domains of [`LAYOUT`] and no endpoints yet;
/// nodes send no requests to the endpoints that [`Shape::with_document_size`] adds.
pub fn shape() -> anyhow::Result<Shape> {
    /// Number of client accounts per site.
    const N_ACCOUNTS: usize = 1;
    Ok(Shape {
        n_sites: LAYOUT.n_sites,
        n_domains: LAYOUT.n_domains,
        n_endpoints: 0,
        n_accounts: N_ACCOUNTS,
        address: "127.0.0.1:9".parse()?,
    })
}

fn build_table(points: &[Point]) -> Table {
    let mut table = Table::new(
        "A node by the size of the fleet",
        &[
            "nodes",
            "CPU, % of a core",
            "memory, MB",
            "control, B/s in + out",
            "messages/s",
            "its table reads/s",
            "table reads/s, fleet",
            "VM list reads/s, fleet",
        ],
    );
    for it in points {
        table.add_row([
            it.n_nodes,
            it.cpu_percent,
            it.resident_mb,
            it.bytes_per_second,
            it.messages_per_second,
            it.table_reads_per_second,
            it.fleet_table_reads_per_second,
            it.fleet_list_reads_per_second,
        ]);
    }
    let line = |y: fn(&Point) -> f64| {
        Line::fit(&points.iter().map(|it| (it.n_nodes, y(it))).collect::<Vec<_>>())
    };
    let lines = [
        line(|it| it.cpu_percent),
        line(|it| it.resident_mb),
        line(|it| it.bytes_per_second),
        line(|it| it.messages_per_second),
    ];
    table.add_named_row("slope a node", lines.map(|it| it.slope));
    table.add_named_row("at zero", lines.map(|it| it.intercept));
    table.add_named_row("at 1,800 nodes", lines.map(|it| it.value_at(TARGET_NODES)));
    let highest = |y: fn(&Point) -> f64| points.iter().map(y).fold(0.0, f64::max);
    table.add_named_row(
        "highest",
        [
            highest(|it| it.cpu_percent),
            highest(|it| it.resident_mb),
            highest(|it| it.bytes_per_second),
            highest(|it| it.messages_per_second),
        ],
    );
    table.add_note(
        "a falling line is noise around a flat one; the highest point counts in place of it",
    );
    table
}
