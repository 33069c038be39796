//! Composes the reports of a round, and sends them.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use curranthook_types::endpoint;

use super::{MAX_REPORTED_ENDPOINTS, Message, Socket};
use crate::{
    Gateway,
    affinity::Record,
    load::{
        breakdown::{self, PendingWork},
        in_flight::{self, Counts},
        owners, slowdowns,
    },
};

/// The minimum pending work at an endpoint that is reported. Less work than this takes less time
/// than the round trip to an engine.
const MIN_REPORTED_WORK: Duration = Duration::from_millis(10);
/// The maximum number of endpoints in a report that also contains requests in flight. These take a
/// few more bytes.
const MAX_REPORTED_WITH_IN_FLIGHT: usize = 28;

/// Reports this node's pending work: to all nodes, or to the owners of the endpoints. Returns the
/// nodes whose report contained pending work. Nodes in `previous` for which there is nothing to
/// report any more get an empty report, which replaces their last one.
pub(super) async fn send(
    gateway: &Gateway,
    reports: &Socket,
    previous: HashSet<SocketAddr>,
) -> HashSet<SocketAddr> {
    // Taken before the requests in flight are counted, which thus include those that it settles.
    let settled = std::mem::take(&mut *reports.settled.lock());
    let waiting: PendingWork = {
        let directory = gateway.directory.lock();
        let busy = directory.all().filter(|it| MIN_REPORTED_WORK <= it.pending.total());
        busy.map(|it| (it.entry.id.clone(), it.pending)).take(MAX_REPORTED_ENDPOINTS).collect()
    };
    let prefills = std::mem::take(&mut *reports.prefills.lock());
    let unreachable = std::mem::take(&mut *reports.unreachable.lock());
    let free = MAX_REPORTED_WITH_IN_FLIGHT.saturating_sub(waiting.len());
    let in_flight = in_flight::own_counts(gateway, free);
    let slowdowns = reports.slowdowns.take(gateway.now());
    let rejected = std::mem::take(&mut *reports.rejected.lock());
    let report = Report { waiting, prefills, unreachable, in_flight, slowdowns, rejected, settled };
    let mut reports_by_node = reports_by_node(gateway, report);
    for addr in previous {
        reports_by_node.entry(addr).or_default();
    }
    let at_ms = gateway.store_time().and_then(|it| u64::try_from(it.as_millis()).ok());
    let mut reported_to = HashSet::new();
    for (addr, report) in reports_by_node {
        let Report { waiting, prefills, unreachable, in_flight, slowdowns, rejected, settled } =
            report;
        if !waiting.is_empty() || !in_flight.is_empty() {
            reported_to.insert(addr);
        }
        let node = gateway.settings.node.clone();
        let at_ms = at_ms.filter(|_| !in_flight.is_empty());
        let (waiting, by_priority) = breakdown::split(&waiting);
        let report = Message::Report {
            node,
            waiting,
            by_priority,
            prefills,
            unreachable,
            in_flight,
            at_ms,
            slowdowns,
            rejected,
            settled,
        };
        reports.send(report, addr).await;
    }
    reported_to
}

/// The contents of a report to one node.
#[derive(Debug, Clone, Default)]
struct Report {
    waiting: PendingWork,
    prefills: Vec<Record>,
    unreachable: Vec<endpoint::Id>,
    in_flight: Counts,
    slowdowns: slowdowns::Entries,
    rejected: Counts,
    settled: Counts,
}

/// Splits `report` into the reports to send to each node.
fn reports_by_node(gateway: &Gateway, report: Report) -> HashMap<SocketAddr, Report> {
    let own_addr = gateway.settings.reports;
    let peers = gateway.peers.lock();
    if !owners::are_used(peers.len()) {
        let others = peers.values().filter_map(|it| it.reports).filter(|it| Some(*it) != own_addr);
        return others.map(|addr| (addr, report.clone())).collect();
    }
    drop(peers);
    let (store_time, now) = (gateway.store_time(), gateway.now());
    let (directory, owners) = (gateway.directory.lock(), gateway.load_owners.lock());
    let owner_of = |id: &endpoint::Id| owners.owner_of(id, now).filter(|it| Some(*it) != own_addr);
    let owners_of = |id: &endpoint::Id| -> Vec<SocketAddr> {
        if directory.brittle_limit(id, now).is_none() {
            return owner_of(id).into_iter().collect();
        }
        let mut addrs = owners.reported_to(id, store_time, now);
        addrs.retain(|it| Some(*it) != own_addr);
        addrs
    };
    let mut reports_by_node: HashMap<SocketAddr, Report> = HashMap::new();
    for (id, work) in report.waiting {
        for addr in owners_of(&id) {
            reports_by_node.entry(addr).or_default().waiting.insert(id.clone(), work);
        }
    }
    for (id, count) in report.in_flight {
        for addr in owners_of(&id) {
            reports_by_node.entry(addr).or_default().in_flight.insert(id.clone(), count);
        }
    }
    for (id, n_requests) in report.rejected {
        for addr in owners_of(&id) {
            reports_by_node.entry(addr).or_default().rejected.insert(id.clone(), n_requests);
        }
    }
    for (id, n) in report.settled {
        for addr in owners_of(&id) {
            reports_by_node.entry(addr).or_default().settled.insert(id.clone(), n);
        }
    }
    for id in report.unreachable {
        if let Some(addr) = owner_of(&id) {
            reports_by_node.entry(addr).or_default().unreachable.push(id);
        }
    }
    for slowdown in report.slowdowns {
        if let Some(addr) = owner_of(&slowdown.endpoint) {
            reports_by_node.entry(addr).or_default().slowdowns.push(slowdown);
        }
    }
    for record in report.prefills {
        let owner =
            owners.owner_of_hash(record.prefix_hash, now).filter(|it| Some(*it) != own_addr);
        if let Some(addr) = owner {
            reports_by_node.entry(addr).or_default().prefills.push(record);
        }
    }
    reports_by_node
}
