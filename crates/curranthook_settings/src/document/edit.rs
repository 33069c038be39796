//! Edits of the document for publications, withdrawals and drains.

use std::collections::BTreeMap;

use curranthook_types::{endpoint, site, version};

use super::{Document, Error, Stamp};
use crate::{Config, rollout::State};

/// The maximum number of previous publications that a document lists. A publisher whose response
/// was lost reads the row back within seconds, during which there are far fewer publications.
const MAX_EARLIER_PUBLICATIONS: usize = 16;

impl Document {
    /// The document that publishes `sites`.
    ///
    /// Sites that are not in `sites` remain unchanged, so that the files of one site can be
    /// published alone. Withdrawals, drains and roll-outs remain too: the files do not contain
    /// them, and publishing an older file must not reinstate a withdrawn version.
    ///
    /// ```
    /// # use curranthook_settings::document::{Document, Stamp};
    /// let stamp = Stamp { by: "lan", at_millis: 1, publication: "p1" };
    /// let first = Document::publish(None, Default::default(), &stamp);
    /// let second = Document::publish(Some(&first), Default::default(), &stamp);
    /// assert_eq!((first.epoch.0, second.epoch.0), (1, 2));
    /// ```
    pub fn publish(
        current: Option<&Self>,
        sites: BTreeMap<site::Id, Config>,
        stamp: &Stamp<'_>,
    ) -> Self {
        let mut next = current.cloned().unwrap_or_default().next(stamp);
        next.sites.extend(sites);
        next
    }

    /// The document with `version` withdrawn. An active roll-out to the version is aborted.
    ///
    /// ```
    /// # use curranthook_settings::document::{Document, Error, Stamp};
    /// let stamp = Stamp { by: "lan", at_millis: 1, publication: "p1" };
    /// let result = Document::default().withdraw(&"m@1".into(), &stamp);
    /// assert_eq!(result, Err(Error::UnknownVersion("m@1".into())));
    /// ```
    pub fn withdraw(&self, version: &version::Id, stamp: &Stamp<'_>) -> Result<Self, Error> {
        if self.withdrawn.contains(version) {
            return Err(Error::AlreadyWithdrawn(version.clone()));
        }
        self.check_version(version)?;
        let mut next = self.next(stamp);
        next.withdrawn.insert(version.clone());
        let targets = next.rollouts.values_mut().filter(|it| it.to == *version);
        for rollout in targets.filter(|it| it.is_active()) {
            rollout.state = State::Aborted;
            rollout.since_millis = stamp.at_millis;
        }
        Ok(next)
    }

    /// The document with `version` reinstated. An aborted roll-out stays aborted.
    ///
    /// ```
    /// # use curranthook_settings::document::{Document, Error, Stamp};
    /// let stamp = Stamp { by: "lan", at_millis: 1, publication: "p1" };
    /// let result = Document::default().reinstate(&"m@1".into(), &stamp);
    /// assert_eq!(result, Err(Error::NotWithdrawn("m@1".into())));
    /// ```
    pub fn reinstate(&self, version: &version::Id, stamp: &Stamp<'_>) -> Result<Self, Error> {
        if !self.withdrawn.contains(version) {
            return Err(Error::NotWithdrawn(version.clone()));
        }
        let mut next = self.next(stamp);
        next.withdrawn.remove(version);
        Ok(next)
    }

    /// The document with `endpoint` drained, so that it gets no new requests.
    ///
    /// ```
    /// # use curranthook_settings::document::{Document, Error, Stamp};
    /// let stamp = Stamp { by: "lan", at_millis: 1, publication: "p1" };
    /// let result = Document::default().drain(&"e-1".into(), &stamp);
    /// assert_eq!(result, Err(Error::UnknownEndpoint("e-1".into())));
    /// ```
    pub fn drain(&self, endpoint: &endpoint::Id, stamp: &Stamp<'_>) -> Result<Self, Error> {
        if self.drained.contains(endpoint) {
            return Err(Error::AlreadyDrained(endpoint.clone()));
        }
        if !self.sites.values().any(|it| it.endpoints.contains_key(endpoint)) {
            return Err(Error::UnknownEndpoint(endpoint.clone()));
        }
        let mut next = self.next(stamp);
        next.drained.insert(endpoint.clone());
        Ok(next)
    }

    /// The document with `endpoint` no longer drained.
    ///
    /// ```
    /// # use curranthook_settings::document::{Document, Error, Stamp};
    /// let stamp = Stamp { by: "lan", at_millis: 1, publication: "p1" };
    /// let result = Document::default().undrain(&"e-1".into(), &stamp);
    /// assert_eq!(result, Err(Error::NotDrained("e-1".into())));
    /// ```
    pub fn undrain(&self, endpoint: &endpoint::Id, stamp: &Stamp<'_>) -> Result<Self, Error> {
        if !self.drained.contains(endpoint) {
            return Err(Error::NotDrained(endpoint.clone()));
        }
        let mut next = self.next(stamp);
        next.drained.remove(endpoint);
        Ok(next)
    }

    /// Whether `id` is the publication of this document or one of the listed previous ones.
    ///
    /// ```
    /// # use curranthook_settings::document::{Document, Stamp};
    /// let stamp = |publication| Stamp { by: "lan", at_millis: 1, publication };
    /// let first = Document::publish(None, Default::default(), &stamp("p1"));
    /// let second = Document::publish(Some(&first), Default::default(), &stamp("p2"));
    /// assert!(second.includes("p1") && second.includes("p2") && !second.includes("p3"));
    /// ```
    pub fn includes(&self, id: &str) -> bool {
        self.publication == id || self.earlier.iter().any(|it| it == id)
    }

    pub(super) fn check_version(&self, version: &version::Id) -> Result<(), Error> {
        if self.sites.values().any(|it| it.versions.contains_key(version)) {
            return Ok(());
        }
        Err(Error::UnknownVersion(version.clone()))
    }

    /// A copy with the next epoch and the author, time and publication id of `stamp`.
    pub(super) fn next(&self, stamp: &Stamp<'_>) -> Self {
        let mut next = self.clone();
        next.epoch = self.epoch.next();
        next.by = stamp.by.to_owned();
        next.at_millis = stamp.at_millis;
        let previous = std::mem::replace(&mut next.publication, stamp.publication.to_owned());
        if !previous.is_empty() {
            next.earlier.insert(0, previous);
            next.earlier.truncate(MAX_EARLIER_PUBLICATIONS);
        }
        next
    }
}
