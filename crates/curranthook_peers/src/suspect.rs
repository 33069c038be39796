//! Versions that some node's own test found bad.
//!
//! A version can turn bad while serving. Until a steward has withdrawn it for all, the node that
//! noticed first tells its peers, which then stop using it too.

use std::{collections::HashMap, sync::Arc, time::Duration};

use curranthook_settings::Document;
use curranthook_types::{Clock, version};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// How long a declaration holds unless it's made again.
const EXPIRY: Duration = Duration::from_secs(600);
/// How many versions can be suspect at once.
const MAX_ENTRIES: usize = 64;

/// A declaration as a digest carries it: the version and the time, in milliseconds since 1970.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry(pub version::Id, pub u64);

/// The versions declared suspect lately.
#[derive(Debug)]
pub struct Suspects {
    clock: Arc<dyn Clock>,
    at_millis: Mutex<HashMap<version::Id, u64>>,
}

impl Suspects {
    /// None yet.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, at_millis: Mutex::default() }
    }

    /// Declares a version suspect from now on.
    pub fn declare(&self, version: &version::Id) {
        self.merge(&Entry(version.clone(), self.clock.unix_millis()));
    }

    /// Whether a node declared it suspect, and that holds.
    pub fn contains(&self, version: &version::Id) -> bool {
        let now = self.clock.unix_millis();
        self.at_millis.lock().get(version).is_some_and(|at| !is_expired(*at, now))
    }

    /// Takes in a peer's declaration.
    pub fn merge(&self, entry: &Entry) {
        let now = self.clock.unix_millis();
        let Entry(version, at) = entry;
        if is_expired(*at, now) {
            return;
        }
        let mut all = self.at_millis.lock();
        if MAX_ENTRIES <= all.len() && !all.contains_key(version) {
            return;
        }
        let known = all.entry(version.clone()).or_default();
        *known = (*known).max((*at).min(now));
    }

    /// Forgets what the document withdraws, as that is stronger, and what expired.
    pub fn settle(&self, document: &Document) {
        let now = self.clock.unix_millis();
        let mut all = self.at_millis.lock();
        all.retain(|version, at| !is_expired(*at, now) && !document.withdrawn.contains(version));
    }

    /// All that hold.
    pub fn all(&self) -> Vec<Entry> {
        let now = self.clock.unix_millis();
        let all = self.at_millis.lock();
        let live = all.iter().filter(|(_, at)| !is_expired(**at, now));
        live.map(|(version, at)| Entry(version.clone(), *at)).collect()
    }
}

fn is_expired(at_millis: u64, now_millis: u64) -> bool {
    EXPIRY < Duration::from_millis(now_millis.saturating_sub(at_millis))
}
