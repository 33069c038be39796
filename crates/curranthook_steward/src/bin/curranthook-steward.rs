//! The steward process of a VM.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::Parser;
use curranthook_http::runtime;
use curranthook_policy::rollout::Gate;
use curranthook_settings::startup::{self, LogFormat};
use curranthook_steward::serve;

/// Runs control work under leases: one steward beside each router, all with the same role.
#[derive(Debug, Parser)]
#[command(version, after_help = "Example: curranthook-steward --settings node.yaml")]
struct Arguments {
    /// Path of the node's settings file.
    #[arg(long)]
    settings: PathBuf,
    /// Address at which the router on this VM accepts calls from peers; by default as in the
    /// settings.
    #[arg(long)]
    router: Option<SocketAddr>,
    /// Minimum duration of a rollout stage, in milliseconds.
    #[arg(long, default_value_t = 60_000)]
    stage_ms: u64,
    /// Minimum number of answers by the new version in a stage.
    #[arg(long, default_value_t = 100)]
    stage_answers: u64,
    /// Minimum number of rated answers of the new version in a stage.
    #[arg(long, default_value_t = 30)]
    stage_ratings: u64,
    /// Log format: text for people or JSON for programs.
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    log: LogFormat,
}

fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse();
    let _log = startup::init_logging(arguments.log)?;
    let settings = startup::load_settings(&arguments.settings)?;
    let options = serve::Options {
        router: arguments.router.unwrap_or(settings.peer_listen),
        gate: Gate {
            min_duration: Duration::from_millis(arguments.stage_ms),
            min_answers: arguments.stage_answers,
            min_ratings: arguments.stage_ratings,
            ..Gate::default()
        },
    };
    runtime::run(1, |ex| serve::run(settings, options, ex))
}
