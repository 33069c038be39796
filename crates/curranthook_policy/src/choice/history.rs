//! The recent answers to one kind of work and their expected quality.

use curranthook_types::version;

/// The time constant of the exponential decay, in answers. Much older answers have almost no
/// weight.
const MEMORY_ANSWERS: f64 = 1_000.0;

/// The recent answers to one kind of work by version or cascade, and the quality required of them.
#[derive(Debug, Default)]
pub(crate) struct History {
    entries: Vec<Entry>,
    required: f64,
}

/// A version or cascade, with its decayed number of answers and its estimated quality.
#[derive(Debug)]
struct Entry {
    first: version::Id,
    second: Option<version::Id>,
    n: f64,
    quality: f64,
}

impl Entry {
    fn matches(&self, first: &version::Id, second: Option<&version::Id>) -> bool {
        self.first == *first && self.second.as_ref() == second
    }
}

impl History {
    pub(crate) fn add(
        &mut self,
        first: &version::Id,
        second: Option<&version::Id>,
        quality: f64,
        required: f64,
    ) {
        const DECAY: f64 = 1.0 - 1.0 / MEMORY_ANSWERS;
        self.required = self.required * DECAY + required;
        self.entries.iter_mut().for_each(|it| it.n *= DECAY);
        match self.entries.iter_mut().find(|it| it.matches(first, second)) {
            Some(entry) => {
                entry.n += 1.0;
                entry.quality = quality;
            }
            None => {
                let (first, second) = (first.clone(), second.cloned());
                self.entries.push(Entry { first, second, n: 1.0, quality });
            }
        }
    }

    /// Updates the quality of each entry to the current estimate. An entry without a current
    /// estimate, for example because the version is not allowed for this request, keeps its value.
    pub(crate) fn reestimate(
        &mut self,
        quality: impl Fn(&version::Id, Option<&version::Id>) -> Option<f64>,
    ) {
        for entry in &mut self.entries {
            if let Some(quality) = quality(&entry.first, entry.second.as_ref()) {
                entry.quality = quality;
            }
        }
    }

    /// The estimated number of good answers minus the required number; negative if too few were
    /// good.
    pub(crate) fn excess(&self) -> f64 {
        let n_good: f64 = self.entries.iter().map(|it| it.n * it.quality).sum();
        n_good - self.required
    }
}
