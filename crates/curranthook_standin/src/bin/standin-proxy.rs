//! A TCP proxy that injects network faults.

use std::{net::SocketAddr, sync::Arc};

use clap::Parser;
use curranthook_standin::{program, proxy::Proxy};

/// A TCP proxy that injects network faults.
#[derive(Debug, Parser)]
struct Args {
    /// The address of the control API; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    control: SocketAddr,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    program::run("control", args.control, |ex| Arc::new(Proxy::new(Arc::clone(ex))))
}
