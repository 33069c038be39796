//! The published document: the configuration of all sites under one epoch.
//!
//! Each edit is a pure function from one document to the next, so it can be applied again to a
//! newer document if another operator published first.

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

/// The table and key of the row that contains the published document.
pub const ROW: (&str, &str) = ("config", "current");

/// The published configuration. It is stored in one row of the platform's table and replaced only
/// by compare-and-set, so if two operators publish concurrently, one succeeds and the other gets a
/// conflict.
///
/// Withdrawals, drains and roll-outs are kept separate from the sites' files: publishing a file
/// again must not reinstate a version that a command withdrew.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The number of the publication.
    pub epoch: Epoch,
    /// The publisher, as given on the command line.
    #[serde(default)]
    pub by: String,
    /// When the document was published, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub at_millis: u64,
    /// A random id of this publication.
    ///
    /// The response to a publication can be lost after it took effect. The publisher then reads
    /// the row back and recognises their own publication by this id.
    #[serde(default)]
    pub publication: String,
    /// The ids of the previous publications, newest first, for a publisher that reads the row back
    /// only after later publications.
    #[serde(default)]
    pub earlier: Vec<String>,
    /// The merged configuration of each site.
    pub sites: BTreeMap<site::Id, Config>,
    /// Versions that get no new requests, at any site.
    #[serde(default)]
    pub withdrawn: BTreeSet<version::Id>,
    /// Endpoints that get no new requests.
    #[serde(default)]
    pub drained: BTreeSet<endpoint::Id>,
    /// Roll-outs, by model.
    #[serde(default)]
    pub rollouts: BTreeMap<String, Rollout>,
}

/// The author, time and publication id of an edit.
#[derive(Debug)]
pub struct Stamp<'a> {
    /// The author, as given on the command line.
    pub by: &'a str,
    /// The time of the edit, in milliseconds since the Unix epoch.
    pub at_millis: u64,
    /// The random id of the publication.
    pub publication: &'a str,
}
