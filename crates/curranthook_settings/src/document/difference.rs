//! Lists the differences between two documents by path.

use std::{collections::BTreeSet, fmt};

use serde::Serialize;
use serde_json::Value;

use super::Document;
use crate::{check::path, config::MASK};

/// Fields that identify a publication, so they differ between any two documents.
const PUBLICATION_FIELDS: [&str; 5] = ["epoch", "by", "at_millis", "publication", "earlier"];
/// Fields whose values must not appear on terminals or in logs.
const MASKED_FIELDS: [&str; 2] = ["secret", "key_hashes"];

/// A difference between two documents at one path.
#[derive(Debug, Serialize)]
pub struct Change {
    /// The path, such as `sites.vn-south.accounts.yard-7.versions`.
    pub path: String,
    /// The value before the change, if there was one.
    pub before: Option<String>,
    /// The value after the change, if there is one.
    pub after: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {path}: {before} -> {after}"),
            (Some(before), None) => write!(f, "- {path}: {before}"),
            (None, Some(after)) => write!(f, "+ {path}: {after}"),
            (None, None) => write!(f, "  {path}"),
        }
    }
}

/// The changes from `before` to `after`, except for the fields that identify a publication.
/// Secrets and key hashes are masked.
///
/// ```
/// # use curranthook_settings::document::{Document, difference};
/// let before = Document::default();
/// let mut after = before.clone();
/// after.withdrawn.insert("m@1".into());
/// let changes = difference(&before, &after);
/// assert_eq!(changes[0].to_string(), r#"~ withdrawn: [] -> ["m@1"]"#);
/// ```
pub fn difference(before: &Document, after: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    compare(Some(&to_json(before)), Some(&to_json(after)), "", &mut changes);
    changes
}

fn to_json(document: &Document) -> Value {
    let mut json = serde_json::to_value(document).expect("a document can be written as JSON");
    if let Some(map) = json.as_object_mut() {
        map.retain(|key, _| !PUBLICATION_FIELDS.contains(&key.as_str()));
    }
    json
}

fn compare(before: Option<&Value>, after: Option<&Value>, path: &str, changes: &mut Vec<Change>) {
    if before == after {
        return;
    }
    match (before, after) {
        (Some(Value::Object(_)) | None, Some(Value::Object(_)))
        | (Some(Value::Object(_)), None) => compare_maps(before, after, path, changes),
        (Some(Value::Array(old)), Some(Value::Array(new))) if has_maps(old) || has_maps(new) => {
            for index in 0..old.len().max(new.len()) {
                compare(old.get(index), new.get(index), &path::index(path, index), changes);
            }
        }
        _ => changes.push(Change {
            path: path.to_owned(),
            before: before.map(|it| display_value(it, path)),
            after: after.map(|it| display_value(it, path)),
        }),
    }
}

fn compare_maps(
    before: Option<&Value>,
    after: Option<&Value>,
    path: &str,
    changes: &mut Vec<Change>,
) {
    let maps = [before, after].map(|it| it.and_then(Value::as_object));
    let keys: BTreeSet<&String> = maps.iter().flatten().flat_map(|it| it.keys()).collect();
    for key in keys {
        let [old, new] = maps.map(|it| it?.get(key));
        compare(old, new, &path::key(path, key), changes);
    }
}

fn has_maps(list: &[Value]) -> bool {
    list.iter().any(Value::is_object)
}

fn display_value(value: &Value, path: &str) -> String {
    let field = path.rsplit('.').next().unwrap_or(path);
    if MASKED_FIELDS.contains(&field) {
        return MASK.to_owned();
    }
    if let Value::Array(list) = value
        && has_maps(list)
    {
        return format!("{} entries", list.len());
    }
    value.to_string()
}
