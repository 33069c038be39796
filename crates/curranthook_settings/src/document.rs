//! What is published: all sites under one epoch.

use std::collections::{BTreeMap, BTreeSet};

use curranthook_types::{Epoch, endpoint, site, version};
use serde::{Deserialize, Serialize};

use crate::{Config, rollout::Rollout};

/// The table and key of the published document.
pub const ROW: (&str, &str) = ("config", "current");

/// The published configuration. It lies in one row of the platform's table and is replaced by
/// compare-and-set only, so of two racing operators one wins and the other is told.
///
/// Withdrawals, drains and roll-outs stand apart from the sites' files: publishing a file
/// again must not bring back a version that a command withdrew.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Counts publications.
    pub epoch: Epoch,
    /// Who published, as given on the command line.
    #[serde(default)]
    pub by: String,
    /// When, in milliseconds since 1970.
    #[serde(default)]
    pub at_millis: u64,
    /// The merged configuration of each site.
    pub sites: BTreeMap<site::Id, Config>,
    /// Versions that get no new work, at any site.
    #[serde(default)]
    pub withdrawn: BTreeSet<version::Id>,
    /// Endpoints that get no new work.
    #[serde(default)]
    pub drained: BTreeSet<endpoint::Id>,
    /// Roll-outs, by model.
    #[serde(default)]
    pub rollouts: BTreeMap<String, Rollout>,
}
