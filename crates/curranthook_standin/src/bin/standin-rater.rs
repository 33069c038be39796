//! A simulated rating service.

use std::{net::SocketAddr, sync::Arc};

use clap::Parser;
use curranthook_standin::{program, rater::Rater};

/// A simulated rating service.
#[derive(Debug, Parser)]
struct Args {
    /// The address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// The fraction of ratings that are wrong.
    #[arg(long, default_value_t = 0.0)]
    noise: f64,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    program::run("http", args.listen, |_| Arc::new(Rater::new(args.noise)))
}
