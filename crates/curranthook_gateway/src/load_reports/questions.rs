//! Questions to load owners, asked before a request is placed.

use std::{collections::HashMap, net::SocketAddr, sync::atomic::Ordering, time::Duration};

use async_channel::Receiver;
use curranthook_http::timeout;
use curranthook_types::endpoint;

use super::{Message, PeerState, Socket, kept};
use crate::Gateway;

/// How long the answer of an owner may take: a few ways between failure domains and the turn of a
/// small node. A request waits for it, so it's little against the second that callers wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(15);

/// What the other nodes have waiting at `endpoints`, and where `subject` was read, as far as their owners
/// tell in time.
pub async fn query(
    gateway: &Gateway,
    endpoints: Vec<endpoint::Id>,
    subject: Option<u64>,
) -> PeerState {
    let Some(reports) = gateway.load_reports.get() else { return PeerState::default() };
    let settings = &gateway.settings;
    let mut by_owner = by_owner(gateway, endpoints, subject);
    let own = settings.reports.and_then(|own| by_owner.remove(&own)).unwrap_or_default();
    let mut heard = kept(gateway, own.endpoints, own.subject, &settings.node);
    let questions = Questions::send(gateway, reports, by_owner).await;
    heard.extend(questions.answers().await);
    heard
}

/// What one owner is asked.
#[derive(Debug, Default)]
struct Asked {
    endpoints: Vec<endpoint::Id>,
    subject: Option<u64>,
}

fn by_owner(
    gateway: &Gateway,
    endpoints: Vec<endpoint::Id>,
    subject: Option<u64>,
) -> HashMap<SocketAddr, Asked> {
    let (owners, now) = (gateway.load_owners.lock(), gateway.now());
    let mut all: HashMap<SocketAddr, Asked> = HashMap::new();
    for id in endpoints {
        if let Some(addr) = owners.of(&id, now) {
            all.entry(addr).or_default().endpoints.push(id);
        }
    }
    if let Some(addr) = subject.and_then(|it| owners.of_subject(it, now)) {
        all.entry(addr).or_default().subject = subject;
    }
    all
}

/// Questions on their way.
struct Questions<'a> {
    gateway: &'a Gateway,
    reports: &'a Socket,
    /// Who was asked, by the question's id.
    open: HashMap<u64, SocketAddr>,
    answers: Receiver<(u64, PeerState)>,
}

impl<'a> Questions<'a> {
    /// Asks each owner.
    async fn send(
        gateway: &'a Gateway,
        reports: &'a Socket,
        by_owner: HashMap<SocketAddr, Asked>,
    ) -> Self {
        let (tx, answers) = async_channel::bounded(by_owner.len().max(1));
        let mut open = HashMap::new();
        for (addr, Asked { endpoints, subject }) in by_owner {
            let id = reports.next.fetch_add(1, Ordering::Relaxed);
            reports.asked.lock().insert(id, tx.clone());
            open.insert(id, addr);
            let node = gateway.settings.node.clone();
            reports.send(&Message::Question { id, node, endpoints, subject }, addr).await;
        }
        Self { gateway, reports, open, answers }
    }

    /// The answers that come in time.
    async fn answers(mut self) -> PeerState {
        let mut heard = PeerState::default();
        let gather = async {
            while !self.open.is_empty() {
                let Ok((id, told)) = self.answers.recv().await else { return };
                if let Some(addr) = self.open.remove(&id) {
                    self.gateway.load_owners.lock().answered(addr);
                    self.gateway.metrics.record_query("answered");
                }
                heard.extend(told);
            }
        };
        // Elapsed or not, what was told by then counts.
        let _elapsed = timeout::run(ANSWER_TIMEOUT, gather).await;
        self.close();
        heard
    }

    /// Gives up the questions that have no answer.
    fn close(self) {
        for addr in self.open.values() {
            self.gateway.load_owners.lock().missed(*addr, self.gateway.now());
            self.gateway.metrics.record_query("unanswered");
        }
    }
}

impl Drop for Questions<'_> {
    /// A caller that leaves drops its request here, too; without this, what it asked would be kept
    /// for good if the answers are lost.
    fn drop(&mut self) {
        let mut asked = self.reports.asked.lock();
        for id in self.open.keys() {
            asked.remove(id);
        }
    }
}
