//! Reports of endpoints about their own state, received while their entries are removed and added
//! again.

mod support;

use std::time::{Duration, Instant};

use curranthook_gateway::{advertised::Incarnation, directory::Directory};

use self::support::entry;

/// The remaining slow start time of a warm endpoint.
const WARM: Duration = Duration::ZERO;

fn has_ready_endpoint(directory: &Directory) -> bool {
    directory.ready("models").next().is_some()
}

/// An endpoint reports that it is leaving after its entry was removed. Guards against sending it
/// requests when the entry is added again.
#[test]
fn a_leaving_report_survives_the_removal_of_the_entry() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry(1, WARM), now);
    directory.remove(&"e-1".into(), now);
    assert!(directory.set_leaving(&Incarnation::of(&entry(1, WARM)), now));
    directory.upsert(entry(1, WARM), now);
    assert!(!has_ready_endpoint(&directory));
}

/// Guards against applying a report of one incarnation of an endpoint to the next one, whichever of
/// the two is observed first.
#[test]
fn a_leaving_report_does_not_apply_to_the_next_incarnation() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry(1, WARM), now);
    assert!(directory.set_leaving(&Incarnation::of(&entry(1, WARM)), now));
    assert!(!has_ready_endpoint(&directory));
    directory.upsert(entry(2, WARM), now);
    assert!(has_ready_endpoint(&directory));
    assert!(!directory.set_leaving(&Incarnation::of(&entry(1, WARM)), now));
    assert!(has_ready_endpoint(&directory));
}
