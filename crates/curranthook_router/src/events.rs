//! The events of an engine's answer.

use std::pin::Pin;

use bytes::Bytes;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_lite::{Stream, StreamExt};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The largest event, in bytes. An event is a token and a little about it.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The events of an answer.
pub type Events = Pin<Box<dyn Stream<Item = Result<Event, StreamError>> + Send>>;
/// Why there are no more events.
pub type StreamError = EventStreamError<Error>;

/// Why the bytes of an answer end.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection broke.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// An event has no end.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
}

/// Reads the body of an answer as events.
///
/// The reader of events keeps a whole event and looks through all of it at each new piece. From
/// an engine that never ends an event it would take all memory, and all of a thread's time, and
/// other requests would stand still; so the size is checked before.
pub fn read(body: Incoming) -> Events {
    let mut size = EventSize::default();
    let chunks = body.into_data_stream().map(move |chunk| {
        let chunk: Bytes = chunk?;
        size.add(&chunk);
        if size.n_bytes <= MAX_EVENT_BYTES { Ok(chunk) } else { Err(Error::TooLarge) }
    });
    Box::pin(chunks.eventsource())
}

/// The size of the event under way.
#[derive(Debug, Default)]
struct EventSize {
    n_bytes: usize,
    is_line_empty: bool,
}

impl EventSize {
    /// An empty line ends an event. It may come in two pieces.
    fn add(&mut self, chunk: &[u8]) {
        for byte in chunk {
            self.n_bytes += 1;
            match byte {
                b'\n' if self.is_line_empty => self.n_bytes = 0,
                b'\n' => self.is_line_empty = true,
                b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
    }
}
