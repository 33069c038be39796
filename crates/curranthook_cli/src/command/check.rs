//! The `curranthook check` subcommand.

use std::collections::BTreeMap;

use curranthook_settings::{
    Config,
    check::{self, Finding, Report},
};
use curranthook_types::site;
use serde::Serialize;

use crate::{
    Error,
    args::Files,
    error::findings_to_json,
    output::{Render, comma_separated},
};

/// The result of checking files that have no errors.
#[derive(Debug, Serialize)]
pub struct Checked {
    /// The merged configuration of each site.
    #[serde(serialize_with = "serialize_masked")]
    pub sites: BTreeMap<site::Id, Config>,
    /// Warnings about the files.
    #[serde(serialize_with = "serialize_findings")]
    pub warnings: Vec<Finding>,
}

/// Reads, merges and checks files.
///
/// ```
/// # use curranthook_cli::{Error, args::Files, command::check};
/// let files = Files { base: "no/such/base.yaml".into(), overlays: Vec::new() };
/// assert!(matches!(check::run(&files), Err(Error::Check(_))));
/// ```
pub fn run(files: &Files) -> Result<Checked, Error> {
    let Report { sites, findings } =
        require_no_errors(check::files(&files.base, &files.overlays()))?;
    Ok(Checked { sites, warnings: findings })
}

fn require_no_errors(report: Report) -> Result<Report, Error> {
    if report.is_ok() { Ok(report) } else { Err(Error::Check(report.findings)) }
}

impl Render for Checked {
    fn render(&self) -> String {
        let mut text = String::new();
        for warning in &self.warnings {
            // Printed as comments, so that the output stays valid YAML.
            text += &format!("# {warning}\n");
        }
        for config in self.sites.values() {
            text += &format!("---\n{}", config.to_masked_yaml());
        }
        text + &format!("# no errors; sites: {}", comma_separated(self.sites.keys()))
    }
}

/// Serializes the configurations with their secrets masked.
fn serialize_masked<S: serde::Serializer>(
    sites: &BTreeMap<site::Id, Config>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_map(sites.iter().map(|(site, config)| (site, config.to_masked_json())))
}

pub(super) fn serialize_findings<S: serde::Serializer>(
    findings: &[Finding],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    findings_to_json(findings).serialize(serializer)
}
