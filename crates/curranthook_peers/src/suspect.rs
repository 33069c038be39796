//! Model versions that failed the health check of some node.
//!
//! A version can turn bad while it is serving. Until a steward has withdrawn it for all nodes, the
//! first node that detects it declares it suspect and informs its peers, which stop using it too.

use std::{collections::HashMap, sync::Arc, time::Duration};

use curranthook_settings::Document;
use curranthook_types::{Clock, version};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// How long a version remains suspect unless the declaration is repeated.
const DECLARATION_TTL: Duration = Duration::from_secs(600);
/// Maximum number of suspect versions; further declarations are ignored.
const MAX_SUSPECTS: usize = 64;

/// A declaration as it appears in a digest: the version and the time, in milliseconds since 1970.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry(pub version::Id, pub u64);

/// The versions that were recently declared suspect.
#[derive(Debug)]
pub struct Suspects {
    clock: Arc<dyn Clock>,
    declared_at_millis: Mutex<HashMap<version::Id, u64>>,
}

impl Suspects {
    /// Creates an empty set.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, declared_at_millis: Mutex::default() }
    }

    /// Declares a version suspect as of now.
    pub fn declare(&self, version: &version::Id) {
        self.merge(&Entry(version.clone(), self.clock.unix_millis()));
    }

    /// Whether a node has declared the version suspect and the declaration is still valid.
    pub fn contains(&self, version: &version::Id) -> bool {
        let now = self.clock.unix_millis();
        self.declared_at_millis
            .lock()
            .get(version)
            .is_some_and(|at_millis| !is_expired(*at_millis, now))
    }

    /// Merges a peer's declaration.
    pub fn merge(&self, entry: &Entry) {
        let now = self.clock.unix_millis();
        let Entry(version, at_millis) = entry;
        if is_expired(*at_millis, now) {
            return;
        }
        let mut declarations = self.declared_at_millis.lock();
        if MAX_SUSPECTS <= declarations.len() && !declarations.contains_key(version) {
            return;
        }
        let known = declarations.entry(version.clone()).or_default();
        *known = (*known).max((*at_millis).min(now));
    }

    /// Removes versions that the document withdraws, since withdrawal is the stronger measure, and
    /// declarations that have expired.
    pub fn prune(&self, document: &Document) {
        let now = self.clock.unix_millis();
        let mut declarations = self.declared_at_millis.lock();
        declarations.retain(|version, at_millis| {
            !is_expired(*at_millis, now) && !document.withdrawn.contains(version)
        });
    }

    /// All suspect versions whose declarations haven't expired.
    pub fn active_entries(&self) -> Vec<Entry> {
        let now = self.clock.unix_millis();
        let declarations = self.declared_at_millis.lock();
        let active = declarations.iter().filter(|(_, at_millis)| !is_expired(**at_millis, now));
        active.map(|(version, at_millis)| Entry(version.clone(), *at_millis)).collect()
    }
}

fn is_expired(at_millis: u64, now_millis: u64) -> bool {
    DECLARATION_TTL < Duration::from_millis(now_millis.saturating_sub(at_millis))
}
