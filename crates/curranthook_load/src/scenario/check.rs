//! Validation beyond the file format: references to unknown names, and values out of range.

use std::{collections::BTreeSet, time::Duration};

use curranthook_types::version;

use crate::event::{Action, Targets};

use super::Scenario;

/// Maximum duration of the arrivals, so that a typo in a file can't occupy a machine for hours.
const MAX_DURATION: Duration = Duration::from_secs(300);
/// Maximum number of arrivals in a run.
const MAX_ARRIVALS: f64 = 200_000.0;

/// Returns a message for each error in `scenario`.
pub(super) fn errors(scenario: &Scenario) -> Vec<String> {
    let mut errors = Vec::new();
    check_limits(scenario, &mut errors);
    check_versions(scenario, &mut errors);
    check_callers(scenario, &mut errors);
    check_events(scenario, &mut errors);
    errors
}

fn check_limits(scenario: &Scenario, errors: &mut Vec<String>) {
    let duration = scenario.duration();
    let arrivals = scenario.phases.iter().map(|it| it.duration.as_secs_f64() * it.rate);
    let arrivals: f64 = arrivals.sum();
    let is_valid_duration = !duration.is_zero() && duration <= MAX_DURATION;
    require(is_valid_duration, errors, || {
        format!("arrivals last {duration:?}, must be above 0 and at most {MAX_DURATION:?}")
    });
    require(arrivals <= MAX_ARRIVALS, errors, || {
        format!("{arrivals} arrivals, at most {MAX_ARRIVALS} are allowed")
    });
    require(!scenario.failure_domains.is_empty(), errors, || "no failure domain".to_owned());
    require(0 < scenario.routers, errors, || "no router".to_owned());
    require(scenario.stewards <= scenario.routers, errors, || {
        "more stewards than routers".to_owned()
    });
    require(scenario.warmup < duration, errors, || "the warm-up covers all arrivals".to_owned());
}

fn check_versions(scenario: &Scenario, errors: &mut Vec<String>) {
    for (id, version) in &scenario.versions {
        for share in [version.quality, version.error_rate, version.claimed.unwrap_or_default()] {
            require((0.0..=1.0).contains(&share), errors, || {
                format!("{id}: {share} is not a share between 0 and 1")
            });
        }
        let is_served = scenario.engines.iter().any(|it| it.versions.contains(id));
        require(is_served, errors, || format!("no engine serves {id}"));
    }
    for engines in &scenario.engines {
        require_known_versions(&engines.name, &engines.versions, scenario, errors);
    }
}

fn check_callers(scenario: &Scenario, errors: &mut Vec<String>) {
    require(!scenario.accounts.is_empty(), errors, || "no account".to_owned());
    require(!scenario.kinds.is_empty(), errors, || "no kind of work".to_owned());
    for (id, account) in &scenario.accounts {
        require(0.0 < account.weight, errors, || format!("{id}: weight {}", account.weight));
        require_known_versions(id.as_str(), &account.versions, scenario, errors);
    }
    for (id, kind) in &scenario.kinds {
        require(0.0 < kind.weight, errors, || format!("{id}: weight {}", kind.weight));
        let Some(service) = &kind.service else { continue };
        let exists = scenario.services.iter().any(|it| it.name == *service);
        require(exists, errors, || format!("{id}: no service {service}"));
    }
    for repeat in &scenario.repeats {
        let exists = scenario.accounts.contains_key(&repeat.account)
            && scenario.kinds.contains_key(&repeat.kind);
        require(exists, errors, || format!("repeat {:?}: unknown account or kind", repeat.text));
    }
}

fn check_events(scenario: &Scenario, errors: &mut Vec<String>) {
    let ids: BTreeSet<String> = scenario.engines.iter().flat_map(super::Engines::ids).collect();
    let last = scenario.duration();
    for event in &scenario.events {
        let at = event.at;
        require(at <= last, errors, || format!("event at {at:?}, after the last arrival"));
        match &event.action {
            Action::Fault { engines, .. } | Action::Kill { engines } => {
                let Targets::Some(named) = engines else { continue };
                for id in named.iter().filter(|id| !ids.contains(*id)) {
                    errors.push(format!("event at {at:?}: no engine {id}"));
                }
            }
            Action::Quality { version, .. } | Action::Withdraw { version } => {
                require_known_versions("event", &[version.clone()].into(), scenario, errors);
            }
            Action::Rollout { from, to, .. } => {
                require_known_versions(
                    "event",
                    &[from.clone(), to.clone()].into(),
                    scenario,
                    errors,
                );
            }
        }
    }
}

fn require_known_versions(
    context: &str,
    versions: &BTreeSet<version::Id>,
    scenario: &Scenario,
    errors: &mut Vec<String>,
) {
    for id in versions.iter().filter(|id| !scenario.versions.contains_key(*id)) {
        errors.push(format!("{context}: unknown version {id}"));
    }
}

fn require(is_valid: bool, errors: &mut Vec<String>, message: impl FnOnce() -> String) {
    if !is_valid {
        errors.push(message());
    }
}
