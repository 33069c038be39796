//! Open-loop sender: each request is sent at its scheduled time, regardless of the others.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use curranthook_http::runtime;
use curranthook_types::{header, version};
use parking_lot::Mutex;

use crate::{
    client::{Call, Client},
    plan,
    sample::{Failure, Outcome, Sample},
    scenario::{self, Kind, Scenario},
};

/// Maximum number of outstanding requests; beyond it, the load tool itself would be the bottleneck.
const MAX_OUTSTANDING: usize = 20_000;
/// Time to wait after the deadline, to tell a late answer from a missing one.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Addresses that callers send their requests to.
#[derive(Debug, Clone, Default)]
pub struct Ingress {
    /// Addresses for model requests, used round-robin.
    pub models: Vec<SocketAddr>,
    /// Addresses for plain services, used round-robin, by service.
    pub services: BTreeMap<String, Vec<SocketAddr>>,
    /// Version to request instead of the model configured for the kind of work.
    pub version: Option<version::Id>,
}

/// The simulated callers of a run.
#[derive(Debug)]
pub struct Callers {
    scenario: Arc<Scenario>,
    client: Client,
    ingress: Ingress,
    session_tokens: Mutex<HashMap<String, String>>,
    n_outstanding: AtomicUsize,
}

impl Callers {
    /// Creates callers that distribute their requests over the given addresses, as the platform's
    /// load balancer does.
    pub fn new(scenario: Arc<Scenario>, client: Client, ingress: Ingress) -> Self {
        Self {
            scenario,
            client,
            ingress,
            session_tokens: Mutex::default(),
            n_outstanding: AtomicUsize::new(0),
        }
    }

    /// Sends every request of `plan`, scheduled relative to `start`, and waits for all to end.
    pub async fn drive(
        self: Arc<Self>,
        ex: &runtime::Handle,
        plan: &Arc<[plan::Request]>,
        start: Instant,
    ) -> Vec<Sample> {
        let (tx, rx) = async_channel::unbounded();
        for index in 0..plan.len() {
            Timer::at(start + plan[index].at).await;
            self.spawn(ex, Arc::clone(plan), index, start, tx.clone());
        }
        drop(tx);
        let mut samples = Vec::with_capacity(plan.len());
        while let Ok(sample) = rx.recv().await {
            samples.push(sample);
        }
        samples
    }

    fn spawn(
        self: &Arc<Self>,
        ex: &runtime::Handle,
        plan: Arc<[plan::Request]>,
        index: usize,
        start: Instant,
        tx: Sender<Sample>,
    ) {
        let callers = Arc::clone(self);
        ex.spawn(async move {
            let request = &plan[index];
            let scheduled = start + request.at;
            let outcome = callers.send(index, request, scheduled).await;
            let latency = scheduled.elapsed();
            // `drive` receives until all senders are dropped; this fails only if it was cancelled.
            let _send_result = tx.send(Sample { index, latency, outcome }).await;
        })
        .detach();
    }

    async fn send(&self, index: usize, request: &plan::Request, scheduled: Instant) -> Outcome {
        if MAX_OUTSTANDING <= self.n_outstanding.fetch_add(1, Ordering::Relaxed) {
            self.n_outstanding.fetch_sub(1, Ordering::Relaxed);
            return Outcome::Failed(Failure::NotSent);
        }
        let call = self.call(index, request, scheduled);
        let outcome = self.client.run(call).await;
        self.n_outstanding.fetch_sub(1, Ordering::Relaxed);
        self.store_session_token(request, &outcome);
        outcome
    }

    fn call(&self, index: usize, request: &plan::Request, scheduled: Instant) -> Call {
        let kind = &self.scenario.kinds[&request.kind];
        let addr = self.ingress.addr(index, kind);
        Call {
            addr,
            req: self.http_request(addr, request, kind),
            expected_id: kind.service.is_none().then(|| request.id.clone()),
            scheduled,
            timeout: kind.deadline + LATE_ANSWER_TIMEOUT,
        }
    }

    fn http_request(
        &self,
        addr: SocketAddr,
        request: &plan::Request,
        kind: &Kind,
    ) -> http::Request<Bytes> {
        let mut req = http::Request::builder()
            .method(method(kind))
            .uri(path(kind))
            .header(http::header::HOST, addr.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer key-{}", request.account))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(header::REQUEST_ID, &request.id)
            .header(header::KIND, request.kind.as_str())
            .header(header::DEADLINE_MS, kind.deadline.as_millis().to_string());
        if kind.service.is_some() && kind.call == scenario::Call::Write {
            req = req.header(header::IDEMPOTENCY_KEY, &request.id);
        }
        if let Some(session) = &request.session {
            req = req.header(header::SESSION, session);
            if let Some(token) = self.session_tokens.lock().get(session) {
                req = req.header(header::SESSION_TOKEN, token);
            }
        }
        req.body(self.body(request, kind)).expect("a validated scenario gives valid header values")
    }

    fn body(&self, request: &plan::Request, kind: &Kind) -> Bytes {
        let json = match (&kind.service, &self.ingress.version) {
            (Some(_), _) if kind.call == scenario::Call::Read => return Bytes::new(),
            (Some(_), _) => serde_json::to_vec(&serde_json::json!({"entry": request.text})),
            (None, None) => serde_json::to_vec(&request.chat_request(kind, &kind.model)),
            (None, Some(version)) => {
                serde_json::to_vec(&request.chat_request(kind, version.as_str()))
            }
        };
        json.expect("a request can be serialized as JSON").into()
    }

    fn store_session_token(&self, request: &plan::Request, outcome: &Outcome) {
        let (Some(session), Outcome::Answered(answer)) = (&request.session, outcome) else {
            return;
        };
        if let Some(token) = &answer.session_token {
            self.session_tokens.lock().insert(session.clone(), token.clone());
        }
    }
}

impl Ingress {
    fn addr(&self, index: usize, kind: &Kind) -> SocketAddr {
        let service = kind.service.as_ref().and_then(|it| self.services.get(it));
        let addrs = service.unwrap_or(&self.models);
        addrs[index % addrs.len()]
    }
}

fn method(kind: &Kind) -> http::Method {
    match (&kind.service, kind.call) {
        (Some(_), scenario::Call::Read) => http::Method::GET,
        (Some(_), scenario::Call::Write) | (None, _) => http::Method::POST,
    }
}

fn path(kind: &Kind) -> String {
    match &kind.service {
        Some(service) => format!("/services/{service}/entries"),
        None => "/v1/chat/completions".to_owned(),
    }
}
