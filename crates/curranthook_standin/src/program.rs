//! Code shared by the `main` functions of the stand-ins.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use anyhow::Context;
use async_io::Async;
use async_signal::{Signal, Signals};
use curranthook_http::runtime;
use futures_lite::{StreamExt, future};

use crate::app::{self, App};

/// The number of worker threads of a stand-in.
const N_WORKER_THREADS: usize = 4;

/// Converts milliseconds, including fractions, to a duration. Invalid values give zero.
pub fn duration_from_millis(millis: f64) -> Duration {
    const MILLIS_PER_SECOND: f64 = 1_000.0;
    Duration::try_from_secs_f64(millis / MILLIS_PER_SECOND).unwrap_or_default()
}

/// Binds `listen`, prints the bound address to standard output as JSON and serves until SIGTERM or
/// SIGINT.
///
/// Calls in progress are then aborted: stopping a stand-in simulates an endpoint that crashes.
pub fn run<A: App>(
    name: &str,
    listen: SocketAddr,
    app: impl FnOnce(&runtime::Handle) -> Arc<A>,
) -> anyhow::Result<()> {
    runtime::run(N_WORKER_THREADS, |runtime| async move {
        let app = app(&runtime);
        let mut signals = Signals::new([Signal::Term, Signal::Int])?;
        let listener = Async::<TcpListener>::bind(listen).context("can't bind")?;
        let listening = BTreeMap::from([(name, listener.get_ref().local_addr()?)]);
        println!("{}", serde_json::json!({ "listening": listening }));
        let signalled = async {
            signals.next().await;
        };
        let serving = async { match app::serve(listener, runtime, app).await {} };
        future::or(signalled, serving).await;
        Ok(())
    })
}
