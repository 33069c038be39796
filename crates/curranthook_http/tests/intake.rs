//! The memory for the bodies of requests.

use std::{sync::Arc, time::Duration};

use curranthook_http::intake::{Body, Memory, SECURE_TIME};
use curranthook_types::clock::Manual;

const MB: usize = 1024 * 1024;

fn start(n_bytes: usize) -> (Memory, Arc<Manual>) {
    let clock = Arc::new(Manual::default());
    (Memory::new(n_bytes, Arc::clone(&clock) as _), clock)
}

/// Pushes `n_bytes` in small pieces; returns whether there was room for all.
fn push(body: &Body, n_bytes: usize) -> bool {
    let piece = vec![0; 1_000];
    (0..n_bytes).step_by(1_000).all(|n| body.push(&piece[..1_000.min(n_bytes - n)]).is_ok())
}

/// Guards against memory that is never returned, however a body ends.
#[test]
fn ended_bodies_return_what_they_took() {
    let (memory, clock) = start(4 * MB);
    let [dropped, whole, evicted, refused] = ["a", "b", "a", "c"].map(|it| memory.begin(it));
    assert!([&dropped, &whole, &evicted].into_iter().all(|it| push(it, MB)));
    assert!(!push(&refused, 2 * MB));
    drop(dropped);
    let whole = whole.finish().unwrap();
    clock.advance(SECURE_TIME);
    let large = memory.begin("d");
    assert!(push(&large, 2 * MB), "the unfinished body gives way");
    assert!(evicted.finish().is_err());
    drop((refused, large));
    assert_eq!(memory.free(), 3 * MB - whole.bytes.len().next_multiple_of(16 * 1024) + MB);
    drop(whole);
    assert_eq!(memory.free(), 4 * MB);
}

/// Guards against a client that takes the memory of all others.
#[test]
fn one_client_leaves_a_part_to_others() {
    let (memory, _clock) = start(6 * MB);
    let crowd: Vec<_> = (0..100).map(|_| memory.begin("crowd")).collect();
    let n_whole = crowd.into_iter().filter(|it| push(it, MB)).collect::<Vec<_>>().len();
    assert!(n_whole <= 4, "{n_whole} bodies of 1 MB");
    let crowd: Vec<_> = (0..100).map(|_| memory.begin("crowd")).collect();
    crowd.iter().for_each(|it| _ = push(it, MB));
    let other = memory.begin("other");
    assert!(push(&other, MB), "another client has room");
}

/// Guards against a body that gives way although its client has had no time to send it, or although
/// another client takes more.
#[test]
fn oldest_body_of_the_largest_client_gives_way_first() {
    let (memory, clock) = start(6 * MB);
    let [small, first, second] = ["small", "crowd", "crowd"].map(|it| memory.begin(it));
    assert!(push(&small, MB) && push(&first, MB));
    clock.advance(SECURE_TIME - Duration::from_millis(1));
    assert!(push(&second, 2 * MB));
    assert!(!push(&memory.begin("other"), 2 * MB), "all are secure");
    clock.advance(Duration::from_millis(1));
    let other = memory.begin("other");
    assert!(push(&other, MB + MB / 2));
    assert!(first.finish().is_err(), "the oldest of the client that takes most");
    assert!(small.finish().is_ok() && second.finish().is_ok() && other.finish().is_ok());
}

/// Guards against small requests that are refused, as large ones fill the memory.
#[test]
fn small_bodies_always_have_room() {
    let (memory, _clock) = start(MB);
    let crowd: Vec<_> = (0..100).map(|_| memory.begin("crowd")).collect();
    crowd.iter().for_each(|it| _ = push(it, MB));
    let small: Vec<_> = (0..1_000).map(|_| memory.begin("crowd")).collect();
    assert!(small.iter().all(|it| push(it, 8 * 1024)));
}
