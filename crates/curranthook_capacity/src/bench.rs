//! Test bench shared by all measurements: processes, HTTP calls and statistics.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::bail;
use async_io::Timer;
use curranthook_http::{Exchange, client::Pool, runtime};
use curranthook_load::fleet::process::Process;
use serde::{Serialize, de::DeserializeOwned};

use crate::{report::Table, usage};

/// Timeout of an HTTP call to a control interface.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Duration and size of the measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extent {
    /// The extent behind the published figures.
    Full,
    /// A smoke test; the figures are rough.
    Quick,
}

/// The environment in which measurements run.
#[derive(Debug)]
pub struct Bench {
    /// Runtime that executes the tasks.
    pub executor: runtime::Handle,
    /// Connection pool for HTTP calls to the processes.
    pub pool: Arc<Pool>,
    /// Directory of the executables.
    pub bin_dir: PathBuf,
    /// Directory for logs and settings files.
    pub work_dir: PathBuf,
    /// Duration and size of the measurements.
    pub extent: Extent,
}

impl Bench {
    /// Returns `full` in a full run and `quick` in a quick one.
    pub fn for_extent<T>(&self, full: T, quick: T) -> T {
        match self.extent {
            Extent::Full => full,
            Extent::Quick => quick,
        }
    }

    /// Length of the observation window in a steady state.
    pub fn window(&self) -> Duration {
        Duration::from_secs(self.for_extent(20, 3))
    }

    /// Time allowed for a fleet to reach a steady state.
    pub fn settle_time(&self) -> Duration {
        Duration::from_secs(self.for_extent(12, 3))
    }

    /// Starts `program` as a process called `name`.
    pub fn spawn(&self, program: &str, name: &str, args: &[String]) -> anyhow::Result<Process> {
        Ok(Process::start(&self.bin_dir.join(program), args, name, &self.work_dir)?)
    }

    /// Sends a `GET` request and parses the JSON response.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> anyhow::Result<T> {
        let res = Exchange::get(addr, path).with_timeout(CALL_TIMEOUT).run(&self.pool).await?;
        if !res.status().is_success() {
            bail!("GET {path}: {}", res.status());
        }
        Ok(serde_json::from_slice(res.body())?)
    }

    /// Sends a `PUT` request with `value` as JSON.
    pub async fn put_json(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &(impl Serialize + Sync),
    ) -> anyhow::Result<()> {
        let call = Exchange::put(addr, path).with_json(value).with_timeout(CALL_TIMEOUT);
        let res = call.run(&self.pool).await?;
        if !res.status().is_success() {
            bail!("PUT {path}: {}", res.status());
        }
        Ok(())
    }

    /// Waits until `path` returns a success status, and returns the time that this took.
    pub async fn wait_for_success(&self, addr: SocketAddr, path: &str) -> anyhow::Result<Duration> {
        const READY_TIMEOUT: Duration = Duration::from_secs(30);
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        let start = Instant::now();
        while start.elapsed() < READY_TIMEOUT {
            let res = Exchange::get(addr, path).run(&self.pool).await;
            if res.is_ok_and(|it| it.status().is_success()) {
                return Ok(start.elapsed());
            }
            Timer::after(POLL_INTERVAL).await;
        }
        bail!("{addr} doesn't answer {path}")
    }

    /// Adds a note to `table` with the load average of the machine.
    pub fn note_load_average(&self, table: &mut Table) -> anyhow::Result<()> {
        let load = usage::load_average()?;
        table.add_note(format!("load of the machine over the last minute: {load:.1}"));
        Ok(())
    }
}

/// The arithmetic mean of `values`, or zero if there are none.
pub fn mean(values: impl IntoIterator<Item = f64>) -> f64 {
    let (n, sum) = values.into_iter().fold((0.0, 0.0), |(n, sum), it| (n + 1.0, sum + it));
    if n == 0.0 { 0.0 } else { sum / n }
}

/// The smallest of `values` that at least the fraction `quantile` of them does not exceed.
pub fn quantile(mut values: Vec<f64>, quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (quantile * values.len() as f64).ceil() as usize;
    values.get(rank.saturating_sub(1)).copied().unwrap_or(f64::NAN)
}
