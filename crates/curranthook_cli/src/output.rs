//! Tables for people, JSON for scripts.

use std::io::{self, Write};

use clap::ValueEnum;
use serde::Serialize;
use tabled::{builder::Builder, settings::Style};

/// How results are printed.
#[derive(Debug, Clone, Copy, Default, ValueEnum)]
pub enum Format {
    /// For people.
    #[default]
    Table,
    /// For scripts: one JSON value.
    Json,
}

/// A result that can be printed either way.
pub trait Show: Serialize {
    /// The text for people.
    fn show(&self) -> String;
}

/// Prints `result`.
///
/// ```
/// # use curranthook_cli::{edit::Applied, output::{self, Format}};
/// let applied = Applied { epoch: Default::default(), message: "m@1 withdrawn".to_owned() };
/// let mut out = Vec::new();
/// output::print(&applied, Format::Json, &mut out).unwrap();
/// assert_eq!(out, b"{\n  \"epoch\": 0,\n  \"message\": \"m@1 withdrawn\"\n}\n");
/// ```
pub fn print(result: &impl Show, format: Format, out: &mut dyn Write) -> io::Result<()> {
    let text = match format {
        Format::Table => result.show(),
        Format::Json => serde_json::to_string_pretty(result)?,
    };
    writeln!(out, "{}", text.trim_end())
}

/// A table with a heading.
pub(crate) fn table<const N: usize>(
    heading: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) -> String {
    let mut builder = Builder::default();
    builder.push_record(heading);
    for row in rows {
        builder.push_record(row);
    }
    let mut table = builder.build();
    table.with(Style::blank());
    let lines = table.to_string();
    lines.lines().map(str::trim_end).collect::<Vec<_>>().join("\n")
}

/// How long ago `millis` was, for people.
pub(crate) fn ago(millis: u64, now: u64) -> String {
    const MINUTE: u64 = 60;
    const HOUR: u64 = 60 * MINUTE;
    const DAY: u64 = 24 * HOUR;
    let secs = now.saturating_sub(millis) / 1_000;
    match secs {
        0..MINUTE => format!("{secs} s ago"),
        MINUTE..HOUR => format!("{} min ago", secs / MINUTE),
        HOUR..DAY => format!("{} h ago", secs / HOUR),
        _ => format!("{} days ago", secs / DAY),
    }
}

/// Names in one cell.
pub(crate) fn join<T: ToString>(names: impl IntoIterator<Item = T>) -> String {
    names.into_iter().map(|it| it.to_string()).collect::<Vec<_>>().join(", ")
}
