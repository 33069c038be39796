//! Borrows the permits of other nodes, one for each request.
//!
//! A node whose callers want more than its own permits allow asks holders of permits that are due.
//! The lender counts the request before it answers, so that all nodes together keep to the rate
//! whatever is lost: a permit whose answer does not arrive stays unused.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use curranthook_policy::hash;
use curranthook_types::endpoint;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::lenders::{MAX_ENDPOINTS, Wanted};
use crate::{
    Gateway,
    event::Event,
    load::reports::{PeerState, loans},
    selection::{self, Criteria},
};

/// The number of holders that are asked for one request, one after the other.
const MAX_ASKED: usize = 3;
/// When a holder may be asked again that knows no time at which its permit is due.
const UNKNOWN_DUE: Duration = Duration::from_millis(500);
/// The longest time for which a holder is not asked, whatever it answered.
const MAX_DUE: Duration = Duration::from_secs(4);

/// A lender's answer.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The endpoint that the borrower may send one request to now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<endpoint::Id>,
    /// The time until the lender's next permit is due, for each endpoint asked about.
    #[serde_as(as = "HashMap<_, DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub due: HashMap<endpoint::Id, Duration>,
}

/// Borrows a permit for the request with the id `request`, which no endpoint admits from this node.
/// Returns the endpoint; none if no endpoint is limited, or no permit is known to be due.
pub async fn borrow(
    gateway: &Gateway,
    request: &str,
    criteria: &Criteria<'_>,
    peer_state: &PeerState,
) -> Option<endpoint::Id> {
    let reports = gateway.load_reports.get()?;
    let wanted = selection::wanted_permits(gateway, criteria, peer_state);
    let mut asked = Vec::new();
    while asked.len() < MAX_ASKED && !wanted.is_empty() {
        let question = {
            let mut lenders = gateway.lenders.lock();
            lenders.refresh(|| nodes(gateway), gateway.now());
            lenders.choose(&wanted, &asked, gateway.now(), &mut rand::rng())
        };
        let Some(question) = question else { break };
        let (holder, asked_at) = (question.holder, gateway.now());
        asked.push(holder);
        let loan = loans::ask(reports, question).await;
        let result = match &loan {
            Some(Loan { endpoint: Some(_), .. }) => "lent",
            Some(_) => "not_due",
            None => "unanswered",
        };
        gateway.metrics.record_permit(result);
        let elapsed = gateway.now().saturating_duration_since(asked_at);
        gateway.log.write(&Event::PermitAsked {
            request,
            service: criteria.service,
            holder,
            endpoint: loan.as_ref().and_then(|it| it.endpoint.as_ref()).map(endpoint::Id::as_str),
            result,
            took_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
        });
        let Some(loan) = loan else {
            gateway.lenders.lock().skip(holder, gateway.now());
            continue;
        };
        record_due(gateway, &wanted, holder, &loan);
        if loan.endpoint.is_some() {
            return loan.endpoint;
        }
    }
    None
}

/// Lends a permit for one of the `endpoints`, the first for which this node's permit is due.
pub fn lend(gateway: &Gateway, endpoints: &[endpoint::Id]) -> Loan {
    let now = gateway.now();
    let mut directory = gateway.directory.lock();
    let mut loan = Loan::default();
    for id in endpoints.iter().take(MAX_ENDPOINTS) {
        let Some(service) = directory.get(id).map(|it| it.entry.service.clone()) else { continue };
        selection::renew_permits(gateway, &mut directory, &service, now);
        if loan.endpoint.is_none() && directory.lend_permit(id, now) {
            loan.endpoint = Some(id.clone());
        }
        let due = directory.permit_due_in(id, now).unwrap_or(UNKNOWN_DUE);
        loan.due.insert(id.clone(), due);
    }
    loan
}

/// The nodes of the fleet, for [`Lenders::refresh`](super::lenders::Lenders::refresh).
fn nodes(gateway: &Gateway) -> Vec<(u64, Option<SocketAddr>)> {
    let own_name = &gateway.settings.node;
    let peers = gateway.peers.lock();
    let addr = |name: &str, addr: Option<SocketAddr>| addr.filter(|_| name != own_name);
    let nodes = peers.iter();
    nodes.map(|(name, it)| (hash::bytes(name.as_bytes()), addr(name, it.reports))).collect()
}

fn record_due(gateway: &Gateway, wanted: &[Wanted], holder: SocketAddr, loan: &Loan) {
    let now = gateway.now();
    let mut lenders = gateway.lenders.lock();
    for it in wanted {
        if let Some(due) = loan.due.get(&it.id) {
            lenders.set_due(it.key, holder, now + (*due).min(MAX_DUE));
        }
    }
}
