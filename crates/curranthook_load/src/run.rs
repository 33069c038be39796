//! Runs a scenario, from starting the fleet to the report.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use curranthook_http::{client::Pool, runtime};
use curranthook_types::clock;
use futures_lite::future;
use serde::Serialize;

use crate::{
    client::Client,
    drive::Callers,
    fleet::{Fleet, Setup, Topology},
    plan,
    report::{Report, Run},
    scenario::Scenario,
};

/// Delay between the end of preparations and the first arrival.
const START_DELAY: Duration = Duration::from_millis(200);

/// Parameters of a run.
#[derive(Debug)]
pub struct Options {
    /// Scenario to run.
    pub scenario: Scenario,
    /// What handles requests between callers and endpoints.
    pub topology: Topology,
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// Directory with the router, steward and stand-in executables.
    pub bin_dir: PathBuf,
    /// Directory for logs and settings files.
    pub work_dir: PathBuf,
}

/// Runs a scenario on real processes, stops them all and computes the report.
pub async fn run(ex: &runtime::Handle, options: Options) -> anyhow::Result<Report> {
    let Options { scenario, topology, seed, bin_dir, work_dir } = options;
    let scenario = Arc::new(scenario);
    let plan: Arc<[plan::Request]> = plan::requests(&scenario, seed).into();
    let pool = Arc::new(Pool::new(Arc::clone(ex), Arc::new(clock::System)));
    let setup =
        Setup { scenario: Arc::clone(&scenario), topology: topology.clone(), bin_dir, work_dir };
    let mut fleet = Fleet::start(setup, Arc::clone(&pool)).await?;
    let callers = Callers::new(Arc::clone(&scenario), Client::new(pool), fleet.ingress());
    let start = Instant::now() + START_DELAY;
    let driven = Arc::new(callers).drive(ex, &plan, start);
    let (samples, applied) = future::zip(driven, fleet.apply_events(start)).await;
    // If an event failed, the results are invalid; the processes are still stopped first.
    let evidence = fleet.close().await?;
    applied?;
    Ok(Report::new(&Run {
        scenario: &scenario,
        policy: &topology.to_string(),
        seed,
        plan: &plan,
        samples: &samples,
        evidence: &evidence,
    }))
}

/// A running process, for inspection.
#[derive(Debug, Serialize)]
pub struct ProcessInfo {
    /// Process ID.
    pub pid: u32,
    /// Listening addresses, by purpose.
    pub listening: BTreeMap<String, SocketAddr>,
}

/// Starts a scenario's processes, passes them to `on_ready` by name, stops them after `duration`.
/// Sends no requests.
pub async fn keep_running(
    ex: &runtime::Handle,
    options: Options,
    duration: Duration,
    on_ready: impl FnOnce(&BTreeMap<String, ProcessInfo>),
) -> anyhow::Result<()> {
    let Options { scenario, topology, bin_dir, work_dir, .. } = options;
    let pool = Arc::new(Pool::new(Arc::clone(ex), Arc::new(clock::System)));
    let setup = Setup { scenario: Arc::new(scenario), topology, bin_dir, work_dir };
    let fleet = Fleet::start(setup, pool).await?;
    let running = fleet.processes().map(|it| {
        let running = ProcessInfo { pid: it.id(), listening: it.listening().clone() };
        (it.name().to_owned(), running)
    });
    on_ready(&running.collect());
    Timer::after(duration).await;
    fleet.close().await?;
    Ok(())
}
