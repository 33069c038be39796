//! HTTP client of a simulated caller: sends one request and reads the complete response.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use curranthook_http::{
    body,
    client::{Error, Freshness, Pool, response},
    timeout,
};
use curranthook_types::{chat, header, refusal::Refusal, version};
use http_body_util::BodyExt as _;
use serde::Deserialize;

use crate::{
    sample::{Answer, Failure, Mark, Outcome},
    sse,
};

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A request with its destination, scheduled time and timeout.
#[derive(Debug)]
pub struct Call {
    /// Address of the server.
    pub addr: SocketAddr,
    /// The HTTP request.
    pub req: http::Request<Bytes>,
    /// Request ID that the response must carry, for protocols that return one.
    pub expected_id: Option<String>,
    /// Scheduled send time, from which latency is measured.
    pub scheduled: Instant,
    /// Time-out, counted from the scheduled time.
    pub timeout: Duration,
}

/// HTTP client with a pool of persistent connections.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Arc<Pool>,
}

impl Client {
    /// Creates a client that uses the connections of `pool`.
    pub fn new(pool: Arc<Pool>) -> Self {
        Self { pool }
    }

    /// Sends the request. Latency is measured from the scheduled time, so it includes the delay of
    /// a request that was sent late because others were still in progress.
    pub async fn run(&self, call: Call) -> Outcome {
        let left = (call.scheduled + call.timeout).saturating_duration_since(Instant::now());
        match timeout::run(left, self.attempt(call)).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(failure)) => Outcome::Failed(failure),
            Err(timeout::Elapsed) => Outcome::Failed(Failure::Timeout),
        }
    }

    async fn attempt(&self, call: Call) -> Result<Outcome, Failure> {
        let mut conn = self.pool.take(call.addr, Freshness::Any).await?;
        let sent = conn.send(call.req).await;
        let (head, incoming) = match sent {
            Ok(res) => res.into_parts(),
            Err(e) => {
                conn.close();
                return Err(e.into());
            }
        };
        let outcome = if !head.status.is_success() {
            read_refusal(incoming).await?
        } else if is_stream(&head) {
            read_stream(&head, incoming, call.scheduled, call.expected_id.as_deref()).await?
        } else {
            Outcome::Answered(read_answer(&head, incoming, call.expected_id.as_deref()).await?)
        };
        self.pool.put(conn);
        Ok(outcome)
    }
}

impl From<Error> for Failure {
    fn from(e: Error) -> Self {
        if e.is_unsent() { Self::Connect } else { Self::Closed }
    }
}

fn is_stream(head: &http::response::Parts) -> bool {
    header_value(head, "content-type").is_some_and(|it| it.starts_with("text/event-stream"))
}

fn header_value<'a>(head: &'a http::response::Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

/// Body of a refusal, and of the last event of a stream that the router aborted.
#[derive(Debug, Deserialize)]
struct RefusalBody {
    error: Refusal,
}

async fn read_refusal(incoming: response::Body) -> Result<Outcome, Failure> {
    let bytes = body::read(incoming, MAX_RESPONSE_BYTES).await.map_err(|_| Failure::CutOff)?;
    let body: RefusalBody = serde_json::from_slice(&bytes).map_err(|_| Failure::UntypedError)?;
    Ok(Outcome::Refused(body.error.code, body.error.not_run))
}

async fn read_answer(
    head: &http::response::Parts,
    incoming: response::Body,
    expected_id: Option<&str>,
) -> Result<Answer, Failure> {
    let bytes = body::read(incoming, MAX_RESPONSE_BYTES).await.map_err(|_| Failure::CutOff)?;
    let Some(expected_id) = expected_id else {
        // A plain service has its own response format.
        return Ok(Answer::default());
    };
    let answer: chat::Answer = serde_json::from_slice(&bytes).map_err(|_| Failure::Unreadable)?;
    check_id(&answer, expected_id)?;
    let message = answer.choices.first().and_then(|it| it.message.as_ref());
    Ok(Answer {
        version: Some(served_version(head, &answer)),
        mark: message.and_then(|it| Mark::parse(&it.content)),
        session_token: header_value(head, header::SESSION_TOKEN).map(str::to_owned),
        ..Answer::default()
    })
}

async fn read_stream(
    head: &http::response::Parts,
    mut incoming: response::Body,
    scheduled: Instant,
    expected_id: Option<&str>,
) -> Result<Outcome, Failure> {
    let mut reader = sse::Reader::default();
    let mut state = StreamState::default();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| Failure::CutOff)?;
        let Ok(chunk) = frame.into_data() else { continue };
        let now = Instant::now();
        for data in reader.push(&chunk) {
            state.handle_event(&data, now, scheduled, head, expected_id)?;
        }
    }
    if let Some(refusal) = state.refusal {
        return Ok(Outcome::Refused(refusal.code, refusal.not_run));
    }
    if !state.ended {
        return Err(Failure::CutOff);
    }
    state.answer.mark = Mark::parse(&state.text);
    state.answer.session_token = header_value(head, header::SESSION_TOKEN).map(str::to_owned);
    Ok(Outcome::Answered(state.answer))
}

#[derive(Debug, Default)]
struct StreamState {
    answer: Answer,
    text: String,
    last: Option<Instant>,
    ended: bool,
    refusal: Option<Refusal>,
}

impl StreamState {
    fn handle_event(
        &mut self,
        data: &str,
        now: Instant,
        scheduled: Instant,
        head: &http::response::Parts,
        expected_id: Option<&str>,
    ) -> Result<(), Failure> {
        if data == chat::END_MARKER {
            self.ended = true;
            return Ok(());
        }
        if let Ok(body) = serde_json::from_str::<RefusalBody>(data) {
            self.refusal = Some(body.error);
            return Ok(());
        }
        let event: chat::Answer = serde_json::from_str(data).map_err(|_| Failure::Unreadable)?;
        if let Some(expected_id) = expected_id {
            check_id(&event, expected_id)?;
        }
        self.answer.version.get_or_insert_with(|| served_version(head, &event));
        let Some(delta) = event.choices.first().and_then(|it| it.delta.as_ref()) else {
            return Ok(());
        };
        if delta.content.is_empty() {
            return Ok(());
        }
        self.text.push_str(&delta.content);
        match self.last.replace(now) {
            None => self.answer.first_token = Some(now.saturating_duration_since(scheduled)),
            Some(last) => self.answer.gaps.push(now - last),
        }
        Ok(())
    }
}

fn served_version(head: &http::response::Parts, answer: &chat::Answer) -> version::Id {
    version::Id::new(header_value(head, header::VERSION).unwrap_or(&answer.model))
}

/// Checks the ID in the response: an intermediary can deliver a response to the wrong caller.
fn check_id(answer: &chat::Answer, expected: &str) -> Result<(), Failure> {
    if answer.id == expected { Ok(()) } else { Err(Failure::Foreign) }
}
