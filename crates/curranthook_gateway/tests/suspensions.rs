//! Tests of endpoints that are suspended as another one seems to have their address.

use std::time::{Duration, Instant};

use curranthook_gateway::{
    directory::{Cause, Directory, Outcome},
    entry::{Entry, State},
    load::work::Work,
    permit,
};
use yare::parameterized;

const FIRST_PAUSE: Duration = Duration::from_secs(4);
const LONGEST_PAUSE: Duration = Duration::from_secs(60);

fn entry(id: &str, service: &str, started_ms: u64) -> Entry {
    Entry {
        id: id.into(),
        service: service.to_owned(),
        addr: "127.0.0.1:9".parse().unwrap(),
        domain: "z-a".into(),
        version: "v1".to_owned(),
        slots: 8,
        state: State::Ready,
        slow_start: Duration::ZERO,
        started_ms: Some(started_ms),
    }
}

fn ready(directory: &mut Directory, now: Instant) -> Vec<String> {
    directory.refresh(now);
    let mut ids: Vec<_> =
        directory.ready("models").map(|it| it.entry.id.as_str().to_owned()).collect();
    ids.sort();
    ids
}

fn send(directory: &mut Directory, id: &str, now: Instant) {
    directory.request_sent(&id.into(), Work::default(), permit::Owner::Sender, now);
}

/// Guards against an endpoint without requests for good, and against many requests to one that is
/// gone: one probe is sent after each pause, and the pauses grow.
#[test]
fn probes_follow_growing_pauses() {
    let (mut directory, mut now) = (Directory::default(), Instant::now());
    directory.upsert(entry("e-1", "models", 1), now);
    directory.request_ended(&"e-1".into(), Outcome::AddressReused, Work::default(), now);
    let mut pause = FIRST_PAUSE;
    for _ in 0..6 {
        let just_before = now + pause - Duration::from_millis(1);
        assert!(ready(&mut directory, just_before).is_empty(), "{pause:?}");
        now += pause;
        assert_eq!(ready(&mut directory, now), ["e-1"], "{pause:?}");
        send(&mut directory, "e-1", now);
        assert!(ready(&mut directory, now).is_empty(), "one probe is sent");
        directory.request_ended(&"e-1".into(), Outcome::AddressReused, Work::default(), now);
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
    now += pause;
    assert_eq!(ready(&mut directory, now), ["e-1"]);
    directory.record_response(&"e-1".into(), "127.0.0.1:9".parse().unwrap(), now);
    assert_eq!(ready(&mut directory, now), ["e-1"]);
}

/// Guards against a probe whose answer is lost and that is never repeated.
#[test]
fn probe_without_a_result_is_repeated() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry("e-1", "models", 1), now);
    directory.suspend(&"e-1".into(), Cause::OtherInstance, now);
    let probed_at = now + FIRST_PAUSE;
    assert_eq!(ready(&mut directory, probed_at), ["e-1"]);
    send(&mut directory, "e-1", probed_at);
    directory.request_ended(&"e-1".into(), Outcome::Abandoned, Work::default(), probed_at);
    assert!(ready(&mut directory, probed_at + Duration::from_secs(1)).is_empty());
    assert_eq!(ready(&mut directory, probed_at + FIRST_PAUSE), ["e-1"]);
}

/// Guards against several responses that prolong a suspension, as requests were under way when the
/// first one began it.
#[test]
fn requests_under_way_do_not_prolong_a_suspension() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry("e-1", "models", 1), now);
    for _ in 0..20 {
        directory.request_ended(&"e-1".into(), Outcome::AddressReused, Work::default(), now);
    }
    assert_eq!(ready(&mut directory, now + FIRST_PAUSE), ["e-1"]);
}

/// Guards against an endpoint that stays out after the entry is gone for which it made way, and
/// against one that makes way for an entry of a service that nobody configured.
#[parameterized(
    entry_removed = { "models", false },
    unknown_service = { "odd", true },
)]
fn endpoint_makes_way_for_listed_successors_only(service: &str, stays: bool) {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.set_services(["models"].into_iter(), now);
    directory.upsert(entry("e-1", "models", 1), now);
    directory.upsert(entry("e-2", service, 2), now);
    assert_eq!(ready(&mut directory, now).contains(&"e-1".to_owned()), stays);
    directory.remove(&"e-2".into(), now);
    assert_eq!(ready(&mut directory, now), ["e-1"]);
}

/// Guards against an endpoint that stays out because of an entry that was read before the
/// configuration.
#[test]
fn services_are_known_later_than_entries() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry("e-1", "models", 1), now);
    directory.upsert(entry("odd", "odd", 2), now);
    assert!(ready(&mut directory, now).is_empty());
    directory.set_services(["models"].into_iter(), now);
    assert_eq!(ready(&mut directory, now), ["e-1"]);
}

/// Guards against a sound endpoint that stays out for an entry at its address that names nobody: the
/// response to a request for the latter names the former.
#[test]
fn endpoint_that_responds_at_an_address_has_it() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    let addr = "127.0.0.1:9".parse().unwrap();
    for (id, started_ms) in [("e-1", 1), ("odd-2", 2), ("odd-3", 3)] {
        directory.upsert(entry(id, "models", started_ms), now);
    }
    assert_eq!(ready(&mut directory, now), ["odd-3"]);
    directory.request_ended(&"odd-3".into(), Outcome::AddressReused, Work::default(), now);
    directory.record_response(&"e-1".into(), addr, now);
    assert_eq!(ready(&mut directory, now), ["e-1"]);
    // The entries are written again, unchanged but for what doesn't matter here.
    directory.upsert(Entry { slots: 9, ..entry("odd-3", "models", 3) }, now);
    assert_eq!(ready(&mut directory, now), ["e-1"]);
    // A successor starts.
    directory.upsert(entry("e-4", "models", 4), now);
    assert_eq!(ready(&mut directory, now), ["e-4"]);
}

/// Guards against a sound endpoint that is suspended as it rejects requests which another one can
/// run: it has responded just now.
#[test]
fn endpoint_that_responded_just_now_is_not_suspended_on_a_contradiction() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry("e-1", "models", 1), now);
    directory.record_response(&"e-1".into(), "127.0.0.1:9".parse().unwrap(), now);
    directory.suspend(&"e-1".into(), Cause::Contradicted, now + Duration::from_secs(1));
    assert_eq!(ready(&mut directory, now + Duration::from_secs(1)), ["e-1"]);
    directory.suspend(&"e-1".into(), Cause::Contradicted, now + Duration::from_secs(2));
    assert!(ready(&mut directory, now + Duration::from_secs(2)).is_empty());
}

/// Guards against a cost that grows with the square of the entries at one address.
#[test]
fn many_entries_at_one_address_are_applied_in_time() {
    const N_ENTRIES: u64 = 20_000;
    let (mut directory, now) = (Directory::default(), Instant::now());
    let start = Instant::now();
    for n in 0..N_ENTRIES {
        directory.upsert(entry(&format!("e-{n}"), "models", n), now);
    }
    for n in (1..N_ENTRIES).rev() {
        directory.remove(&format!("e-{n}").as_str().into(), now);
    }
    assert_eq!(ready(&mut directory, now), ["e-0"]);
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}
