//! Nodes that come, go and are lost together.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_io::Timer;

use crate::{
    bench::{Bench, mean, quantile},
    cluster::{Cluster, Kind, Layout, growth, vm_name},
    document::Shape,
    measure::journal::acknowledged,
    report::Table,
    usage::Usage,
};

const LAYOUT: Layout = Layout { n_sites: 1, n_domains: 3 };
const LOAD: f64 = 2.0;
/// How long others may take to count a dead node out.
const COUNT_OUT_LIMIT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(100);
/// The time until replicas store a silent owner's lines, and some more.
const TAKE_OVER: Duration = Duration::from_secs(25);

/// Start, loss of one, replacement, loss of a failure domain.
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
    for n in bench.pick(vec![8, 24, 48], vec![6]) {
        let mut cluster = start(bench, n).await?;
        let ready = ready(bench, &mut cluster).await?;
        let out = lose_one(&mut cluster).await?;
        let n_peers = out.len() as f64;
        single.row([
            n as f64,
            mean(ready.iter().copied()),
            quantile(ready, 1.0),
            mean(out.iter().copied()),
            quantile(out, 1.0),
            n_peers,
        ]);
        cluster.close();
        domain.row(lose_domain(bench, n).await?);
    }
    let replacing = replace(bench).await?;
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
    cluster.add(n, &kind()).await?;
    Timer::after(bench.settling()).await;
    Ok(cluster)
}

fn kind() -> Kind {
    Kind::Peer(vec!["--load".to_owned(), LOAD.to_string()])
}

/// Times from the start of a router's process until it wants requests.
async fn ready(bench: &Bench, cluster: &mut Cluster<'_>) -> anyhow::Result<Vec<f64>> {
    let mut times = Vec::new();
    for _ in 0..bench.pick(5, 1) {
        let start = Instant::now();
        cluster.add_one(&Kind::Router)?;
        let router = cluster.nodes.last().expect("one was added").process.addr("callers");
        bench.wait_ok(router, "/readyz").await?;
        times.push(start.elapsed().as_secs_f64());
    }
    Ok(times)
}

/// Kills one node; the time until each of its peers counts it out.
async fn lose_one(cluster: &mut Cluster<'_>) -> anyhow::Result<Vec<f64>> {
    let victim = cluster.peer_addr(1);
    let mut waiting = seen_by(cluster, &[victim]).await?;
    cluster.kill(&BTreeSet::from([1]));
    let (start, mut times) = (Instant::now(), Vec::new());
    while 0 < waiting {
        anyhow::ensure!(start.elapsed() < COUNT_OUT_LIMIT, "{waiting} still count it in");
        let now = seen_by(cluster, &[victim]).await?.min(waiting);
        times.extend(vec![start.elapsed().as_secs_f64(); waiting - now]);
        waiting = now;
        Timer::after(POLL).await;
    }
    Ok(times)
}

/// How many nodes count at least one of `addrs` as alive.
async fn seen_by(cluster: &Cluster<'_>, addrs: &[SocketAddr]) -> anyhow::Result<usize> {
    let all = cluster.statuses().await?;
    let sees = all
        .iter()
        .filter(|status| status.view.alive.iter().any(|it| addrs.contains(&it.identity.addr)));
    Ok(sees.count())
}

/// What a replacement costs all nodes together, above what they spend anyway.
async fn replace(bench: &Bench) -> anyhow::Result<Table> {
    const N_NODES: usize = 24;
    const N_REPLACED: u32 = 5;
    let columns = ["", "control bytes", "CPU of the others, ms", "CPU of the new one, ms"];
    let mut table = Table::new("Replacing a node among 24, above the steady cost", &columns);
    let mut cluster = start(bench, N_NODES).await?;
    let pause = bench.window() / N_REPLACED;
    // The first places stay as they are and are watched; the last ones are replaced.
    const N_WATCHED: usize = 12;
    let watched = |cluster: &Cluster<'_>| -> anyhow::Result<f64> {
        Ok(cluster.usages()?.iter().take(N_WATCHED).map(|it| it.cpu.as_secs_f64()).sum())
    };
    let mut spent = Vec::new();
    for replacing in [false, true] {
        let (start, before, cpu) = (Instant::now(), cluster.statuses().await?, watched(&cluster)?);
        let mut newcomers = Vec::new();
        for _ in 0..N_REPLACED {
            if replacing {
                cluster.kill(&BTreeSet::from([N_WATCHED]));
                cluster.add(1, &kind()).await?;
                newcomers.push(cluster.nodes.last().expect("one was added").process.id());
            }
            Timer::after(pause).await;
        }
        let after = cluster.statuses().await?;
        let (before, after) = (&before[..N_WATCHED], &after[..N_WATCHED]);
        let bytes = growth(before, after, "bytes_in") + growth(before, after, "bytes_out");
        let seconds = start.elapsed().as_secs_f64();
        spent.push((bytes / seconds, (watched(&cluster)? - cpu) / seconds, seconds));
        if replacing {
            let used = newcomers.iter().map(|it| Usage::of(*it).map(|it| it.cpu.as_secs_f64()));
            let used = mean(used.collect::<anyhow::Result<Vec<_>>>()?);
            let (steady, now) = (spent[0], spent[1]);
            // All nodes, from those that were watched.
            let scale = N_NODES as f64 / N_WATCHED as f64 * now.2 / f64::from(N_REPLACED);
            const MILLIS: f64 = 1_000.0;
            let (bytes, cpu) = ((now.0 - steady.0) * scale, (now.1 - steady.1) * scale * MILLIS);
            table.named("each", [bytes, cpu, used * MILLIS]);
        }
    }
    cluster.close();
    Ok(table)
}

async fn lose_domain(bench: &Bench, n: usize) -> anyhow::Result<[f64; 6]> {
    let mut cluster = start(bench, n).await?;
    let dead: BTreeSet<usize> = (0..n).filter(|it| it % LAYOUT.n_domains == 0).collect();
    let before = cluster.statuses().await?;
    let mut acknowledged_by = BTreeMap::new();
    for place in &dead {
        let lines = acknowledged(std::slice::from_ref(&before[*place]));
        acknowledged_by.insert(vm_name(*place), lines);
    }
    let addrs = cluster.kill(&dead);
    let start = Instant::now();
    while 0 < seen_by(&cluster, &addrs).await? {
        anyhow::ensure!(start.elapsed() < COUNT_OUT_LIMIT, "some are still counted in");
        Timer::after(POLL).await;
    }
    let counted_out = start.elapsed();
    Timer::after(TAKE_OVER.saturating_sub(counted_out)).await;
    let after = cluster.statuses().await?;
    let survivors: Vec<_> = before
        .into_iter()
        .enumerate()
        .filter(|(at, _)| !dead.contains(at))
        .map(|it| it.1)
        .collect();
    let failed = growth(&survivors, &after, "exchange_failed") / survivors.len() as f64;
    let stored = cluster.stored_lines().await?;
    let lost = |(vm, lines): (&String, &f64)| -> f64 {
        let n_stored = stored.iter().filter(|it| it.starts_with(vm.as_str())).count();
        (lines - n_stored as f64).max(0.0)
    };
    let row = [
        n as f64,
        dead.len() as f64,
        counted_out.as_secs_f64(),
        failed,
        acknowledged_by.values().sum(),
        acknowledged_by.iter().map(lost).sum(),
    ];
    cluster.close();
    Ok(row)
}
