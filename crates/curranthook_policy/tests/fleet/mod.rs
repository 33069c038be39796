//! A simulation of routers that serve one version and exchange their counts.

use curranthook_policy::verdict::{
    Config, Counts, Origin, Outcome, Reference, Sample, State, Test,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

pub const N_ROUTERS: usize = 8;

/// The parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    pub config: Config,
    pub reference: Reference,
    /// The share of answers that are rated while nothing is suspicious.
    pub base_sampling: f64,
    pub sampling: Sampling,
    /// The number of answers of the whole fleet between two exchanges of counts.
    pub exchange_every: u64,
    pub good_quality: f64,
    pub bad_quality: f64,
}

/// Whether the share of rated answers follows the suspicion of the test.
#[allow(dead_code, reason = "the study compares both, the tests use one")]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sampling {
    Fixed,
    Adaptive,
}

/// Routers that serve one version.
#[derive(Debug)]
pub struct Fleet {
    setup: Setup,
    rng: Pcg64Mcg,
    tests: Vec<Test>,
    origins: Vec<Origin>,
    n_answers: u64,
    pub n_ratings: u64,
}

impl Fleet {
    pub fn new(setup: Setup, seed: u64) -> Self {
        let test = || Test::new(setup.config, setup.reference);
        Self {
            setup,
            rng: Pcg64Mcg::seed_from_u64(seed),
            tests: (0..N_ROUTERS).map(|_| test()).collect(),
            origins: (0..N_ROUTERS).map(origin).collect(),
            n_answers: 0,
            n_ratings: 0,
        }
    }

    /// Serves `n` good answers. Returns the number of answers before a false alarm, if there was
    /// one.
    pub fn run_good(&mut self, n: u64) -> Option<u64> {
        let quality = self.setup.good_quality;
        (0..n).find(|_| {
            self.serve_one(quality);
            self.tests.iter().any(|it| it.state() != State::Clear)
        })
    }

    /// Serves bad answers. Returns their number until all routers stopped, at most `limit`.
    pub fn run_bad(&mut self, limit: u64) -> u64 {
        let quality = self.setup.bad_quality;
        let mut n = 0;
        while n < limit && self.serve_one(quality) {
            n += 1;
        }
        n
    }

    /// Serves one answer by a router that still uses the version. Returns `false` if there is none.
    fn serve_one(&mut self, quality: f64) -> bool {
        let active: Vec<usize> =
            (0..N_ROUTERS).filter(|it| self.tests[*it].state() == State::Clear).collect();
        if active.is_empty() {
            return false;
        }
        let router = active[self.rng.random_range(0..active.len())];
        let share = match self.setup.sampling {
            Sampling::Fixed => self.setup.base_sampling,
            Sampling::Adaptive => self.tests[router].sampling_rate(self.setup.base_sampling),
        };
        let sample = draw_sample(&mut self.rng, quality, share);
        self.n_ratings += u64::from(sample.rating.is_some());
        self.tests[router].add(sample);

        self.n_answers += 1;
        if self.n_answers.is_multiple_of(self.setup.exchange_every) {
            self.exchange_counts();
        }
        true
    }

    fn exchange_counts(&mut self) {
        let counts: Vec<Counts> = self.tests.iter().map(|it| *it.counts()).collect();
        let suspicion = self.tests.iter().find_map(|it| match it.state() {
            State::Clear => None,
            State::Suspect(reason) => Some(reason),
        });
        for (to, test) in self.tests.iter_mut().enumerate() {
            for (from, counts) in counts.iter().enumerate().filter(|(from, _)| *from != to) {
                test.merge_counts(&self.origins[from], *counts);
            }
        }
        // The alarm of one router is sent to the others by gossip and applies to all.
        if let Some(reason) = suspicion {
            self.tests.iter_mut().for_each(|it| it.set_suspect(reason));
        }
    }
}

fn origin(router: usize) -> Origin {
    Origin { vm: format!("vm-{router}").as_str().into(), incarnation: 1 }
}

/// Draws one call: a hundredth of calls fail, answers have 50 to 400 tokens, ratings are 0 or 1.
fn draw_sample(rng: &mut Pcg64Mcg, quality: f64, share: f64) -> Sample {
    const ERROR_RATE: f64 = 0.01;
    let tokens = rng.random_range(50..400);
    if rng.random::<f64>() < ERROR_RATE {
        return Sample { rating: None, outcome: Outcome::Error, tokens: 0 };
    }
    let is_rated = rng.random::<f64>() < share;
    let is_good = rng.random::<f64>() < quality;
    let rating = is_rated.then_some(if is_good { 1.0 } else { 0.0 });
    Sample { rating, outcome: Outcome::Answered, tokens }
}

/// The counts of a version with 1,000 ratings of the given mean.
pub fn established_reference(mean: f64) -> Reference {
    const N_SAMPLES: u64 = 1_000;
    let mut rng = Pcg64Mcg::seed_from_u64(0);
    let samples = (0..N_SAMPLES).map(|_| Counts::from(draw_sample(&mut rng, mean, 0.0)));
    let counts = samples.fold(Counts::default(), |sum, it| sum.plus(&it));
    // Exactly the given mean, so that the study doesn't depend on one random draw of the reference.
    let sum = mean * N_SAMPLES as f64;
    Reference::Other(Counts { n: N_SAMPLES, sum, squares: sum, ..counts })
}
