//! The service that rates answers.

use std::{net::SocketAddr, sync::Arc};

use clap::Parser;
use curranthook_standin::{program, rater::Rater};

/// The service that rates answers.
#[derive(Debug, Parser)]
struct Args {
    /// Where to listen; port 0 picks a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// The share of ratings that are wrong.
    #[arg(long, default_value_t = 0.0)]
    noise: f64,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    program::run("http", args.listen, |_| Arc::new(Rater::new(args.noise)))
}
