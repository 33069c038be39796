//! Endpoints for operators and load balancers: readiness, status and the list of models.

use std::{collections::BTreeMap, sync::atomic::Ordering, time::Duration};

use curranthook_http::{Body, body};
use curranthook_types::{Epoch, Refusal, domain, site, vm};
use http::{HeaderMap, Response};
use serde::Serialize;
use serde_json::json;

use crate::{Router, authenticate};

/// How long a node without peers reports that it is not ready. After that it serves alone, since
/// there may be no other node to join.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// The body of the response to `GET /status`.
#[derive(Debug, Serialize)]
struct Status<'a> {
    vm: &'a vm::Id,
    incarnation: vm::Incarnation,
    site: &'a site::Id,
    failure_domain: &'a domain::Id,
    epoch: Epoch,
    ready: bool,
    in_flight: usize,
    counters: BTreeMap<String, u64>,
    peers: serde_json::Value,
}

/// The response to `GET /readyz`: 200 once the node accepts requests, else 503.
pub fn ready(router: &Router) -> Response<Body> {
    let is_ready = is_ready(router);
    body::json(if is_ready { 200 } else { 503 }, &json!({"ready": is_ready}))
}

/// The response to `GET /status`.
pub fn report(router: &Router) -> Response<Body> {
    let settings = &router.settings;
    let epoch = router.current_snapshot.load().as_ref().map(|it| it.document.epoch);
    let status = Status {
        vm: &settings.vm,
        incarnation: router.node.identity().incarnation,
        site: &settings.site,
        failure_domain: &settings.failure_domain,
        epoch: epoch.unwrap_or_default(),
        ready: is_ready(router),
        in_flight: router.in_flight.load(Ordering::SeqCst),
        counters: router.metrics.counts(),
        peers: serde_json::to_value(router.node.status()).unwrap_or_default(),
    };
    body::json(200, &status)
}

/// The versions that the caller's account may use, as the response to `GET /v1/models`.
pub fn models(router: &Router, headers: &HeaderMap) -> Result<Response<Body>, Refusal> {
    let snapshot = router.snapshot()?;
    let account = authenticate::run(&snapshot, headers)?;
    let settings = snapshot.account_settings(&account);
    let versions = settings.into_iter().flat_map(|it| &it.versions);
    let data: Vec<_> = versions
        .filter(|it| snapshot.allows(&account, it))
        .map(|it| json!({"id": it, "object": "model", "owned_by": it.model()}))
        .collect();
    Ok(body::json(200, &json!({"object": "list", "data": data})))
}

fn is_ready(router: &Router) -> bool {
    router.current_snapshot.load().is_some() && !router.stopping.is_set() && !is_joining(router)
}

/// Whether it is too early to accept requests: bill lines are replicated to peers, so if a VM is
/// lost before it has reached any peer, the bill lines of its first responses are lost with it.
fn is_joining(router: &Router) -> bool {
    let age = router.clock.now().saturating_duration_since(router.started);
    age < JOIN_TIMEOUT && router.node.is_joining()
}
