//! Client for the counts of all nodes' answers, as known by the router on this VM.

use std::{net::SocketAddr, sync::Arc};

use curranthook_http::client::Pool;
use curranthook_peers::{auth, counters::Counters, rpc, transport};
use curranthook_policy::verdict::Counts;
use curranthook_types::{Clock, bill::Origin, version};
use serde::de::DeserializeOwned;

/// Client of the router's peer interface.
#[derive(Debug)]
pub struct Client {
    transport: transport::Http,
    key: auth::Key,
    clock: Arc<dyn Clock>,
    counters: Counters,
    router: SocketAddr,
}

/// The counts of one version from one node.
pub type Row = (version::Id, Origin, Counts);

impl Client {
    /// Creates a client for the router whose peer interface listens at `router`.
    pub fn new(pool: Arc<Pool>, clock: Arc<dyn Clock>, key: &[u8], router: SocketAddr) -> Self {
        let transport = transport::Http::new(pool);
        Self { transport, key: auth::Key::new(key), clock, counters: Counters::default(), router }
    }

    /// All counts known by the router, its own and those of other nodes.
    pub async fn counts(&self) -> Result<Vec<Row>, rpc::Error> {
        self.call("origins").await
    }

    /// The approximate number of nodes, as far as the router knows.
    pub async fn fleet_size(&self) -> Result<usize, rpc::Error> {
        self.call("fleet").await
    }

    async fn call<R: DeserializeOwned + Clone + 'static>(
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
