//! A process under test.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use async_io::Timer;
use rustix::process::{Pid, Signal};
use serde::Deserialize;

use crate::binaries;

/// How long a process may take to say that it is ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// A process, killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    listening: BTreeMap<String, SocketAddr>,
    stderr: PathBuf,
}

/// The line that a program prints when it is ready.
#[derive(Debug, Deserialize)]
struct Ready {
    listening: BTreeMap<String, SocketAddr>,
}

impl Process {
    /// Starts `program` and waits until it is ready. Its standard error goes to
    /// `<directory>/<name>.log`, which is printed if the test panics.
    pub fn start(
        directory: &Path,
        name: &str,
        program: &str,
        args: &[&str],
    ) -> anyhow::Result<Self> {
        let stderr = directory.join(format!("{name}.log"));
        // A process that is started again goes on in the log of its forerunner.
        let log = File::options().create(true).append(true).open(&stderr)?;
        let mut child = Command::new(binaries::path(program)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| format!("{program} can't be started"))?;
        let stdout = child.stdout.take().context("standard output is a pipe")?;
        let mut process = Self { name: name.to_owned(), child, listening: BTreeMap::new(), stderr };
        process.listening = ready(stdout)
            .with_context(|| format!("{name} isn't ready; it said:\n{}", process.log()))?;
        Ok(process)
    }

    /// The name that the test gave it.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The address that it listens on under `what`.
    ///
    /// # Panics
    ///
    /// If it named no such address.
    pub fn addr(&self, what: &str) -> SocketAddr {
        let addr = self.listening.get(what);
        *addr.unwrap_or_else(|| panic!("{} doesn't listen for {what}", self.name))
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// What it wrote to standard error.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.stderr).unwrap_or_default()
    }

    /// Sends it a signal; one that has ended gets none.
    pub fn signal(&mut self, signal: Signal) -> anyhow::Result<()> {
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        let pid = Pid::from_child(&self.child);
        Ok(rustix::process::kill_process(pid, signal)?)
    }

    /// Asks it to end.
    pub fn terminate(&mut self) -> anyhow::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Freezes it.
    pub fn freeze(&mut self) -> anyhow::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on after it was frozen.
    pub fn thaw(&mut self) -> anyhow::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Kills it and waits until it is gone.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until it has ended.
    pub async fn ended(&mut self, limit: Duration) -> anyhow::Result<ExitStatus> {
        const PAUSE: Duration = Duration::from_millis(5);
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if limit < start.elapsed() {
                bail!("{} still runs after {limit:?}", self.name);
            }
            Timer::after(PAUSE).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself, and then there is nothing to kill.
        let _ended = self.kill();
        if thread::panicking() {
            eprintln!("---- {} ----\n{}", self.name, self.log());
        }
    }
}

/// Reads the line that says where the process listens; what it prints later is thrown away, so
/// that it never waits for a reader.
fn ready(stdout: ChildStdout) -> anyhow::Result<BTreeMap<String, SocketAddr>> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            let _only_first_is_read = tx.send(line);
        }
    });
    let line = rx.recv_timeout(READY_LIMIT).context("no line on standard output")?;
    let ready: Ready = serde_json::from_str(&line).with_context(|| line.clone())?;
    Ok(ready.listening)
}
