//! Initialisation of a program: logging and settings.

use std::path::Path;

use anyhow::anyhow;
use clap::ValueEnum;
use flexi_logger::{Logger, LoggerHandle};

use crate::{check::Finding, node};

/// The format of log lines.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Initialises logging, which stops when the returned handle is dropped.
pub fn init_logging(format: LogFormat) -> anyhow::Result<LoggerHandle> {
    let logger = Logger::try_with_env_or_str("info")?;
    let logger = match format {
        LogFormat::Text => logger.format(flexi_logger::detailed_format),
        LogFormat::Json => logger.format(flexi_logger::json_format),
    };
    Ok(logger.start()?)
}

/// Reads a node's settings. The error lists all findings.
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
