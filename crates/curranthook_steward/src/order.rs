//! Tells engines which versions to serve.
//!
//! This is the second line of defence for a withdrawn version: a router that is cut off from
//! the platform and from all peers can't know of the withdrawal, but an engine that has
//! unloaded the version refuses it all the same.
//!
//! What an engine serves is compared with what it should serve, and ordered until it holds. So
//! an order that was lost, or undone by a late order of a former lease holder, is given again.

use std::{collections::BTreeSet, sync::Arc};

use curranthook_http::{Exchange, client::Pool, exchange};
use curranthook_settings::{Document, config::Endpoint};
use curranthook_types::{endpoint, header, version};
use serde::{Deserialize, Serialize};

use crate::lease::EFFECT_TIMEOUT;

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Order {
    /// What to do.
    pub action: Action,
    /// With which version.
    pub version: version::Id,
}

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Serve the version.
    Load,
    /// Serve it no more.
    Unload,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine did it.
    Applied,
    /// The engine has seen a newer fencing number: the lease is lost.
    Stale,
}

#[derive(Debug, Deserialize)]
struct Models {
    data: Vec<Model>,
}

#[derive(Debug, Deserialize)]
struct Model {
    id: version::Id,
}

/// The orders that would bring an engine from what it serves to what it should serve.
///
/// ```
/// # use curranthook_steward::order::{Action, difference};
/// let served = ["m@1".into(), "m@2".into()].into();
/// let desired = ["m@2".into()].into();
/// let orders = difference(&served, &desired);
/// assert_eq!((orders.len(), orders[0].action), (1, Action::Unload));
/// ```
pub fn difference(served: &BTreeSet<version::Id>, desired: &BTreeSet<version::Id>) -> Vec<Order> {
    let order = |action, version: &version::Id| Order { action, version: version.clone() };
    let unload = served.difference(desired).map(|it| order(Action::Unload, it));
    let load = desired.difference(served).map(|it| order(Action::Load, it));
    unload.chain(load).collect()
}

/// What an engine should serve.
pub fn desired(document: &Document, endpoint: &Endpoint) -> BTreeSet<version::Id> {
    endpoint.versions.difference(&document.withdrawn).cloned().collect()
}

/// Speaks with engines.
#[derive(Debug)]
pub struct Client {
    pool: Arc<Pool>,
}

impl Client {
    /// A desk that takes its connections from `pool`.
    pub fn new(pool: Arc<Pool>) -> Self {
        Self { pool }
    }

    /// What an engine serves now.
    pub async fn list_served(&self, endpoint: &Endpoint) -> anyhow::Result<BTreeSet<version::Id>> {
        let res = Exchange::get(endpoint.address, "/v1/models").run(&self.pool).await?;
        anyhow::ensure!(
            res.status().is_success(),
            "engine returned {} for GET /v1/models",
            res.status()
        );
        let models: Models = serde_json::from_slice(res.body())?;
        Ok(models.data.into_iter().map(|it| it.id).collect())
    }

    /// Gives one order. The lease must have more than [`EFFECT_TIMEOUT`] left when this is called.
    pub async fn send(
        &self,
        id: &endpoint::Id,
        endpoint: &Endpoint,
        order: &Order,
        fencing_token: u64,
    ) -> Result<Outcome, exchange::Error> {
        let res = Exchange::post(endpoint.address, "/orders")
            .with_header(header::FENCING, fencing_token.to_string())
            .with_json(order)
            .with_timeout(EFFECT_TIMEOUT)
            .run(&self.pool)
            .await?;
        log::info!("order to engine {id}, {:?} {}: {}", order.action, order.version, res.status());
        Ok(if res.status() == http::StatusCode::CONFLICT {
            Outcome::Stale
        } else {
            Outcome::Applied
        })
    }
}
