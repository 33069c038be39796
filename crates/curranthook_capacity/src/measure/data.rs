//! Requests, tokens and open streams.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_io::Timer;
use curranthook_load::{
    direct::{self, Load, Mode, Template},
    fleet::process::Process,
    streams,
};

use crate::{
    bench::Bench,
    cluster::{Cluster, Kind, Layout},
    document::{self, Shape},
    fit::Line,
    report::Table,
    usage::Usage,
};

const LAYOUT: Layout = Layout { n_sites: 1, n_domains: 3 };
const N_ROUTERS: usize = 3;
const N_CONNECTIONS: usize = 256;
const PERCENT: f64 = 100.0;
const MICROS: f64 = 1_000_000.0;
/// A node's part of the target.
const TARGET_REQUESTS: f64 = 26.0;
const TARGET_TOKENS: f64 = 9_400.0;
/// Four tokens at once; long answers at a token each 10 ms; streams that stay open.
const SHORT: &str = "draft@1";
const LONG: &str = "draft@2";
const OPEN: &str = "large@2";
const LONG_TOKENS: f64 = 364.0;
const PROFILE: &str = "
slots: 100000
batch_slowdown: 0
versions:
  draft@1: { first_token_ms: 0, token_ms: 0, tokens: 4 }
  draft@2: { first_token_ms: 10, token_ms: 10, tokens: 364 }
  large@2: { first_token_ms: 50, token_ms: 250, tokens: 240 }
";

/// Routers before one engine.
#[derive(Debug)]
struct Site<'a> {
    bench: &'a Bench,
    engine: Process,
    cluster: Cluster<'a>,
}

/// Load and what it cost.
#[derive(Debug)]
struct Cost {
    rate: f64,
    cpu: f64,
    outcomes: direct::Outcomes,
}

/// One router under load, with two more that hold its bill lines.
pub async fn run(bench: &Bench) -> anyhow::Result<Vec<Table>> {
    let site = Site::start(bench).await?;
    let tables = vec![requests(&site).await?, tokens(&site).await?, open_streams(&site).await?];
    site.close();
    Ok(tables)
}

/// What one router adds to the time to the first token.
pub async fn latency(bench: &Bench) -> anyhow::Result<Vec<Table>> {
    let site = Site::start(bench).await?;
    let table = added(&site).await?;
    site.close();
    Ok(vec![table])
}

async fn requests(site: &Site<'_>) -> anyhow::Result<Table> {
    let columns =
        ["requests/s", "answered/s", "CPU, % of a core", "CPU a request, µs", "failed or refused"];
    let mut table = Table::new("Short requests through one router", &columns);
    let mut points = Vec::new();
    for rate in site.bench.pick(vec![0.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0], vec![0.0, 200.0])
    {
        let cost = site.cost(SHORT, rate, site.bench.window()).await?;
        points.push((cost.rate, cost.cpu));
        let bad = (cost.outcomes.failed + cost.outcomes.refused) as f64;
        let each = cost.cpu * MICROS / cost.rate;
        table.row([rate, cost.rate, cost.cpu * PERCENT, each, bad]);
    }
    let line = Line::through(&points);
    table.note(format!(
        "fit: {:.0} µs of a core a request and {:.2} % at rest; at {TARGET_REQUESTS} requests a \
         second {:.2} %",
        line.slope * MICROS,
        line.intercept * PERCENT,
        line.at(TARGET_REQUESTS) * PERCENT
    ));
    Ok(table)
}

/// Streams whose tokens come one by one.
async fn tokens(site: &Site<'_>) -> anyhow::Result<Table> {
    let columns = ["streams/s", "tokens/s", "CPU, % of a core", "CPU a token, µs", "failed"];
    let mut table = Table::new("Streams of 364 tokens through one router", &columns);
    let mut points = Vec::new();
    for rate in site.bench.pick(vec![0.0, 13.0, 26.0, 52.0], vec![0.0, 13.0]) {
        let cost = site.cost(LONG, rate, site.bench.window() * 2).await?;
        let tokens = cost.rate * LONG_TOKENS;
        points.push((tokens, cost.cpu));
        let bad = (cost.outcomes.failed + cost.outcomes.refused) as f64;
        table.row([rate, tokens, cost.cpu * PERCENT, cost.cpu * MICROS / tokens, bad]);
    }
    let line = Line::through(&points);
    table.note(format!(
        "fit: {:.1} µs of a core a token, requests included; at {TARGET_TOKENS} tokens a second \
         {:.1} %",
        line.slope * MICROS,
        line.at(TARGET_TOKENS) * PERCENT
    ));
    Ok(table)
}

/// The first token straight from the engine and through a router.
async fn added(site: &Site<'_>) -> anyhow::Result<Table> {
    let columns = ["way", "p50, ms", "p95, ms", "p99, ms", "whole answer p95, ms"];
    let mut table = Table::new("First token at 26 short streams a second", &columns);
    let ways = [("to the engine", site.engine.addr("http")), ("by the router", site.router())];
    for (name, target) in ways {
        let load = site.load(target, SHORT, TARGET_REQUESTS, site.bench.window());
        let it = direct::run(&site.bench.ex, load).await;
        table.named(
            name,
            [it.first_token.p50, it.first_token.p95, it.first_token.p99, it.whole.p95],
        );
    }
    Ok(table)
}

async fn open_streams(site: &Site<'_>) -> anyhow::Result<Table> {
    let columns = ["open streams", "memory, KB", "begun", "failed"];
    let mut table = Table::new("Memory of a router with streams open", &columns);
    let pid = site.cluster.nodes[0].process.id();
    let mut points = Vec::new();
    for n_streams in site.bench.pick(vec![250, 1_000, 2_000, 4_000], vec![100]) {
        let load = streams::Load {
            target: site.router(),
            n_streams,
            rate: 500.0,
            hold_duration: Duration::from_secs(2),
            template: request_template(OPEN),
            pid: Some(pid),
        };
        let it = streams::run(&site.bench.ex, load).await;
        let resident = it.resident_kb.unwrap_or_default() as f64;
        points.push((it.open as f64, resident));
        table.row([it.open as f64, resident, it.begun as f64, it.failed as f64]);
        Timer::after(site.bench.settling() / 2).await;
    }
    let line = Line::through(&points);
    table.note(format!("fit: {:.1} KB a stream and {:.0} KB besides", line.slope, line.intercept));
    Ok(table)
}

impl<'a> Site<'a> {
    async fn start(bench: &'a Bench) -> anyhow::Result<Self> {
        let profile = bench.work_dir.join("profile.yaml");
        std::fs::write(&profile, PROFILE)?;
        let versions = [SHORT, LONG, OPEN].join(",");
        let profile = profile.display().to_string();
        let args = ["--listen", "127.0.0.1:0", "--id", "worker-00000", "--versions", &versions];
        let args = args.into_iter().chain(["--profile", &profile, "--no-record"]);
        let args: Vec<String> = args.map(str::to_owned).collect();
        let engine = bench.spawn("standin-engine", "worker-00000", &args)?;
        let shape = Shape {
            n_sites: LAYOUT.n_sites,
            n_domains: LAYOUT.n_domains,
            n_endpoints: 1,
            n_accounts: 1,
            address: engine.addr("http"),
        };
        let mut document = shape.document();
        let endpoints = document.sites.values_mut().flat_map(|it| it.endpoints.values_mut());
        endpoints.for_each(|it| it.versions = [SHORT, LONG, OPEN].map(Into::into).into());
        let mut cluster = Cluster::start(bench, LAYOUT, document).await?;
        cluster.add(N_ROUTERS, &Kind::Router).await?;
        let site = Self { bench, engine, cluster };
        bench.wait_ok(site.router(), "/readyz").await?;
        Timer::after(bench.settling()).await;
        Ok(site)
    }

    fn router(&self) -> SocketAddr {
        self.cluster.nodes[0].process.addr("callers")
    }

    /// The router's processor time, in cores, while the load runs.
    async fn cost(&self, model: &str, rate: f64, duration: Duration) -> anyhow::Result<Cost> {
        let pid = self.cluster.nodes[0].process.id();
        let (start, before) = (Instant::now(), Usage::of(pid)?);
        let outcomes = if rate == 0.0 {
            Timer::after(duration).await;
            self.run(model, rate, Duration::ZERO).await
        } else {
            self.run(model, rate, duration).await
        };
        // Long answers end a while after the last request went out; what they cost belongs to
        // the requests, so the whole time is counted.
        let seconds = start.elapsed().as_secs_f64();
        let cpu = (Usage::of(pid)?.cpu - before.cpu).as_secs_f64() / seconds;
        Ok(Cost { rate: outcomes.answered as f64 / seconds, cpu, outcomes })
    }

    async fn run(&self, model: &str, rate: f64, duration: Duration) -> direct::Outcomes {
        direct::run(&self.bench.ex, self.load(self.router(), model, rate, duration)).await
    }

    fn load(&self, target: SocketAddr, model: &str, rate: f64, duration: Duration) -> Load {
        Load {
            target,
            mode: Mode::Open(rate),
            duration,
            n_connections: N_CONNECTIONS,
            template: request_template(model),
            seed: 1,
        }
    }

    fn close(self) {
        self.cluster.close();
        self.engine.close();
    }
}

fn request_template(model: &str) -> Template {
    Template {
        key: document::key("account-0"),
        model: model.to_owned(),
        kind: "summary".to_owned(),
        text: "How much did the herd weigh?".to_owned(),
        stream: true,
    }
}
