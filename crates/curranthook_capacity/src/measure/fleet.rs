//! What a node costs by the size of the fleet.

use std::time::Instant;

use async_io::Timer;

use crate::{
    bench::{Bench, mean},
    cluster::{Cluster, Kind, Layout, growth},
    document::Shape,
    fit::Line,
    report::Table,
};

/// Nodes at the target.
pub const TARGET_NODES: f64 = 1_800.0;
/// Sites and failure domains of the measured fleets.
pub const LAYOUT: Layout = Layout { n_sites: 3, n_domains: 9 };
/// Requests a second that each node makes up: enough that there's evidence to tell, few enough
/// that their bill lines cost next to nothing.
const LOAD: &str = "0.2";
const DOCUMENT_BYTES: usize = 10_000;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
const PERCENT: f64 = 100.0;

/// One fleet in a steady state; all but the last two for each node.
#[derive(Debug, Clone, Copy)]
struct Point {
    n_nodes: f64,
    cpu_percent: f64,
    resident_mb: f64,
    bytes: f64,
    messages: f64,
    table_reads: f64,
    fleet_table_reads: f64,
    fleet_list_reads: f64,
}

/// Fleets of nodes without routers.
pub async fn run(bench: &Bench) -> anyhow::Result<Vec<Table>> {
    let mut points = Vec::new();
    for n in bench.pick(vec![8, 24, 48, 96], vec![4, 8]) {
        points.push(point(bench, n).await?);
    }
    Ok(vec![table(&points)])
}

async fn point(bench: &Bench, n: usize) -> anyhow::Result<Point> {
    let document = shape()?.sized(DOCUMENT_BYTES).document();
    let mut cluster = Cluster::start(bench, LAYOUT, document).await?;
    let kind = Kind::Peer(vec!["--load".to_owned(), LOAD.to_owned()]);
    cluster.add(n, &kind).await?;
    Timer::after(bench.settling()).await;

    let (start, before, used) = (Instant::now(), cluster.statuses().await?, cluster.usages()?);
    let asked = cluster.counts().await?;
    Timer::after(bench.window()).await;
    let used_after = cluster.usages()?;
    let after = cluster.statuses().await?;
    let asked_after = cluster.counts().await?;
    let seconds = start.elapsed().as_secs_f64();

    let n_nodes = n as f64;
    let rate = |name: &str| growth(&before, &after, name) / seconds / n_nodes;
    let cpu = used.iter().zip(&used_after).map(|(a, b)| (b.cpu - a.cpu).as_secs_f64());
    let point = Point {
        n_nodes,
        cpu_percent: mean(cpu) / seconds * PERCENT,
        resident_mb: mean(used_after.iter().map(|it| it.resident)) / BYTES_PER_MB,
        bytes: rate("bytes_in") + rate("bytes_out"),
        messages: rate("messages"),
        table_reads: rate("table_reads"),
        fleet_table_reads: (asked_after.table.reads - asked.table.reads) as f64 / seconds,
        fleet_list_reads: (asked_after.vms.reads - asked.vms.reads) as f64 / seconds,
    };
    cluster.close();
    Ok(point)
}

/// Where sites and domains are as in [`LAYOUT`] and nobody is called.
pub fn shape() -> anyhow::Result<Shape> {
    const N_ACCOUNTS: usize = 1;
    Ok(Shape {
        n_sites: LAYOUT.n_sites,
        n_domains: LAYOUT.n_domains,
        n_endpoints: 0,
        n_accounts: N_ACCOUNTS,
        address: "127.0.0.1:9".parse()?,
    })
}

fn table(points: &[Point]) -> Table {
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
        table.row([
            it.n_nodes,
            it.cpu_percent,
            it.resident_mb,
            it.bytes,
            it.messages,
            it.table_reads,
            it.fleet_table_reads,
            it.fleet_list_reads,
        ]);
    }
    let line = |y: fn(&Point) -> f64| {
        Line::through(&points.iter().map(|it| (it.n_nodes, y(it))).collect::<Vec<_>>())
    };
    let lines = [
        line(|it| it.cpu_percent),
        line(|it| it.resident_mb),
        line(|it| it.bytes),
        line(|it| it.messages),
    ];
    table.named("slope a node", lines.map(|it| it.slope));
    table.named("at zero", lines.map(|it| it.intercept));
    table.named("at 1,800 nodes", lines.map(|it| it.at(TARGET_NODES)));
    let highest = |y: fn(&Point) -> f64| points.iter().map(y).fold(0.0, f64::max);
    table.named(
        "highest",
        [
            highest(|it| it.cpu_percent),
            highest(|it| it.resident_mb),
            highest(|it| it.bytes),
            highest(|it| it.messages),
        ],
    );
    table
        .note("a falling line is noise around a flat one; the highest point counts in place of it");
    table
}
