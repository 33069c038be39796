//! `curranthook status`

use std::{net::SocketAddr, sync::Arc};

use curranthook_http::{Exchange, client::Pool, runtime};
use curranthook_types::{Epoch, domain, site, vm};
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::{
    Error,
    output::{Show, table},
};

/// Where routers answer.
const PATH: &str = "/status";

/// What the asked routers said.
#[derive(Debug, Serialize)]
pub struct List {
    /// In the order in which they were named.
    pub routers: Vec<Router>,
}

/// One router's answer, or why there's none.
#[derive(Debug, Serialize)]
pub struct Router {
    /// Its address.
    pub address: SocketAddr,
    /// What it said.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<Status>,
    /// Why it said nothing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// What a router says of itself; routers may say more.
#[derive(Debug, Serialize, Deserialize)]
pub struct Status {
    /// Its VM.
    pub vm: vm::Id,
    /// Its site.
    pub site: site::Id,
    /// Where it stands.
    pub failure_domain: domain::Id,
    /// The epoch that it works by; none before it has a configuration.
    #[serde(default)]
    pub epoch: Option<Epoch>,
    /// Whether it takes requests.
    pub ready: bool,
    /// Requests under way.
    #[serde(default)]
    pub in_flight: u64,
}

impl List {
    /// An error if a router gave no answer, so that scripts notice.
    ///
    /// ```
    /// # use curranthook_cli::command::status::List;
    /// assert!(List { routers: Vec::new() }.check().is_ok());
    /// ```
    pub fn check(&self) -> Result<(), Error> {
        match self.routers.iter().filter(|it| it.error.is_some()).count() {
            0 => Ok(()),
            n => Err(Error::NoAnswer(n)),
        }
    }
}

/// Asks all routers at once.
///
/// ```
/// # use std::sync::Arc;
/// # use curranthook_cli::command::status;
/// # use curranthook_http::{client::Pool, runtime};
/// # use curranthook_types::clock;
/// let list = runtime::run(1, |ex| async move {
///     let pool = Arc::new(Pool::new(Arc::clone(&ex), Arc::new(clock::System)));
///     status::run(&ex, &pool, &["127.0.0.1:1".parse().unwrap()]).await
/// });
/// assert!(list.routers[0].error.is_some());
/// ```
pub async fn run(ex: &runtime::Handle, pool: &Arc<Pool>, routers: &[SocketAddr]) -> List {
    let ask = |addr: &SocketAddr| {
        let (addr, pool) = (*addr, Arc::clone(pool));
        ex.spawn(async move { (addr, ask(addr, &pool).await) })
    };
    let tasks: Vec<_> = routers.iter().map(ask).collect();
    let mut list = List { routers: Vec::with_capacity(tasks.len()) };
    for task in tasks {
        let (address, answer) = task.await;
        let (status, error) = match answer {
            Ok(status) => (Some(status), None),
            Err(e) => (None, Some(e)),
        };
        list.routers.push(Router { address, status, error });
    }
    list
}

async fn ask(addr: SocketAddr, pool: &Pool) -> Result<Status, String> {
    let res = Exchange::get(addr, PATH).run(pool).await.map_err(|e| e.to_string())?;
    if res.status() != StatusCode::OK {
        return Err(res.status().to_string());
    }
    serde_json::from_slice(res.body()).map_err(|e| e.to_string())
}

impl Show for List {
    fn show(&self) -> String {
        let heading =
            ["ADDRESS", "VM", "SITE", "FAILURE DOMAIN", "EPOCH", "READY", "IN FLIGHT", "ERROR"];
        table(heading, self.routers.iter().map(row))
    }
}

fn row(router: &Router) -> [String; 8] {
    let address = router.address.to_string();
    let error = router.error.clone().unwrap_or_default();
    let Some(it) = &router.status else {
        let none = String::new;
        return [address, none(), none(), none(), none(), none(), none(), error];
    };
    [
        address,
        it.vm.to_string(),
        it.site.to_string(),
        it.failure_domain.to_string(),
        it.epoch.map_or("none".to_owned(), |it| it.to_string()),
        if it.ready { "yes" } else { "no" }.to_owned(),
        it.in_flight.to_string(),
        error,
    ]
}
