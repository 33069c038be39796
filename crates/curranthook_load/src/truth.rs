//! What the scenario knows and the router doesn't: each version's true quality over time.

use std::{collections::BTreeMap, time::Duration};

use curranthook_types::{price, version};

/// How difficult a prompt is, from 0 to 1: a version answers it well if its quality is higher.
/// The oracle has to know what the stand-in engines will do, so their function is used.
pub use curranthook_standin::engine::answer::difficulty;

/// One version as it really is.
#[derive(Debug, Clone)]
pub struct Version {
    /// What it costs.
    pub price: price::Rate,
    /// The tokens of its answers.
    pub tokens: u64,
    /// Its quality from each time on, the first from zero.
    pub quality: Vec<(Duration, f64)>,
}

impl Version {
    /// The quality in force at `at`.
    pub fn quality_at(&self, at: Duration) -> f64 {
        let begun = self.quality.iter().take_while(|(since, _)| *since <= at);
        begun.last().map_or(0.0, |(_, quality)| *quality)
    }
}

/// All versions as they really are.
#[derive(Debug, Clone, Default)]
pub struct Truth {
    /// The versions, by id.
    pub versions: BTreeMap<version::Id, Version>,
}

impl Truth {
    /// What the answer costs one who knows beforehand which version will do: the cheapest of
    /// `allowed` that is good enough for the prompt. Where none is, the cheapest of all, as
    /// money can't buy a good answer then.
    pub fn oracle<'a>(
        &self,
        allowed: impl Iterator<Item = &'a version::Id>,
        difficulty: f64,
        prompt_tokens: u64,
        at: Duration,
    ) -> Option<price::Micros> {
        let offers = allowed.filter_map(|id| self.versions.get(id)).map(|it| {
            let is_good = difficulty < it.quality_at(at);
            (!is_good, it.price.cost(prompt_tokens, it.tokens))
        });
        offers.min().map(|(_, cost)| cost)
    }
}
