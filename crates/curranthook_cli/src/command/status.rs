//! The `curranthook status` subcommand.

use std::{net::SocketAddr, sync::Arc};

use curranthook_http::{Exchange, client::Pool, runtime};
use curranthook_types::{Epoch, domain, site, vm};
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::{
    Error,
    output::{Render, table},
};

/// HTTP path of a router's status.
const STATUS_PATH: &str = "/status";

/// The status of each queried router.
#[derive(Debug, Serialize)]
pub struct List {
    /// The routers, in the order of the arguments.
    pub routers: Vec<Router>,
}

/// One router's status, or the reason why there is none.
#[derive(Debug, Serialize)]
pub struct Router {
    /// The router's address.
    pub address: SocketAddr,
    /// The status that the router returned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<Status>,
    /// Why the query failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// The status that a router reports. Unknown fields are ignored.
#[derive(Debug, Serialize, Deserialize)]
pub struct Status {
    /// The VM that the router runs on.
    pub vm: vm::Id,
    /// The router's site.
    pub site: site::Id,
    /// The router's failure domain.
    pub failure_domain: domain::Id,
    /// The epoch of the router's configuration; `None` until it has one.
    #[serde(default)]
    pub epoch: Option<Epoch>,
    /// Whether the router accepts requests.
    pub ready: bool,
    /// Number of requests in flight.
    #[serde(default)]
    pub in_flight: u64,
}

impl List {
    /// Returns an error if a router returned no usable status, so that the exit code shows it.
    ///
    /// ```
    /// # use curranthook_cli::command::status::List;
    /// assert!(List { routers: Vec::new() }.check_all_succeeded().is_ok());
    /// ```
    pub fn check_all_succeeded(&self) -> Result<(), Error> {
        match self.routers.iter().filter(|it| it.error.is_some()).count() {
            0 => Ok(()),
            n => Err(Error::RoutersFailed(n)),
        }
    }
}

/// Queries all routers concurrently.
///
/// ```
/// # use std::sync::Arc;
/// # use curranthook_cli::command::status;
/// # use curranthook_http::{client::Pool, runtime};
/// # use curranthook_types::clock;
/// let list = runtime::run(1, |executor| async move {
///     let pool = Arc::new(Pool::new(Arc::clone(&executor), Arc::new(clock::System)));
///     status::run(&executor, &pool, &["127.0.0.1:1".parse().unwrap()]).await
/// });
/// assert!(list.routers[0].error.is_some());
/// ```
pub async fn run(executor: &runtime::Handle, pool: &Arc<Pool>, routers: &[SocketAddr]) -> List {
    let spawn_query = |addr: &SocketAddr| {
        let (addr, pool) = (*addr, Arc::clone(pool));
        executor.spawn(async move { (addr, fetch_status(addr, &pool).await) })
    };
    let tasks: Vec<_> = routers.iter().map(spawn_query).collect();
    let mut list = List { routers: Vec::with_capacity(tasks.len()) };
    for task in tasks {
        let (address, result) = task.await;
        let (status, error) = match result {
            Ok(status) => (Some(status), None),
            Err(e) => (None, Some(e)),
        };
        list.routers.push(Router { address, status, error });
    }
    list
}

async fn fetch_status(addr: SocketAddr, pool: &Pool) -> Result<Status, String> {
    let response = Exchange::get(addr, STATUS_PATH).run(pool).await.map_err(|e| e.to_string())?;
    if response.status() != StatusCode::OK {
        return Err(response.status().to_string());
    }
    serde_json::from_slice(response.body()).map_err(|e| e.to_string())
}

impl Render for List {
    fn render(&self) -> String {
        let header =
            ["ADDRESS", "VM", "SITE", "FAILURE DOMAIN", "EPOCH", "READY", "IN FLIGHT", "ERROR"];
        table(header, self.routers.iter().map(row))
    }
}

fn row(router: &Router) -> [String; 8] {
    let address = router.address.to_string();
    let error = router.error.clone().unwrap_or_default();
    let Some(status) = &router.status else {
        let empty = String::new;
        return [address, empty(), empty(), empty(), empty(), empty(), empty(), error];
    };
    [
        address,
        status.vm.to_string(),
        status.site.to_string(),
        status.failure_domain.to_string(),
        status.epoch.map_or("none".to_owned(), |it| it.to_string()),
        if status.ready { "yes" } else { "no" }.to_owned(),
        status.in_flight.to_string(),
        error,
    ]
}
