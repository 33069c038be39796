//! Handles the messages of other nodes.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use async_io::Timer;
use curranthook_types::endpoint;

use super::{
    MAX_DATAGRAM, MIN_REPORT_INTERVAL, Message, PeerState, Query, Socket, limits, statements,
};
use crate::{
    Gateway,
    brittle::limit::Rejection,
    fleet::unlisted,
    load::{
        breakdown::{self, Breakdown, PendingWork},
        in_flight::Figures,
        slowdowns,
        work::Work,
    },
    permit::lending,
    poison, suspects,
};

/// Receives messages for the lifetime of the process.
pub(super) async fn receive(gateway: Arc<Gateway>, reports: Arc<Socket>) {
    let mut bytes = [0; MAX_DATAGRAM];
    loop {
        match reports.socket.recv_from(&mut bytes).await {
            Ok((n, from)) => match serde_json::from_slice(&bytes[..n]) {
                Ok(message) => handle(&gateway, &reports, message, from).await,
                Err(e) => log::debug!("malformed message from {from}: {e}"),
            },
            Err(e) => {
                log::debug!("cannot receive messages: {e}");
                Timer::after(MIN_REPORT_INTERVAL).await;
            }
        }
    }
}

async fn handle(gateway: &Gateway, reports: &Socket, message: Message, from: SocketAddr) {
    let now = gateway.now();
    if let Some(node) = message.sender() {
        gateway.unlisted.lock().record_heard(node, now);
    }
    match message {
        Message::PresenceQuestion => {
            let node = gateway.settings.node.clone();
            reports.send(Message::Present { node }, from).await;
        }
        Message::Present { .. } => {}
        Message::UnlistedQuestion => {
            for it in unlisted::answers(gateway) {
                reports.send(it, from).await;
            }
        }
        Message::Unlisted { nodes } => unlisted::receive(gateway, nodes),
        Message::Report {
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
        } => {
            let at = at_ms.map(Duration::from_millis).zip(gateway.store_time());
            let age = at.map(|(at, now)| now.saturating_sub(at));
            let mut table = gateway.in_flight_table.lock();
            settled.iter().for_each(|(id, n)| table.settle(&node, id, *n));
            table.update(node.clone(), in_flight, age, now);
            drop(table);
            slowdowns::receive(gateway, &slowdowns);
            let waiting = join(waiting, &by_priority, from);
            gateway.load_table.lock().update(node, waiting, now);
            let mut directory = gateway.directory.lock();
            unreachable.iter().for_each(|it| directory.report_unreachable(it, now));
            for (id, n_requests) in rejected {
                let prompt_tokens = rejected_prompts.get(&id).copied();
                directory.record_rejection(&id, Rejection { n_requests, prompt_tokens }, now);
            }
            drop(directory);
            let mut affinity = gateway.affinity.lock();
            prefills.iter().for_each(|it| affinity.record(it.prefix_hash, &it.endpoint, now));
        }
        Message::Evidence { node, service, order, evidence } => {
            gateway.rollouts.lock().apply_report(&service, order, (&node, *evidence), now);
        }
        Message::Limits { limits } => {
            limits.iter().for_each(|it| limits::receive(gateway, reports, it));
        }
        Message::Crashes { reports } => suspects::receive_reports(gateway, &reports),
        Message::Verdicts { findings, objections } => {
            suspects::receive_findings(gateway, &findings, &objections);
        }
        Message::Poison { entries } => {
            poison::receive(gateway, entries, poison::Source::Peer(from));
        }
        Message::CrashQuestion => {
            for it in poison::answers(gateway).into_iter().chain(suspects::answers(gateway)) {
                reports.send(it, from).await;
            }
        }
        Message::Borrow { id, endpoints } => {
            let loan = lending::lend(gateway, &endpoints);
            reports.send(Message::Lent { id, loan }, from).await;
        }
        Message::Lent { id, loan } => reports.loans.answer(id, loan),
        Message::BrittleQuestion => statements::answer(gateway, reports, from).await,
        Message::Brittle { statements } => {
            statements.iter().for_each(|it| statements::receive(gateway, it));
        }
        Message::Question { id, node, endpoints, prefix_hash, in_flight } => {
            let slowdowns = slowdowns::Entries::known(&gateway.directory.lock(), &endpoints, now);
            let query = Query { endpoints, prefix_hash, in_flight, ..Query::default() };
            let PeerState { waiting, holders, unreachable, in_flight, .. } =
                local_state(gateway, query, &node);
            let (waiting, by_priority) = breakdown::split(&waiting);
            let Figures { counts: in_flight, observed: loads, limits, long_prompts } = in_flight;
            let answer = Message::Answer {
                id,
                waiting,
                by_priority,
                holders,
                unreachable,
                in_flight,
                loads,
                limits,
                long_prompts,
                slowdowns,
            };
            reports.send(answer, from).await;
        }
        Message::Answer {
            id,
            waiting,
            by_priority,
            holders,
            unreachable,
            in_flight,
            loads,
            limits,
            long_prompts,
            slowdowns,
        } => {
            slowdowns::receive(gateway, &slowdowns);
            let waiting = join(waiting, &by_priority, from);
            let query = reports.open_queries.lock().remove(&id);
            let in_flight = Figures { counts: in_flight, observed: loads, limits, long_prompts };
            let state =
                PeerState { waiting, holders, unreachable, in_flight, ..PeerState::default() };
            match query {
                Some(it) => {
                    // The send fails if the query has already timed out.
                    let _ignored = it.try_send((id, state));
                }
                // Too late for its query, but the owner answers.
                None => gateway.load_owners.lock().record_answer(from),
            }
        }
    }
}

/// Joins the sums and the breakdown of a message from `from`.
fn join(
    waiting: HashMap<endpoint::Id, Duration>,
    by_priority: &Breakdown,
    from: SocketAddr,
) -> PendingWork {
    let (pending, n_changed) = breakdown::join(waiting, by_priority);
    if 0 < n_changed {
        log::debug!("malformed or clamped work of {n_changed} endpoints from {from}");
    }
    pending
}

/// What this node knows from its own requests and from received reports: the work that all nodes
/// except `requester` have pending at `endpoints`, which of these are unreachable, and the
/// endpoints that have prefilled the prompt prefix.
pub(super) fn local_state(gateway: &Gateway, query: Query, requester: &str) -> PeerState {
    let Query { endpoints, prefix_hash, in_flight, .. } = query;
    let figures = in_flight.then(|| Figures::of(gateway, &endpoints, requester));
    let holders = prefix_hash.map(|it| gateway.affinity.lock().holders(it, gateway.now()));
    let (directory, load_table, now) =
        (gateway.directory.lock(), gateway.load_table.lock(), gateway.now());
    let own_name = &gateway.settings.node;
    let pending_work = |id: &endpoint::Id| {
        let others_work = load_table.waiting(id, requester, now);
        let own_work = directory.get(id).map_or(Work::default(), |it| it.pending);
        // A node does not send reports to itself, so only other requesters get its own work added.
        if own_name == requester { others_work } else { others_work + own_work }
    };
    let is_unreachable =
        |id: &&endpoint::Id| directory.get(id).is_some_and(|it| it.is_unreachable(now));
    let unreachable = endpoints.iter().filter(is_unreachable).cloned().collect();
    let waiting = endpoints.into_iter().map(|id| (id.clone(), pending_work(&id))).collect();
    PeerState {
        waiting,
        holders,
        unreachable,
        in_flight: figures.unwrap_or_default(),
        ..PeerState::default()
    }
}
