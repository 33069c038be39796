//! Remembers which endpoints are likely to have a prompt prefix cached: those that this node sent
//! it to, or that peers reported.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use curranthook_types::endpoint;
use serde::{Deserialize, Serialize};

/// How long a prefix is assumed to stay cached. Engines evict the least recently used prefixes.
const RETENTION: Duration = Duration::from_secs(30);
/// The number of prefixes that are remembered; the oldest are evicted first.
const MAX_PREFIXES: usize = 4_096;
/// The number of endpoints that are remembered per prefix.
const MAX_ENDPOINTS_PER_PREFIX: usize = 3;

/// A prompt prefix that was sent to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The hash of the model and of the prefix.
    #[serde(rename = "subject")]
    pub prefix_hash: u64,
    /// The endpoint that the prefix was sent to.
    pub endpoint: endpoint::Id,
}

/// The endpoints that processed each prefix.
#[derive(Debug, Default)]
pub struct Affinity {
    endpoints: HashMap<u64, Vec<(endpoint::Id, Instant)>>,
    insertion_order: VecDeque<u64>,
}

impl Affinity {
    /// Records that a prefix was processed at `endpoint`.
    pub fn record(&mut self, prefix_hash: u64, endpoint: &endpoint::Id, now: Instant) {
        let endpoints = self.endpoints.entry(prefix_hash).or_insert_with(|| {
            self.insertion_order.push_back(prefix_hash);
            Vec::new()
        });
        endpoints.retain(|(id, _)| id != endpoint);
        endpoints.push((endpoint.clone(), now));
        if MAX_ENDPOINTS_PER_PREFIX < endpoints.len() {
            endpoints.remove(0);
        }
        while MAX_PREFIXES < self.insertion_order.len() {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.endpoints.remove(&oldest);
            }
        }
    }

    /// The endpoints that are likely to have a prefix cached.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use curranthook_gateway::affinity::Affinity;
    /// let (mut affinity, now) = (Affinity::default(), Instant::now());
    /// affinity.record(7, &"engine-1".into(), now);
    /// assert_eq!(affinity.holders(7, now), ["engine-1".into()]);
    /// assert!(affinity.holders(8, now).is_empty());
    /// ```
    pub fn holders(&self, prefix_hash: u64, now: Instant) -> Vec<endpoint::Id> {
        let endpoints = self.endpoints.get(&prefix_hash).map_or(&[][..], Vec::as_slice);
        let is_retained = |at: Instant| now.saturating_duration_since(at) < RETENTION;
        endpoints.iter().filter(|(_, at)| is_retained(*at)).map(|(id, _)| id.clone()).collect()
    }
}
