//! Tables of results, written as Markdown and JSON.

use std::fmt::Write as _;

use serde::Serialize;

/// A table of the results of one measurement.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Table {
    /// Title of the table.
    pub title: String,
    /// Column headings, with units.
    pub columns: Vec<String>,
    /// Formatted cells, one vector per row.
    pub rows: Vec<Vec<String>>,
    /// Notes that are needed to interpret the table: fits, the load of the machine.
    pub notes: Vec<String>,
}

impl Table {
    /// Creates a table without rows.
    ///
    /// ```
    /// # use curranthook_capacity::report::Table;
    /// let mut table = Table::new("Sizes", &["nodes", "bytes"]);
    /// table.add_row([8.0, 1234.5]);
    /// assert!(table.to_markdown().contains("| 8 | 1,234 |"));
    /// ```
    pub fn new(title: &str, columns: &[&str]) -> Self {
        Self {
            title: title.to_owned(),
            columns: columns.iter().map(|&it| it.to_owned()).collect(),
            ..Self::default()
        }
    }

    /// Adds a row of numbers.
    pub fn add_row(&mut self, cells: impl IntoIterator<Item = f64>) {
        self.rows.push(cells.into_iter().map(format_number).collect());
    }

    /// Adds a row with `name` in its first cell.
    pub fn add_named_row(&mut self, name: &str, cells: impl IntoIterator<Item = f64>) {
        let cells = cells.into_iter().map(format_number);
        self.rows.push(std::iter::once(name.to_owned()).chain(cells).collect());
    }

    /// Adds a note.
    pub fn add_note(&mut self, text: impl Into<String>) {
        self.notes.push(text.into());
    }

    /// Formats the table as Markdown.
    pub fn to_markdown(&self) -> String {
        let mut text = format!("### {}\n\n", self.title);
        let line = |cells: &[String]| format!("| {} |", cells.join(" | "));
        let rule = vec!["---".to_owned(); self.columns.len()];
        for row in [&self.columns, &rule].into_iter().chain(&self.rows) {
            let _written = writeln!(text, "{}", line(row));
        }
        text.push('\n');
        for note in &self.notes {
            let _written = writeln!(text, "- {note}");
        }
        text
    }
}

/// Formats a number with about four significant digits.
///
/// ```
/// # use curranthook_capacity::report::format_number;
/// assert_eq!(format_number(0.012345), "0.01235");
/// assert_eq!(format_number(1234567.8), "1,234,567");
/// ```
pub fn format_number(value: f64) -> String {
    const SIGNIFICANT_DIGITS: i32 = 4;
    const DIGITS_PER_GROUP: usize = 3;
    const MIN_WITHOUT_DECIMALS: f64 = 1000.0;
    if !value.is_finite() {
        return "-".to_owned();
    }
    if value.abs() < MIN_WITHOUT_DECIMALS {
        let magnitude = if value == 0.0 { 0 } else { value.abs().log10().floor() as i32 };
        let decimals = usize::try_from(SIGNIFICANT_DIGITS - 1 - magnitude).unwrap_or(0);
        let text = format!("{value:.decimals$}");
        let trimmed = text.trim_end_matches('0').trim_end_matches('.');
        return if text.contains('.') { trimmed.to_owned() } else { text };
    }
    let digits = format!("{:.0}", value.abs().trunc());
    let mut grouped = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index != 0 && (digits.len() - index).is_multiple_of(DIGITS_PER_GROUP) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    if value < 0.0 { format!("-{grouped}") } else { grouped }
}
