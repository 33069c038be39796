//! What the router beside this steward knows of all nodes' answers.

use std::{net::SocketAddr, sync::Arc};

use curranthook_http::client::Pool;
use curranthook_peers::{auth, counters::Counters, rpc, transport};
use curranthook_policy::verdict::Counts;
use curranthook_types::{Clock, bill::Origin, version};
use serde::de::DeserializeOwned;

/// Asks the router.
#[derive(Debug)]
pub struct Source {
    transport: transport::Http,
    key: auth::Key,
    clock: Arc<dyn Clock>,
    counters: Counters,
    router: SocketAddr,
}

/// The counts of one version from one node.
pub type Row = (version::Id, Origin, Counts);

impl Source {
    /// Asks the router whose peers' address is `router`.
    pub fn new(pool: Arc<Pool>, clock: Arc<dyn Clock>, key: &[u8], router: SocketAddr) -> Self {
        let transport = transport::Http::new(pool);
        Self { transport, key: auth::Key::new(key), clock, counters: Counters::default(), router }
    }

    /// All that the router knows, its own counts and other nodes'.
    pub async fn all(&self) -> Result<Vec<Row>, rpc::Error> {
        self.ask("origins").await
    }

    /// About how many nodes there are, as far as the router knows.
    pub async fn fleet(&self) -> Result<usize, rpc::Error> {
        self.ask("fleet").await
    }

    async fn ask<R: DeserializeOwned + Clone + 'static>(
        &self,
        method: &str,
    ) -> Result<R, rpc::Error> {
        let client = rpc::Client {
            transport: &self.transport,
            key: &self.key,
            now_millis: self.clock.unix_millis(),
            counters: &self.counters,
        };
        client.call(self.router, method, &(), rpc::TIMEOUT).await
    }
}
