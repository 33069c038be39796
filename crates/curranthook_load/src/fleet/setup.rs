//! Command lines and configuration files of the programs.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
};

use anyhow::Context as _;
use curranthook_settings::node;
use curranthook_types::version;

use super::process::Process;
use crate::scenario::Scenario;

/// Loopback address with a port chosen by the operating system.
pub(super) const LOOPBACK: &str = "127.0.0.1:0";
/// What handles requests between callers and endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Topology {
    /// Routers with this policy.
    Routers(String),
    /// Nothing: callers request this version directly from the engines, as a baseline.
    Direct(version::Id),
}

impl std::fmt::Display for Topology {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Routers(policy) => f.write_str(policy),
            Self::Direct(version) => write!(f, "direct to {version}"),
        }
    }
}

/// Parameters for starting a fleet.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Scenario to run.
    pub scenario: Arc<Scenario>,
    /// What handles requests between callers and endpoints.
    pub topology: Topology,
    /// Directory with the router, steward and stand-in executables.
    pub bin_dir: PathBuf,
    /// Directory for logs and settings files.
    pub work_dir: PathBuf,
}

impl Setup {
    pub(super) fn spawn(
        &self,
        program: &str,
        name: &str,
        args: &[String],
    ) -> anyhow::Result<Process> {
        Ok(Process::start(&self.bin_dir.join(program), args, name, &self.work_dir)?)
    }

    pub(super) fn start_engines(&self) -> anyhow::Result<Vec<Process>> {
        let mut all = Vec::new();
        for engines in &self.scenario.engines {
            let file = self.work_dir.join(format!("{}.profile.yaml", engines.name));
            write_profile(&file, &self.scenario, engines)?;
            let versions: Vec<&str> = engines.versions.iter().map(version::Id::as_str).collect();
            for id in engines.ids() {
                let mut args = listen_args();
                args.extend(["--id".to_owned(), id.clone()]);
                args.extend(["--versions".to_owned(), versions.join(",")]);
                args.extend(["--profile".to_owned(), file.display().to_string()]);
                all.push(self.spawn("standin-engine", &id, &args)?);
            }
        }
        Ok(all)
    }

    pub(super) fn start_services(&self) -> anyhow::Result<Vec<Process>> {
        let ids = self.scenario.services.iter().flat_map(crate::scenario::Service::ids);
        let start = |id: String| {
            let mut args = listen_args();
            args.extend(["--id".to_owned(), id.clone()]);
            self.spawn("standin-service", &id, &args)
        };
        ids.map(start).collect()
    }

    pub(super) fn start_rater(&self) -> anyhow::Result<Option<Process>> {
        let Some(rater) = self.scenario.rater else { return Ok(None) };
        let mut args = listen_args();
        args.extend(["--noise".to_owned(), rater.noise.to_string()]);
        self.spawn("standin-rater", "rater", &args).map(Some)
    }
}

fn write_profile(
    file: &Path,
    scenario: &Scenario,
    engines: &crate::scenario::Engines,
) -> anyhow::Result<()> {
    let version = |id: &version::Id| {
        let it = &scenario.versions[id];
        let profile = serde_json::json!({
            "quality": it.quality,
            "first_token_ms": it.first_token_ms,
            "token_ms": it.token_ms,
            "tokens": it.tokens,
            "error_rate": it.error_rate,
        });
        (id.as_str().to_owned(), profile)
    };
    let versions: serde_json::Map<_, _> = engines.versions.iter().map(version).collect();
    let profile = serde_json::json!({
        "slots": engines.slots,
        "batch_slowdown": engines.batch_slowdown,
        "versions": versions,
    });
    let text = serde_saphyr::to_string(&profile)?;
    std::fs::write(file, text).with_context(|| format!("can't write {}", file.display()))
}

/// Formats settings as an operator would write them: null values are left out, as settings
/// validation requires.
pub(super) fn settings_text(settings: &node::Settings) -> anyhow::Result<String> {
    let mut value = serde_json::to_value(settings)?;
    if let Some(map) = value.as_object_mut() {
        map.retain(|_, it| !it.is_null());
    }
    Ok(serde_saphyr::to_string(&value)?)
}

pub(super) fn listen_args() -> Vec<String> {
    vec!["--listen".to_owned(), LOOPBACK.to_owned()]
}
