//! Quality estimates of versions as second stage of a cascade.

use std::{collections::HashMap, time::Instant};

use curranthook_types::{kind, version};

use crate::choice::estimate::Estimate;

/// Estimates by first version, then by second version.
pub(crate) type Pairs = HashMap<version::Id, HashMap<version::Id, Estimate>>;

/// The quality of versions on requests that another version failed, by kind of work.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    kinds: HashMap<kind::Id, Pairs>,
}

impl Estimates {
    pub(crate) fn add(
        &mut self,
        kind: &kind::Id,
        first: &version::Id,
        second: &version::Id,
        rating: f64,
        now: Instant,
    ) {
        let pairs = self.kinds.entry(kind.clone()).or_default();
        let by_second = pairs.entry(first.clone()).or_default();
        by_second.entry(second.clone()).or_default().add(rating, now);
    }

    pub(crate) fn for_kind(&self, kind: &kind::Id) -> Option<&Pairs> {
        self.kinds.get(kind)
    }
}
