//! Tests of the splitter of event streams.

use std::time::{Duration, Instant};

use curranthook_gateway::splitter::Splitter;

/// Guards against a large event whose cost grows with the square of its size: it arrives in small
/// pieces, and a node that searches all of it again at each piece is late with other streams.
#[test]
fn large_event_in_small_pieces_is_split_in_time() {
    const N_PIECES: usize = 16_000;
    let (mut splitter, start) = (Splitter::default(), Instant::now());
    splitter.push(b"id: 1\ndata: ");
    for _ in 0..N_PIECES {
        assert_eq!(splitter.push(&[b'x'; 64]), None);
    }
    let events = splitter.push(b"\n\nid: 2").unwrap();
    assert_eq!((events.last_id, events.count), (Some(1), 1));
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
}

/// Guards against an end of an event that is missed as it arrives in two pieces or more.
#[test]
fn events_are_the_same_however_their_bytes_arrive() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n: c\n\nid: 3\ndata: d\n\n";
    let split = |n_bytes: usize| {
        let mut splitter = Splitter::default();
        let events = text.chunks(n_bytes).filter_map(|it| splitter.push(it));
        let events: Vec<_> = events.collect();
        let bytes: Vec<u8> = events.iter().flat_map(|it| it.bytes.to_vec()).collect();
        (bytes, events.last().unwrap().last_id, splitter.is_empty())
    };
    for n_bytes in 1..=text.len() {
        assert_eq!(split(n_bytes), (text.to_vec(), Some(3), true), "pieces of {n_bytes} bytes");
    }
}
