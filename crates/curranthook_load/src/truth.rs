//! Ground truth known to the scenario but not to the router: true quality of versions over time.

use std::{collections::BTreeMap, time::Duration};

use curranthook_types::{price, version};

/// Difficulty of a prompt, from 0 to 1; a version answers it well if its quality is higher.
/// The oracle has to predict the stand-in engines, so it uses their function.
pub use curranthook_standin::engine::answer::difficulty;

/// True behaviour of one version.
#[derive(Debug, Clone)]
pub struct Version {
    /// Price of the version.
    pub price: price::Rate,
    /// Tokens per answer.
    pub tokens: u64,
    /// Quality from each start time on; the first entry starts at zero.
    pub quality: Vec<(Duration, f64)>,
}

impl Version {
    /// The quality in force at time `at`.
    pub fn quality_at(&self, at: Duration) -> f64 {
        let in_force = self.quality.iter().take_while(|(since, _)| *since <= at);
        in_force.last().map_or(0.0, |(_, quality)| *quality)
    }
}

/// True behaviour of all versions.
#[derive(Debug, Clone, Default)]
pub struct Truth {
    /// Versions by ID.
    pub versions: BTreeMap<version::Id, Version>,
}

impl Truth {
    /// Cost of an answer with advance knowledge of which version suffices: the cheapest of
    /// `allowed` that is good enough for the prompt. If none is, the cheapest of all, since
    /// no allowed version can answer it well at any price.
    pub fn oracle_cost<'a>(
        &self,
        allowed: impl Iterator<Item = &'a version::Id>,
        difficulty: f64,
        prompt_tokens: u64,
        at: Duration,
    ) -> Option<price::Micros> {
        let candidates = allowed.filter_map(|id| self.versions.get(id)).map(|it| {
            let is_good = difficulty < it.quality_at(at);
            (!is_good, it.price.cost(prompt_tokens, it.tokens))
        });
        candidates.min().map(|(_, cost)| cost)
    }
}
