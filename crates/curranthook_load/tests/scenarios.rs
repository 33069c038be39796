//! All scenarios in the repository are valid, and errors in a scenario are found before a run.

use std::path::Path;

use curranthook_load::scenario::{Error, Scenario};
use yare::parameterized;

const SCENARIO_NAMES: [&str; 9] = [
    "mekong",
    "port-louis",
    "overload",
    "bad-version",
    "rollout",
    "endpoint-loss",
    "slow-endpoint",
    "poison",
    "overhead",
];

fn read_scenario(name: &str) -> String {
    let file = Path::new("../../scenarios").join(format!("{name}.yaml"));
    std::fs::read_to_string(&file).unwrap_or_else(|e| panic!("{}: {e}", file.display()))
}

#[test]
fn all_scenarios_are_valid() {
    for name in SCENARIO_NAMES {
        let scenario =
            Scenario::parse(&read_scenario(name)).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(scenario.name, name, "the file has the scenario's name");
    }
}

#[parameterized(
    mekong = { "mekong", 3, &[12, 3] },
    port_louis = { "port-louis", 4, &[18, 4] },
)]
fn site_sizes_match(name: &str, n_domains: usize, workers: &[usize]) {
    let scenario = Scenario::parse(&read_scenario(name)).unwrap();
    assert_eq!(scenario.failure_domains.len(), n_domains);
    assert_eq!(scenario.accounts.len(), 10);
    let engines = scenario.engines.iter().map(|it| it.count);
    let services = scenario.services.iter().map(|it| it.count);
    assert_eq!(engines.chain(services).collect::<Vec<_>>(), workers);
}

#[parameterized(
    unknown_version = { "version: tally-llm@1, quality", "version: tally-llm@9, quality", "unknown version" },
    late_event = { "at_seconds: 20", "at_seconds: 90", "after the last arrival" },
    share_out_of_range = { "quality: 0.95", "quality: 1.95", "is not a share between 0 and 1" },
    too_long = { "seconds: 40", "seconds: 4000", "arrivals last" },
    unserved_version = { "[tally-llm@1, tally-llm@2]", "[tally-llm@1]", "no engine serves" },
)]
fn invalid_scenario_is_rejected(from: &str, to: &str, message: &str) {
    let invalid = read_scenario("bad-version").replace(from, to);
    let e = Scenario::parse(&invalid).expect_err("the scenario is invalid");
    assert!(matches!(e, Error::Check(_)), "{e}");
    assert!(e.to_string().contains(message), "{e}");
}

#[test]
fn unknown_key_is_rejected() {
    let invalid = read_scenario("mekong").replace("stewards:", "stewarts:");
    assert!(matches!(Scenario::parse(&invalid), Err(Error::Parse(_))));
}

#[test]
fn quality_changes_at_the_event() {
    let scenario = Scenario::parse(&read_scenario("bad-version")).unwrap();
    let truth = scenario.truth();
    let version = &truth.versions["tally-llm@1"];
    let event = scenario.events[0].at;
    assert_eq!(version.quality_at(event - std::time::Duration::from_millis(1)), 0.9);
    assert_eq!(version.quality_at(event), 0.5);
}
