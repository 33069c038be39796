//! A simulated model engine.

use std::{fs, net::SocketAddr, path::PathBuf, sync::Arc};

use anyhow::Context;
use clap::Parser;
use curranthook_standin::{
    engine::{Engine, Fencing, Recording, profile::Profile},
    program,
};
use curranthook_types::clock;

/// A simulated model engine.
#[derive(Debug, Parser)]
struct Args {
    /// The address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// The endpoint's id.
    #[arg(long)]
    id: String,
    /// The versions loaded at the start, separated by commas.
    #[arg(long, value_delimiter = ',')]
    versions: Vec<String>,
    /// The file with the engine's profile, in YAML.
    #[arg(long)]
    profile: Option<PathBuf>,
    /// Reject orders with a stale fencing token.
    #[arg(long)]
    checks_fencing: bool,
    /// Don't record runs.
    #[arg(long)]
    no_record: bool,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let profile = match &args.profile {
        None => Profile::default(),
        Some(path) => {
            let text = fs::read_to_string(path).with_context(|| path.display().to_string())?;
            serde_saphyr::from_str(&text).with_context(|| path.display().to_string())?
        }
    };
    let fencing = if args.checks_fencing { Fencing::Checked } else { Fencing::Ignored };
    let recording = if args.no_record { Recording::Off } else { Recording::On };
    program::run("http", args.listen, |_| {
        let clock = Arc::new(clock::System);
        Engine::new(&args.id, args.versions, profile, fencing, recording, clock)
    })
}
