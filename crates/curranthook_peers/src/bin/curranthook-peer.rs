//! A node without a router, for measurements of the peer-to-peer layer.
//!
//! Prints one line of JSON when its listener is bound, answers `GET /status`, and leaves the fleet
//! on SIGTERM or SIGINT.

use std::{
    fs,
    io::Write,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use anyhow::Context;
use async_signal::{Signal, Signals};
use bytes::Bytes;
use clap::{Parser, ValueEnum};
use curranthook_http::{
    Body, body,
    client::Pool,
    runtime,
    server::{Handler, Server},
    stop,
};
use curranthook_peers::{
    Node, Setup,
    evidence::{Outcome, Sample},
    rpc,
    tuning::{self, Tuning},
};
use curranthook_platform::client::Client;
use curranthook_settings::node::Settings;
use curranthook_types::{Clock, bill, clock, price};
use flexi_logger::Logger;
use futures_lite::{StreamExt, future::Boxed};
use http::{Method, StatusCode};
use hyper::body::Incoming;

/// Runs one node and its peer listener.
#[derive(Debug, Parser)]
struct Args {
    /// The VM's settings, in YAML.
    #[arg(long)]
    settings: PathBuf,
    /// Synthetic requests per second, each with a bill line, evidence and demand.
    #[arg(long, default_value_t = 0.0)]
    load: f64,
    /// The shortest time between reads of the table, in milliseconds: set as long as in a large
    /// fleet to measure what the exchanges between peers contribute.
    #[arg(long, hide = true)]
    poll_ms: Option<u64>,
    /// Mechanisms of configuration distribution to disable.
    #[arg(long, hide = true, value_enum)]
    without: Vec<Mechanism>,
}

/// The mechanisms of configuration distribution that can be disabled.
#[derive(Debug, Clone, Copy, ValueEnum)]
enum Mechanism {
    PushPull,
    News,
    Delta,
}

impl Args {
    fn tuning(&self) -> Tuning {
        let default = Tuning::default();
        let mechanism = |it: &Mechanism| match it {
            Mechanism::PushPull => tuning::Mechanism::PushPull,
            Mechanism::News => tuning::Mechanism::Announcement,
            Mechanism::Delta => tuning::Mechanism::Delta,
        };
        Tuning {
            poll_interval: self.poll_ms.map_or(default.poll_interval, Duration::from_millis),
            disabled: self.without.iter().map(mechanism).collect(),
            ..default
        }
    }
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let _logger = Logger::try_with_env_or_str("info")?.start()?;
    let settings = read_settings(&args.settings)?;
    runtime::run(settings.threads, |ex| serve(ex, settings, args))
}

fn read_settings(path: &Path) -> anyhow::Result<Settings> {
    let text = fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    serde_saphyr::from_str(&text).with_context(|| format!("in {}", path.display()))
}

async fn serve(ex: runtime::Handle, settings: Settings, args: Args) -> anyhow::Result<()> {
    let server = Server::bind(settings.peer_listen).context("binding the peer listener")?;
    let ready = serde_json::json!({"listening": {"peers": server.addr()}});
    let node = Node::start_with(setup(&ex, settings, &server), args.tuning());
    writeln!(std::io::stdout(), "{ready}")?;

    let (trigger, stop) = stop::new();
    let listener = Arc::new(Listener(Arc::clone(&node)));
    let server_task = {
        let ex = Arc::clone(&ex);
        ex.clone().spawn(async move { server.serve(&ex, listener, stop).await })
    };
    if 0.0 < args.load {
        let node = Arc::clone(&node);
        ex.spawn(generate_load(node, args.load)).detach();
    }
    Signals::new([Signal::Term, Signal::Int])?.next().await;
    node.leave().await;
    trigger.set();
    server_task.await;
    Ok(())
}

fn setup(ex: &runtime::Handle, settings: Settings, server: &Server) -> Setup {
    let clock: Arc<dyn Clock> = Arc::new(clock::System);
    let pool = Arc::new(Pool::new(Arc::clone(ex), Arc::clone(&clock)));
    let platform = |addr| Arc::new(Client::new(addr, Arc::clone(&pool)));
    Setup {
        incarnation: clock.unix_millis(),
        peer_addr: server.addr(),
        ex: Arc::clone(ex),
        table: platform(settings.platform.table),
        objects: platform(settings.platform.objects),
        vms: platform(settings.platform.vms),
        seed: rand::random(),
        pool,
        clock,
        settings,
    }
}

/// Records synthetic requests as a router would.
async fn generate_load(node: Arc<Node>, requests_per_second: f64) {
    const VERSIONS: u64 = 7;
    const ACCOUNTS: u64 = 10;
    let vm = node.identity().vm.clone();
    for n in 0_u64.. {
        async_io::Timer::after(Duration::from_secs_f64(1.0 / requests_per_second)).await;
        let version = format!("tally-llm@{}", n % VERSIONS);
        let account = format!("account-{}", n % ACCOUNTS);
        node.demand().record_request(&account.as_str().into());
        let sample = Sample { rating: Some(0.8), outcome: Outcome::Answered, tokens: 360 };
        node.evidence().record(&version.as_str().into(), &"summary".into(), sample);
        let line = bill::Line {
            request: format!("{vm}-{n:012}").as_str().into(),
            account: account.as_str().into(),
            served_by: version,
            prompt_tokens: 900,
            completion_tokens: 360,
            cost: price::Micros(1_500),
            at_millis: clock::System.unix_millis(),
        };
        let _durability = node.journal().record(line).await;
    }
}

struct Listener(Arc<Node>);

impl Handler for Listener {
    fn handle(self: Arc<Self>, req: http::Request<Incoming>) -> Boxed<http::Response<Body>> {
        Box::pin(async move {
            let (head, incoming) = req.into_parts();
            if head.method == Method::GET && head.uri.path() == "/status" {
                return body::json(200, &self.0.status());
            }
            match body::read(incoming, rpc::MAX_CALL_BYTES).await {
                Ok(call) => self.0.handle(&head, call).await,
                Err(_) => empty_response(StatusCode::PAYLOAD_TOO_LARGE),
            }
        })
    }
}

fn empty_response(status: StatusCode) -> http::Response<Body> {
    let mut res = http::Response::new(body::full(Bytes::new()));
    *res.status_mut() = status;
    res
}
