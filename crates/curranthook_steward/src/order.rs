//! Orders to engines to load and unload versions.
//!
//! This is the second line of defence for a withdrawn version: a router that is cut off from the
//! platform and from all peers can't know of the withdrawal, but an engine that has unloaded the
//! version refuses it anyway.
//!
//! The versions an engine serves are compared with those it should serve, and orders are sent until
//! they match. So an order that was lost, or undone by a late order of a former lease holder, is
//! sent again.

use std::{collections::BTreeSet, sync::Arc};

use curranthook_http::{Exchange, client::Pool, exchange};
use curranthook_settings::{Document, config::Endpoint};
use curranthook_types::{endpoint, header, version};
use serde::{Deserialize, Serialize};

use crate::lease::EFFECT_TIMEOUT;

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Order {
    /// Whether to load or to unload the version.
    pub action: Action,
    /// The version to load or unload.
    pub version: version::Id,
}

/// Whether an engine is ordered to load or to unload a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Start serving the version.
    Load,
    /// Stop serving the version.
    Unload,
}

/// The result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine accepted the order: any response other than 409 Conflict.
    Applied,
    /// The engine has seen a higher fencing token, so the lease is lost.
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

/// The orders that bring an engine from the versions it serves to those it should serve.
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

/// The versions that an engine should serve.
pub fn desired(document: &Document, endpoint: &Endpoint) -> BTreeSet<version::Id> {
    endpoint.versions.difference(&document.withdrawn).cloned().collect()
}

/// Client for engines.
#[derive(Debug)]
pub struct Client {
    pool: Arc<Pool>,
}

impl Client {
    /// Creates a client that takes its connections from `pool`.
    pub fn new(pool: Arc<Pool>) -> Self {
        Self { pool }
    }

    /// The versions that an engine serves now.
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

    /// Sends one order. The lease must have more than [`EFFECT_TIMEOUT`] left when this is called.
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
