//! Output as text tables for interactive use or as JSON for scripts.

use std::io::{self, Write};

use clap::ValueEnum;
use serde::Serialize;
use tabled::{builder::Builder, settings::Style};

/// The output format.
#[derive(Debug, Clone, Copy, Default, ValueEnum)]
pub enum Format {
    /// A table, for interactive use.
    #[default]
    Table,
    /// One JSON value, for scripts.
    Json,
}

/// A result that can be printed as text or as JSON.
pub trait Render: Serialize {
    /// Formats the result as text for [`Format::Table`].
    fn render(&self) -> String;
}

/// Prints `result` to `out` in `format`.
///
/// ```
/// # use curranthook_cli::{edit::Applied, output::{self, Format}};
/// let applied = Applied { epoch: Default::default(), message: "m@1 withdrawn".to_owned() };
/// let mut out = Vec::new();
/// output::print(&applied, Format::Json, &mut out).unwrap();
/// assert_eq!(out, b"{\n  \"epoch\": 0,\n  \"message\": \"m@1 withdrawn\"\n}\n");
/// ```
pub fn print(result: &impl Render, format: Format, out: &mut dyn Write) -> io::Result<()> {
    let text = match format {
        Format::Table => result.render(),
        Format::Json => serde_json::to_string_pretty(result)?,
    };
    writeln!(out, "{}", text.trim_end())
}

/// Formats a borderless table with a header row, without trailing spaces.
pub(crate) fn table<const N: usize>(
    header: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) -> String {
    let mut builder = Builder::default();
    builder.push_record(header);
    for row in rows {
        builder.push_record(row);
    }
    let mut table = builder.build();
    table.with(Style::blank());
    let lines = table.to_string();
    lines.lines().map(str::trim_end).collect::<Vec<_>>().join("\n")
}

/// Formats the time elapsed from `at_millis` to `now_millis` in its largest whole unit.
pub(crate) fn format_age(at_millis: u64, now_millis: u64) -> String {
    const MINUTE_SECS: u64 = 60;
    const HOUR_SECS: u64 = 60 * MINUTE_SECS;
    const DAY_SECS: u64 = 24 * HOUR_SECS;
    let secs = now_millis.saturating_sub(at_millis) / 1_000;
    match secs {
        0..MINUTE_SECS => format!("{secs} s ago"),
        MINUTE_SECS..HOUR_SECS => format!("{} min ago", secs / MINUTE_SECS),
        HOUR_SECS..DAY_SECS => format!("{} h ago", secs / HOUR_SECS),
        _ => format!("{} days ago", secs / DAY_SECS),
    }
}

/// Joins names with commas, for one table cell.
pub(crate) fn comma_separated<T: ToString>(names: impl IntoIterator<Item = T>) -> String {
    names.into_iter().map(|it| it.to_string()).collect::<Vec<_>>().join(", ")
}
