//! Names that must stand for something, and values that may stand only once.

use std::collections::{BTreeMap, BTreeSet};

use super::{Finding, path};
use crate::source::{Node, Value};

/// Checks the references within a merged site.
pub(super) fn check(tree: &Node, out: &mut Vec<Finding>) {
    let names = Names::new(tree);
    for (at, version) in entries(tree, "versions") {
        keys_known(version, "quality", &at, &names.kinds, out);
    }
    for (at, endpoint) in entries(tree, "endpoints") {
        check_endpoint(endpoint, &at, &names, out);
    }
    for (at, account) in entries(tree, "accounts") {
        check_account(account, &at, &names, out);
    }
    check_served(tree, out);
    check_present(tree, out);
    let addresses = entries(tree, "endpoints")
        .filter_map(|(at, it)| Some((path::key(&at, "address"), it.get("address")?)));
    unique(addresses, "address", out);
    unique(key_hashes(tree), "key hash", out);
    unique(session_key_ids(tree), "key id", out);
}

/// The entries of a section with their paths.
pub(super) fn entries<'a>(
    tree: &'a Node,
    section: &'a str,
) -> impl Iterator<Item = (String, &'a Node)> {
    let entries = tree.get(section).into_iter().flat_map(Node::entries);
    entries.map(move |(key, node)| (path::key(section, key), node))
}

struct Names<'a> {
    versions: BTreeSet<&'a str>,
    services: BTreeSet<&'a str>,
    kinds: BTreeSet<&'a str>,
}

impl<'a> Names<'a> {
    fn new(tree: &'a Node) -> Self {
        let keys = |section| {
            let entries = tree.get(section).into_iter().flat_map(Node::entries);
            entries.map(|(key, _)| key).collect()
        };
        Self { versions: keys("versions"), services: keys("services"), kinds: keys("kinds") }
    }
}

fn check_endpoint(endpoint: &Node, at: &str, names: &Names<'_>, out: &mut Vec<Finding>) {
    items_known(endpoint, "versions", at, &names.versions, out);
    let service = endpoint.get("service");
    if let Some((node, name)) = service.and_then(|it| Some((it, it.text()?)))
        && !names.services.contains(name)
    {
        let message = format!("unknown service `{name}`");
        out.push(Finding::error(&node.location, &path::key(at, "service"), message));
    }
    let has_versions = endpoint.get("versions").is_some_and(|it| !is_empty(it));
    let message = match (has_versions, service.is_some()) {
        (true, true) => "has both versions and a service",
        (false, false) => "has neither versions nor a service",
        _ => return,
    };
    out.push(Finding::error(&endpoint.location, at, message));
}

fn check_account(account: &Node, at: &str, names: &Names<'_>, out: &mut Vec<Finding>) {
    items_known(account, "versions", at, &names.versions, out);
    items_known(account, "services", at, &names.services, out);
    keys_known(account, "quality", at, &names.kinds, out);
    let is_unused = |field| account.get(field).is_none_or(is_empty);
    if is_unused("versions") && is_unused("services") {
        out.push(Finding::warning(&account.location, at, "may use no version and no service"));
    }
    if account.get("key_hashes").is_some_and(is_empty) {
        out.push(Finding::warning(&account.location, at, "has no key, so nobody can use it"));
    }
}

fn check_served(tree: &Node, out: &mut Vec<Finding>) {
    let served: BTreeSet<&str> = entries(tree, "endpoints")
        .filter_map(|(_, it)| it.get("versions"))
        .flat_map(|it| it.items().iter().filter_map(Node::text))
        .collect();
    let versions = tree.get("versions").into_iter().flat_map(Node::entries);
    for (name, version) in versions.filter(|(name, _)| !served.contains(name)) {
        let at = path::key("versions", name);
        out.push(Finding::warning(&version.location, &at, "no endpoint serves this version"));
    }
}

fn check_present(tree: &Node, out: &mut Vec<Finding>) {
    let wanted = [("session_keys", "there is no session key"), ("accounts", "there is no account")];
    for (section, message) in wanted {
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

fn items_known(node: &Node, field: &str, at: &str, known: &BTreeSet<&str>, out: &mut Vec<Finding>) {
    let at = path::key(at, field);
    let items = node.get(field).into_iter().flat_map(Node::items).enumerate();
    for (index, item) in items {
        if let Some(name) = item.text()
            && !known.contains(name)
        {
            let message = format!("unknown {} `{name}`", field.trim_end_matches('s'));
            out.push(Finding::error(&item.location, &path::index(&at, index), message));
        }
    }
}

fn keys_known(node: &Node, field: &str, at: &str, known: &BTreeSet<&str>, out: &mut Vec<Finding>) {
    let at = path::key(at, field);
    for (kind, child) in node.get(field).into_iter().flat_map(Node::entries) {
        if !known.contains(kind) {
            let message = format!("unknown kind `{kind}`");
            out.push(Finding::error(&child.location, &path::key(&at, kind), message));
        }
    }
}

fn key_hashes(tree: &Node) -> impl Iterator<Item = (String, &Node)> {
    entries(tree, "accounts").flat_map(|(at, account)| {
        let at = path::key(&at, "key_hashes");
        let items = account.get("key_hashes").into_iter().flat_map(Node::items).enumerate();
        items.map(move |(index, node)| (path::index(&at, index), node))
    })
}

fn session_key_ids(tree: &Node) -> impl Iterator<Item = (String, &Node)> {
    let keys = tree.get("session_keys").into_iter().flat_map(Node::items).enumerate();
    keys.filter_map(|(index, it)| {
        let at = path::index("session_keys", index);
        Some((path::key(&at, "id"), it.get("id")?))
    })
}

/// Reports texts that stand twice, whatever the case of their letters.
fn unique<'a>(nodes: impl Iterator<Item = (String, &'a Node)>, what: &str, out: &mut Vec<Finding>) {
    let mut seen: BTreeMap<String, String> = BTreeMap::new();
    for (at, node) in nodes {
        let Some(text) = node.text() else { continue };
        let text = text.to_ascii_lowercase();
        if let Some(first) = seen.get(&text) {
            out.push(Finding::error(&node.location, &at, format!("the same {what} as at {first}")));
        } else {
            seen.insert(text, at);
        }
    }
}
