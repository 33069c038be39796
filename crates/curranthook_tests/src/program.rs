//! Programs that run to their end, such as the operators' command line.

use std::process::{Child, Command, Stdio};

use anyhow::{Context, ensure};

use crate::binaries;

/// Runs `program` and returns what it prints; an error if it fails.
pub async fn run(program: &str, args: &[&str]) -> anyhow::Result<String> {
    let mut command = Command::new(binaries::path(program)?);
    command.args(args).stdin(Stdio::null());
    // The program waits for stand-ins only, never for this process, so waiting here is safe.
    let output = command.output().with_context(|| format!("{program} can't be started"))?;
    let stderr = String::from_utf8_lossy(&output.stderr);
    ensure!(output.status.success(), "{program} {args:?}: {} {stderr}", output.status);
    Ok(String::from_utf8(output.stdout)?)
}

/// Starts `program`, to be waited for with [`Child::wait_with_output`].
pub fn spawn(program: &str, args: &[&str]) -> anyhow::Result<Child> {
    let mut command = Command::new(binaries::path(program)?);
    command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command.spawn().with_context(|| format!("{program} can't be started"))
}
