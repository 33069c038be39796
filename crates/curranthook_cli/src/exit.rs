//! Exit codes.

use serde::Serialize;

/// Exit codes as `--help` lists them.
pub const HELP: &str = "Exit codes:
  0  done
  1  wrong usage, or any other error
  2  the files have errors; nothing was published
  3  another operator was quicker; nothing was published
  4  the platform is down; nothing was published
  5  unknown: the platform's answer was lost and couldn't be settled; run the command again";

/// How the program ends.
#[derive(Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
#[repr(u8)]
pub enum Code {
    /// Done.
    Ok = 0,
    /// Wrong usage, or any other error.
    Other = 1,
    /// The files have errors.
    Check = 2,
    /// Another operator was quicker.
    Conflict = 3,
    /// The platform is down.
    Down = 4,
    /// An answer was lost and couldn't be settled.
    Unknown = 5,
}

impl From<Code> for std::process::ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}
