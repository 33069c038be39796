//! Composes the reports of a round, and sends them.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use curranthook_types::endpoint;

use super::{MAX_REPORTED_ENDPOINTS, Message, Socket};
use crate::{
    Gateway,
    affinity::Record,
    brittle::limit::Rejection,
    directory::Directory,
    load::{
        breakdown::{self, PendingWork},
        in_flight::{self, Counts},
        owners::{self, Owners},
        slowdowns,
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
        let rejected_prompts =
            rejected.iter().filter_map(|(id, it)| Some((id.clone(), it.prompt_tokens?))).collect();
        let rejected = rejected.into_iter().map(|(id, it)| (id, it.n_requests)).collect();
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
            rejected_prompts,
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
    rejected: HashMap<endpoint::Id, Rejection>,
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
    let mut recipients = Recipients {
        own_addr,
        store_time: gateway.store_time(),
        now: gateway.now(),
        directory: &gateway.directory.lock(),
        owners: &mut gateway.load_owners.lock(),
    };
    let Report { waiting, prefills, unreachable, in_flight, slowdowns, rejected, settled } = report;
    let mut reports = HashMap::new();
    recipients.split(waiting, &mut reports, |it| &mut it.waiting);
    recipients.split(in_flight, &mut reports, |it| &mut it.in_flight);
    recipients.split(rejected, &mut reports, |it| &mut it.rejected);
    recipients.split(settled, &mut reports, |it| &mut it.settled);
    for id in unreachable {
        if let Some(addr) = recipients.owner_of(&id) {
            reports.entry(addr).or_default().unreachable.push(id);
        }
    }
    for slowdown in slowdowns {
        if let Some(addr) = recipients.owner_of(&slowdown.endpoint) {
            reports.entry(addr).or_default().slowdowns.push(slowdown);
        }
    }
    for record in prefills {
        if let Some(addr) = recipients.owner_of_prefix(record.prefix_hash) {
            reports.entry(addr).or_default().prefills.push(record);
        }
    }
    reports
}

/// The other nodes that get the reports of an endpoint.
struct Recipients<'a> {
    own_addr: Option<SocketAddr>,
    store_time: Option<Duration>,
    now: Instant,
    directory: &'a Directory,
    owners: &'a mut Owners,
}

impl Recipients<'_> {
    /// Adds each entry to the reports to those that get it, in the given field.
    fn split<V: Copy>(
        &mut self,
        entries: HashMap<endpoint::Id, V>,
        reports: &mut HashMap<SocketAddr, Report>,
        field: impl Fn(&mut Report) -> &mut HashMap<endpoint::Id, V>,
    ) {
        for (id, value) in entries {
            for addr in self.of(&id) {
                field(reports.entry(addr).or_default()).insert(id.clone(), value);
            }
        }
    }

    fn of(&mut self, id: &endpoint::Id) -> Vec<SocketAddr> {
        if self.directory.brittle_limit(id, self.now).is_none() {
            return self.owner_of(id).into_iter().collect();
        }
        let mut addrs = self.owners.reported_to(id, self.store_time);
        addrs.retain(|it| Some(*it) != self.own_addr);
        addrs
    }

    fn owner_of(&mut self, id: &endpoint::Id) -> Option<SocketAddr> {
        self.owners.owner_of(id, self.now).filter(|it| Some(*it) != self.own_addr)
    }

    fn owner_of_prefix(&self, hash: u64) -> Option<SocketAddr> {
        self.owners.owner_of_hash(hash, self.now).filter(|it| Some(*it) != self.own_addr)
    }
}
