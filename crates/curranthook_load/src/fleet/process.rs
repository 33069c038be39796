//! A child process.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child, ChildStdout, Command, Stdio},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use serde::Deserialize;

/// Maximum time for a program to print its listening addresses.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for a program to exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between checks whether a stopping program has exited.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Reasons why a program couldn't be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The operating system failed to start it.
    #[error("can't start {program}: {error}")]
    Spawn {
        /// Path of the program.
        program: String,
        /// Error from the operating system.
        error: std::io::Error,
    },
    /// The program didn't print its listening addresses; see its log.
    #[error("{name} didn't print its listening addresses; see its log, {log}")]
    NotReady {
        /// Name of the process.
        name: String,
        /// Path of its log file.
        log: String,
    },
}

/// A child process and the listening addresses that it printed.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    listening: BTreeMap<String, SocketAddr>,
}

/// The line that each program prints when it is ready.
#[derive(Debug, Deserialize)]
struct ReadyLine {
    listening: BTreeMap<String, SocketAddr>,
}

impl Process {
    /// Starts `program` and waits until it prints its addresses.
    pub fn start(
        program: &Path,
        args: &[String],
        name: &str,
        log_dir: &Path,
    ) -> Result<Self, Error> {
        let spawn_error = |error| Error::Spawn { program: program.display().to_string(), error };
        let log = log_dir.join(format!("{name}.log"));
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::create(&log).map_err(spawn_error)?)
            .spawn()
            .map_err(spawn_error)?;
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut process = Self { name: name.to_owned(), child, listening: BTreeMap::new() };
        let ready = wait_for_ready_line(stdout).ok_or_else(|| Error::NotReady {
            name: name.to_owned(),
            log: log.display().to_string(),
        })?;
        process.listening = ready.listening;
        Ok(process)
    }

    /// The name passed to [`Process::start`].
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The listening address for `purpose`.
    ///
    /// # Panics
    ///
    /// If the program printed no such address.
    pub fn addr(&self, purpose: &str) -> SocketAddr {
        let addr = self.listening.get(purpose);
        *addr.unwrap_or_else(|| panic!("{} has no address for {purpose}", self.name))
    }

    /// The process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// All listening addresses, by purpose.
    pub fn listening(&self) -> &BTreeMap<String, SocketAddr> {
        &self.listening
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends SIGTERM; [`Process::close`] waits for the exit.
    pub fn request_stop(&self) {
        let pid = i32::try_from(self.child.id()).ok().and_then(rustix::process::Pid::from_raw);
        if let Some(pid) = pid {
            // The process may have exited already.
            let _signal_result = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
        }
    }

    /// Sends SIGKILL, to simulate a crash.
    pub fn kill(&mut self) {
        let _kill_result = self.child.kill();
        let _status = self.child.wait();
    }

    /// Sends SIGTERM, waits for the exit, and kills the process on time-out.
    pub fn close(mut self) {
        if self.has_exited() {
            return;
        }
        self.request_stop();
        let deadline = Instant::now() + STOP_TIMEOUT;
        while !self.has_exited() && Instant::now() < deadline {
            thread::sleep(STOP_POLL_INTERVAL);
        }
    }
}

impl Drop for Process {
    // Otherwise an early return on an error would leave the program running after the tool exits.
    fn drop(&mut self) {
        if !self.has_exited() {
            self.kill();
        }
    }
}

fn wait_for_ready_line(stdout: ChildStdout) -> Option<ReadyLine> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let mut lines = BufReader::new(stdout).lines().map_while(Result::ok);
        let ready = lines.find_map(|it| serde_json::from_str(&it).ok());
        let _send_result = tx.send(ready);
        // A full pipe would block the program, so the remaining output is read and discarded.
        lines.for_each(drop);
    });
    rx.recv_timeout(READY_TIMEOUT).ok().flatten()
}
