use std::fmt;

use curranthook_settings::{
    check::Finding,
    document::{self, Change},
};
use curranthook_types::Epoch;
use serde_json::json;

use crate::{exit::Code, store};

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The files have errors.
    #[error("{}", findings_to_text(.0))]
    Check(Vec<Finding>),
    /// Another operator published first.
    #[error("{0}")]
    Conflict(Box<Conflict>),
    /// The published document can't be read or replaced.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// A request to the object store failed.
    #[error(transparent)]
    Objects(#[from] curranthook_platform::Error),
    /// A segment of bill lines can't be read. A sum without the segment would be too low.
    #[error("segment {key} can't be read: {reason}")]
    Segment {
        /// The segment's key in the object store.
        key: String,
        /// Why the segment can't be read.
        reason: String,
    },
    /// The edit is not valid for the published document.
    #[error(transparent)]
    Edit(#[from] document::Error),
    /// No document has been published yet.
    #[error("nothing is published yet; run `curranthook publish` first")]
    NotPublished,
    /// A command needs the platform, but no address was configured.
    #[error("no platform address; give --platform or set CURRANTHOOK_PLATFORM")]
    NoPlatform,
    /// Number of queried routers that returned no usable status.
    #[error("{0} of the routers returned no usable status")]
    RoutersFailed(usize),
    /// Reading standard input or a log file, or printing, failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The key on standard input is empty.
    #[error("no key on standard input")]
    NoKey,
}

/// A publication by another operator that conflicts with this command.
#[derive(Debug)]
pub struct Conflict {
    /// The epoch that this command was based on, or that `--expect` named.
    pub expected: Epoch,
    /// The epoch of the latest published document.
    pub epoch: Epoch,
    /// The operator who published the latest document; "somebody" if it can't be read.
    pub by: String,
    /// The other operator's changes; empty if unknown.
    pub changes: Vec<Change>,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { expected, epoch, by, changes } = self;
        write!(f, "not published: {by} published epoch {epoch} after epoch {expected}")?;
        for change in changes {
            write!(f, "\n  {change}")?;
        }
        Ok(())
    }
}

impl Error {
    /// Returns the exit code for this kind of error.
    ///
    /// ```
    /// # use curranthook_cli::{Error, exit::Code};
    /// assert_eq!(Error::NotPublished.code(), Code::Other);
    /// assert_eq!(Error::Check(Vec::new()).code(), Code::Check);
    /// ```
    pub fn code(&self) -> Code {
        use curranthook_platform::Error as Platform;
        match self {
            Self::Check(_) => Code::Check,
            Self::Conflict(_) => Code::Conflict,
            Self::Store(store::Error::Indeterminate { .. }) => Code::Unknown,
            // `Lost` comes only from reads here: a write with a lost response that can't be resolved
            // is `Indeterminate`. A read changes nothing, so a lost response counts as an outage.
            Self::Store(store::Error::Platform(Platform::Down(_) | Platform::Lost(_)))
            | Self::Objects(Platform::Down(_) | Platform::Lost(_)) => Code::Down,
            _ => Code::Other,
        }
    }

    /// Formats the error as JSON for scripts.
    ///
    /// ```
    /// # use curranthook_cli::Error;
    /// assert_eq!(Error::NoKey.to_json()["code"], "other");
    /// ```
    pub fn to_json(&self) -> serde_json::Value {
        let mut json = json!({ "code": self.code(), "message": self.to_string() });
        match self {
            Self::Check(findings) => json["findings"] = findings_to_json(findings),
            Self::Conflict(conflict) => {
                json["epoch"] = json!(conflict.epoch);
                json["by"] = json!(conflict.by);
                json["changes"] = json!(conflict.changes);
            }
            _ => {}
        }
        json
    }
}

/// Formats findings as JSON for scripts.
pub(crate) fn findings_to_json(findings: &[Finding]) -> serde_json::Value {
    let to_json = |it: &Finding| {
        json!({
            "file": &*it.location.file,
            "line": it.location.line,
            "path": it.path,
            "severity": format!("{:?}", it.severity).to_lowercase(),
            "message": it.message,
        })
    };
    findings.iter().map(to_json).collect()
}

fn findings_to_text(findings: &[Finding]) -> String {
    findings.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}
