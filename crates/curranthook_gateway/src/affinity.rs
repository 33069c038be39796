//! Where the shared parts of prompts were read last, as far as this node sent them or was told.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use curranthook_types::endpoint;
use serde::{Deserialize, Serialize};

/// How long parts are taken to be kept. Engines drop the parts that were used least recently.
const KEPT: Duration = Duration::from_secs(30);
/// How many subjects are remembered; the oldest are forgotten first.
const CAPACITY: usize = 4_096;
/// How many endpoints are remembered for a subject.
const PLACES: usize = 3;

/// Parts that were sent to an endpoint to be read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// The hash of the model and the parts.
    pub subject: u64,
    /// The endpoint.
    pub endpoint: endpoint::Id,
}

/// The endpoints that read the parts of each subject.
#[derive(Debug, Default)]
pub struct Affinity {
    places: HashMap<u64, Vec<(endpoint::Id, Instant)>>,
    order: VecDeque<u64>,
}

impl Affinity {
    /// The parts of `subject` were read at `endpoint`.
    pub fn read(&mut self, subject: u64, endpoint: &endpoint::Id, now: Instant) {
        let places = self.places.entry(subject).or_insert_with(|| {
            self.order.push_back(subject);
            Vec::new()
        });
        places.retain(|(id, _)| id != endpoint);
        places.push((endpoint.clone(), now));
        if PLACES < places.len() {
            places.remove(0);
        }
        while CAPACITY < self.order.len() {
            if let Some(oldest) = self.order.pop_front() {
                self.places.remove(&oldest);
            }
        }
    }

    /// The endpoints that are likely to have the parts of `subject`.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use curranthook_gateway::affinity::Affinity;
    /// let (mut affinity, now) = (Affinity::default(), Instant::now());
    /// affinity.read(7, &"engine-1".into(), now);
    /// assert_eq!(affinity.holders(7, now), ["engine-1".into()]);
    /// assert!(affinity.holders(8, now).is_empty());
    /// ```
    pub fn holders(&self, subject: u64, now: Instant) -> Vec<endpoint::Id> {
        let places = self.places.get(&subject).map_or(&[][..], Vec::as_slice);
        let is_kept = |at: Instant| now.saturating_duration_since(at) < KEPT;
        places.iter().filter(|(_, at)| is_kept(*at)).map(|(id, _)| id.clone()).collect()
    }
}
