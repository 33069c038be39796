//! Checks that referenced names are declared, that values are unique and that required sections
//! are not empty.

use std::collections::{BTreeMap, BTreeSet};

use super::{Finding, path};
use crate::source::{Node, Value};

/// Runs all of these checks on the merged configuration of a site.
pub(super) fn check(tree: &Node, out: &mut Vec<Finding>) {
    let declared = Declared::new(tree);
    for (path, version) in entries(tree, "versions") {
        check_keys_declared(version, "quality", &path, &declared.kinds, out);
    }
    for (path, endpoint) in entries(tree, "endpoints") {
        check_endpoint(endpoint, &path, &declared, out);
    }
    for (path, account) in entries(tree, "accounts") {
        check_account(account, &path, &declared, out);
    }
    check_served(tree, out);
    check_not_empty(tree, out);
    let addresses = entries(tree, "endpoints")
        .filter_map(|(path, it)| Some((path::key(&path, "address"), it.get("address")?)));
    check_unique(addresses, "address", out);
    check_unique(key_hashes(tree), "key hash", out);
    check_unique(session_key_ids(tree), "key id", out);
}

/// The entries of a section, with their paths.
pub(super) fn entries<'a>(
    tree: &'a Node,
    section: &'a str,
) -> impl Iterator<Item = (String, &'a Node)> {
    let entries = tree.get(section).into_iter().flat_map(Node::entries);
    entries.map(move |(key, node)| (path::key(section, key), node))
}

struct Declared<'a> {
    versions: BTreeSet<&'a str>,
    services: BTreeSet<&'a str>,
    kinds: BTreeSet<&'a str>,
}

impl<'a> Declared<'a> {
    fn new(tree: &'a Node) -> Self {
        let keys = |section| {
            let entries = tree.get(section).into_iter().flat_map(Node::entries);
            entries.map(|(key, _)| key).collect()
        };
        Self { versions: keys("versions"), services: keys("services"), kinds: keys("kinds") }
    }
}

fn check_endpoint(endpoint: &Node, path: &str, declared: &Declared<'_>, out: &mut Vec<Finding>) {
    check_items_declared(endpoint, "versions", path, &declared.versions, out);
    let service = endpoint.get("service");
    if let Some((node, name)) = service.and_then(|it| Some((it, it.text()?)))
        && !declared.services.contains(name)
    {
        let message = format!("unknown service `{name}`");
        out.push(Finding::error(&node.location, &path::key(path, "service"), message));
    }
    let has_versions = endpoint.get("versions").is_some_and(|it| !is_empty(it));
    let message = match (has_versions, service.is_some()) {
        (true, true) => "has both versions and a service",
        (false, false) => "has neither versions nor a service",
        _ => return,
    };
    out.push(Finding::error(&endpoint.location, path, message));
}

fn check_account(account: &Node, path: &str, declared: &Declared<'_>, out: &mut Vec<Finding>) {
    check_items_declared(account, "versions", path, &declared.versions, out);
    check_items_declared(account, "services", path, &declared.services, out);
    check_keys_declared(account, "quality", path, &declared.kinds, out);
    let is_unused = |field| account.get(field).is_none_or(is_empty);
    if is_unused("versions") && is_unused("services") {
        out.push(Finding::warning(&account.location, path, "may use no version and no service"));
    }
    if account.get("key_hashes").is_some_and(is_empty) {
        out.push(Finding::warning(&account.location, path, "has no key, so nobody can use it"));
    }
}

fn check_served(tree: &Node, out: &mut Vec<Finding>) {
    let served: BTreeSet<&str> = entries(tree, "endpoints")
        .filter_map(|(_, it)| it.get("versions"))
        .flat_map(|it| it.items().iter().filter_map(Node::text))
        .collect();
    let versions = tree.get("versions").into_iter().flat_map(Node::entries);
    for (name, version) in versions.filter(|(name, _)| !served.contains(name)) {
        let path = path::key("versions", name);
        out.push(Finding::warning(&version.location, &path, "no endpoint serves this version"));
    }
}

fn check_not_empty(tree: &Node, out: &mut Vec<Finding>) {
    let required =
        [("session_keys", "there is no session key"), ("accounts", "there is no account")];
    for (section, message) in required {
        let section_node = tree.get(section);
        if section_node.is_none_or(is_empty) {
            let location = section_node.map_or(&tree.location, |it| &it.location);
            out.push(Finding::error(location, section, message));
        }
    }
}

fn is_empty(node: &Node) -> bool {
    match &node.value {
        Value::List(list) => list.is_empty(),
        Value::Map(map) => map.is_empty(),
        _ => false,
    }
}

fn check_items_declared(
    node: &Node,
    field: &str,
    path: &str,
    known: &BTreeSet<&str>,
    out: &mut Vec<Finding>,
) {
    let path = path::key(path, field);
    let items = node.get(field).into_iter().flat_map(Node::items).enumerate();
    for (index, item) in items {
        if let Some(name) = item.text()
            && !known.contains(name)
        {
            let message = format!("unknown {} `{name}`", field.trim_end_matches('s'));
            out.push(Finding::error(&item.location, &path::index(&path, index), message));
        }
    }
}

fn check_keys_declared(
    node: &Node,
    field: &str,
    path: &str,
    known: &BTreeSet<&str>,
    out: &mut Vec<Finding>,
) {
    let path = path::key(path, field);
    for (kind, child) in node.get(field).into_iter().flat_map(Node::entries) {
        if !known.contains(kind) {
            let message = format!("unknown kind `{kind}`");
            out.push(Finding::error(&child.location, &path::key(&path, kind), message));
        }
    }
}

fn key_hashes(tree: &Node) -> impl Iterator<Item = (String, &Node)> {
    entries(tree, "accounts").flat_map(|(path, account)| {
        let path = path::key(&path, "key_hashes");
        let items = account.get("key_hashes").into_iter().flat_map(Node::items).enumerate();
        items.map(move |(index, node)| (path::index(&path, index), node))
    })
}

fn session_key_ids(tree: &Node) -> impl Iterator<Item = (String, &Node)> {
    let keys = tree.get("session_keys").into_iter().flat_map(Node::items).enumerate();
    keys.filter_map(|(index, it)| {
        let path = path::index("session_keys", index);
        Some((path::key(&path, "id"), it.get("id")?))
    })
}

/// Reports duplicate texts, ignoring ASCII case.
fn check_unique<'a>(
    nodes: impl Iterator<Item = (String, &'a Node)>,
    what: &str,
    out: &mut Vec<Finding>,
) {
    let mut seen: BTreeMap<String, String> = BTreeMap::new();
    for (path, node) in nodes {
        let Some(text) = node.text() else { continue };
        let text = text.to_ascii_lowercase();
        if let Some(first) = seen.get(&text) {
            out.push(Finding::error(
                &node.location,
                &path,
                format!("the same {what} as at {first}"),
            ));
        } else {
            seen.insert(text, path);
        }
    }
}
