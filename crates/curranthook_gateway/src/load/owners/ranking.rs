//! The order of the nodes for each endpoint.

use std::{cmp::Reverse, collections::HashMap};

/// The number of nodes that are kept for an endpoint.
const N_KEPT: usize = 8;
/// The maximum number of endpoints for which nodes are kept.
const MAX_ENDPOINTS: usize = 32_768;

/// The first nodes for each endpoint, which many reports and queries need. They are kept until the
/// nodes change.
#[derive(Debug, Default)]
pub(super) struct Ranking {
    first: HashMap<u64, Vec<usize>>,
    n_ranked: u64,
}

impl Ranking {
    /// Forgets all, because the nodes have changed.
    pub fn clear(&mut self) {
        self.first.clear();
    }

    /// The indices of the first of `n_nodes` nodes for an endpoint with `hash`, up to [`N_KEPT`], the
    /// first one first. `rank` is the rank of a node; the highest one comes first.
    pub fn first(&mut self, hash: u64, n_nodes: usize, rank: impl Fn(usize) -> u64) -> &[usize] {
        if MAX_ENDPOINTS <= self.first.len() && !self.first.contains_key(&hash) {
            self.first.clear();
        }
        let n_ranked = &mut self.n_ranked;
        self.first.entry(hash).or_insert_with(|| {
            *n_ranked += n_nodes as u64;
            highest(N_KEPT, 0..n_nodes, rank)
        })
    }

    /// How often a node was ranked.
    pub fn n_ranked(&self) -> u64 {
        self.n_ranked
    }
}

/// The first `n` of the nodes with the given indices, the one of the highest rank first.
pub(super) fn highest(
    n: usize,
    indices: impl Iterator<Item = usize>,
    rank: impl Fn(usize) -> u64,
) -> Vec<usize> {
    let mut ranked: Vec<_> = indices.map(|it| (Reverse(rank(it)), it)).collect();
    if n < ranked.len() {
        ranked.select_nth_unstable(n);
        ranked.truncate(n);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, it)| it).collect()
}
