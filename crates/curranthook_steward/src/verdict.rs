//! Withdraws versions that turned bad.
//!
//! Every router tests what it sees and leaves a suspect alone by itself. Here the evidence of
//! all nodes together is tested once more before a version is withdrawn for everyone, so that
//! the false alarms of many nodes don't add up.

use std::collections::HashMap;

use curranthook_policy::verdict::{Config, Reason, Reference, State, Test};
use curranthook_settings::{Document, config::Weigh};
use curranthook_types::version;

use crate::evidence::Row;

/// The tests of all versions.
#[derive(Debug, Default)]
pub struct Monitor {
    tests: HashMap<version::Id, Test>,
}

/// A version to be withdrawn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// Which.
    pub version: version::Id,
    /// Why.
    pub reason: Reason,
}

impl Monitor {
    /// Takes in the evidence and names the versions to be withdrawn.
    pub fn evaluate(&mut self, document: &Document, rows: &[Row]) -> Vec<Verdict> {
        for (version, origin, counts) in rows {
            let test = self
                .tests
                .entry(version.clone())
                .or_insert_with(|| Test::new(Config::default(), Reference::Own));
            test.merge_counts(origin, *counts);
        }
        self.tests
            .iter()
            .filter(|(version, _)| !document.withdrawn.contains(*version))
            .filter_map(|(version, test)| match test.state() {
                State::Suspect(reason) => Some(Verdict { version: version.clone(), reason }),
                State::Clear => None,
            })
            .filter(|it| may_withdraw(document, &it.version))
            .collect()
    }

    /// The state of a version's test, for a roll-out to it.
    pub fn state(&self, version: &version::Id) -> State {
        self.tests.get(version).map_or(State::Clear, Test::state)
    }

    /// Starts the test of `version` anew, after an operator brought it back.
    pub fn reset(&mut self, version: &version::Id) {
        self.tests.remove(version);
    }
}

/// Whether a version may be withdrawn without asking an operator. Where latency is weighed most,
/// an account is never left with no version at all: slow trucks at the gate are worse than
/// poor answers. Where exposure is weighed most, no answer is better than a wrong one.
fn may_withdraw(document: &Document, version: &version::Id) -> bool {
    document.sites.values().all(|config| {
        config.policy.weigh == Weigh::Exposure
            || config.accounts.values().filter(|it| it.versions.contains(version)).all(|it| {
                it.versions.iter().any(|id| id != version && !document.withdrawn.contains(id))
            })
    })
}
