//! One version's answer as a stream of events that doesn't break off.
//!
//! An endpoint may die, its connection may be cut or go silent in the middle of an answer. The
//! answer is then taken up on another endpoint of the same version, after the tokens that came;
//! versions are never mixed. An answer counts as whole only at its end marker: a connection
//! that just closes would otherwise pass for the end of a shorter answer.

use std::{fmt, time::Duration};

use bytes::Bytes;
use curranthook_http::timeout;
use curranthook_policy::endpoint::Outcome;
use curranthook_types::{
    Refusal, chat,
    chat::{END_MARKER, Usage},
    retry::Reason as Retry,
    version,
};
use eventsource_stream::Event;
use futures_lite::StreamExt;

use crate::{
    attempt::{Break, Link},
    call::{Begin, Call},
    events::{Broken, Events},
};

/// Between two events an answer may be silent for this long before it's taken up elsewhere.
const SILENCE: Duration = Duration::from_secs(3);

/// What a source gives next.
#[derive(Debug)]
pub enum Item {
    /// The next piece of the answer.
    Piece(Piece),
    /// The answer is whole.
    End(Usage),
}

/// One event of an answer.
#[derive(Debug, Clone)]
pub struct Piece {
    /// The event's data as the engine wrote it.
    pub data: Bytes,
    /// The text in it.
    pub text: String,
}

/// The answer of one version.
pub struct Source {
    version: version::Id,
    current: Option<Current>,
    tokens: u64,
    usage: Usage,
}

struct Current {
    link: Link,
    first: Option<Event>,
    events: Events,
}

impl fmt::Debug for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Source").field("version", &self.version).finish_non_exhaustive()
    }
}

impl Current {
    async fn next(
        &mut self,
        call: &Call,
    ) -> Result<Option<Result<Event, Broken>>, timeout::Elapsed> {
        if let Some(first) = self.first.take() {
            return Ok(Some(Ok(first)));
        }
        timeout::run(SILENCE.min(call.time_left()), self.events.next()).await
    }
}

enum Read {
    Piece(Piece),
    End,
    Broken(Retry, &'static str, Break),
}

impl Source {
    /// The answer of `version`, not asked for yet.
    pub fn new(version: version::Id) -> Self {
        Self { version, current: None, tokens: 0, usage: Usage::default() }
    }

    /// The version that answers.
    pub fn version(&self) -> &version::Id {
        &self.version
    }

    /// The endpoint that answers now.
    pub fn endpoint(&self) -> Option<&curranthook_types::endpoint::Id> {
        self.current.as_ref().map(|it| it.link.lease.endpoint())
    }

    /// Asks for the answer, up to its first event, unless that was done.
    pub async fn open(&mut self, call: &mut Call) -> Result<(), Refusal> {
        if self.current.is_none() {
            // Boxed, as below: an open stream would otherwise keep room for the state of all
            // attempts that it will most likely never make.
            let open = Box::pin(call.open(&self.version, self.tokens));
            let Begin { link, first, events } = open.await?;
            self.current = Some(Current { link, first: Some(first), events });
        }
        Ok(())
    }

    /// The next event, or the end.
    pub async fn next(&mut self, call: &mut Call) -> Result<Item, Refusal> {
        loop {
            self.open(call).await?;
            let Some(mut current) = self.current.take() else { continue };
            let read = match current.next(call).await {
                Ok(event) => self.read(call, event),
                Err(timeout::Elapsed) => {
                    call.close_idle(current.link.conn.addr());
                    Read::Broken(Retry::SlowFirstByte, "the answer went silent", Break::None)
                }
            };
            match read {
                Read::Piece(piece) => {
                    self.current = Some(current);
                    return Ok(Item::Piece(piece));
                }
                Read::End => {
                    close(call, current).await;
                    return Ok(Item::End(self.usage));
                }
                Read::Broken(reason, message, broke) => {
                    let failed = current.link.fail(reason, message, broke);
                    Box::pin(call.failed(&self.version, failed, self.tokens)).await?;
                }
            }
        }
    }

    fn read(&mut self, call: &Call, event: Option<Result<Event, Broken>>) -> Read {
        let Some(Ok(event)) = event else {
            return Read::Broken(Retry::ClosedEarly, "the answer broke off", Break::Closed);
        };
        if event.data == END_MARKER {
            return Read::End;
        }
        let Ok(answer) = serde_json::from_str::<chat::Answer>(&event.data) else {
            return Read::Broken(Retry::ServerError, "the answer can't be read", Break::None);
        };
        let is_ours = answer.id == call.chat().metadata.request.as_str();
        if !is_ours || answer.model != self.version.as_str() {
            return Read::Broken(
                Retry::ForeignAnswer,
                "the answer belongs to another",
                Break::None,
            );
        }
        if let Some(usage) = answer.usage {
            self.usage = usage;
        }
        let delta = answer.choices.into_iter().next().and_then(|it| it.delta);
        let text = delta.map(|it| it.content).unwrap_or_default();
        if !text.is_empty() {
            self.tokens += 1;
        }
        Read::Piece(Piece { data: event.data.into(), text })
    }
}

async fn close(call: &Call, mut current: Current) {
    // The end marker was the last event; what follows is the end of the body. Only when that
    // has come is the connection in a known state.
    const REST: Duration = Duration::from_millis(200);
    match timeout::run(REST, current.events.next()).await {
        Ok(None) => call.reuse(current.link.conn),
        _ => current.link.conn.close(),
    }
    current.link.lease.finish(Outcome::Answered { first_byte: current.link.first_byte });
}
