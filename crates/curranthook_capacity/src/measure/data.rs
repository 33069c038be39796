//! Load on the data path: requests, tokens and open streams.

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

/// One site, with one failure domain per router.
const LAYOUT: Layout = Layout { n_sites: 1, n_domains: 3 };
/// The router under load and two that replicate its bill lines.
const N_ROUTERS: usize = 3;
/// Number of connections of the load generator.
const N_CONNECTIONS: usize = 256;
/// Converts a fraction to percent.
const PERCENT: f64 = 100.0;
const MICROS_PER_SECOND: f64 = 1_000_000.0;
/// Requests per second per node at the target size.
const TARGET_REQUESTS_PER_SECOND: f64 = 26.0;
/// Generated tokens per second per node at the target size.
const TARGET_TOKENS_PER_SECOND: f64 = 9_400.0;
/// Version in [`ENGINE_PROFILE`] that returns four tokens without delay.
const SHORT_VERSION: &str = "draft@1";
/// Version in [`ENGINE_PROFILE`] that returns long answers, with a token every 10 ms.
const LONG_VERSION: &str = "draft@2";
/// Version in [`ENGINE_PROFILE`] whose streams stay open for about a minute.
const OPEN_VERSION: &str = "large@2";
/// Number of tokens of an answer by [`LONG_VERSION`].
const TOKENS_PER_LONG_ANSWER: f64 = 364.0;
/// Settings of the simulated engine, as YAML.
const ENGINE_PROFILE: &str = "
slots: 100000
batch_slowdown: 0
versions:
  draft@1: { first_token_ms: 0, token_ms: 0, tokens: 4 }
  draft@2: { first_token_ms: 10, token_ms: 10, tokens: 364 }
  large@2: { first_token_ms: 50, token_ms: 250, tokens: 240 }
";

/// Routers in front of one engine.
#[derive(Debug)]
struct Site<'a> {
    bench: &'a Bench,
    engine: Process,
    cluster: Cluster<'a>,
}

/// Answered requests per second and the CPU cores that they used.
#[derive(Debug)]
struct Cost {
    rate: f64,
    cpu: f64,
    outcomes: direct::Outcomes,
}

/// Measures one router under load, with two more routers that replicate its bill lines.
pub async fn run(bench: &Bench) -> anyhow::Result<Vec<Table>> {
    let site = Site::start(bench).await?;
    let tables = vec![
        measure_requests(&site).await?,
        measure_tokens(&site).await?,
        measure_open_streams(&site).await?,
    ];
    site.close();
    Ok(tables)
}

/// Measures the time to first token that one router adds.
pub async fn run_latency(bench: &Bench) -> anyhow::Result<Vec<Table>> {
    let site = Site::start(bench).await?;
    let table = measure_added_latency(&site).await?;
    site.close();
    Ok(vec![table])
}

/// Measures short requests, by rate.
async fn measure_requests(site: &Site<'_>) -> anyhow::Result<Table> {
    let columns =
        ["requests/s", "answered/s", "CPU, % of a core", "CPU a request, µs", "failed or refused"];
    let mut table = Table::new("Short requests through one router", &columns);
    let mut points = Vec::new();
    for rate in
        site.bench.for_extent(vec![0.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0], vec![0.0, 200.0])
    {
        let cost = site.cost(SHORT_VERSION, rate, site.bench.window()).await?;
        points.push((cost.rate, cost.cpu));
        let n_unsuccessful = (cost.outcomes.failed + cost.outcomes.refused) as f64;
        let cpu_micros_per_request = cost.cpu * MICROS_PER_SECOND / cost.rate;
        table.add_row([
            rate,
            cost.rate,
            cost.cpu * PERCENT,
            cpu_micros_per_request,
            n_unsuccessful,
        ]);
    }
    let line = Line::fit(&points);
    table.add_note(format!(
        "fit: {:.0} µs of a core a request and {:.2} % at rest; at \
         {TARGET_REQUESTS_PER_SECOND} requests a second {:.2} %",
        line.slope * MICROS_PER_SECOND,
        line.intercept * PERCENT,
        line.value_at(TARGET_REQUESTS_PER_SECOND) * PERCENT
    ));
    Ok(table)
}

/// Measures streams whose tokens arrive one at a time.
async fn measure_tokens(site: &Site<'_>) -> anyhow::Result<Table> {
    let columns = ["streams/s", "tokens/s", "CPU, % of a core", "CPU a token, µs", "failed"];
    let mut table = Table::new("Streams of 364 tokens through one router", &columns);
    let mut points = Vec::new();
    for rate in site.bench.for_extent(vec![0.0, 13.0, 26.0, 52.0], vec![0.0, 13.0]) {
        let cost = site.cost(LONG_VERSION, rate, site.bench.window() * 2).await?;
        let tokens = cost.rate * TOKENS_PER_LONG_ANSWER;
        points.push((tokens, cost.cpu));
        let n_unsuccessful = (cost.outcomes.failed + cost.outcomes.refused) as f64;
        table.add_row([
            rate,
            tokens,
            cost.cpu * PERCENT,
            cost.cpu * MICROS_PER_SECOND / tokens,
            n_unsuccessful,
        ]);
    }
    let line = Line::fit(&points);
    table.add_note(format!(
        "fit: {:.1} µs of a core a token, requests included; at \
         {TARGET_TOKENS_PER_SECOND} tokens a second {:.1} %",
        line.slope * MICROS_PER_SECOND,
        line.value_at(TARGET_TOKENS_PER_SECOND) * PERCENT
    ));
    Ok(table)
}

/// Compares the time to first token directly from the engine and through a router.
async fn measure_added_latency(site: &Site<'_>) -> anyhow::Result<Table> {
    let columns = ["way", "p50, ms", "p95, ms", "p99, ms", "whole answer p95, ms"];
    let mut table = Table::new("First token at 26 short streams a second", &columns);
    let routes = [("to the engine", site.engine.addr("http")), ("by the router", site.router())];
    for (name, target) in routes {
        let load =
            site.load(target, SHORT_VERSION, TARGET_REQUESTS_PER_SECOND, site.bench.window());
        let it = direct::run(&site.bench.executor, load).await;
        table.add_named_row(
            name,
            [it.first_token.p50, it.first_token.p95, it.first_token.p99, it.whole.p95],
        );
    }
    Ok(table)
}

/// Measures the memory of a router by its number of open streams.
async fn measure_open_streams(site: &Site<'_>) -> anyhow::Result<Table> {
    let columns = ["open streams", "memory, KB", "begun", "failed"];
    let mut table = Table::new("Memory of a router with streams open", &columns);
    let pid = site.cluster.nodes[0].process.id();
    let mut points = Vec::new();
    for n_streams in site.bench.for_extent(vec![250, 1_000, 2_000, 4_000], vec![100]) {
        let load = streams::Load {
            target: site.router(),
            n_streams,
            rate: 500.0,
            hold_duration: Duration::from_secs(2),
            template: request_template(OPEN_VERSION),
            pid: Some(pid),
        };
        let it = streams::run(&site.bench.executor, load).await;
        let resident = it.resident_kb.unwrap_or_default() as f64;
        points.push((it.open as f64, resident));
        table.add_row([it.open as f64, resident, it.begun as f64, it.failed as f64]);
        Timer::after(site.bench.settle_time() / 2).await;
    }
    let line = Line::fit(&points);
    table.add_note(format!(
        "fit: {:.1} KB a stream and {:.0} KB besides",
        line.slope, line.intercept
    ));
    Ok(table)
}

impl<'a> Site<'a> {
    async fn start(bench: &'a Bench) -> anyhow::Result<Self> {
        let profile = bench.work_dir.join("profile.yaml");
        std::fs::write(&profile, ENGINE_PROFILE)?;
        let versions = [SHORT_VERSION, LONG_VERSION, OPEN_VERSION].join(",");
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
        endpoints.for_each(|it| {
            it.versions = [SHORT_VERSION, LONG_VERSION, OPEN_VERSION].map(Into::into).into();
        });
        let mut cluster = Cluster::start(bench, LAYOUT, document).await?;
        cluster.add_nodes(N_ROUTERS, &Kind::Router).await?;
        let site = Self { bench, engine, cluster };
        bench.wait_for_success(site.router(), "/readyz").await?;
        Timer::after(bench.settle_time()).await;
        Ok(site)
    }

    fn router(&self) -> SocketAddr {
        self.cluster.nodes[0].process.addr("callers")
    }

    /// Sends requests for `model` at `rate` per second and measures the CPU usage of the router.
    async fn cost(&self, model: &str, rate: f64, duration: Duration) -> anyhow::Result<Cost> {
        let pid = self.cluster.nodes[0].process.id();
        let (start, before) = (Instant::now(), Usage::of_process(pid)?);
        let outcomes = if rate == 0.0 {
            Timer::after(duration).await;
            self.run(model, rate, Duration::ZERO).await
        } else {
            self.run(model, rate, duration).await
        };
        // Long answers end some time after the last request was sent. Their cost belongs to the
        // requests, so the time until they end is included.
        let seconds = start.elapsed().as_secs_f64();
        let cpu = (Usage::of_process(pid)?.cpu - before.cpu).as_secs_f64() / seconds;
        Ok(Cost { rate: outcomes.answered as f64 / seconds, cpu, outcomes })
    }

    async fn run(&self, model: &str, rate: f64, duration: Duration) -> direct::Outcomes {
        direct::run(&self.bench.executor, self.load(self.router(), model, rate, duration)).await
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
        key: document::api_key("account-0"),
        model: model.to_owned(),
        kind: "summary".to_owned(),
        text: "How much did the herd weigh?".to_owned(),
        stream: true,
    }
}
