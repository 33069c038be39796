//! What two documents differ in, path by path.

use std::{collections::BTreeSet, fmt};

use serde::Serialize;
use serde_json::Value;

use super::Document;
use crate::{check::path, config::MASK};

/// Fields that count publications; two documents always differ in them.
const COUNTERS: [&str; 5] = ["epoch", "by", "at_millis", "publication", "earlier"];
/// Fields whose values stay out of terminals and logs.
const MASKED: [&str; 2] = ["secret", "key_hashes"];

/// One difference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Where, such as `sites.vn-south.accounts.yard-7.versions`.
    pub path: String,
    /// The earlier value, if there was one.
    pub before: Option<String>,
    /// The later value, if there is one.
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

/// What changed from `before` to `after`, without the fields that count publications. Secrets
/// and key hashes are masked.
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
        map.retain(|key, _| !COUNTERS.contains(&key.as_str()));
    }
    json
}

fn compare(before: Option<&Value>, after: Option<&Value>, at: &str, changes: &mut Vec<Change>) {
    if before == after {
        return;
    }
    match (before, after) {
        (Some(Value::Object(_)) | None, Some(Value::Object(_)))
        | (Some(Value::Object(_)), None) => compare_maps(before, after, at, changes),
        (Some(Value::Array(old)), Some(Value::Array(new))) if has_maps(old) || has_maps(new) => {
            for index in 0..old.len().max(new.len()) {
                compare(old.get(index), new.get(index), &path::index(at, index), changes);
            }
        }
        _ => changes.push(Change {
            path: at.to_owned(),
            before: before.map(|it| shown(it, at)),
            after: after.map(|it| shown(it, at)),
        }),
    }
}

fn compare_maps(
    before: Option<&Value>,
    after: Option<&Value>,
    at: &str,
    changes: &mut Vec<Change>,
) {
    let maps = [before, after].map(|it| it.and_then(Value::as_object));
    let keys: BTreeSet<&String> = maps.iter().flatten().flat_map(|it| it.keys()).collect();
    for key in keys {
        let [old, new] = maps.map(|it| it?.get(key));
        compare(old, new, &path::key(at, key), changes);
    }
}

fn has_maps(list: &[Value]) -> bool {
    list.iter().any(Value::is_object)
}

fn shown(value: &Value, at: &str) -> String {
    let field = at.rsplit('.').next().unwrap_or(at);
    if MASKED.contains(&field) {
        return MASK.to_owned();
    }
    if let Value::Array(list) = value
        && has_maps(list)
    {
        return format!("{} entries", list.len());
    }
    value.to_string()
}
