//! Requests to the platform by routers and stewards.

use std::time::Instant;

use async_io::Timer;
use curranthook_http::Exchange;

use crate::{
    bench::{Bench, mean},
    cluster::{Cluster, Kind, Layout, counter_increase},
    document::Shape,
    report::Table,
    usage::Usage,
};

/// One site with three failure domains.
const LAYOUT: Layout = Layout { n_sites: 1, n_domains: 3 };
const PERCENT: f64 = 100.0;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// Measures complete VMs, each with a router and a steward, without load.
pub async fn run(bench: &Bench) -> anyhow::Result<Vec<Table>> {
    let mut table = Table::new(
        "VMs with a router and a steward, at rest",
        &[
            "VMs",
            "entries listed",
            "endpoints listed",
            "table reads/s by routers",
            "table reads/s by stewards",
            "table writes/s",
            "VM list reads/s",
            "VM list, bytes a VM",
            "router: CPU %",
            "router: MB",
            "steward: CPU %",
            "steward: MB",
        ],
    );
    let full = vec![(8, 8, 0), (24, 24, 0), (48, 48, 0), (8, 1_800, 0), (8, 1_800, 10_000)];
    for (n, n_entries, n_endpoints) in bench.for_extent(full, vec![(3, 3, 0)]) {
        table.add_row(measure_vms(bench, n, n_entries, n_endpoints).await?);
    }
    table.add_note(
        "listed beyond the VMs that run are addresses where nobody listens: the VMs that run then \
         set their intervals as in a large fleet",
    );
    Ok(vec![table])
}

/// Measures `n` VMs with a VM list padded to `n_entries` nodes and `n_endpoints` endpoints; returns
/// a row of the table.
async fn measure_vms(
    bench: &Bench,
    n: usize,
    n_entries: usize,
    n_endpoints: usize,
) -> anyhow::Result<[f64; 12]> {
    let shape = Shape {
        n_sites: LAYOUT.n_sites,
        n_domains: LAYOUT.n_domains,
        n_endpoints: 0,
        n_accounts: 10,
        address: "127.0.0.1:9".parse()?,
    };
    let mut cluster = Cluster::start(bench, LAYOUT, shape.document()).await?;
    cluster.add_nodes(n, &Kind::Vm).await?;
    cluster.publish_padded_vm_list(n_entries, n_endpoints).await?;
    Timer::after(bench.settle_time()).await;
    if n < n_entries {
        // Waits until the longer list has been read and stewards have queried its length.
        Timer::after(bench.window()).await;
    }
    let (start, before, counts_before) =
        (Instant::now(), cluster.statuses().await?, cluster.counts().await?);
    let (routers, stewards) = (cluster.usages()?, steward_usages(&cluster)?);
    Timer::after(bench.window()).await;
    let (after, counts_after) = (cluster.statuses().await?, cluster.counts().await?);
    let (routers_after, stewards_after) = (cluster.usages()?, steward_usages(&cluster)?);
    let seconds = start.elapsed().as_secs_f64();

    let by_routers = counter_increase(&before, &after, "table_reads") / seconds;
    let reads = (counts_after.table.reads - counts_before.table.reads) as f64 / seconds;
    let list = Exchange::get(cluster.platform.addr("http"), "/vms").run(&bench.pool).await?;
    let cpu = |before: &[Usage], after: &[Usage]| {
        let cpu_seconds = before.iter().zip(after).map(|(a, b)| (b.cpu - a.cpu).as_secs_f64());
        mean(cpu_seconds) / seconds * PERCENT
    };
    let resident = |all: &[Usage]| mean(all.iter().map(|it| it.resident_bytes)) / BYTES_PER_MB;
    let row = [
        n as f64,
        n_entries as f64,
        n_endpoints as f64,
        by_routers,
        reads - by_routers,
        (counts_after.table.writes - counts_before.table.writes) as f64 / seconds,
        (counts_after.vms.reads - counts_before.vms.reads) as f64 / seconds,
        list.body().len() as f64 / (n_entries + n_endpoints) as f64,
        cpu(&routers, &routers_after),
        resident(&routers_after),
        cpu(&stewards, &stewards_after),
        resident(&stewards_after),
    ];
    cluster.close();
    Ok(row)
}

fn steward_usages(cluster: &Cluster<'_>) -> anyhow::Result<Vec<Usage>> {
    let stewards = cluster.nodes.iter().filter_map(|it| it.steward.as_ref());
    stewards.map(|it| Usage::of_process(it.id())).collect()
}
