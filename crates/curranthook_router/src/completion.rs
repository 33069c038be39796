//! One version's completion as an event stream that survives endpoint failures.
//!
//! In the middle of a completion, its endpoint may crash, or the connection may close or stop
//! delivering data. The completion is then resumed on another endpoint of the same version, after
//! the tokens already received; versions are never mixed. Only the end marker ends a completion:
//! otherwise a connection that closed early would look like the end of a shorter completion.

use std::{fmt, time::Duration};

use bytes::Bytes;
use curranthook_http::timeout;
use curranthook_policy::endpoint::Outcome;
use curranthook_types::{
    Refusal, chat,
    chat::{END_MARKER, Usage},
    retry::Reason as RetryReason,
    version,
};
use eventsource_stream::Event;
use futures_lite::StreamExt;

use crate::{
    attempt::{Disconnect, Upstream},
    call::{Call, Streaming},
    events::{Events, StreamError},
};

/// The longest time between two events of a completion. After that, the completion is resumed on
/// another endpoint.
const EVENT_TIMEOUT: Duration = Duration::from_secs(3);

/// The next item of a completion.
#[derive(Debug)]
pub enum Item {
    /// The next chunk of the completion.
    Chunk(Chunk),
    /// The end marker arrived; carries the usage that the engine reported.
    End(Usage),
}

/// One event of a completion.
#[derive(Debug, Clone)]
pub struct Chunk {
    /// The data of the event as the engine wrote it.
    pub data: Bytes,
    /// The text in the event.
    pub text: String,
}

/// The completion of one version.
pub struct Completion {
    version: version::Id,
    active: Option<ActiveStream>,
    n_tokens: u64,
    usage: Usage,
}

struct ActiveStream {
    upstream: Upstream,
    first: Option<Event>,
    events: Events,
}

impl fmt::Debug for Completion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Completion").field("version", &self.version).finish_non_exhaustive()
    }
}

impl ActiveStream {
    async fn next(
        &mut self,
        call: &Call,
    ) -> Result<Option<Result<Event, StreamError>>, timeout::Elapsed> {
        if let Some(first) = self.first.take() {
            return Ok(Some(Ok(first)));
        }
        timeout::run(EVENT_TIMEOUT.min(call.time_left()), self.events.next()).await
    }
}

enum EventOutcome {
    Chunk(Chunk),
    End,
    Failed(RetryReason, &'static str, Disconnect),
}

impl Completion {
    /// A completion of `version` that has not been requested yet.
    pub fn new(version: version::Id) -> Self {
        Self { version, active: None, n_tokens: 0, usage: Usage::default() }
    }

    /// The version that generates the completion.
    pub fn version(&self) -> &version::Id {
        &self.version
    }

    /// The endpoint that currently generates the completion.
    pub fn endpoint(&self) -> Option<&curranthook_types::endpoint::Id> {
        self.active.as_ref().map(|it| it.upstream.lease.endpoint())
    }

    /// Requests the completion and waits for its first event, unless that was done before.
    pub async fn open(&mut self, call: &mut Call) -> Result<(), Refusal> {
        if self.active.is_none() {
            // Boxed, as below: otherwise each open stream would reserve space for the state of all
            // the attempts that it will most likely never make.
            let opening = Box::pin(call.open(&self.version, self.n_tokens));
            let Streaming { upstream, first, events } = opening.await?;
            self.active = Some(ActiveStream { upstream, first: Some(first), events });
        }
        Ok(())
    }

    /// Returns the next chunk, or the end of the completion.
    pub async fn next(&mut self, call: &mut Call) -> Result<Item, Refusal> {
        loop {
            self.open(call).await?;
            let Some(mut active) = self.active.take() else { continue };
            let outcome = match active.next(call).await {
                Ok(event) => self.parse(call, event),
                Err(timeout::Elapsed) => {
                    call.close_idle(active.upstream.conn.addr());
                    EventOutcome::Failed(
                        RetryReason::SlowFirstByte,
                        "the answer went silent",
                        Disconnect::None,
                    )
                }
            };
            match outcome {
                EventOutcome::Chunk(chunk) => {
                    self.active = Some(active);
                    return Ok(Item::Chunk(chunk));
                }
                EventOutcome::End => {
                    finish(call, active).await;
                    return Ok(Item::End(self.usage));
                }
                EventOutcome::Failed(reason, message, disconnect) => {
                    let failure = active.upstream.fail(reason, message, disconnect);
                    Box::pin(call.handle_failure(&self.version, failure, self.n_tokens)).await?;
                }
            }
        }
    }

    fn parse(&mut self, call: &Call, event: Option<Result<Event, StreamError>>) -> EventOutcome {
        let Some(Ok(event)) = event else {
            return EventOutcome::Failed(
                RetryReason::ClosedEarly,
                "the answer broke off",
                Disconnect::Closed,
            );
        };
        if event.data == END_MARKER {
            return EventOutcome::End;
        }
        let Ok(answer) = serde_json::from_str::<chat::Answer>(&event.data) else {
            return EventOutcome::Failed(
                RetryReason::ServerError,
                "the answer can't be read",
                Disconnect::None,
            );
        };
        let is_ours = answer.id == call.chat().metadata.request.as_str();
        if !is_ours || answer.model != self.version.as_str() {
            return EventOutcome::Failed(
                RetryReason::ForeignAnswer,
                "the answer belongs to another",
                Disconnect::None,
            );
        }
        if let Some(usage) = answer.usage {
            self.usage = usage;
        }
        let delta = answer.choices.into_iter().next().and_then(|it| it.delta);
        let text = delta.map(|it| it.content).unwrap_or_default();
        if !text.is_empty() {
            self.n_tokens += 1;
        }
        EventOutcome::Chunk(Chunk { data: event.data.into(), text })
    }
}

async fn finish(call: &Call, mut active: ActiveStream) {
    // The end marker was the last event; only the end of the body follows. The connection is in a
    // known state only after the end of the body.
    const BODY_END_TIMEOUT: Duration = Duration::from_millis(200);
    match timeout::run(BODY_END_TIMEOUT, active.events.next()).await {
        Ok(None) => call.return_connection(active.upstream.conn),
        _ => active.upstream.conn.close(),
    }
    active
        .upstream
        .lease
        .finish(Outcome::Answered { first_byte: active.upstream.time_to_first_byte });
}
