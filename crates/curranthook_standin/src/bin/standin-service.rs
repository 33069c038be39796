//! A simulated service with side effects.

use std::{net::SocketAddr, sync::Arc};

use clap::Parser;
use curranthook_standin::{program, service::Service};
use curranthook_types::clock;

/// A simulated service with side effects.
#[derive(Debug, Parser)]
struct Args {
    /// The address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// The endpoint's id.
    #[arg(long)]
    id: String,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    program::run("http", args.listen, |_| Arc::new(Service::new(&args.id, Arc::new(clock::System))))
}
