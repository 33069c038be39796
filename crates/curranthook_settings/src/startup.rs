//! The first steps of a program: its log and its settings.

use std::path::Path;

use anyhow::anyhow;
use clap::ValueEnum;
use flexi_logger::{Logger, LoggerHandle};

use crate::{check::Finding, node};

/// How log lines are written.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum LogFormat {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Starts the log, which ends when what is returned is dropped.
pub fn init_logging(format: LogFormat) -> anyhow::Result<LoggerHandle> {
    let logger = Logger::try_with_env_or_str("info")?;
    let logger = match format {
        LogFormat::Text => logger.format(flexi_logger::detailed_format),
        LogFormat::Json => logger.format(flexi_logger::json_format),
    };
    Ok(logger.start()?)
}

/// Reads a node's settings; the error lists everything that is wrong with them.
///
/// ```
/// let missing = curranthook_settings::startup::load_settings("no/such/node.yaml".as_ref());
/// assert!(missing.unwrap_err().to_string().starts_with("the node settings have errors"));
/// ```
pub fn load_settings(path: &Path) -> anyhow::Result<node::Settings> {
    node::read(path).map_err(join_findings)
}

fn join_findings(findings: Vec<Finding>) -> anyhow::Error {
    let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
    anyhow!("the node settings have errors:\n{}", lines.join("\n"))
}
