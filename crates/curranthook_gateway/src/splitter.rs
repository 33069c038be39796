//! Splits a byte stream into complete server-sent events.

use bytes::{Bytes, BytesMut};

/// The size limit of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The bytes of a stream that have not been forwarded yet.
///
/// An endpoint can disconnect in the middle of an event. Forwarded bytes always end at an event
/// boundary, so another endpoint can continue from there.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

/// A run of complete events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Events {
    /// The bytes of the events as received.
    pub bytes: Bytes,
    /// The id of the last event that has one.
    pub last_id: Option<u64>,
    /// The number of events.
    pub count: u32,
}

impl Splitter {
    /// Appends received bytes and returns the events that are complete now.
    ///
    /// ```
    /// # use curranthook_gateway::splitter::Splitter;
    /// let mut splitter = Splitter::default();
    /// assert_eq!(splitter.push(b"id: 4\ndata: a\n"), None);
    /// let events = splitter.push(b"\nid: 5\n").unwrap();
    /// assert_eq!((&events.bytes[..], events.last_id), (&b"id: 4\ndata: a\n\n"[..], Some(4)));
    /// assert!(!splitter.is_empty());
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        let n_known = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        let end = last_event_end(&self.buffer, n_known)?;
        let bytes = self.buffer.split_to(end).freeze();
        let (last_id, count) = (last_id(&bytes), count_events(&bytes));
        Some(Events { bytes, last_id, count })
    }

    /// Whether an event has begun that is larger than any that is forwarded.
    ///
    /// ```
    /// # use curranthook_gateway::splitter::Splitter;
    /// let mut splitter = Splitter::default();
    /// splitter.push(b"data: ");
    /// assert!(!splitter.is_too_large());
    /// splitter.push(&[b'x'; 2 * 1024 * 1024]);
    /// assert!(splitter.is_too_large());
    /// ```
    pub fn is_too_large(&self) -> bool {
        MAX_EVENT_BYTES < self.buffer.len()
    }

    /// The number of bytes that wait for the end of their event.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer is empty, which means that the stream is at an event boundary.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Discards the beginning of an event that was cut off.
    pub fn clear(&mut self) {
        self.buffer.clear();
    }
}

/// The index after the last blank line, which ends an event. None ends within the first `n_known`
/// bytes, which were searched before.
fn last_event_end(bytes: &[u8], n_known: usize) -> Option<usize> {
    (n_known.max(1)..bytes.len()).rev().find_map(|at| {
        let is_end =
            bytes[at] == b'\n' && (bytes[at - 1] == b'\n' || bytes[..at].ends_with(b"\n\r"));
        is_end.then_some(at + 1)
    })
}

fn count_events(events: &[u8]) -> u32 {
    let blank = events.split(|it| *it == b'\n').filter(|it| it.is_empty() || *it == b"\r");
    // The segment after the last line feed is empty too.
    u32::try_from(blank.count().saturating_sub(1)).unwrap_or(u32::MAX)
}

fn last_id(events: &[u8]) -> Option<u64> {
    events.split(|it| *it == b'\n').rev().find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
