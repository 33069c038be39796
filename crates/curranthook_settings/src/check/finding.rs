use std::fmt;

use crate::source::{self, Location};

/// The severity of a finding.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Prevents publishing.
    Error,
    /// Does not prevent publishing.
    Warning,
}

/// An error or a warning about a file.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The file and line of the value that the finding is about.
    pub location: Location,
    /// The path within the merged configuration, empty for the file as a whole.
    pub path: String,
    /// Describes the problem. Never contains a secret.
    pub message: String,
    /// Whether the finding prevents publishing.
    pub severity: Severity,
}

impl Finding {
    pub(crate) fn error(location: &Location, path: &str, message: impl Into<String>) -> Self {
        Self::new(Severity::Error, location, path, message.into())
    }

    pub(crate) fn warning(location: &Location, path: &str, message: impl Into<String>) -> Self {
        Self::new(Severity::Warning, location, path, message.into())
    }

    fn new(severity: Severity, location: &Location, path: &str, message: String) -> Self {
        Self { location: location.clone(), path: path.to_owned(), message, severity }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{}: {severity}: ", self.location)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

impl From<source::Error> for Finding {
    fn from(e: source::Error) -> Self {
        match e {
            source::Error::Io { file, cause } => {
                Self::error(&Location { file: file.into(), line: 1 }, "", cause)
            }
            source::Error::Syntax { location, cause } => Self::error(&location, "", cause),
        }
    }
}
