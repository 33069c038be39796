//! An answer that is a stream of events, passed on as they come.
//!
//! If the endpoint breaks off or goes silent, another one goes on after the last whole event, as
//! far as the route allows that. The caller sees one answer, with the head of the first endpoint.

use std::time::{Duration, Instant};

use bytes::Bytes;
use curranthook_http::{Body, timeout};
use futures_lite::{future, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use crate::{
    attempt::{Cause, Open},
    directory::Outcome,
    job::{self, End, Job},
    refusal::Refusal,
    splitter::Splitter,
};

/// An endpoint that lets this many times the longest pause go by without an event has stopped:
/// the answer is late already, and callers leave soon after.
const SILENT_PAUSES: u32 = 2;
/// The least time after which an endpoint counts as silent, as it may read other prompts between.
const MIN_SILENCE: Duration = Duration::from_millis(1_500);

/// Why a stream ends before its end.
#[derive(Debug, thiserror::Error)]
#[error("the stream broke off: {}", .0.reason.name())]
struct Broken(Refusal);

/// A stream on its way to its caller. Dropping it tells the endpoint to stop.
#[derive(Debug)]
struct Relay {
    job: Job,
    open: Option<Open>,
    splitter: Splitter,
    status: u16,
    first: Duration,
    /// How many events came from the present endpoint, and since when.
    events: u32,
    since: Instant,
    /// When the stream last got on, by an event that its caller doesn't have yet.
    got_on: Instant,
    /// How many events the caller got in all, and when the last of them, after the request came.
    passed_on: u32,
    last_event: Duration,
    is_done: bool,
}

/// The body of an answer that has begun.
pub fn body(job: Job, open: Open) -> Body {
    let relay = Relay {
        status: open.reply.status.as_u16(),
        first: job.gateway.now().saturating_duration_since(job.ask.since),
        events: 0,
        since: job.gateway.now(),
        got_on: job.gateway.now(),
        job,
        open: Some(open),
        splitter: Splitter::default(),
        passed_on: 0,
        last_event: Duration::ZERO,
        is_done: false,
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        if relay.is_done {
            return None;
        }
        let next = relay.next().await.transpose()?;
        if next.is_err() {
            // A connection writes what it holds while it waits for more; an error closes it at once, and
            // the events just before it would be lost.
            future::yield_now().await;
        }
        let frame = next.map(Frame::data).map_err(|e| Box::new(e) as curranthook_http::body::Error);
        Some((frame, relay))
    });
    StreamBody::new(frames).boxed_unsync()
}

impl Relay {
    /// The next whole events; none at the end.
    async fn next(&mut self) -> Result<Option<Bytes>, Broken> {
        loop {
            if self.open.is_none() {
                self.open = Some(self.resume().await?);
                let now = self.job.gateway.now();
                (self.events, self.since, self.got_on) = (0, now, now);
            }
            let cause = match self.read().await {
                Read::Events(bytes) => return Ok(Some(bytes)),
                Read::Part => continue,
                Read::End => {
                    let took = self.job.gateway.now().saturating_duration_since(self.since);
                    let version = self.open.as_ref().map_or("", |it| it.lease.version.as_str());
                    self.job.streamed(version, self.events, took);
                    self.end(job::WHOLE, Outcome::Answered);
                    return Ok(None);
                }
                Read::Failed(cause) => cause,
            };
            self.splitter.clear();
            self.leave(cause).await?;
        }
    }

    async fn read(&mut self) -> Read {
        let limit = self.job.time_left().min(self.silence_left());
        let Some(open) = self.open.as_mut() else { return Read::Failed(Cause::Cut) };
        match timeout::run(limit, open.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else { return Read::Part };
                match self.splitter.push(&data) {
                    Some(events) => {
                        self.events += events.count;
                        self.passed_on += events.count;
                        let now = self.job.gateway.now();
                        self.last_event = now.saturating_duration_since(self.job.ask.since);
                        // Comments that keep a connection open bring the caller nothing.
                        if events.last_id.is_some() || self.job.last_event.is_none() {
                            self.got_on = now;
                        }
                        self.job.last_event = events.last_id.or(self.job.last_event);
                        Read::Events(events.bytes)
                    }
                    None => Read::Part,
                }
            }
            Ok(None) if self.splitter.is_empty() => Read::End,
            Ok(None | Some(Err(_))) => Read::Failed(Cause::Cut),
            Err(timeout::Elapsed) => Read::Failed(Cause::Timeout),
        }
    }

    /// The endpoint failed: leaves it, and ends the answer if no other may go on.
    async fn leave(&mut self, cause: Cause) -> Result<(), Broken> {
        let Some(open) = self.open.take() else { return Ok(()) };
        let id = open.lease.id.clone();
        open.close(Outcome::ConnectionLost);
        // Silence within the time that is left is no end of the time.
        let cause = match cause {
            Cause::Timeout if !self.job.time_left().is_zero() => Cause::Cut,
            other => other,
        };
        if let Err(refusal) = self.job.broke_off(&id, cause).await {
            return Err(self.broken(refusal));
        }
        Ok(())
    }

    async fn resume(&mut self) -> Result<Open, Broken> {
        match self.job.open().await {
            Ok(open) if open.reply.status.is_success() => Ok(open),
            Ok(open) => {
                open.close(Outcome::Failed);
                let refusal = self.job.refusal(crate::refusal::Reason::EndpointFailed);
                Err(self.broken(refusal))
            }
            Err(refusal) => Err(self.broken(refusal)),
        }
    }

    fn broken(&mut self, refusal: Refusal) -> Broken {
        self.job.gateway.metrics.record_refusal(refusal.reason);
        self.end("broke_off", Outcome::Abandoned);
        Broken(refusal)
    }

    fn end(&mut self, outcome: &'static str, of_endpoint: Outcome) {
        self.is_done = true;
        let open = self.open.take();
        let endpoint = open.as_ref().map(|it| it.lease.id.clone());
        let endpoint = endpoint.as_ref().map_or("", |it| it.as_str());
        self.job.ended(&End {
            status: self.status,
            outcome,
            endpoint,
            first_byte: self.first,
            events: self.passed_on,
            last_event: self.last_event,
        });
        match (open, of_endpoint) {
            (Some(open), Outcome::Answered) => {
                open.finish(&self.job.gateway, self.job.route.retry_policy, of_endpoint);
            }
            (Some(open), _) => open.close(of_endpoint),
            (None, _) => {}
        }
    }

    /// How long the endpoint may still take for the next event. Bytes that make none don't count: an
    /// endpoint that trickles them would hold its caller until the time is up.
    fn silence_left(&self) -> Duration {
        let pause = self.job.route.max_event_gap.unwrap_or_default();
        let silence = pause.saturating_mul(SILENT_PAUSES).max(MIN_SILENCE);
        silence.saturating_sub(self.job.gateway.now().saturating_duration_since(self.got_on))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_done {
            self.end("caller_left", Outcome::Abandoned);
        }
    }
}

/// What came.
enum Read {
    Events(Bytes),
    Part,
    End,
    Failed(Cause),
}
