//! Work that other nodes have sent to engines and that has not begun yet.
//!
//! An engine prefills prompts one after another, and a prompt may take seconds. A node does not see
//! the prompts that other nodes send, so each node reports its pending work at each endpoint (see
//! [`reports`]). This table contains the reports received from other nodes.
//!
//! [`reports`]: crate::load::reports

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use curranthook_types::endpoint;

use crate::load::{breakdown::PendingWork, work::Work};

/// How long a report is valid after it was received. A node with pending work repeats its report
/// more often.
const EXPIRY: Duration = Duration::from_millis(800);

/// The last report of each node.
#[derive(Debug, Default)]
pub struct LoadTable {
    nodes: HashMap<String, (Instant, PendingWork)>,
}

impl LoadTable {
    /// Stores the report of `node`, in place of its previous one, and removes expired reports.
    pub fn update(&mut self, node: String, pending: PendingWork, now: Instant) {
        self.nodes.retain(|_, (at, _)| now.saturating_duration_since(*at) < EXPIRY);
        self.nodes.insert(node, (now, pending));
    }

    /// The number of nodes of which a report is stored.
    pub fn n_reports(&self) -> usize {
        self.nodes.len()
    }

    /// The work pending at an endpoint, except that of `requester`, which knows its own.
    ///
    /// ```
    /// # use std::{collections::HashMap, time::{Duration, Instant}};
    /// # use curranthook_gateway::load::{table::LoadTable, work::Work};
    /// let (mut load_table, now) = (LoadTable::default(), Instant::now());
    /// let work = Work::new(7, Duration::from_millis(400));
    /// load_table.update("node-2".to_owned(), HashMap::from([("engine-1".into(), work)]), now);
    /// assert_eq!(load_table.waiting(&"engine-1".into(), "node-1", now), work);
    /// assert_eq!(load_table.waiting(&"engine-1".into(), "node-2", now), Work::default());
    /// let later = now + Duration::from_secs(1);
    /// assert_eq!(load_table.waiting(&"engine-1".into(), "node-1", later), Work::default());
    /// ```
    pub fn waiting(&self, endpoint: &endpoint::Id, requester: &str, now: Instant) -> Work {
        self.fresh(endpoint, requester, now).map(|(_, work)| *work).sum()
    }

    /// The age of the oldest report that [`Self::waiting`] counts; `None` if it counts none.
    pub fn age(&self, endpoint: &endpoint::Id, requester: &str, now: Instant) -> Option<Duration> {
        self.fresh(endpoint, requester, now).map(|(age, _)| age).max()
    }

    /// The age of each report that is valid, and the work that it states for an endpoint.
    fn fresh(
        &self,
        endpoint: &endpoint::Id,
        requester: &str,
        now: Instant,
    ) -> impl Iterator<Item = (Duration, &Work)> {
        let others = self.nodes.iter().filter(move |(node, _)| *node != requester);
        others.filter_map(move |(_, (at, pending))| {
            let age = now.saturating_duration_since(*at);
            Some(age).filter(|it| *it < EXPIRY).zip(pending.get(endpoint))
        })
    }
}
