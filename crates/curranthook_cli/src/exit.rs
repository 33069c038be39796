//! Exit codes.

use serde::Serialize;

/// The list of exit codes in `--help`.
pub const HELP: &str = "Exit codes:
  0  done
  1  wrong usage, or any other error
  2  the files have errors; nothing was published
  3  another operator published first; nothing was published
  4  the platform is down; nothing was published
  5  unknown: the platform's response was lost, and whether the command took effect couldn't be
     determined; run the command again";

/// The exit code of the process.
#[derive(Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
#[repr(u8)]
pub enum Code {
    /// Success.
    Ok = 0,
    /// Wrong usage, or any other error.
    Other = 1,
    /// The files have errors.
    Check = 2,
    /// Another operator published first.
    Conflict = 3,
    /// The platform is unavailable.
    Down = 4,
    /// A response was lost, and whether the write took effect could not be determined.
    Unknown = 5,
}

impl From<Code> for std::process::ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}
