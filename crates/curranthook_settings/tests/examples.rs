//! The files under `examples/`, which new users start from, must pass the check.

use std::path::{Path, PathBuf};

use curranthook_settings::{check, node};
use yare::parameterized;

fn example_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

#[parameterized(
    mekong = { "mekong/base.yaml", "mekong/vn-south.yaml", [3, 12, 3, 10] },
    port_louis = { "port-louis/base.yaml", "port-louis/mu-north.yaml", [4, 18, 4, 10] },
)]
fn site_files_pass_the_check(base: &str, overlay: &str, expected_counts: [usize; 4]) {
    let report = check::files(&example_path(base), &[&example_path(overlay)]);
    let findings: Vec<_> = report.findings.iter().map(ToString::to_string).collect();
    assert_eq!(findings, Vec::<String>::new());
    let config = report.sites.values().next().expect("one site");
    let domains: std::collections::BTreeSet<_> =
        config.endpoints.values().map(|it| &it.failure_domain).collect();
    let n_engines = config.endpoints.values().filter(|it| it.service.is_none()).count();
    let n_services = config.endpoints.len() - n_engines;
    assert_eq!([domains.len(), n_engines, n_services, config.accounts.len()], expected_counts);
}

#[parameterized(mekong = { "mekong/node.yaml" }, port_louis = { "port-louis/node.yaml" })]
fn node_files_pass_the_check(name: &str) {
    node::read(&example_path(name)).expect("an example without errors");
}
