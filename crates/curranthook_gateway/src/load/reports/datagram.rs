//! Encodes messages into datagrams.

use super::{MAX_DATAGRAM, Message};
use crate::{load::slowdowns::Entries, steps::Routes};

/// The bytes of a message. From a report or an answer that exceeds [`MAX_DATAGRAM`], the priorities
/// of the endpoints with the least waiting work are dropped first, then prompts sent for prefill,
/// then slowdowns, and then the smallest numbers of requests in flight, or the numbers of requests
/// that an owner saw. From evidence that exceeds it, the routes are dropped, so that its answers are
/// not told apart by route.
/// Without its priorities, work counts as the most urgent until the next report, which only delays
/// other requests; without its sum, the endpoint would seem idle.
pub fn datagram(mut message: Message) -> Vec<u8> {
    let mut bytes = to_vec(&message);
    if let Some(excess) = excess(&bytes)
        && let Message::Report { waiting, by_priority, .. }
        | Message::Answer { waiting, by_priority, .. } = &mut message
    {
        by_priority.shorten(waiting, excess);
        bytes = to_vec(&message);
    }
    while MAX_DATAGRAM < bytes.len()
        && let Message::Report { prefills, .. } = &mut message
        && prefills.pop().is_some()
    {
        bytes = to_vec(&message);
    }
    if MAX_DATAGRAM < bytes.len()
        && let Message::Report { slowdowns, .. } | Message::Answer { slowdowns, .. } = &mut message
    {
        *slowdowns = Entries::default();
        bytes = to_vec(&message);
    }
    while MAX_DATAGRAM < bytes.len()
        && let Message::Report { in_flight, .. } = &mut message
        && let Some(id) = in_flight.iter().min_by_key(|(_, n)| **n).map(|(id, _)| id.clone())
    {
        in_flight.remove(&id);
        bytes = to_vec(&message);
    }
    if MAX_DATAGRAM < bytes.len()
        && let Message::Answer { loads, .. } = &mut message
        && !loads.is_empty()
    {
        loads.clear();
        bytes = to_vec(&message);
    }
    if MAX_DATAGRAM < bytes.len()
        && let Message::Evidence { evidence, .. } = &mut message
    {
        evidence.routes = Routes::default();
        bytes = to_vec(&message);
    }
    if MAX_DATAGRAM < bytes.len() {
        let n_bytes = bytes.len();
        log::debug!("message of {n_bytes} bytes exceeds a datagram of {MAX_DATAGRAM} bytes");
    }
    bytes
}

/// The number of bytes over [`MAX_DATAGRAM`], if there are any.
fn excess(bytes: &[u8]) -> Option<usize> {
    bytes.len().checked_sub(MAX_DATAGRAM).filter(|it| 0 < *it)
}

fn to_vec(message: &Message) -> Vec<u8> {
    serde_json::to_vec(message).expect("a message can be written as JSON")
}
