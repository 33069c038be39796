//! Nodes that join, leave and fail together.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_io::Timer;

use crate::{
    bench::{Bench, mean, quantile},
    cluster::{Cluster, Kind, Layout, counter_increase, vm_name},
    document::Shape,
    measure::journal::acknowledged_lines,
    report::Table,
    usage::Usage,
};

/// One site with three failure domains.
const LAYOUT: Layout = Layout { n_sites: 1, n_domains: 3 };
/// Simulated requests per second per node.
const REQUESTS_PER_SECOND: f64 = 2.0;
/// Timeout for peers to detect that a node has failed.
const FAILURE_DETECTION_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval of status queries, which limits the resolution of the measured times.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time until replicas store the lines of an unresponsive owner, with a margin.
const TAKEOVER_WAIT: Duration = Duration::from_secs(25);

/// Measures start-up, loss of one node, replacement and loss of a failure domain.
pub async fn run(bench: &Bench) -> anyhow::Result<Vec<Table>> {
    let mut single = Table::new(
        "Nodes that come and go",
        &[
            "nodes",
            "router ready after, s (mean)",
            "(max)",
            "dead node counted out by its peers, s (mean)",
            "(max)",
            "peers that had it in view",
        ],
    );
    let mut domain = Table::new(
        "A third of the nodes, one failure domain, killed at once",
        &[
            "nodes",
            "killed",
            "all counted out, s",
            "exchanges failed a survivor",
            "lines acknowledged by the dead",
            "of these not stored after 25 s",
        ],
    );
    for n in bench.for_extent(vec![8, 24, 48], vec![6]) {
        let mut cluster = start(bench, n).await?;
        let ready = measure_startup(bench, &mut cluster).await?;
        let detection_times = measure_failure_detection(&mut cluster).await?;
        let n_peers = detection_times.len() as f64;
        single.add_row([
            n as f64,
            mean(ready.iter().copied()),
            quantile(ready, 1.0),
            mean(detection_times.iter().copied()),
            quantile(detection_times, 1.0),
            n_peers,
        ]);
        cluster.close();
        domain.add_row(measure_domain_loss(bench, n).await?);
    }
    let replacing = measure_replacement(bench).await?;
    Ok(vec![single, replacing, domain])
}

async fn start(bench: &Bench, n: usize) -> anyhow::Result<Cluster<'_>> {
    let shape = Shape {
        n_sites: LAYOUT.n_sites,
        n_domains: LAYOUT.n_domains,
        n_endpoints: 9,
        n_accounts: 10,
        address: "127.0.0.1:9".parse()?,
    };
    let mut cluster = Cluster::start(bench, LAYOUT, shape.document()).await?;
    cluster.add_nodes(n, &node_kind()).await?;
    Timer::after(bench.settle_time()).await;
    Ok(cluster)
}

fn node_kind() -> Kind {
    Kind::Peer(vec!["--load".to_owned(), REQUESTS_PER_SECOND.to_string()])
}

/// Seconds from the start of a router process until it is ready for requests.
async fn measure_startup(bench: &Bench, cluster: &mut Cluster<'_>) -> anyhow::Result<Vec<f64>> {
    let mut times = Vec::new();
    for _ in 0..bench.for_extent(5, 1) {
        let start = Instant::now();
        cluster.start_node(&Kind::Router)?;
        let router = cluster.nodes.last().expect("one was added").process.addr("callers");
        bench.wait_for_success(router, "/readyz").await?;
        times.push(start.elapsed().as_secs_f64());
    }
    Ok(times)
}

/// Kills one node; returns the seconds until each peer no longer reports it as alive.
async fn measure_failure_detection(cluster: &mut Cluster<'_>) -> anyhow::Result<Vec<f64>> {
    let victim = cluster.peer_addr(1);
    let mut n_observers = count_observers(cluster, &[victim]).await?;
    cluster.kill(&BTreeSet::from([1]));
    let (start, mut times) = (Instant::now(), Vec::new());
    while 0 < n_observers {
        anyhow::ensure!(
            start.elapsed() < FAILURE_DETECTION_TIMEOUT,
            "{n_observers} peers still report the killed node as alive"
        );
        let current = count_observers(cluster, &[victim]).await?.min(n_observers);
        times.extend(vec![start.elapsed().as_secs_f64(); n_observers - current]);
        n_observers = current;
        Timer::after(POLL_INTERVAL).await;
    }
    Ok(times)
}

/// Number of nodes that report at least one of `addrs` as alive.
async fn count_observers(cluster: &Cluster<'_>, addrs: &[SocketAddr]) -> anyhow::Result<usize> {
    let statuses = cluster.statuses().await?;
    let observers = statuses
        .iter()
        .filter(|status| status.view.alive.iter().any(|it| addrs.contains(&it.identity.addr)));
    Ok(observers.count())
}

/// Cost of a replacement over all nodes, above their steady-state usage.
async fn measure_replacement(bench: &Bench) -> anyhow::Result<Table> {
    const N_NODES: usize = 24;
    const N_REPLACED: u32 = 5;
    let columns = ["", "control bytes", "CPU of the others, ms", "CPU of the new one, ms"];
    let mut table = Table::new("Replacing a node among 24, above the steady cost", &columns);
    let mut cluster = start(bench, N_NODES).await?;
    let pause = bench.window() / N_REPLACED;
    // The first nodes keep running and are observed; the last ones are replaced.
    const N_OBSERVED: usize = 12;
    let observed_cpu = |cluster: &Cluster<'_>| -> anyhow::Result<f64> {
        Ok(cluster.usages()?.iter().take(N_OBSERVED).map(|it| it.cpu.as_secs_f64()).sum())
    };
    let mut spent = Vec::new();
    for replacing in [false, true] {
        let (start, before, cpu) =
            (Instant::now(), cluster.statuses().await?, observed_cpu(&cluster)?);
        let mut replacements = Vec::new();
        for _ in 0..N_REPLACED {
            if replacing {
                cluster.kill(&BTreeSet::from([N_OBSERVED]));
                cluster.add_nodes(1, &node_kind()).await?;
                replacements.push(cluster.nodes.last().expect("one was added").process.id());
            }
            Timer::after(pause).await;
        }
        let after = cluster.statuses().await?;
        let (before, after) = (&before[..N_OBSERVED], &after[..N_OBSERVED]);
        let bytes = counter_increase(before, after, "bytes_in")
            + counter_increase(before, after, "bytes_out");
        let seconds = start.elapsed().as_secs_f64();
        spent.push((bytes / seconds, (observed_cpu(&cluster)? - cpu) / seconds, seconds));
        if replacing {
            let cpu_seconds =
                replacements.iter().map(|it| Usage::of_process(*it).map(|it| it.cpu.as_secs_f64()));
            let cpu_seconds = mean(cpu_seconds.collect::<anyhow::Result<Vec<_>>>()?);
            let (steady, current) = (spent[0], spent[1]);
            // Extrapolates from the observed nodes to all nodes.
            let scale = N_NODES as f64 / N_OBSERVED as f64 * current.2 / f64::from(N_REPLACED);
            const MILLIS_PER_SECOND: f64 = 1_000.0;
            let (bytes, cpu) = (
                (current.0 - steady.0) * scale,
                (current.1 - steady.1) * scale * MILLIS_PER_SECOND,
            );
            table.add_named_row("each", [bytes, cpu, cpu_seconds * MILLIS_PER_SECOND]);
        }
    }
    cluster.close();
    Ok(table)
}

/// Kills all nodes of one failure domain among `n` nodes; returns a row of the table.
async fn measure_domain_loss(bench: &Bench, n: usize) -> anyhow::Result<[f64; 6]> {
    let mut cluster = start(bench, n).await?;
    let killed: BTreeSet<usize> = (0..n).filter(|it| it % LAYOUT.n_domains == 0).collect();
    let before = cluster.statuses().await?;
    let mut acknowledged_by = BTreeMap::new();
    for index in &killed {
        let lines = acknowledged_lines(std::slice::from_ref(&before[*index]));
        acknowledged_by.insert(vm_name(*index), lines);
    }
    let addrs = cluster.kill(&killed);
    let start = Instant::now();
    while 0 < count_observers(&cluster, &addrs).await? {
        anyhow::ensure!(
            start.elapsed() < FAILURE_DETECTION_TIMEOUT,
            "some peers still report killed nodes as alive"
        );
        Timer::after(POLL_INTERVAL).await;
    }
    let detection_time = start.elapsed();
    Timer::after(TAKEOVER_WAIT.saturating_sub(detection_time)).await;
    let after = cluster.statuses().await?;
    let survivors: Vec<_> = before
        .into_iter()
        .enumerate()
        .filter(|(index, _)| !killed.contains(index))
        .map(|it| it.1)
        .collect();
    let failed = counter_increase(&survivors, &after, "exchange_failed") / survivors.len() as f64;
    let stored = cluster.stored_bill_lines().await?;
    let lost = |(vm, lines): (&String, &f64)| -> f64 {
        let n_stored = stored.iter().filter(|it| it.starts_with(vm.as_str())).count();
        (lines - n_stored as f64).max(0.0)
    };
    let row = [
        n as f64,
        killed.len() as f64,
        detection_time.as_secs_f64(),
        failed,
        acknowledged_by.values().sum(),
        acknowledged_by.iter().map(lost).sum(),
    ];
    cluster.close();
    Ok(row)
}
