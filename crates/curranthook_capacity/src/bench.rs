//! What all measurements share.

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

/// How long a control call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long and how much is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extent {
    /// As the page's figures were made.
    Full,
    /// To see that it works; the figures are rough.
    Quick,
}

/// Where and how measurements run.
#[derive(Debug)]
pub struct Bench {
    /// Where tasks run.
    pub ex: runtime::Handle,
    /// Connections to the processes.
    pub pool: Arc<Pool>,
    /// Where the programs are.
    pub bin_dir: PathBuf,
    /// Where logs and settings go.
    pub work_dir: PathBuf,
    /// How long and how much.
    pub extent: Extent,
}

impl Bench {
    /// The first of the two for a full run, the second for a quick one.
    pub fn pick<T>(&self, full: T, quick: T) -> T {
        match self.extent {
            Extent::Full => full,
            Extent::Quick => quick,
        }
    }

    /// How long something is watched in a steady state.
    pub fn window(&self) -> Duration {
        Duration::from_secs(self.pick(20, 3))
    }

    /// How long a fleet gets to settle.
    pub fn settling(&self) -> Duration {
        Duration::from_secs(self.pick(12, 3))
    }

    /// Starts a program.
    pub fn spawn(&self, program: &str, name: &str, args: &[String]) -> anyhow::Result<Process> {
        Ok(Process::start(&self.bin_dir.join(program), args, name, &self.work_dir)?)
    }

    /// `GET` with an answer in JSON.
    pub async fn get<T: DeserializeOwned>(
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

    /// `PUT` of JSON.
    pub async fn put(
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

    /// Waits until `path` answers 200, and says how long that took.
    pub async fn wait_ok(&self, addr: SocketAddr, path: &str) -> anyhow::Result<Duration> {
        const LIMIT: Duration = Duration::from_secs(30);
        const PAUSE: Duration = Duration::from_millis(10);
        let start = Instant::now();
        while start.elapsed() < LIMIT {
            let res = Exchange::get(addr, path).run(&self.pool).await;
            if res.is_ok_and(|it| it.status().is_success()) {
                return Ok(start.elapsed());
            }
            Timer::after(PAUSE).await;
        }
        bail!("{addr} doesn't answer {path}")
    }

    /// Notes under a table how busy the machine was when it was made.
    pub fn note_load(&self, table: &mut Table) -> anyhow::Result<()> {
        let load = usage::load()?;
        table.note(format!("load of the machine over the last minute: {load:.1}"));
        Ok(())
    }
}

/// The mean of `values`.
pub fn mean(values: impl IntoIterator<Item = f64>) -> f64 {
    let (n, sum) = values.into_iter().fold((0.0, 0.0), |(n, sum), it| (n + 1.0, sum + it));
    if n == 0.0 { 0.0 } else { sum / n }
}

/// The value that the share `quantile` of `values` doesn't pass.
pub fn quantile(mut values: Vec<f64>, quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = (quantile * values.len() as f64).ceil() as usize;
    values.get(at.saturating_sub(1)).copied().unwrap_or(f64::NAN)
}
