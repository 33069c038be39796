//! How requests of a kind of work were served of late.

use curranthook_types::version;

/// Answers after which an old one no longer counts.
const MEMORY: f64 = 1_000.0;

/// How requests of a kind of work were served of late, and what quality was wanted of them.
#[derive(Debug, Default)]
pub(crate) struct Served {
    ways: Vec<Way>,
    wanted: f64,
}

/// A version or cascade, and how many answers it gave.
#[derive(Debug)]
struct Way {
    first: version::Id,
    second: Option<version::Id>,
    n: f64,
    quality: f64,
}

impl Way {
    fn is(&self, first: &version::Id, second: Option<&version::Id>) -> bool {
        self.first == *first && self.second.as_ref() == second
    }
}

impl Served {
    pub(crate) fn add(
        &mut self,
        first: &version::Id,
        second: Option<&version::Id>,
        quality: f64,
        wanted: f64,
    ) {
        const KEEP: f64 = 1.0 - 1.0 / MEMORY;
        self.wanted = self.wanted * KEEP + wanted;
        self.ways.iter_mut().for_each(|it| it.n *= KEEP);
        match self.ways.iter_mut().find(|it| it.is(first, second)) {
            Some(way) => {
                way.n += 1.0;
                way.quality = quality;
            }
            None => {
                let (first, second) = (first.clone(), second.cloned());
                self.ways.push(Way { first, second, n: 1.0, quality });
            }
        }
    }

    /// Values what each way gave by what is known of it now; a way of which nothing is known
    /// now, say because it isn't allowed here, keeps its value.
    pub(crate) fn revalue(
        &mut self,
        quality: impl Fn(&version::Id, Option<&version::Id>) -> Option<f64>,
    ) {
        for way in &mut self.ways {
            if let Some(quality) = quality(&way.first, way.second.as_ref()) {
                way.quality = quality;
            }
        }
    }

    /// How many more answers were good than wanted, as far as is known.
    pub(crate) fn excess(&self) -> f64 {
        let good: f64 = self.ways.iter().map(|it| it.n * it.quality).sum();
        good - self.wanted
    }
}
