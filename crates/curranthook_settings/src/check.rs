//! Checks complete files and reports all errors at once, with file, line and path.

mod finding;
pub(crate) mod path;
mod quality;
mod reference;
mod schema;
mod shape;

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
};

use curranthook_types::site;

pub use self::finding::{Finding, Severity};
use crate::{
    Config, overlay,
    source::{self, Node},
};

/// The result of checking one or more sites.
#[derive(Debug, Default)]
pub struct Report {
    /// The merged configuration of each site that has no errors.
    pub sites: BTreeMap<site::Id, Config>,
    /// All findings, ordered by file and line.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Whether there are no errors; warnings are allowed.
    pub fn is_ok(&self) -> bool {
        self.errors().next().is_none()
    }

    /// The findings that prevent publishing.
    pub fn errors(&self) -> impl Iterator<Item = &Finding> {
        self.findings.iter().filter(|it| it.severity == Severity::Error)
    }

    fn add(&mut self, tree: &Node, found: Vec<Finding>) {
        let is_valid = found.iter().all(|it| it.severity != Severity::Error);
        self.findings.extend(found);
        if !is_valid {
            return;
        }
        match serde_json::from_value::<Config>(tree.to_json()) {
            Ok(config) => self.add_site(tree, config),
            // The shape check rejects everything that the types reject. If the two ever disagree,
            // the operator gets an error instead of a site that is silently omitted.
            Err(e) => self.findings.push(Finding::error(&tree.location, "", e.to_string())),
        }
    }

    fn add_site(&mut self, tree: &Node, config: Config) {
        if self.sites.contains_key(&config.site) {
            let message = format!("site `{}` is already defined in another overlay", config.site);
            self.findings.push(Finding::error(&tree.location, "site", message));
            return;
        }
        self.sites.insert(config.site.clone(), config);
    }

    fn into_sorted(mut self) -> Self {
        // An error in the base file is found once per overlay; the set removes the duplicates.
        let unique: BTreeSet<Finding> = self.findings.drain(..).collect();
        self.findings = unique.into_iter().collect();
        self
    }
}

/// Checks a base file with its overlays. Without overlays, the base file must be complete by
/// itself.
///
/// ```
/// # use curranthook_settings::check;
/// let report = check::files("no/such/base.yaml".as_ref(), &["no/such/site.yaml".as_ref()]);
/// assert_eq!(report.findings.len(), 2);
/// ```
pub fn files(base: &Path, overlays: &[&Path]) -> Report {
    let mut report = Report::default();
    let mut read = |path: &Path| match source::read(path) {
        Ok(node) => Some(node),
        Err(e) => {
            report.findings.push(e.into());
            None
        }
    };
    let base = read(base);
    let overlays: Vec<Node> = overlays.iter().filter_map(|it| read(it)).collect();
    let Some(base) = base else { return report.into_sorted() };
    let trees = trees(&base, &overlays);
    report.findings.extend(trees.findings);
    report.sites = trees.sites;
    report.into_sorted()
}

/// Checks files that are already parsed to trees.
///
/// ```
/// # use curranthook_settings::{check, source};
/// let base = source::parse("base.yaml", "site: a\nacounts: {}\n").unwrap();
/// let report = check::trees(&base, &[]);
/// let unknown = report.errors().find(|it| it.path == "acounts").unwrap();
/// assert_eq!(unknown.location.line, 2);
/// ```
pub fn trees(base: &Node, overlays: &[Node]) -> Report {
    let mut report = Report::default();
    if overlays.is_empty() {
        report.add(base, check_site(base, base));
    }
    for overlay in overlays {
        let merged = overlay::merge(base, overlay);
        let mut findings = merged.findings;
        findings.extend(check_site(&merged.node, base));
        report.add(&merged.node, findings);
    }
    report.into_sorted()
}

/// Checks the fields and values of node settings.
pub(crate) fn node_settings(tree: &Node) -> Vec<Finding> {
    let mut findings = Vec::new();
    shape::check(tree, &schema::NODE, None, &mut findings);
    findings.sort();
    findings
}

fn check_site(tree: &Node, base: &Node) -> Vec<Finding> {
    let mut findings = Vec::new();
    shape::check(tree, &schema::CONFIG, Some(&base.location.file), &mut findings);
    reference::check(tree, &mut findings);
    quality::check(tree, &mut findings);
    findings
}
