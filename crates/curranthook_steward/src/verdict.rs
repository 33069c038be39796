//! Withdraws versions whose quality dropped.
//!
//! Every router tests the answers it sees and stops using a suspect version on its own. Here the
//! counts of all nodes together are tested again before a version is withdrawn for all, so that the
//! false alarms of many nodes don't add up.

use std::collections::HashMap;

use curranthook_policy::verdict::{Config, Reason, Reference, State, Test};
use curranthook_settings::{Document, config::Objective};
use curranthook_types::version;

use crate::evidence::Row;

/// The sequential tests of all versions.
#[derive(Debug, Default)]
pub struct Monitor {
    tests: HashMap<version::Id, Test>,
}

/// The decision to withdraw a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The version to withdraw.
    pub version: version::Id,
    /// The measure by which the version got worse.
    pub reason: Reason,
}

impl Monitor {
    /// Merges the counts and returns the versions to withdraw.
    pub fn evaluate(&mut self, document: &Document, rows: &[Row]) -> Vec<Verdict> {
        for (version, origin, counts) in rows {
            let version_test = self
                .tests
                .entry(version.clone())
                .or_insert_with(|| Test::new(Config::default(), Reference::Own));
            version_test.merge_counts(origin, *counts);
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

    /// The state of a version's test, for a rollout to it.
    pub fn state(&self, version: &version::Id) -> State {
        self.tests.get(version).map_or(State::Clear, Test::state)
    }

    /// Restarts the test of `version`, so that it is tested anew if an operator reinstates it.
    pub fn reset(&mut self, version: &version::Id) {
        self.tests.remove(version);
    }
}

/// Whether a version may be withdrawn without asking an operator. Where the policy weighs latency
/// most, an account is never left without a version: for its callers, delays are worse than poor
/// answers. Where it weighs exposure most, no answer is better than a wrong one.
fn may_withdraw(document: &Document, version: &version::Id) -> bool {
    document.sites.values().all(|config| {
        config.policy.weigh == Objective::Exposure
            || config.accounts.values().filter(|it| it.versions.contains(version)).all(|it| {
                it.versions.iter().any(|id| id != version && !document.withdrawn.contains(id))
            })
    })
}
