//! Formatting of numbers and tables in the published report.

use curranthook_capacity::report::{Table, format_number};
use yare::parameterized;

#[parameterized(
    zero = { 0.0, "0" },
    small = { 0.0123456, "0.01235" },
    whole = { 96.0, "96" },
    hundreds = { 250.0, "250" },
    thousands = { 1_800.4, "1,800" },
    millions = { 17_000_000.0, "17,000,000" },
    negative = { -1_234.0, "-1,234" },
    unknown = { f64::NAN, "-" },
)]
fn number_is_formatted(value: f64, text: &str) {
    assert_eq!(format_number(value), text);
}

#[test]
fn table_has_one_line_per_row() {
    let mut table = Table::new("Sizes", &["nodes", "bytes"]);
    table.add_row([8.0, 10.0]);
    table.add_named_row("slope", [0.5]);
    table.add_note("made up");
    let text = table.to_markdown();
    let lines: Vec<&str> = text.lines().filter(|it| it.starts_with('|')).collect();
    assert_eq!(lines, ["| nodes | bytes |", "| --- | --- |", "| 8 | 10 |", "| slope | 0.5 |"]);
    assert!(text.contains("- made up"), "{text}");
}
