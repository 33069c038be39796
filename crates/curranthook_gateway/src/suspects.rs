//! Parts of prompts under which endpoints crash: what nodes tell each other of them.
//!
//! A node reports the parts of a request under which an endpoint crashed to a few nodes that follow
//! from the part, which add up the reports of all. A verdict that they reach is told to all nodes;
//! one that knows of an answer on the part objects. A row of the store keeps verdicts while all nodes
//! restart.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use curranthook_policy::{
    hash,
    suspects::{Crash, Part, Verdict},
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

pub use curranthook_policy::suspects::Decision;

use crate::{
    Gateway, advertised::Incarnation, event::Event, load::reports::Message, request::Request,
};

/// How long after the beginning of its answer a request may be what its endpoint crashed under.
pub const BEGINNING: Duration = Duration::from_secs(1);
/// The number of nodes to which the crashes under a part are reported: some may be lost.
const N_JUDGES: usize = 3;
/// The maximum number of parts of a request that are considered.
const MAX_PARTS: usize = 8;
/// The maximum number of items of each kind in a message, and queued for one.
const MAX_ITEMS: usize = 4;
/// The maximum number of messages with verdicts for a node that starts.
const MAX_ANSWERS: usize = 16;
/// The maximum number of items that are queued.
const MAX_QUEUED: usize = 1_024;

/// A crash under a part, as sent between nodes.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    part: Part,
    /// The other parts that may be shared.
    parts: Vec<Part>,
    endpoint: u64,
    request: u64,
    /// The time since the crash.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    age: Duration,
}

/// A verdict, as sent between nodes and stored.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Finding {
    part: Part,
    together: Vec<Part>,
    n_crashes: usize,
    /// The time since the first of the crashes.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    first_crash_age: Duration,
    /// The time since the verdict was reached.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    age: Duration,
}

/// An answer that speaks against a verdict, as sent between nodes.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Objection {
    part: Part,
    /// The time since the answer began.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    age: Duration,
    /// Whether the answer disproves the verdict. Each node passes it on then, so that none is missed.
    #[serde(default)]
    disproves: bool,
}

/// What is queued for other nodes.
#[derive(Debug, Default)]
pub struct Queue {
    reports: Mutex<HashMap<SocketAddr, Vec<Report>>>,
    findings: Mutex<Vec<Finding>>,
    objections: Mutex<Vec<Objection>>,
}

impl Queue {
    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.reports.lock().is_empty()
            && self.findings.lock().is_empty()
            && self.objections.lock().is_empty()
    }

    /// Removes and returns the reports for the next round, by the node that they are sent to.
    pub fn take_reports(&self) -> Vec<(SocketAddr, Vec<Report>)> {
        let mut reports = self.reports.lock();
        let taken = reports.iter_mut().map(|(addr, reports)| {
            let n = reports.len().min(MAX_ITEMS);
            (*addr, reports.drain(..n).collect())
        });
        let taken = taken.collect();
        reports.retain(|_, it| !it.is_empty());
        taken
    }

    /// Removes and returns the verdicts and objections for the next round.
    pub fn take_findings(&self) -> (Vec<Finding>, Vec<Objection>) {
        let (mut findings, mut objections) = (self.findings.lock(), self.objections.lock());
        let (n, m) = (findings.len().min(MAX_ITEMS), objections.len().min(MAX_ITEMS));
        (findings.drain(..n).collect(), objections.drain(..m).collect())
    }
}

/// The parts of a request that others may share, as known to all nodes: all but the last.
pub fn shared_parts(request: &Request, service: &str) -> Vec<Part> {
    let Some((_own, shared)) = request.head.prompt_parts.split_last() else { return Vec::new() };
    let service = hash::bytes(service.as_bytes());
    shared.iter().take(MAX_PARTS).map(|it| hash::pair(service, it.hash)).collect()
}

/// Whether a request may be sent, given the verdicts on its parts.
pub fn decide(gateway: &Gateway, request: &Request, service: &str) -> Decision {
    if request.head.prompt_parts.len() < 2 {
        return Decision::Admit;
    }
    let (parts, now) = (shared_parts(request, service), gateway.now());
    let decision = gateway.suspects.lock().decide(&parts, now, false);
    let Decision::Refuse(part) = decision else { return decision };
    let is_tester = judges(gateway, part).first() == gateway.settings.reports.as_ref();
    let decision = gateway.suspects.lock().decide(&parts, now, is_tester);
    if let Decision::Refuse(part) | Decision::Test(part) = decision {
        let state = if decision == Decision::Refuse(part) { "refused" } else { "tested" };
        gateway.log.write(&Event::PartSuspected { request: &request.head.id, part, state });
    }
    decision
}

/// Records that an endpoint crashed under a request that it had not answered, or just begun to.
pub fn record_crash(
    gateway: &Gateway,
    request: &Request,
    service: &str,
    endpoint: &Incarnation,
    now: Instant,
) {
    let parts = shared_parts(request, service);
    let endpoint = endpoint.hash();
    let request = hash::bytes(&request.fingerprint);
    for part in &parts {
        let crash = Crash { endpoint, request, parts: &parts, at: now };
        for addr in judges(gateway, *part) {
            if Some(addr) == gateway.settings.reports {
                judge(gateway, *part, &crash);
                continue;
            }
            let Some(reports) = gateway.load_reports.get() else { continue };
            let report = Report {
                part: *part,
                parts: parts.clone(),
                endpoint,
                request,
                age: Duration::ZERO,
            };
            let mut queued = reports.suspects.reports.lock();
            let queued = queued.entry(addr).or_default();
            if queued.len() < MAX_QUEUED {
                queued.push(report);
            }
        }
        if gateway.settings.reports.is_none() {
            judge(gateway, *part, &crash);
        }
    }
    gateway.pending_work_changed.wake();
}

/// Records that the answer to a request that began at `begun_at` goes on or has ended whole: what it
/// contains crashes no endpoint.
pub fn record_answer(gateway: &Gateway, request: &Request, service: &str, begun_at: Instant) {
    let parts = shared_parts(request, service);
    if parts.is_empty() {
        return;
    }
    let (sent_at, now) = (request.received_at, gateway.now());
    let disproved = gateway.suspects.lock().record_answer(&parts, sent_at, begun_at, now);
    disproved.into_iter().for_each(|it| clear(gateway, it, begun_at));
}

/// Handles an answer on a part that began at `begun_at` at another node.
fn record_answered(gateway: &Gateway, part: Part, begun_at: Instant, disproves: bool) {
    if gateway.suspects.lock().record_answered(part, begun_at, gateway.now()) {
        clear(gateway, part, begun_at);
    } else if disproves {
        object(gateway, part, begun_at, true);
    }
}

/// Logs that an answer disproved a verdict, and tells all nodes.
fn clear(gateway: &Gateway, part: Part, begun_at: Instant) {
    gateway.log.write(&Event::PartCleared { part });
    object(gateway, part, begun_at, true);
}

/// Queues an objection for all nodes, unless this node has just objected.
fn object(gateway: &Gateway, part: Part, begun_at: Instant, disproves: bool) {
    let Some(reports) = gateway.load_reports.get() else { return };
    if !gateway.suspects.lock().objects(part, disproves, begun_at, gateway.now()) {
        return;
    }
    let age = gateway.now().saturating_duration_since(begun_at);
    let mut objections = reports.suspects.objections.lock();
    if objections.len() < MAX_QUEUED {
        objections.push(Objection { part, age, disproves });
    }
    drop(objections);
    gateway.pending_work_changed.wake();
}

/// Adds a crash to those that all nodes reported of a part.
fn judge(gateway: &Gateway, part: Part, crash: &Crash<'_>) {
    let verdict = gateway.suspects.lock().record_crash(part, crash, gateway.now());
    if let Some(verdict) = verdict {
        record_verdict(gateway, verdict, "own");
    }
}

/// Records a verdict, and passes it on if it is new. A node that knows of an answer on the part says
/// so: one that began after the first crash disproves the verdict, an earlier one makes nodes wait
/// for other answers.
fn record_verdict(gateway: &Gateway, verdict: Verdict, from: &'static str) {
    let finding = Finding::new(&verdict, gateway.now());
    let (part, n_crashes, together) = (verdict.part, verdict.n_crashes, verdict.together.len());
    let first_crash = verdict.first_crash;
    let (is_new, answered_at) = {
        let mut suspects = gateway.suspects.lock();
        let answered_at = suspects.answered_at(part);
        (suspects.record_verdict(verdict), answered_at)
    };
    if !is_new && answered_at.is_none_or(|at| at <= first_crash) {
        return;
    }
    if let Some(at) = answered_at {
        object(gateway, part, at, first_crash < at);
    }
    if !is_new {
        return;
    }
    let first_crash_ms = u64::try_from(finding.first_crash_age.as_millis()).unwrap_or(u64::MAX);
    gateway.log.write(&Event::PartVerdict { part, n_crashes, together, first_crash_ms, from });
    let Some(reports) = gateway.load_reports.get() else { return };
    let mut findings = reports.suspects.findings.lock();
    if findings.len() < MAX_QUEUED {
        findings.push(finding);
    }
    drop(findings);
    gateway.pending_work_changed.wake();
}

/// Handles the reports of another node.
pub fn receive_reports(gateway: &Gateway, reports: &[Report]) {
    for it in reports.iter().filter(|it| it.parts.len() <= MAX_PARTS) {
        if let Some(at) = gateway.now().checked_sub(it.age) {
            let (endpoint, request, parts) = (it.endpoint, it.request, &it.parts[..]);
            judge(gateway, it.part, &Crash { endpoint, request, parts, at });
        }
    }
}

/// Handles verdicts and objections of another node.
pub fn receive_findings(gateway: &Gateway, findings: &[Finding], objections: &[Objection]) {
    for it in objections {
        if let Some(at) = gateway.now().checked_sub(it.age) {
            record_answered(gateway, it.part, at, it.disproves);
        }
    }
    findings.iter().for_each(|it| receive_finding(gateway, it, "peer"));
}

/// Handles a verdict that another node sent or stored.
pub fn receive_finding(gateway: &Gateway, finding: &Finding, from: &'static str) {
    match finding.verdict(gateway.now()) {
        Some(verdict) => record_verdict(gateway, verdict, from),
        None => log::debug!("ignoring a malformed verdict on part {:016x}", finding.part),
    }
}

/// The verdicts to store.
pub fn findings(gateway: &Gateway) -> Vec<Finding> {
    let now = gateway.now();
    let suspects = gateway.suspects.lock();
    let mut findings: Vec<_> = suspects.verdicts(now).map(|it| Finding::new(it, now)).collect();
    findings.sort_unstable_by_key(|it| it.part);
    findings
}

/// The messages for a node that starts: the valid verdicts.
pub(crate) fn answers(gateway: &Gateway) -> Vec<Message> {
    let findings = findings(gateway);
    let messages = findings.chunks(MAX_ITEMS).take(MAX_ANSWERS);
    let message = |it: &[Finding]| Message::Verdicts { findings: it.to_vec(), objections: vec![] };
    messages.map(message).collect()
}

/// The addresses of the nodes that add up the crashes under a part.
pub fn judges(gateway: &Gateway, part: Part) -> Vec<SocketAddr> {
    gateway.load_owners.lock().nearest(part, N_JUDGES)
}

impl Finding {
    fn new(verdict: &Verdict, now: Instant) -> Self {
        Self {
            part: verdict.part,
            together: verdict.together.iter().copied().collect(),
            n_crashes: verdict.n_crashes,
            first_crash_age: now.saturating_duration_since(verdict.first_crash),
            age: now.saturating_duration_since(verdict.since),
        }
    }

    /// The part.
    pub fn part(&self) -> Part {
        self.part
    }

    fn verdict(&self, now: Instant) -> Option<Verdict> {
        let is_valid = self.together.len() <= MAX_PARTS && self.together.contains(&self.part);
        Some(Verdict {
            part: self.part,
            together: self.together.iter().copied().collect(),
            n_crashes: self.n_crashes,
            first_crash: now.checked_sub(self.first_crash_age)?,
            since: now.checked_sub(self.age).filter(|_| is_valid)?,
        })
    }
}
