//! Cuts a stream of bytes into whole events.

use bytes::{Bytes, BytesMut};

/// The bytes of a stream that aren't passed on yet.
///
/// An endpoint can break off in the middle of an event. What was passed on then ends at a whole
/// event, so that another endpoint can go on after it.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

/// Whole events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Events {
    /// Their bytes as they came.
    pub bytes: Bytes,
    /// The id of the last of them that has one.
    pub last_id: Option<u64>,
    /// How many there are.
    pub count: u32,
}

impl Splitter {
    /// Takes in bytes and returns the events that are whole now.
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
        self.buffer.extend_from_slice(bytes);
        let end = last_event_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let (last_id, count) = (last_id(&bytes), count_events(&bytes));
        Some(Events { bytes, last_id, count })
    }

    /// Whether nothing is held back.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Drops the beginning of an event that broke off.
    pub fn clear(&mut self) {
        self.buffer.clear();
    }
}

/// The place after the last blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    (1..bytes.len()).rev().find_map(|at| {
        let is_end =
            bytes[at] == b'\n' && (bytes[at - 1] == b'\n' || bytes[..at].ends_with(b"\n\r"));
        is_end.then_some(at + 1)
    })
}

fn count_events(events: &[u8]) -> u32 {
    let blank = events.split(|it| *it == b'\n').filter(|it| it.is_empty() || *it == b"\r");
    // What follows the last line feed is empty too.
    u32::try_from(blank.count().saturating_sub(1)).unwrap_or(u32::MAX)
}

fn last_id(events: &[u8]) -> Option<u64> {
    events.split(|it| *it == b'\n').rev().find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
