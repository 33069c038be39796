//! Merges a site's overlay into the base file.
//!
//! Maps merge by key, `null` removes an entry, anything else replaces what the base has.

use std::collections::BTreeMap;

use crate::{
    check::{Finding, path},
    source::{Node, Value},
};

/// The key that each overlay must have, whatever the base says.
const SITE: &str = "site";

/// A merged tree and what was found on the way.
#[derive(Debug)]
pub struct Merged {
    /// The base with the overlay's changes. Each value keeps the location it came from.
    pub node: Node,
    /// Removals of what isn't there, values that repeat the base's, an overlay without effect.
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
    // What the whole lacks is the overlay's to add.
    node.location = overlay.location.clone();
    if overlay.get(SITE).is_none() {
        findings.push(Finding::error(&overlay.location, SITE, "lacks `site`, the site's name"));
    }
    if !matches!(overlay.value, Value::Map(_)) {
        findings.push(Finding::error(&overlay.location, "", "must be a map"));
    } else if without_site(&node) == without_site(base) {
        let message = "changes nothing; a site needs an overlay only for what differs there";
        findings.push(Finding::error(&overlay.location, "", message));
    }
    Merged { node, findings }
}

fn without_site(node: &Node) -> serde_json::Value {
    let mut json = node.to_json();
    if let Some(map) = json.as_object_mut() {
        map.remove(SITE);
    }
    json
}

fn merge_node(base: &Node, overlay: &Node, at: &str, findings: &mut Vec<Finding>) -> Node {
    if let (Value::Map(old), Value::Map(new)) = (&base.value, &overlay.value) {
        let value = Value::Map(merge_map(old, new, at, findings));
        let repeated = base.repeated.iter().chain(&overlay.repeated).cloned().collect();
        return Node { location: base.location.clone(), value, repeated };
    }
    if at != SITE && !at.is_empty() && base.to_json() == overlay.to_json() {
        let message = "repeats the base file's value; leave it out";
        findings.push(Finding::warning(&overlay.location, at, message));
    }
    match &overlay.value {
        // A map where the base has a scalar or nothing still has its nulls taken out.
        Value::Map(new) => {
            let value = Value::Map(merge_map(&BTreeMap::new(), new, at, findings));
            Node { value, ..overlay.clone() }
        }
        _ => overlay.clone(),
    }
}

fn merge_map(
    base: &BTreeMap<String, Node>,
    overlay: &BTreeMap<String, Node>,
    at: &str,
    findings: &mut Vec<Finding>,
) -> BTreeMap<String, Node> {
    let mut merged = base.clone();
    for (key, node) in overlay {
        let at = path::key(at, key);
        if matches!(node.value, Value::Null) {
            if merged.remove(key).is_none() {
                let message = "isn't in the base file, so it can't be removed";
                findings.push(Finding::error(&node.location, &at, message));
            }
            continue;
        }
        let absent = Node { value: Value::Null, ..node.clone() };
        let old = base.get(key).unwrap_or(&absent);
        merged.insert(key.clone(), merge_node(old, node, &at, findings));
    }
    merged
}
