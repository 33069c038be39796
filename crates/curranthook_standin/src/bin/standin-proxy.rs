//! A TCP proxy that does what networks do at their worst.

use std::{net::SocketAddr, sync::Arc};

use clap::Parser;
use curranthook_standin::{program, proxy::Proxy};

/// A TCP proxy that does what networks do at their worst.
#[derive(Debug, Parser)]
struct Args {
    /// Where to listen for control; port 0 picks a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    control: SocketAddr,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    program::run("control", args.control, |ex| Arc::new(Proxy::new(Arc::clone(ex))))
}
