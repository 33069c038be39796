//! What is published: all sites under one epoch.
//!
//! Each edit is a pure function from one document to the next, so it can be applied again to a
//! newer document when another operator was quicker.

mod difference;
mod edit;
mod error;
mod rollout;

use std::collections::{BTreeMap, BTreeSet};

use curranthook_types::{Epoch, endpoint, site, version};
use serde::{Deserialize, Serialize};

pub use self::{
    difference::{Change, difference},
    error::Error,
    rollout::Plan,
};
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
    /// A random id of this publication.
    ///
    /// The answer to a publication can be lost after it took effect. The id then tells the
    /// publisher, who reads the row back, whether it was their own.
    #[serde(default)]
    pub publication: String,
    /// The ids of the publications just before, newest first, for a publisher that reads the
    /// row back only after others have published on top.
    #[serde(default)]
    pub earlier: Vec<String>,
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

/// Who makes an edit, when, and the id of its publication.
#[derive(Debug)]
pub struct Stamp<'a> {
    /// Who, as given on the command line.
    pub by: &'a str,
    /// When, in milliseconds since 1970.
    pub at_millis: u64,
    /// A random id.
    pub publication: &'a str,
}
