//! One VM's steward.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::Parser;
use curranthook_http::runtime;
use curranthook_policy::rollout::Gate;
use curranthook_settings::startup::{self, Format};
use curranthook_steward::serve;

/// Does control work under leases: one beside each router, all equal.
#[derive(Debug, Parser)]
#[command(version, after_help = "Example: curranthook-steward --settings node.yaml")]
struct Arguments {
    /// The node's settings.
    #[arg(long)]
    settings: PathBuf,
    /// Where the router beside it takes calls from peers, if not as the settings say.
    #[arg(long)]
    router: Option<SocketAddr>,
    /// How long a stage of a roll-out lasts at least, in milliseconds.
    #[arg(long, default_value_t = 60_000)]
    stage_ms: u64,
    /// How many answers of the new version a stage needs.
    #[arg(long, default_value_t = 100)]
    stage_answers: u64,
    /// How many of them must have been rated.
    #[arg(long, default_value_t = 30)]
    stage_ratings: u64,
    /// Log lines for people or for programs.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    log: Format,
}

fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse();
    let _log = startup::log(arguments.log)?;
    let settings = startup::settings(&arguments.settings)?;
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
