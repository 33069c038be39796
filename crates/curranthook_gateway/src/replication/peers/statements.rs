//! What a node states in each reply of its copies of all tables.

use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderName, HeaderValue};

use crate::{
    replication::{currency::Statement, mirror::Mirror},
    store::{Rev, Table},
};

/// The header with a statement for each table: the revision of the last change, and the time in
/// milliseconds since the copy was last known to lack nothing.
pub(super) const HEADER: HeaderName = HeaderName::from_static("rows-currency");

/// Encodes what a node states of its copies.
pub(super) fn encode(mirror: &Mirror, now: Instant) -> HeaderValue {
    let statement = |table| match mirror.statement(table) {
        Some(Statement { changed, current_at }) => {
            let age = now.saturating_duration_since(current_at);
            format!("{}:{}", changed.0, age.as_millis())
        }
        None => String::new(),
    };
    let text = Table::ALL.map(statement).join(",");
    HeaderValue::from_str(&text).expect("numbers are valid in a header")
}

/// Decodes what a parent states. A table is missing that it has not read, and all of them if it does
/// not know the header.
pub(super) fn decode(headers: &HeaderMap, now: Instant) -> Vec<(Table, Statement)> {
    let text = headers.get(&HEADER).and_then(|it| it.to_str().ok()).unwrap_or_default();
    let statement = |text: &str| {
        let (changed, age_ms) = text.split_once(':')?;
        let changed = Rev(changed.parse().ok()?);
        let current_at = now.checked_sub(Duration::from_millis(age_ms.parse().ok()?))?;
        Some(Statement { changed, current_at })
    };
    let statements = Table::ALL.into_iter().zip(text.split(','));
    statements.filter_map(|(table, text)| Some((table, statement(text)?))).collect()
}
