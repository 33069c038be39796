use std::fmt;

use curranthook_settings::{
    check::Finding,
    document::{self, Change},
};
use curranthook_types::Epoch;
use serde_json::json;

use crate::{exit::Code, store};

/// Why a command wasn't carried out.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The files have errors.
    #[error("{}", lines(.0))]
    Check(Vec<Finding>),
    /// Another operator was quicker.
    #[error("{0}")]
    Conflict(Box<Conflict>),
    /// The published document can't be read or replaced.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// The object store gives no answer.
    #[error(transparent)]
    Objects(#[from] curranthook_platform::Error),
    /// A segment of bill lines can't be read. A sum without it would be too low.
    #[error("segment {key} can't be read: {why}")]
    Segment {
        /// Its key in the object store.
        key: String,
        /// What is wrong with it.
        why: String,
    },
    /// The edit makes no sense for what is published.
    #[error(transparent)]
    Edit(#[from] document::Error),
    /// Nothing was published yet.
    #[error("nothing is published yet; `curranthook publish` does that")]
    NotPublished,
    /// A command needs the platform and wasn't told where it is.
    #[error("where is the platform? Give --platform or set CURRANTHOOK_PLATFORM")]
    NoPlatform,
    /// Some routers gave no answer.
    #[error("{0} of the routers gave no answer")]
    NoAnswer(usize),
    /// Reading the key or printing failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The key on standard input is empty.
    #[error("no key on standard input")]
    NoKey,
}

/// What another operator published in the meantime.
#[derive(Debug)]
pub struct Conflict {
    /// The epoch that this command started from.
    pub expected: Epoch,
    /// The epoch in force now.
    pub epoch: Epoch,
    /// Who published it.
    pub by: String,
    /// What it changed, if that is known.
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
    /// The exit code that tells a script what went wrong.
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
            // A read whose answer was lost did nothing, so there is nothing to be settled.
            Self::Store(store::Error::Platform(Platform::Down(_) | Platform::Lost(_)))
            | Self::Objects(Platform::Down(_) | Platform::Lost(_)) => Code::Down,
            _ => Code::Other,
        }
    }

    /// The error for scripts.
    ///
    /// ```
    /// # use curranthook_cli::Error;
    /// assert_eq!(Error::NoKey.to_json()["code"], "other");
    /// ```
    pub fn to_json(&self) -> serde_json::Value {
        let mut json = json!({ "code": self.code(), "message": self.to_string() });
        match self {
            Self::Check(findings) => json["findings"] = findings_to_json(findings),
            Self::Conflict(it) => {
                json["epoch"] = json!(it.epoch);
                json["by"] = json!(it.by);
                json["changes"] = json!(it.changes);
            }
            _ => {}
        }
        json
    }
}

/// Findings for scripts.
pub(crate) fn findings_to_json(findings: &[Finding]) -> serde_json::Value {
    let one = |it: &Finding| {
        json!({
            "file": &*it.location.file,
            "line": it.location.line,
            "path": it.path,
            "severity": format!("{:?}", it.severity).to_lowercase(),
            "message": it.message,
        })
    };
    findings.iter().map(one).collect()
}

fn lines(findings: &[Finding]) -> String {
    findings.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}
