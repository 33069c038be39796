//! Quality targets that no allowed version can meet.

use super::{Finding, path, reference};
use crate::source::Node;

/// Checks each account's target for each kind of work against the quality that its versions
/// declare.
pub(super) fn check(tree: &Node, out: &mut Vec<Finding>) {
    for (at, account) in reference::entries(tree, "accounts") {
        if account.get("versions").is_none_or(|it| it.items().is_empty()) {
            continue;
        }
        for (kind, node) in tree.get("kinds").into_iter().flat_map(Node::entries) {
            check_target(tree, account, &at, (kind, node), out);
        }
    }
}

fn check_target(
    tree: &Node,
    account: &Node,
    at: &str,
    (kind, node): (&str, &Node),
    out: &mut Vec<Finding>,
) {
    let own = account.get("quality").and_then(|it| it.get(kind));
    let Some(target) = own.or_else(|| node.get("quality")).and_then(Node::number) else { return };
    let best = best(tree, account, kind);
    if best.is_some_and(|best| target <= best) {
        return;
    }
    let Some(best) = best else {
        // An account that has no use for this kind has versions that say nothing about it. Only
        // a target of its own shows that it means to use it.
        if let Some(own) = own {
            let at = path::key(&path::key(at, "quality"), kind);
            let message = format!("no allowed version declares a quality for `{kind}`");
            out.push(Finding::error(&own.location, &at, message));
        }
        return;
    };
    let message =
        format!("no allowed version meets {target} for `{kind}`; the best declares {best}");
    let (location, field) = match own {
        Some(own) => (&own.location, path::key("quality", kind)),
        None => (&account.location, "versions".to_owned()),
    };
    out.push(Finding::error(location, &path::key(at, &field), message));
}

fn best(tree: &Node, account: &Node, kind: &str) -> Option<f64> {
    let versions = tree.get("versions")?;
    let allowed = account.get("versions")?.items().iter().filter_map(Node::text);
    let declared = allowed.filter_map(|it| versions.get(it)?.get("quality")?.get(kind)?.number());
    declared.max_by(f64::total_cmp)
}
