//! Cost of a configuration change and memory of a router, by configuration size.

use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use curranthook_peers::documents::Documents;
use curranthook_policy::endpoint::{Member, Pool};
use curranthook_router::{dispatch::Dispatchers, snapshot::Snapshot};
use curranthook_settings::Document;
use curranthook_types::clock;

use crate::{
    bench::{Bench, mean, quantile},
    cluster::{Cluster, Kind, Layout},
    document::{self, Shape, VERSIONS},
    report::Table,
};

/// Sites and failure domains of the generated configurations.
const LAYOUT: Layout = Layout { n_sites: 7, n_domains: 27 };
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
const BYTES_PER_KB: f64 = 1_000.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Measures each step of applying a configuration change in this process, then router processes.
pub async fn run(bench: &Bench) -> anyhow::Result<Vec<Table>> {
    let endpoints = bench.for_extent(vec![50, 400, 2_000, 10_000], vec![50]);
    let accounts = bench.for_extent(vec![10, 100, 1_000], vec![10]);
    // Fixed dimension while the other one varies; accounts are counted per site.
    const N_ACCOUNTS: usize = 10;
    const N_ENDPOINTS: usize = 400;
    let by_endpoints = endpoints.iter().map(|&it| (it, N_ACCOUNTS));
    let by_accounts = accounts.iter().map(|&it| (N_ENDPOINTS, it));
    let sizes: Vec<_> = by_endpoints.chain(by_accounts).collect();
    let mut steps = Table::new(
        "Taking over one change, step by step, in ms",
        &[
            "endpoints, accounts a site",
            "document, KB",
            "read from the table",
            "delta made (once an epoch)",
            "delta applied",
            "indexed for serving",
            "pick an endpoint, µs",
        ],
    );
    for &(n_endpoints, n_accounts) in &sizes {
        let name = format!("{n_endpoints}, {n_accounts}");
        steps.add_named_row(&name, measure_steps(bench, &shape(n_endpoints, n_accounts)?)?);
    }
    let mut routers = Table::new(
        "A router and its configuration",
        &[
            "endpoints, accounts a site",
            "document, KB",
            "memory at first, MB",
            "memory after 20 changes, MB",
            "CPU of a change, ms",
            "in force after, s (max of two)",
        ],
    );
    for &(n_endpoints, n_accounts) in &sizes {
        let name = format!("{n_endpoints}, {n_accounts}");
        routers
            .add_named_row(&name, measure_routers(bench, &shape(n_endpoints, n_accounts)?).await?);
    }
    Ok(vec![steps, routers])
}

fn shape(n_endpoints: usize, n_accounts: usize) -> anyhow::Result<Shape> {
    let Layout { n_sites, n_domains } = LAYOUT;
    Ok(Shape { n_sites, n_domains, n_endpoints, n_accounts, address: "127.0.0.1:9".parse()? })
}

/// Median time of each step in milliseconds; returns a row of the table.
fn measure_steps(bench: &Bench, shape: &Shape) -> anyhow::Result<[f64; 6]> {
    let mut document = shape.document();
    let (first, other) = (Documents::default(), Documents::default());
    first.offer(document.clone(), None);
    other.offer(document.clone(), None);
    let clock = Arc::new(clock::System);
    let dispatchers = Dispatchers::new(clock, "domain-0".into(), "vm-0".into(), "curranthook");
    let mut times: [Vec<f64>; 4] = Default::default();
    for _ in 0..bench.for_extent(9, 2) {
        let previous_epoch = document.epoch;
        document = document::next_epoch(&document);
        let json = serde_json::to_vec(&document)?;
        let mut stopwatch = Stopwatch::start();
        first.offer(serde_json::from_slice::<Document>(&json)?, None);
        times[0].push(stopwatch.restart());
        let transfer = first.transfer(previous_epoch);
        times[1].push(stopwatch.restart());
        anyhow::ensure!(other.apply(transfer)?, "applying the delta did not change the document");
        times[2].push(stopwatch.restart());
        let newest = other.document().expect("a document was offered");
        let snapshot = Snapshot::new(newest, &"site-0".into());
        dispatchers.update(&snapshot.expect("the document names the site"));
        times[3].push(stopwatch.restart());
    }
    let [read, made, applied, indexed] = times.map(|it| quantile(it, 0.5) * MILLIS_PER_SECOND);
    let bytes = document::json_size(&document) as f64;
    Ok([bytes / BYTES_PER_KB, read, made, applied, indexed, measure_selection(shape)])
}

/// Time to select one of the endpoints that serve a version, in microseconds. A site has a seventh
/// of all endpoints, and a version a seventh of those.
fn measure_selection(shape: &Shape) -> f64 {
    const N_SELECTIONS: u32 = 20_000;
    /// Affinity key of all selections; an arbitrary fixed value.
    const AFFINITY: u64 = 42;
    let now = Instant::now();
    let n_members = (shape.n_endpoints / LAYOUT.n_sites / VERSIONS.len()).max(1);
    let member = |it: usize| Member {
        id: format!("worker-{it}").as_str().into(),
        domain: document::domain_name(it % LAYOUT.n_domains).as_str().into(),
        slots: 16,
    };
    let mut pool = Pool::new("domain-0".into(), 1);
    pool.set_members((0..n_members).map(member));
    let mut stopwatch = Stopwatch::start();
    for _ in 0..N_SELECTIONS {
        let _picked = black_box(pool.select(black_box(Some(AFFINITY)), &[], now));
    }
    stopwatch.restart() * MICROS_PER_SECOND / f64::from(N_SELECTIONS)
}

/// Measures two routers: one gets each change from the table, the other often from its peer.
async fn measure_routers(bench: &Bench, shape: &Shape) -> anyhow::Result<[f64; 5]> {
    const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(60);
    const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
    const N_ROUTERS: usize = 2;
    let mut cluster = Cluster::start(bench, LAYOUT, shape.document()).await?;
    cluster.add_nodes(N_ROUTERS, &Kind::Router).await?;
    Timer::after(bench.settle_time()).await;
    let resident = |cluster: &Cluster<'_>| -> anyhow::Result<f64> {
        Ok(mean(cluster.usages()?.iter().map(|it| it.resident_bytes)) / BYTES_PER_MB)
    };
    let cpu = |cluster: &Cluster<'_>| -> anyhow::Result<f64> {
        Ok(mean(cluster.usages()?.iter().map(|it| it.cpu.as_secs_f64())))
    };
    let initial_resident = resident(&cluster)?;
    let (start, idle) = (Instant::now(), cpu(&cluster)?);
    Timer::after(bench.window() / 2).await;
    let idle = (cpu(&cluster)? - idle) / start.elapsed().as_secs_f64();

    let n_changes = bench.for_extent(20, 2);
    let (start, cpu_seconds, mut longest) = (Instant::now(), cpu(&cluster)?, 0.0_f64);
    for _ in 0..n_changes {
        let accepted_at = cluster.publish(document::next_epoch(&cluster.document)).await?;
        let times = cluster.propagation_times(accepted_at, PROPAGATION_TIMEOUT).await?;
        longest = longest.max(quantile(times, 1.0));
        Timer::after(CHANGE_INTERVAL).await;
    }
    let cpu_seconds = cpu(&cluster)? - cpu_seconds - idle * start.elapsed().as_secs_f64();
    let final_resident = resident(&cluster)?;
    let bytes = document::json_size(&cluster.document) as f64;
    cluster.close();
    let each = cpu_seconds * MILLIS_PER_SECOND / f64::from(n_changes);
    Ok([bytes / BYTES_PER_KB, initial_resident, final_resident, each, longest])
}

/// Measures consecutive intervals.
#[derive(Debug)]
struct Stopwatch(Instant);

impl Stopwatch {
    fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the elapsed seconds and restarts the stopwatch.
    fn restart(&mut self) -> f64 {
        let elapsed = self.0.elapsed().as_secs_f64();
        self.0 = Instant::now();
        elapsed
    }
}
