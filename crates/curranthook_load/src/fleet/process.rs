//! One started program.

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

/// How long a program may take until it says where it listens.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a program may take to finish after it was told to.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// How often a program that was told to finish is looked at.
const STOP_POLL: Duration = Duration::from_millis(10);

/// Why a program couldn't be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The system didn't start it.
    #[error("can't start {program}: {why}")]
    Spawn {
        /// The program.
        program: String,
        /// What the system said.
        why: std::io::Error,
    },
    /// It didn't say where it listens; its log tells more.
    #[error("{name} didn't get ready; its log is {log}")]
    NotReady {
        /// The process.
        name: String,
        /// Its log file.
        log: String,
    },
}

/// A running program and the addresses that it printed.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    listening: BTreeMap<String, SocketAddr>,
}

/// The line that each program prints when it's ready.
#[derive(Debug, Deserialize)]
struct Ready {
    listening: BTreeMap<String, SocketAddr>,
}

impl Process {
    /// Starts `program` and waits for its line of addresses.
    pub fn start(
        program: &Path,
        args: &[String],
        name: &str,
        log_dir: &Path,
    ) -> Result<Self, Error> {
        let spawn_error = |why| Error::Spawn { program: program.display().to_string(), why };
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
        let ready = read_ready(stdout).ok_or_else(|| Error::NotReady {
            name: name.to_owned(),
            log: log.display().to_string(),
        })?;
        process.listening = ready.listening;
        Ok(process)
    }

    /// The name it was given.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it listens for `purpose`.
    ///
    /// # Panics
    ///
    /// If it printed no such address.
    pub fn addr(&self, purpose: &str) -> SocketAddr {
        let addr = self.listening.get(purpose);
        *addr.unwrap_or_else(|| panic!("{} has no address for {purpose}", self.name))
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// All addresses that it printed, by purpose.
    pub fn listening(&self) -> &BTreeMap<String, SocketAddr> {
        &self.listening
    }

    /// Whether it ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Asks it to finish; [`Process::close`] waits for that.
    pub fn request_stop(&self) {
        let pid = i32::try_from(self.child.id()).ok().and_then(rustix::process::Pid::from_raw);
        if let Some(pid) = pid {
            // It may have ended before.
            let _gone = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
        }
    }

    /// Ends it without a word, as a crash would.
    pub fn kill(&mut self) {
        let _gone = self.child.kill();
        let _status = self.child.wait();
    }

    /// Asks it to finish, waits for a while, and ends it if it doesn't.
    pub fn close(mut self) {
        if self.has_ended() {
            return;
        }
        self.request_stop();
        let limit = Instant::now() + STOP_TIMEOUT;
        while !self.has_ended() && Instant::now() < limit {
            thread::sleep(STOP_POLL);
        }
    }
}

impl Drop for Process {
    // An early return on an error would otherwise leave the program running after the tool ends.
    fn drop(&mut self) {
        if !self.has_ended() {
            self.kill();
        }
    }
}

fn read_ready(stdout: ChildStdout) -> Option<Ready> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let mut lines = BufReader::new(stdout).lines().map_while(Result::ok);
        let ready = lines.find_map(|it| serde_json::from_str(&it).ok());
        let _waiting = tx.send(ready);
        // A full pipe would stop the program, so the rest is read and dropped.
        lines.for_each(drop);
    });
    rx.recv_timeout(READY_TIMEOUT).ok().flatten()
}
