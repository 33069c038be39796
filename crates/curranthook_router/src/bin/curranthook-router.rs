//! The router process of one VM.

use std::{path::PathBuf, time::Duration};

use clap::Parser;
use curranthook_http::runtime;
use curranthook_router::serve;
use curranthook_settings::startup::{self, LogFormat};

/// Routes requests from clients to model endpoints; runs on each entry VM.
#[derive(Debug, Parser)]
#[command(version, after_help = "Example: curranthook-router --settings node.yaml")]
struct Arguments {
    /// The path of the node's settings file.
    #[arg(long)]
    settings: PathBuf,
    /// How versions and endpoints are selected: `ours`, or a baseline to compare it with
    /// (`cheapest`, `best`, `static-cascade`, `round-robin`, `least-outstanding`).
    #[arg(long, default_value = "ours")]
    policy: String,
    /// How long to keep accepting requests after SIGTERM, in milliseconds; the load balancer needs
    /// this time to notice.
    #[arg(long, default_value_t = 1_000)]
    linger_ms: u64,
    /// The format of log lines: text for people or JSON for programs.
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    log: LogFormat,
}

fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse();
    let _log = startup::init_logging(arguments.log)?;
    let settings = startup::load_settings(&arguments.settings)?;
    let options = serve::Options {
        policy: arguments.policy,
        linger: Duration::from_millis(arguments.linger_ms),
    };
    runtime::run(settings.threads, |ex| serve::run(settings, options, ex))
}
