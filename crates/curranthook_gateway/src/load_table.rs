//! What other nodes have sent to engines that hasn't begun yet.
//!
//! An engine reads prompts one after another, some of them for seconds, and the nodes that send
//! them don't see each other's. Each node tells others what it has waiting where (see [`load_reports`]);
//! this is what a node was told.
//!
//! [`load_reports`]: crate::load_reports

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use curranthook_types::endpoint;

/// How long what a node told holds.
const EXPIRY: Duration = Duration::from_millis(800);

/// What each node has waiting.
#[derive(Debug, Default)]
pub struct LoadTable {
    nodes: HashMap<String, (Instant, HashMap<endpoint::Id, Duration>)>,
}

impl LoadTable {
    /// Takes in what `node` has waiting.
    pub fn update(&mut self, node: String, waiting: HashMap<endpoint::Id, Duration>, now: Instant) {
        self.nodes.insert(node, (now, waiting));
    }

    /// The work that waits at an endpoint, but for that of the node `requester`, which knows its own.
    ///
    /// ```
    /// # use std::{collections::HashMap, time::{Duration, Instant}};
    /// # use curranthook_gateway::load_table::LoadTable;
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
        fresh.filter_map(|(_, (_, waiting))| waiting.get(endpoint)).sum()
    }
}
