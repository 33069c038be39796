//! Finds quality targets that no allowed version can meet.

use super::{Finding, path, reference};
use crate::source::Node;

/// Checks each account's target for each kind of work against the quality declared by the versions
/// that the account may use.
pub(super) fn check(tree: &Node, out: &mut Vec<Finding>) {
    for (path, account) in reference::entries(tree, "accounts") {
        if account.get("versions").is_none_or(|it| it.items().is_empty()) {
            continue;
        }
        for (kind, node) in tree.get("kinds").into_iter().flat_map(Node::entries) {
            check_target(tree, account, &path, (kind, node), out);
        }
    }
}

fn check_target(
    tree: &Node,
    account: &Node,
    path: &str,
    (kind, node): (&str, &Node),
    out: &mut Vec<Finding>,
) {
    let account_target = account.get("quality").and_then(|it| it.get(kind));
    let Some(target) = account_target.or_else(|| node.get("quality")).and_then(Node::number) else {
        return;
    };
    let best = best_quality(tree, account, kind);
    if best.is_some_and(|best| target <= best) {
        return;
    }
    let Some(best) = best else {
        // The versions of an account that does not use this kind declare no quality for it. Only a
        // target of the account itself shows that it intends to use the kind.
        if let Some(account_target) = account_target {
            let path = path::key(&path::key(path, "quality"), kind);
            let message = format!("no allowed version declares a quality for `{kind}`");
            out.push(Finding::error(&account_target.location, &path, message));
        }
        return;
    };
    let message =
        format!("no allowed version meets {target} for `{kind}`; the best declares {best}");
    let (location, field) = match account_target {
        Some(account_target) => (&account_target.location, path::key("quality", kind)),
        None => (&account.location, "versions".to_owned()),
    };
    out.push(Finding::error(location, &path::key(path, &field), message));
}

fn best_quality(tree: &Node, account: &Node, kind: &str) -> Option<f64> {
    let versions = tree.get("versions")?;
    let allowed = account.get("versions")?.items().iter().filter_map(Node::text);
    let qualities = allowed.filter_map(|it| versions.get(it)?.get("quality")?.get(kind)?.number());
    qualities.max_by(f64::total_cmp)
}
