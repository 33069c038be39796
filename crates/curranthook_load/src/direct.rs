//! Load on a single address, a router or an engine, to measure the overhead of the router.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_io::Timer;
use bytes::Bytes;
use curranthook_http::{client::Pool, runtime};
use curranthook_types::{chat, clock, header};
use serde::Serialize;

use crate::{
    client::{Call, Client},
    sample::Outcome,
    schedule::{self, Phase, Spacing},
    timing::{Recorder, Summary},
};

/// Time-out of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of calls in a run.
const MAX_CALLS: usize = 5_000_000;

/// Whether calls are sent at a fixed rate (open loop) or as connections become free (closed loop).
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mode {
    /// Open loop: at this rate per second, regardless of responses.
    Open(f64),
    /// Closed loop: as soon as a connection is free.
    Closed,
}

/// Parameters of a load run.
#[derive(Debug, Clone)]
pub struct Load {
    /// Address that receives the calls.
    pub target: SocketAddr,
    /// Open or closed loop.
    pub mode: Mode,
    /// Duration of the run.
    pub duration: Duration,
    /// Number of connections.
    pub n_connections: usize,
    /// Content of each call.
    pub template: Template,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// Content of each call.
#[derive(Debug, Clone)]
pub struct Template {
    /// The API key.
    pub key: String,
    /// The model or version.
    pub model: String,
    /// The kind of work, sent as a request header.
    pub kind: String,
    /// The prompt text.
    pub text: String,
    /// Whether to request a streamed response.
    pub stream: bool,
}

/// Results of a load run.
#[derive(Debug, Clone, Serialize)]
pub struct Outcomes {
    /// Number of calls made.
    pub calls: u64,
    /// Number of complete answers.
    pub answered: u64,
    /// Refusals with a typed reason.
    pub refused: u64,
    /// Calls that ended with neither an answer nor a typed refusal.
    pub failed: u64,
    /// Complete answers per second.
    pub rate: f64,
    /// Latency of complete answers, from the scheduled time.
    pub whole: Summary,
    /// Time to first token of streamed answers, from the scheduled time.
    pub first_token: Summary,
}

#[derive(Debug, Default)]
struct Totals {
    answered: u64,
    refused: u64,
    failed: u64,
    whole: Recorder,
    first_token: Recorder,
}

#[derive(Debug)]
struct Shared {
    load: Load,
    body: Bytes,
    arrivals: Vec<schedule::Arrival>,
    next: AtomicUsize,
    start: Instant,
}

/// Sends the calls of a load run and returns its results.
pub async fn run(ex: &runtime::Handle, load: Load) -> Outcomes {
    let shared = Arc::new(Shared::new(load));
    let pool = Arc::new(Pool::new(Arc::clone(ex), Arc::new(clock::System)));
    let worker = |_| ex.spawn(Arc::clone(&shared).run_worker(Client::new(Arc::clone(&pool))));
    let workers: Vec<_> = (0..shared.load.n_connections).map(worker).collect();
    let mut totals = Totals::default();
    for worker in workers {
        totals.add(worker.await);
    }
    totals.outcomes(shared.start.elapsed())
}

impl Load {
    /// Scheduled times of the calls; empty for a closed loop.
    ///
    /// ```
    /// use std::time::Duration;
    /// use curranthook_load::direct::{Load, Mode, Template};
    /// # let template = Template {
    /// #     key: "key-a".into(), model: "auto".into(), kind: "summary".into(),
    /// #     text: "How much?".into(), stream: false,
    /// # };
    /// let load = Load {
    ///     target: "127.0.0.1:8080".parse().unwrap(),
    ///     mode: Mode::Open(100.0),
    ///     duration: Duration::from_secs(1),
    ///     n_connections: 8,
    ///     template,
    ///     seed: 1,
    /// };
    /// assert_eq!(load.arrivals(), load.arrivals());
    /// ```
    pub fn arrivals(&self) -> Vec<schedule::Arrival> {
        let Mode::Open(rate) = self.mode else { return Vec::new() };
        let phase = Phase { duration: self.duration, rate, spacing: Spacing::Poisson };
        schedule::arrivals(&[phase], self.seed)
    }
}

impl Template {
    /// Builds the request with ID `id`, addressed to `target`.
    pub fn request(&self, target: SocketAddr, id: &str, body: Bytes) -> http::Request<Bytes> {
        http::Request::post("/v1/chat/completions")
            .header(http::header::HOST, target.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(header::REQUEST_ID, id)
            .header(header::KIND, &self.kind)
            .body(body)
            .expect("the command-line arguments are valid header values")
    }

    /// Body shared by all requests.
    pub fn body(&self) -> Bytes {
        let chat = chat::Request {
            model: self.model.clone(),
            messages: vec![chat::Message { role: "user".to_owned(), content: self.text.clone() }],
            stream: self.stream,
            max_tokens: None,
            rest: serde_json::Map::new(),
        };
        serde_json::to_vec(&chat).expect("a request can be serialized as JSON").into()
    }
}

impl Shared {
    fn new(load: Load) -> Self {
        let arrivals = load.arrivals();
        let body = load.template.body();
        Self { load, body, arrivals, next: AtomicUsize::new(0), start: Instant::now() }
    }

    /// Makes one call at a time until none are left. A call that finds every connection busy
    /// is sent late, and the delay counts as latency because its time was scheduled beforehand.
    async fn run_worker(self: Arc<Self>, client: Client) -> Totals {
        let mut totals = Totals::default();
        while let Some((index, scheduled)) = self.next_call() {
            Timer::at(scheduled).await;
            let outcome = client.run(self.call(index, scheduled)).await;
            totals.record(&outcome, scheduled.elapsed());
        }
        totals
    }

    fn next_call(&self) -> Option<(usize, Instant)> {
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        let scheduled = match self.load.mode {
            Mode::Open(_) => self.start + self.arrivals.get(index)?.at,
            Mode::Closed => Instant::now(),
        };
        let is_over = self.start + self.load.duration <= scheduled || MAX_CALLS <= index;
        (!is_over).then_some((index, scheduled))
    }

    fn call(&self, index: usize, scheduled: Instant) -> Call {
        let id = format!("direct-{}-{index}", self.load.seed);
        let target = self.load.target;
        Call {
            addr: target,
            req: self.load.template.request(target, &id, self.body.clone()),
            expected_id: Some(id),
            scheduled,
            timeout: CALL_TIMEOUT,
        }
    }
}

impl Totals {
    fn record(&mut self, outcome: &Outcome, latency: Duration) {
        match outcome {
            Outcome::Answered(answer) => {
                self.answered += 1;
                self.whole.record(latency);
                answer.first_token.into_iter().for_each(|it| self.first_token.record(it));
            }
            Outcome::Refused(..) => self.refused += 1,
            Outcome::Failed(_) => self.failed += 1,
        }
    }

    fn add(&mut self, other: Self) {
        self.answered += other.answered;
        self.refused += other.refused;
        self.failed += other.failed;
        self.whole.merge(&other.whole);
        self.first_token.merge(&other.first_token);
    }

    fn outcomes(&self, elapsed: Duration) -> Outcomes {
        Outcomes {
            calls: self.answered + self.refused + self.failed,
            answered: self.answered,
            refused: self.refused,
            failed: self.failed,
            rate: self.answered as f64 / elapsed.as_secs_f64(),
            whole: self.whole.summary(),
            first_token: self.first_token.summary(),
        }
    }
}
