//! The programs under test, built once for each test process.

use std::{
    env,
    path::{Path, PathBuf},
    process::{Command, Stdio},
    sync::OnceLock,
};

use anyhow::{Context, ensure};

/// The path of a program of the workspace.
pub(crate) fn path(program: &str) -> anyhow::Result<PathBuf> {
    static DIRECTORY: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    let directory = DIRECTORY.get_or_init(|| build().map_err(|e| format!("{e:#}")));
    let directory = directory.as_ref().map_err(|e| anyhow::anyhow!("{e}"))?;
    let path = directory.join(program);
    ensure!(path.exists(), "there is no program {program}");
    Ok(path)
}

/// Builds all programs and returns the directory that they are in.
fn build() -> anyhow::Result<PathBuf> {
    let mut cargo = Command::new(env!("CARGO"));
    cargo.args(["build", "--workspace", "--bins", "--quiet"]);
    if !cfg!(debug_assertions) {
        cargo.arg("--release");
    }
    cargo.current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("../.."));
    let status = cargo.stdin(Stdio::null()).status().context("cargo can't be run")?;
    ensure!(status.success(), "the programs can't be built");
    // A test is target/<profile>/deps/<test>, a doc test isn't; the profile's name tells.
    let own = env::current_exe()?;
    let profile = if cfg!(debug_assertions) { "debug" } else { "release" };
    let found = own.ancestors().find(|dir| dir.ends_with(profile));
    found.map(Path::to_owned).with_context(|| format!("{} isn't in {profile}", own.display()))
}
