//! A simulated platform that stores everything in memory.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clap::Parser;
use curranthook_standin::{
    platform::{Limit, Platform},
    program,
};
use curranthook_types::clock;

/// A simulated platform that stores everything in memory.
#[derive(Debug, Parser)]
struct Args {
    /// The address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Table reads per second, unlimited if omitted.
    #[arg(long)]
    table_reads_per_second: Option<f64>,
    /// Table writes per second, unlimited if omitted.
    #[arg(long)]
    table_writes_per_second: Option<f64>,
    /// The delay before a change of the VM list becomes visible, in milliseconds.
    #[arg(long, default_value_t = 0)]
    vm_list_lag_ms: u64,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let limit = Limit {
        table_reads: args.table_reads_per_second,
        table_writes: args.table_writes_per_second,
        vm_list_lag: Duration::from_millis(args.vm_list_lag_ms),
    };
    program::run("http", args.listen, |_| Arc::new(Platform::new(limit, Arc::new(clock::System))))
}
