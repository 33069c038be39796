//! Checks files whole: every error is found in one go, with file, line and path.

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

/// What a check of one or more sites came to.
#[derive(Debug, Default)]
pub struct Report {
    /// The merged configuration of each site that has no errors.
    pub sites: BTreeMap<site::Id, Config>,
    /// All that was found, ordered by file and line.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Whether nothing worse than a warning was found.
    pub fn is_ok(&self) -> bool {
        self.errors().next().is_none()
    }

    /// The findings that forbid publishing.
    pub fn errors(&self) -> impl Iterator<Item = &Finding> {
        self.findings.iter().filter(|it| it.severity == Severity::Error)
    }

    fn add(&mut self, tree: &Node, found: Vec<Finding>) {
        let is_sound = found.iter().all(|it| it.severity != Severity::Error);
        self.findings.extend(found);
        if !is_sound {
            return;
        }
        match serde_json::from_value::<Config>(tree.to_json()) {
            Ok(config) => self.add_site(tree, config),
            // The shape check lets nothing through that the types refuse; should it ever, the
            // operator still gets an error and not a site that is silently left out.
            Err(e) => self.findings.push(Finding::error(&tree.location, "", e.to_string())),
        }
    }

    fn add_site(&mut self, tree: &Node, config: Config) {
        if self.sites.contains_key(&config.site) {
            let message = format!("site `{}` stands in another overlay already", config.site);
            self.findings.push(Finding::error(&tree.location, "site", message));
            return;
        }
        self.sites.insert(config.site.clone(), config);
    }

    fn sorted(mut self) -> Self {
        // An error in the base file shows up once for each overlay.
        let unique: BTreeSet<Finding> = self.findings.drain(..).collect();
        self.findings = unique.into_iter().collect();
        self
    }
}

/// Checks a base file with its overlays; with no overlay, the base file must be whole by itself.
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
    let Some(base) = base else { return report.sorted() };
    let trees = trees(&base, &overlays);
    report.findings.extend(trees.findings);
    report.sites = trees.sites;
    report.sorted()
}

/// Checks trees that were read before.
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
        report.add(base, site(base, base));
    }
    for overlay in overlays {
        let merged = overlay::merge(base, overlay);
        let mut found = merged.findings;
        found.extend(site(&merged.node, base));
        report.add(&merged.node, found);
    }
    report.sorted()
}

/// Checks the shape of node settings.
pub(crate) fn node(tree: &Node) -> Vec<Finding> {
    let mut findings = Vec::new();
    shape::check(tree, &schema::NODE, None, &mut findings);
    findings.sort();
    findings
}

fn site(tree: &Node, base: &Node) -> Vec<Finding> {
    let mut findings = Vec::new();
    shape::check(tree, &schema::CONFIG, Some(&base.location.file), &mut findings);
    reference::check(tree, &mut findings);
    quality::check(tree, &mut findings);
    findings
}
