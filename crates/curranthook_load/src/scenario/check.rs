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
pub(super) fn faults(scenario: &Scenario) -> Vec<String> {
    let mut faults = Vec::new();
    sizes(scenario, &mut faults);
    versions(scenario, &mut faults);
    callers(scenario, &mut faults);
    events(scenario, &mut faults);
    faults
}

fn sizes(scenario: &Scenario, faults: &mut Vec<String>) {
    let duration = scenario.duration();
    let arrivals = scenario.phases.iter().map(|it| it.duration.as_secs_f64() * it.rate);
    let arrivals: f64 = arrivals.sum();
    let has_length = !duration.is_zero() && duration <= MAX_DURATION;
    expect(has_length, faults, || format!("{duration:?} of arrivals"));
    expect(arrivals <= MAX_ARRIVALS, faults, || format!("{arrivals} arrivals"));
    expect(!scenario.failure_domains.is_empty(), faults, || "no failure domain".to_owned());
    expect(0 < scenario.routers, faults, || "no router".to_owned());
    expect(scenario.stewards <= scenario.routers, faults, || {
        "more stewards than routers".to_owned()
    });
    expect(scenario.warmup < duration, faults, || "nothing but warm-up".to_owned());
}

fn versions(scenario: &Scenario, faults: &mut Vec<String>) {
    for (id, version) in &scenario.versions {
        for share in [version.quality, version.error_rate, version.claimed.unwrap_or_default()] {
            expect((0.0..=1.0).contains(&share), faults, || format!("{id}: {share} is no share"));
        }
        let serves = scenario.engines.iter().any(|it| it.versions.contains(id));
        expect(serves, faults, || format!("no engine serves {id}"));
    }
    for engines in &scenario.engines {
        known(&engines.name, &engines.versions, scenario, faults);
    }
}

fn callers(scenario: &Scenario, faults: &mut Vec<String>) {
    expect(!scenario.accounts.is_empty(), faults, || "no account".to_owned());
    expect(!scenario.kinds.is_empty(), faults, || "no kind of work".to_owned());
    for (id, account) in &scenario.accounts {
        expect(0.0 < account.weight, faults, || format!("{id}: weight {}", account.weight));
        known(id.as_str(), &account.versions, scenario, faults);
    }
    for (id, kind) in &scenario.kinds {
        expect(0.0 < kind.weight, faults, || format!("{id}: weight {}", kind.weight));
        let Some(service) = &kind.service else { continue };
        let exists = scenario.services.iter().any(|it| it.name == *service);
        expect(exists, faults, || format!("{id}: no service {service}"));
    }
    for repeat in &scenario.repeats {
        let exists = scenario.accounts.contains_key(&repeat.account)
            && scenario.kinds.contains_key(&repeat.kind);
        expect(exists, faults, || format!("repeat {:?}: unknown account or kind", repeat.text));
    }
}

fn events(scenario: &Scenario, faults: &mut Vec<String>) {
    let ids: BTreeSet<String> = scenario.engines.iter().flat_map(super::Engines::ids).collect();
    let last = scenario.duration();
    for event in &scenario.events {
        let at = event.at;
        expect(at <= last, faults, || format!("event at {at:?}, after the last arrival"));
        match &event.action {
            Action::Fault { engines, .. } | Action::Kill { engines } => {
                let Targets::Some(named) = engines else { continue };
                for id in named.iter().filter(|id| !ids.contains(*id)) {
                    faults.push(format!("event at {at:?}: no engine {id}"));
                }
            }
            Action::Quality { version, .. } | Action::Withdraw { version } => {
                known("event", &[version.clone()].into(), scenario, faults);
            }
            Action::Rollout { from, to, .. } => {
                known("event", &[from.clone(), to.clone()].into(), scenario, faults);
            }
        }
    }
}

fn known(
    place: &str,
    versions: &BTreeSet<version::Id>,
    scenario: &Scenario,
    faults: &mut Vec<String>,
) {
    for id in versions.iter().filter(|id| !scenario.versions.contains_key(*id)) {
        faults.push(format!("{place}: unknown version {id}"));
    }
}

fn expect(holds: bool, faults: &mut Vec<String>, fault: impl FnOnce() -> String) {
    if !holds {
        faults.push(fault());
    }
}
