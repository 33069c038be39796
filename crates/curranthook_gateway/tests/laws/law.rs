//! The laws by which counts may grow.

/// The sizes at which work is counted: endpoints, or rows of a table.
pub const N_ENDPOINTS: [usize; 4] = [2_500, 5_000, 10_000, 20_000];
/// The sizes at which work is counted that grows with the nodes.
pub const N_NODES: [usize; 4] = [250, 500, 1_000, 2_000];

/// How a count may grow with the size `n`.
#[derive(Debug, Clone, Copy)]
pub enum Law {
    /// Not at all.
    Constant,
    /// With the logarithm.
    Logarithmic,
    /// In proportion.
    Linear,
}

/// How much more than the law allows a count may grow, for rounding and uneven hashes.
const TOLERANCE: f64 = 1.15;

impl Law {
    fn growth(self, from: usize, to: usize) -> f64 {
        let (from, to) = (from as f64, to as f64);
        match self {
            Self::Constant => 1.0,
            Self::Logarithmic => to.log2() / from.log2(),
            Self::Linear => to / from,
        }
    }

    /// Asserts that `count` grows by this law over `sizes`.
    pub fn assert(self, sizes: &[usize], count: impl FnMut(usize) -> usize) {
        let counts: Vec<_> = sizes.iter().copied().map(count).collect();
        for index in 1..sizes.len() {
            let allowed = self.growth(sizes[0], sizes[index]) * TOLERANCE;
            let growth = counts[index] as f64 / counts[0].max(1) as f64;
            let is_kept = growth <= allowed;
            assert!(is_kept, "{self:?} allows {allowed:.2} times as much: {counts:?} at {sizes:?}");
        }
    }
}
