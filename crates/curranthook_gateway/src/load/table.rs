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

/// How long a report is valid after it was received. A node with pending work repeats its report
/// more often.
const EXPIRY: Duration = Duration::from_millis(800);

/// The last report of each node.
#[derive(Debug, Default)]
pub struct LoadTable {
    nodes: HashMap<String, (Instant, HashMap<endpoint::Id, Duration>)>,
}

impl LoadTable {
    /// Stores the report of `node`, in place of its previous one.
    pub fn update(&mut self, node: String, pending: HashMap<endpoint::Id, Duration>, now: Instant) {
        self.nodes.insert(node, (now, pending));
    }

    /// The work pending at an endpoint, except that of `requester`, which knows its own.
    ///
    /// ```
    /// # use std::{collections::HashMap, time::{Duration, Instant}};
    /// # use curranthook_gateway::load::table::LoadTable;
    /// let (mut load_table, now) = (LoadTable::default(), Instant::now());
    /// let work = Duration::from_millis(400);
    /// load_table.update("node-2".to_owned(), HashMap::from([("engine-1".into(), work)]), now);
    /// assert_eq!(load_table.waiting(&"engine-1".into(), "node-1", now), work);
    /// assert_eq!(load_table.waiting(&"engine-1".into(), "node-2", now), Duration::ZERO);
    /// assert_eq!(load_table.waiting(&"engine-1".into(), "node-1", now + work * 3), Duration::ZERO);
    /// ```
    pub fn waiting(&self, endpoint: &endpoint::Id, requester: &str, now: Instant) -> Duration {
        let others = self.nodes.iter().filter(|(node, _)| *node != requester);
        let fresh = others.filter(|(_, (at, _))| now.saturating_duration_since(*at) < EXPIRY);
        fresh.filter_map(|(_, (_, pending))| pending.get(endpoint)).sum()
    }
}
