//! Server-sent events in an engine's response.

use std::pin::Pin;

use bytes::Bytes;
use curranthook_http::client::response;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_lite::{Stream, StreamExt};
use http_body_util::BodyExt;

/// The largest event, in bytes. An event is one token with a little metadata.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The events of a response.
pub type Events = Pin<Box<dyn Stream<Item = Result<Event, StreamError>> + Send>>;
/// An error that ends the events of a response.
pub type StreamError = EventStreamError<Error>;

/// Why the body of a response ended early.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The response is not complete.
    #[error(transparent)]
    Response(#[from] response::Error),
    /// An event is longer than the limit.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
}

/// Parses the body of a response as server-sent events.
///
/// The event parser buffers a whole event and scans all of it for each new chunk. An engine that
/// never ends an event would use up the memory and a thread's time, and other requests would stop;
/// so the size is checked before the parser.
pub fn read(body: response::Body) -> Events {
    let mut size = EventSize::default();
    let chunks = body.into_events().into_data_stream().map(move |chunk| {
        let chunk: Bytes = chunk?;
        size.add(&chunk);
        if size.n_bytes <= MAX_EVENT_BYTES { Ok(chunk) } else { Err(Error::TooLarge) }
    });
    Box::pin(chunks.eventsource())
}

/// The size of the event that is being received.
#[derive(Debug, Default)]
struct EventSize {
    n_bytes: usize,
    is_line_empty: bool,
}

impl EventSize {
    /// Adds a chunk to the size. An empty line ends an event; it may be split between two chunks.
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
