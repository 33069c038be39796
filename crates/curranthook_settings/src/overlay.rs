//! Merges a site's overlay into the base file.
//!
//! Maps are merged by key, `null` removes an entry, and any other value replaces that of the base.

use std::collections::BTreeMap;

use crate::{
    check::{Finding, path},
    source::{Node, Value},
};

/// The key that each overlay must have, even if the base file has it.
const SITE: &str = "site";

/// A merged tree and the findings of the merge.
#[derive(Debug)]
pub struct Merged {
    /// The base with the overlay's changes. Each value keeps its original location.
    pub node: Node,
    /// Removals of entries that do not exist, values that repeat those of the base, and an overlay
    /// without effect.
    pub findings: Vec<Finding>,
}

/// Merges `overlay` into `base`.
///
/// ```
/// # use curranthook_settings::{overlay, source};
/// let base = source::parse("base.yaml", "kinds:\n  summary: {quality: 0.9}\n").unwrap();
/// let site = source::parse("a.yaml", "site: a\nkinds:\n  summary: {quality: 0.8}\n").unwrap();
/// let merged = overlay::merge(&base, &site);
/// let json = r#"{"kinds":{"summary":{"quality":0.8}},"site":"a"}"#;
/// assert_eq!(merged.node.to_json().to_string(), json);
/// ```
pub fn merge(base: &Node, overlay: &Node) -> Merged {
    let mut findings = Vec::new();
    let mut node = merge_node(base, overlay, "", &mut findings);
    // A key missing at the top level is reported in the overlay, which has to add it.
    node.location = overlay.location.clone();
    if overlay.get(SITE).is_none() {
        findings.push(Finding::error(&overlay.location, SITE, "lacks `site`, the site's name"));
    }
    if !matches!(overlay.value, Value::Map(_)) {
        findings.push(Finding::error(&overlay.location, "", "must be a map"));
    } else if json_without_site(&node) == json_without_site(base) {
        let message = "changes nothing; a site needs an overlay only for what differs there";
        findings.push(Finding::error(&overlay.location, "", message));
    }
    Merged { node, findings }
}

fn json_without_site(node: &Node) -> serde_json::Value {
    let mut json = node.to_json();
    if let Some(map) = json.as_object_mut() {
        map.remove(SITE);
    }
    json
}

fn merge_node(base: &Node, overlay: &Node, path: &str, findings: &mut Vec<Finding>) -> Node {
    if let (Value::Map(old), Value::Map(new)) = (&base.value, &overlay.value) {
        let value = Value::Map(merge_map(old, new, path, findings));
        let duplicate_keys =
            base.duplicate_keys.iter().chain(&overlay.duplicate_keys).cloned().collect();
        return Node { location: base.location.clone(), value, duplicate_keys };
    }
    if path != SITE && !path.is_empty() && base.to_json() == overlay.to_json() {
        let message = "repeats the base file's value; leave it out";
        findings.push(Finding::warning(&overlay.location, path, message));
    }
    match &overlay.value {
        // `null` entries are removed from a map even if the base has a scalar or nothing there.
        Value::Map(new) => {
            let value = Value::Map(merge_map(&BTreeMap::new(), new, path, findings));
            Node { value, ..overlay.clone() }
        }
        _ => overlay.clone(),
    }
}

fn merge_map(
    base: &BTreeMap<String, Node>,
    overlay: &BTreeMap<String, Node>,
    path: &str,
    findings: &mut Vec<Finding>,
) -> BTreeMap<String, Node> {
    let mut merged = base.clone();
    for (key, node) in overlay {
        let path = path::key(path, key);
        if matches!(node.value, Value::Null) {
            if merged.remove(key).is_none() {
                let message = "isn't in the base file, so it can't be removed";
                findings.push(Finding::error(&node.location, &path, message));
            }
            continue;
        }
        let null_node = Node { value: Value::Null, ..node.clone() };
        let old = base.get(key).unwrap_or(&null_node);
        merged.insert(key.clone(), merge_node(old, node, &path, findings));
    }
    merged
}
