//! State that endpoints report about themselves while their entries are removed and added again.

mod support;

use std::time::{Duration, Instant};

use curranthook_gateway::{advertised::Incarnation, directory::Directory};

use self::support::entry;

/// The remaining slow start time of a warm endpoint.
const WARM: Duration = Duration::ZERO;

fn has_ready_endpoint(directory: &Directory) -> bool {
    directory.ready("models").next().is_some()
}

/// Guards against losing a report that arrives after the endpoint's entry was removed, when the
/// entry is then added again.
#[test]
fn a_report_received_after_its_entry_was_removed_still_applies() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry(1, WARM), now);
    directory.remove(&"e-1".into(), now);
    assert!(directory.set_leaving(&Incarnation::of(&entry(1, WARM)), now));
    directory.upsert(entry(1, WARM), now);
    assert!(!has_ready_endpoint(&directory));
}

/// Guards against a report of one incarnation of an endpoint that stops requests to the next one,
/// in whatever order the two are observed.
#[test]
fn a_report_applies_to_one_incarnation_only() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry(1, WARM), now);
    assert!(directory.set_leaving(&Incarnation::of(&entry(1, WARM)), now));
    assert!(!has_ready_endpoint(&directory));
    directory.upsert(entry(2, WARM), now);
    assert!(has_ready_endpoint(&directory));
    assert!(!directory.set_leaving(&Incarnation::of(&entry(1, WARM)), now));
    assert!(has_ready_endpoint(&directory));
}
