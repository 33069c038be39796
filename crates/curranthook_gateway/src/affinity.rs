//! Where the shared parts of prompts were read last, as far as this node sent them.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use curranthook_types::endpoint;

/// How long parts are taken to be kept. Engines drop the parts that were used least recently.
const KEPT: Duration = Duration::from_secs(30);
/// How many subjects are remembered; the oldest are forgotten first.
const CAPACITY: usize = 4_096;
/// How many endpoints are remembered for a subject.
const PLACES: usize = 3;

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

    /// Whether `endpoint` is likely to have the parts of `subject`.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use curranthook_gateway::affinity::Affinity;
    /// let (mut affinity, now) = (Affinity::default(), Instant::now());
    /// affinity.read(7, &"engine-1".into(), now);
    /// assert!(affinity.holds(7, &"engine-1".into(), now));
    /// assert!(!affinity.holds(7, &"engine-2".into(), now));
    /// ```
    pub fn holds(&self, subject: u64, endpoint: &endpoint::Id, now: Instant) -> bool {
        let Some(places) = self.places.get(&subject) else { return false };
        places.iter().any(|(id, at)| id == endpoint && now.saturating_duration_since(*at) < KEPT)
    }
}
