//! Tells all nodes that the endpoints of a service are brittle (see [`brittle`]),
//! by gossip in a large fleet.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{Message, Socket, datagram, limits};
use crate::{Gateway, brittle, event::Event};

/// The maximum number of services in a datagram.
const MAX_STATEMENTS: usize = 8;
/// How old a stored statement may be to count.
const MAX_STORED_AGE: Duration = Duration::from_secs(600);

/// What the endpoints of a service state, as sent between nodes.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Statement {
    service: String,
    /// The rejections per second that each endpoint can bear.
    max_rejections: f64,
    /// The time since an endpoint stated it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    age: Duration,
    /// The time since the first endpoint stated it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    since_age: Duration,
}

impl Statement {
    fn new(service: String, statement: brittle::Statement, now: Instant) -> Self {
        let age = now.saturating_duration_since(statement.at);
        let since_age = now.saturating_duration_since(statement.since);
        Self { service, max_rejections: statement.max_rejections, age, since_age }
    }
}

/// The services whose statement has not been sent yet.
#[derive(Debug, Default)]
pub(super) struct Queue(Mutex<Vec<(String, brittle::Statement)>>);

impl Queue {
    /// Adds a statement, in place of an earlier one of the service.
    pub(super) fn push(&self, service: &str, statement: brittle::Statement) {
        let mut statements = self.0.lock();
        statements.retain(|(it, _)| it != service);
        if statements.len() < MAX_STATEMENTS {
            statements.push((service.to_owned(), statement));
        }
    }

    /// Whether the queue is empty.
    pub(super) fn is_empty(&self) -> bool {
        self.0.lock().is_empty()
    }
}

/// Records what an endpoint of `service` stated, and queues it for other nodes if they may not know
/// it.
pub fn record(gateway: &Gateway, service: &str, statement: brittle::Statement, from: &'static str) {
    let is_known = gateway.directory.lock().is_brittle(service, statement.at);
    if !gateway.directory.lock().record_statement(service, statement) {
        return;
    }
    if !is_known {
        let max_rejections = statement.max_rejections;
        gateway.log.write(&Event::Brittle { service, max_rejections, from });
    }
    if let Some(reports) = gateway.load_reports.get() {
        reports.statements.push(service, statement);
        gateway.pending_work_changed.wake();
    }
}

/// Records a statement that another node sent.
pub(super) fn receive(gateway: &Gateway, received: &Statement) {
    let is_valid = received.max_rejections.is_finite() && 0.0 < received.max_rejections;
    let now = gateway.now();
    let times = now.checked_sub(received.age).zip(now.checked_sub(received.since_age));
    let Some((at, since)) = times.filter(|_| is_valid) else {
        log::debug!("ignoring a malformed statement about {}", received.service);
        return;
    };
    let statement = brittle::Statement { max_rejections: received.max_rejections, at, since };
    record(gateway, &received.service, statement, "peer");
}

/// What the endpoints of a service state, as stored for nodes that start while no other runs.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// The rejections per second that each endpoint can bear.
    pub max_rejections: f64,
    /// When the first endpoint stated it, by the store's clock.
    #[serde(rename = "since_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub since: Duration,
    /// When an endpoint last stated it, by the store's clock.
    #[serde(rename = "at_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub at: Duration,
}

/// Records a statement that another process stored, unless this one has heard of one. It counts as
/// made now, as endpoints repeat it in their answers.
pub fn restore(gateway: &Gateway, service: &str, stored: &Stored) {
    let is_valid = stored.max_rejections.is_finite() && 0.0 < stored.max_rejections;
    let age_of = |it: Duration| gateway.store_time().unwrap_or_default().saturating_sub(it);
    if !is_valid
        || MAX_STORED_AGE <= age_of(stored.at)
        || gateway.directory.lock().knows_statement(service)
    {
        return;
    }
    let at = gateway.now();
    let since = at.checked_sub(age_of(stored.since)).unwrap_or(at);
    let statement = brittle::Statement { max_rejections: stored.max_rejections, at, since };
    record(gateway, service, statement, "store");
}

/// Sends the valid statements to a node that asked for them.
pub(super) async fn answer(gateway: &Gateway, reports: &Socket, from: SocketAddr) {
    let now = gateway.now();
    let statements: Vec<_> = {
        let directory = gateway.directory.lock();
        let valid = directory.statements(now).take(MAX_STATEMENTS);
        valid.map(|(service, it)| Statement::new(service.to_owned(), it, now)).collect()
    };
    if !statements.is_empty() {
        reports.send(Message::Brittle { statements }, from).await;
    }
}

/// Sends the queued statements: to all other nodes in a small fleet, and to a few random ones, which
/// do the same, in a large fleet.
pub(super) async fn send(gateway: &Gateway, reports: &Socket) {
    let statements = std::mem::take(&mut *reports.statements.0.lock());
    if statements.is_empty() {
        return;
    }
    let now = gateway.now();
    let statements = statements.into_iter().map(|(service, it)| Statement::new(service, it, now));
    let statements = statements.collect();
    let bytes = datagram(Message::Brittle { statements });
    for addr in limits::gossip_targets(gateway) {
        reports.send_bytes(&bytes, addr).await;
    }
}
