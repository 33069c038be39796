//! Resource usage of processes and of the machine, read from `/proc`.

use std::{fs, time::Duration};

use anyhow::Context as _;

/// Clock ticks per second in `/proc`; a fixed part of the kernel's user-space interface.
const TICKS_PER_SECOND: f64 = 100.0;
/// Indices in `/proc/<pid>/stat` after the process name: user time, system time.
const USER_TIME_INDEX: usize = 11;
const SYSTEM_TIME_INDEX: usize = 12;
const BYTES_PER_KB: f64 = 1024.0;

/// CPU time and memory used by a process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// CPU time of all threads since the process started.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: f64,
}

impl Usage {
    /// Reads the usage of the process `pid`.
    ///
    /// ```
    /// # use curranthook_capacity::usage::Usage;
    /// assert!(0.0 < Usage::of_process(std::process::id()).unwrap().resident_bytes);
    /// ```
    pub fn of_process(pid: u32) -> anyhow::Result<Self> {
        let stat = read(&format!("/proc/{pid}/stat"))?;
        // The process name is in parentheses and may itself contain spaces and parentheses.
        let (_, fields) = stat.rsplit_once(')').context("no process name in /proc/<pid>/stat")?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |index: usize| -> anyhow::Result<f64> {
            Ok(fields.get(index).context("too few fields in /proc/<pid>/stat")?.parse()?)
        };
        let ticks = ticks(USER_TIME_INDEX)? + ticks(SYSTEM_TIME_INDEX)?;
        let status = read(&format!("/proc/{pid}/status"))?;
        let vm_rss = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
        let resident_kb = vm_rss
            .and_then(|it| it.split_whitespace().next())
            .context("no VmRSS in /proc/<pid>/status")?;
        Ok(Self {
            cpu: Duration::from_secs_f64(ticks / TICKS_PER_SECOND),
            resident_bytes: resident_kb.parse::<f64>()? * BYTES_PER_KB,
        })
    }
}

/// The load average over the last minute, in tasks that were ready to run.
///
/// ```
/// assert!(0.0 <= curranthook_capacity::usage::load_average().unwrap());
/// ```
pub fn load_average() -> anyhow::Result<f64> {
    let text = read("/proc/loadavg")?;
    Ok(text.split_whitespace().next().context("/proc/loadavg is empty")?.parse()?)
}

fn read(path: &str) -> anyhow::Result<String> {
    fs::read_to_string(path).with_context(|| format!("reading {path}"))
}
