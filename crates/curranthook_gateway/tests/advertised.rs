//! What endpoints say of themselves, and entries that come and go.

mod support;

use std::time::{Duration, Instant};

use curranthook_gateway::{advertised::Incarnation, directory::Directory};

use self::support::entry;

const WARM: Duration = Duration::ZERO;

fn is_ready(directory: &Directory) -> bool {
    directory.ready("models").next().is_some()
}

/// Guards against an answer that is forgotten as it comes after its endpoint's entry went, which then comes
/// back.
#[test]
fn a_word_that_comes_after_the_entry_went_holds() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry(1, WARM), now);
    directory.remove(&"e-1".into(), now);
    assert!(directory.set_leaving(&Incarnation::of(&entry(1, WARM)), now));
    directory.upsert(entry(1, WARM), now);
    assert!(!is_ready(&directory));
}

/// Guards against the word of one start of an endpoint that keeps requests from the next one, in whatever
/// order they are heard of.
#[test]
fn a_word_holds_for_one_start_of_an_endpoint() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry(1, WARM), now);
    assert!(directory.set_leaving(&Incarnation::of(&entry(1, WARM)), now));
    assert!(!is_ready(&directory));
    directory.upsert(entry(2, WARM), now);
    assert!(is_ready(&directory));
    assert!(!directory.set_leaving(&Incarnation::of(&entry(1, WARM)), now));
    assert!(is_ready(&directory));
}
