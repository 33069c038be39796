//! One VM's router.

use std::{path::PathBuf, time::Duration};

use clap::Parser;
use curranthook_http::runtime;
use curranthook_router::serve;
use curranthook_settings::startup::{self, Format};

/// Stands between callers and model endpoints: one on each entry VM.
#[derive(Debug, Parser)]
#[command(version, after_help = "Example: curranthook-router --settings node.yaml")]
struct Arguments {
    /// The node's settings.
    #[arg(long)]
    settings: PathBuf,
    /// How versions and endpoints are chosen: `ours`, or a baseline to measure against
    /// (`cheapest`, `best`, `static-cascade`, `round-robin`, `least-outstanding`).
    #[arg(long, default_value = "ours")]
    policy: String,
    /// How long to go on taking requests after SIGTERM, in milliseconds; the balancer needs
    /// this long to notice.
    #[arg(long, default_value_t = 1_000)]
    linger_ms: u64,
    /// Log lines for people or for programs.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    log: Format,
}

fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse();
    let _log = startup::log(arguments.log)?;
    let settings = startup::settings(&arguments.settings)?;
    let options = serve::Options {
        policy: arguments.policy,
        linger: Duration::from_millis(arguments.linger_ms),
    };
    runtime::run(settings.threads, |ex| serve::run(settings, options, ex))
}
