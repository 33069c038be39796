//! What endpoints say of themselves, and entries that come and go.

use std::time::{Duration, Instant};

use curranthook_gateway::{
    advertised::Start,
    directory::Directory,
    entry::{Entry, State},
};

fn entry(born: u64) -> Entry {
    Entry {
        id: "e-1".into(),
        service: "models".to_owned(),
        addr: "127.0.0.1:9".parse().unwrap(),
        domain: "z-a".into(),
        version: "v1".to_owned(),
        slots: 8,
        state: State::Ready,
        warm_in: Duration::ZERO,
        born: Some(born),
    }
}

fn is_ready(directory: &Directory) -> bool {
    directory.ready("models").next().is_some()
}

/// Guards against an answer that is forgotten as it comes after its endpoint's entry went, which then comes
/// back.
#[test]
fn a_word_that_comes_after_the_entry_went_holds() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.set(entry(1), now);
    directory.remove(&"e-1".into(), now);
    assert!(directory.set_leaving(&Start::of(&entry(1)), now));
    directory.set(entry(1), now);
    assert!(!is_ready(&directory));
}

/// Guards against the word of one start of an endpoint that keeps requests from the next one, in whatever
/// order they are heard of.
#[test]
fn a_word_holds_for_one_start_of_an_endpoint() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.set(entry(1), now);
    assert!(directory.set_leaving(&Start::of(&entry(1)), now));
    assert!(!is_ready(&directory));
    directory.set(entry(2), now);
    assert!(is_ready(&directory));
    assert!(!directory.set_leaving(&Start::of(&entry(1)), now));
    assert!(is_ready(&directory));
}
