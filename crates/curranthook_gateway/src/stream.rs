//! Responses that are streams of events, forwarded as they arrive.
//!
//! If the endpoint disconnects or stalls, another endpoint continues after the last complete event,
//! as far as the route allows. The caller sees a single response, with the head from the first
//! endpoint.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use curranthook_http::{Body, body, timeout};
use futures_lite::{future, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use crate::{
    attempt::{Cause, Exchange},
    directory::Outcome,
    frontend,
    job::{self, Job, Summary},
    refusal::{Refusal, Started},
    rollouts::Pace,
    splitter::Splitter,
    suspects,
};

/// The time without an event after which an endpoint counts as stalled, as a multiple of the
/// route's `max_event_gap`. By then the stream is late already, and callers cancel soon after.
const IDLE_TIMEOUT_GAP_FACTOR: u32 = 2;
/// The shortest time after which an endpoint counts as stalled. It may prefill other prompts between
/// two events, and a sound one may be silent for a second or so in addition.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The time for which a stream is observed before its time between events counts as known. Streams
/// of a slow version may end only after the decision on that version.
const PACE_TIME: Duration = Duration::from_secs(1);

/// Why a stream is aborted.
#[derive(Debug, thiserror::Error)]
#[error("stream aborted: {}", .0.reason.name())]
struct Aborted(Refusal);

/// A stream that is forwarded to its caller. Dropping it closes the connection, upon which the
/// endpoint stops.
struct Relay {
    job: Job,
    /// Waits for the end of the node's shutdown; none before the first event.
    shutdown: Option<future::Boxed<()>>,
    exchange: Option<Exchange>,
    splitter: Splitter,
    /// The memory for an event that isn't complete.
    memory: Option<body::Taken>,
    status: u16,
    first_byte_after: Duration,
    /// The number of events received from the current endpoint, and when its response began.
    n_events: u32,
    started_at: Instant,
    /// Whether the time between its events has been recorded.
    is_pace_recorded: bool,
    /// Whether it has been recorded that the response goes on.
    is_answer_recorded: bool,
    /// When the last event arrived that was new to the caller.
    last_progress_at: Instant,
    /// The number of events forwarded to the caller in total, and the time from the request's
    /// arrival to the last of them.
    n_forwarded: u32,
    last_event_after: Duration,
    is_done: bool,
}

/// The body of the response to the caller: forwards the body of `exchange` and, if its endpoint
/// fails, of the exchanges that resume it.
pub fn body(job: Job, exchange: Exchange) -> Body {
    let relay = Relay {
        status: exchange.reply.status.as_u16(),
        first_byte_after: job.gateway.now().saturating_duration_since(job.request.received_at),
        n_events: 0,
        started_at: job.gateway.now(),
        is_pace_recorded: false,
        is_answer_recorded: false,
        last_progress_at: job.gateway.now(),
        job,
        shutdown: None,
        exchange: Some(exchange),
        splitter: Splitter::default(),
        memory: None,
        n_forwarded: 0,
        last_event_after: Duration::ZERO,
        is_done: false,
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        if relay.is_done {
            return None;
        }
        let next = relay.next_until_shutdown().await.transpose()?;
        if next.is_err() {
            // The HTTP server flushes a connection while it waits for the next frame, whereas an
            // error closes the connection at once; without this yield, the events just before the
            // error would be lost.
            future::yield_now().await;
        }
        let frame = next.map(Frame::data).map_err(|e| Box::new(e) as body::Error);
        Some((frame, relay))
    });
    StreamBody::new(frames).boxed_unsync()
}

impl Relay {
    /// The next complete events, like [`Self::next`]. Aborts the stream when the node shuts down.
    async fn next_until_shutdown(&mut self) -> Result<Option<Bytes>, Aborted> {
        let mut shutdown = self.shutdown.take().unwrap_or_else(|| {
            let gateway = Arc::clone(&self.job.gateway);
            Box::pin(async move { gateway.shutdown.wait_for_deadline(&*gateway.clock).await })
        });
        let next = future::or(async { Some(self.next().await) }, async {
            (&mut shutdown).await;
            None
        });
        let Some(next) = next.await else {
            return Err(self.abort(frontend::stopping(Started::Maybe)));
        };
        self.shutdown = Some(shutdown);
        next
    }

    /// The next complete events; `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, Aborted> {
        loop {
            if self.exchange.is_none() {
                self.exchange = Some(self.resume().await?);
                let now = self.job.gateway.now();
                (self.n_events, self.started_at, self.last_progress_at) = (0, now, now);
                (self.is_pace_recorded, self.is_answer_recorded) = (false, false);
            }
            let cause = match self.read_events().await {
                Progress::Events(bytes) => return Ok(Some(bytes)),
                Progress::Partial => continue,
                Progress::End => {
                    let elapsed = self.job.gateway.now().saturating_duration_since(self.started_at);
                    if let Some(exchange) = &self.exchange {
                        self.job.record_stream(&exchange.lease, self.n_events, elapsed);
                    }
                    self.record_pace(elapsed);
                    self.record_answered();
                    self.end(job::OUTCOME_WHOLE, Outcome::Answered);
                    return Ok(None);
                }
                Progress::Failed(cause) => cause,
            };
            self.splitter.clear();
            self.memory = None;
            self.on_endpoint_failure(cause).await?;
        }
    }

    async fn read_events(&mut self) -> Progress {
        let time_left = self.job.time_left();
        // Silence is a reason to ask another endpoint, but none to end the response.
        let time_limit = match self.job.may_move() {
            true => time_left.min(self.idle_time_left()),
            false => time_left,
        };
        let Some(exchange) = self.exchange.as_mut() else {
            return Progress::Failed(Cause::Disconnected);
        };
        match timeout::run(time_limit, exchange.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else { return Progress::Partial };
                let events = self.splitter.push(&data);
                let response_memory = &self.job.gateway.response_memory;
                let memory =
                    self.memory.get_or_insert_with(|| response_memory.take(exchange.lease.addr));
                let fits = memory.resize(self.splitter.len().next_power_of_two());
                match events {
                    Some(events) => {
                        self.n_events += events.count;
                        self.n_forwarded += events.count;
                        let now = self.job.gateway.now();
                        self.last_event_after =
                            now.saturating_duration_since(self.job.request.received_at);
                        // Comments that only keep the connection alive are no progress for the
                        // caller.
                        if events.last_id.is_some() || self.job.last_event_id.is_none() {
                            self.last_progress_at = now;
                        }
                        self.job.last_event_id = events.last_id.or(self.job.last_event_id);
                        let elapsed = now.saturating_duration_since(self.started_at);
                        if PACE_TIME <= elapsed {
                            self.record_pace(elapsed);
                        }
                        if suspects::BEGINNING <= elapsed {
                            self.record_answered();
                        }
                        Progress::Events(events.bytes)
                    }
                    // The event may have no end.
                    None if self.splitter.is_too_large() || !fits => {
                        Progress::Failed(Cause::Disconnected)
                    }
                    None => Progress::Partial,
                }
            }
            Ok(None) if self.splitter.is_empty() => Progress::End,
            Ok(None | Some(Err(_))) => Progress::Failed(Cause::Disconnected),
            Err(timeout::Elapsed) => Progress::Failed(Cause::Timeout),
        }
    }

    /// Records the average time between the events of the current endpoint, of which the last came
    /// after `elapsed`, unless that has been done or there are fewer than two.
    fn record_pace(&mut self, elapsed: Duration) {
        let gap = elapsed.checked_div(self.n_events.saturating_sub(1));
        if let (false, Some(exchange), Some(gap)) = (self.is_pace_recorded, &self.exchange, gap) {
            let n_running = exchange.reply.load.map(|it| it.running);
            self.job.record_pace(&exchange.lease, Pace { gap, n_running });
            self.is_pace_recorded = true;
        }
    }

    /// Records once that the response of the current endpoint goes on.
    fn record_answered(&mut self) {
        if !std::mem::replace(&mut self.is_answer_recorded, true) {
            self.job.record_answered_parts(self.started_at);
        }
    }

    /// Closes the exchange with the failed endpoint, and aborts the stream if no other endpoint may
    /// continue it.
    async fn on_endpoint_failure(&mut self, cause: Cause) -> Result<(), Aborted> {
        let Some(exchange) = self.exchange.take() else { return Ok(()) };
        let endpoint = exchange.lease.incarnation();
        let begun_for = self.job.gateway.now().saturating_duration_since(self.started_at);
        exchange.close(Outcome::ConnectionLost);
        // A stall before the deadline is a failure of the endpoint, not a timeout of the request.
        let cause = match cause {
            Cause::Timeout if !self.job.time_left().is_zero() => Cause::Disconnected,
            other => other,
        };
        if let Err(refusal) = self.job.on_response_failed(&endpoint, cause, begun_for).await {
            return Err(self.abort(refusal));
        }
        Ok(())
    }

    async fn resume(&mut self) -> Result<Exchange, Aborted> {
        match self.job.execute().await {
            Ok(exchange) if exchange.reply.status.is_success() => Ok(exchange),
            Ok(exchange) => {
                exchange.close(Outcome::Failed);
                let refusal = self.job.refusal(crate::refusal::Reason::EndpointFailed);
                Err(self.abort(refusal))
            }
            Err(refusal) => Err(self.abort(refusal)),
        }
    }

    fn abort(&mut self, refusal: Refusal) -> Aborted {
        self.job.gateway.metrics.record_refusal(refusal.reason);
        self.end("broke_off", Outcome::Abandoned);
        Aborted(refusal)
    }

    fn end(&mut self, outcome: &'static str, endpoint_outcome: Outcome) {
        self.is_done = true;
        let exchange = self.exchange.take();
        let endpoint = exchange.as_ref().map(|it| it.lease.id.clone());
        let endpoint = endpoint.as_ref().map_or("", |it| it.as_str());
        self.job.record_end(&Summary {
            status: self.status,
            outcome,
            endpoint,
            first_byte_after: self.first_byte_after,
            n_events: self.n_forwarded,
            last_event_after: self.last_event_after,
        });
        match (exchange, endpoint_outcome) {
            (Some(exchange), Outcome::Answered) => {
                exchange.finish(&self.job.gateway, self.job.route.retry_policy, endpoint_outcome);
            }
            (Some(exchange), _) => exchange.close(endpoint_outcome),
            (None, _) => {}
        }
    }

    /// How long the endpoint may still take for the next event. Bytes that complete no event do not
    /// count: an endpoint that trickles them would keep its caller waiting until the deadline.
    fn idle_time_left(&self) -> Duration {
        let gap = self.job.route.max_event_gap.unwrap_or_default();
        let idle_timeout = gap.saturating_mul(IDLE_TIMEOUT_GAP_FACTOR).max(MIN_IDLE_TIMEOUT);
        idle_timeout
            .saturating_sub(self.job.gateway.now().saturating_duration_since(self.last_progress_at))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_done {
            self.end("caller_left", Outcome::Abandoned);
        }
    }
}

/// The result of reading from an endpoint.
enum Progress {
    /// Complete events to forward.
    Events(Bytes),
    /// Bytes that complete no event, or a frame without data.
    Partial,
    /// The end of the stream, at an event boundary.
    End,
    /// The endpoint disconnected or stalled, or the deadline passed.
    Failed(Cause),
}
