//! Builds paths to values, such as `accounts.yard-7.versions[1]`.

/// The path of entry `key` of the map at `parent`.
pub(crate) fn key(parent: &str, key: &str) -> String {
    if parent.is_empty() { key.to_owned() } else { format!("{parent}.{key}") }
}

/// The path of item `index` of the list at `parent`.
pub(crate) fn index(parent: &str, index: usize) -> String {
    format!("{parent}[{index}]")
}
