//! The platform's services, in memory.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clap::Parser;
use curranthook_standin::{
    platform::{Limit, Platform},
    program,
};
use curranthook_types::clock;

/// The platform's services, in memory.
#[derive(Debug, Parser)]
struct Args {
    /// Where to listen; port 0 picks a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Reads of the table a second, unlimited if not given.
    #[arg(long)]
    table_reads_per_second: Option<f64>,
    /// Writes to the table a second, unlimited if not given.
    #[arg(long)]
    table_writes_per_second: Option<f64>,
    /// How long a change of the list of VMs stays unseen, in milliseconds.
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
