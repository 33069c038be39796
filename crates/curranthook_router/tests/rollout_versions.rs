//! Which versions may respond while a rollout is in progress and one of its versions is lost or
//! suspect.

use std::{sync::Arc, time::Instant};

use curranthook_router::{
    parse::{Chat, Metadata},
    selection,
    snapshot::Snapshot,
};
use curranthook_settings::{Document, rollout::State};
use curranthook_types::{refusal::Reason, version};
use serde_json::json;
use yare::parameterized;

/// The share of sessions that the rollout assigns to the new version.
const SHARE: f64 = 0.1;

/// A site with a rollout from `m@1` to `m@2`, whose endpoints serve the `served` versions.
fn snapshot(served: &[&str], state: State) -> Snapshot {
    let price = json!({ "prompt": 1, "completion": 1 });
    let endpoint = |version: &&str| {
        let value = json!({
            "address": "127.0.0.1:9", "failure_domain": "a", "versions": [version],
        });
        (format!("engine-{version}"), value)
    };
    let endpoints: serde_json::Map<_, _> = served.iter().map(endpoint).collect();
    let document: Document = serde_json::from_value(json!({
        "epoch": 1,
        "sites": { "s": {
            "site": "s",
            "versions": { "m@1": { "price": price }, "m@2": { "price": price } },
            "endpoints": endpoints,
            "accounts": { "a": { "key_hashes": [], "versions": ["m@1", "m@2"] } },
        } },
        "rollouts": { "m": {
            "from": "m@1", "to": "m@2", "stages": [SHARE, 1.0],
            "stage": if state == State::Done { 1 } else { 0 }, "state": state, "since_millis": 0,
        } },
    }))
    .expect("a valid document");
    Snapshot::new(Arc::new(document), &"s".into()).expect("the site is in the document")
}

fn chat() -> Chat {
    let metadata = Metadata {
        request: "r".into(),
        account: "a".into(),
        kind: "default".into(),
        session: None,
        token: None,
        deadline: Instant::now(),
        fingerprint: [0; 16],
    };
    let body = serde_json::from_value(json!({ "model": "m", "messages": [] }));
    Chat { metadata, body: body.expect("a valid body") }
}

/// The share of sessions that may get `m@2`, and the reasons of refusals.
fn share_of_new(snapshot: &Snapshot, suspects: &[&str]) -> (f64, Vec<Reason>) {
    const SESSIONS: u64 = 2_000;
    let is_suspect = |it: &version::Id| suspects.contains(&it.as_str());
    let (mut n_new, mut reasons) = (0_u32, Vec::new());
    for session in 0..SESSIONS {
        match selection::eligible(snapshot, &chat(), session, is_suspect) {
            Ok(versions) => n_new += u32::from(versions.iter().any(|it| it.as_str() == "m@2")),
            Err(refusal) => reasons.push(refusal.code),
        }
    }
    (f64::from(n_new) / SESSIONS as f64, reasons)
}

/// Guards against sending all sessions to a version under test because no endpoint serves the old
/// one, or because the old one is suspect.
#[parameterized(
    old_version_is_lost = { &["m@2"], &[] },
    old_version_is_suspect = { &["m@1", "m@2"], &["m@1"] },
    both_are_suspect = { &["m@1", "m@2"], &["m@1", "m@2"] },
)]
fn version_under_test_gets_no_more_than_its_share(served: &[&str], suspects: &[&str]) {
    let (share, reasons) = share_of_new(&snapshot(served, State::Running), suspects);
    assert!(share < 1.5 * SHARE, "{share} of the sessions, refused: {}", reasons.len());
    assert!(reasons.iter().all(|it| *it == Reason::NoEndpoint), "{reasons:?}");
}

/// Guards against sending sessions to a suspect version under test while the old one is served.
#[test]
fn suspect_version_under_test_gets_no_sessions() {
    let snapshot = snapshot(&["m@1", "m@2"], State::Running);
    assert_eq!(share_of_new(&snapshot, &["m@2"]), (0.0, Vec::new()));
}

/// Guards against refusing sessions because no endpoint serves the new version, though the old one
/// is served.
#[test]
fn old_version_replaces_a_lost_new_one() {
    let snapshot = snapshot(&["m@1"], State::Running);
    assert_eq!(share_of_new(&snapshot, &[]), (0.0, Vec::new()));
}

/// Guards against refusing sessions after a rollout whose old version is no longer served.
#[parameterized(trusted = { &[] }, suspect = { &["m@2"] })]
fn completed_version_gets_all_sessions(suspects: &[&str]) {
    let snapshot = snapshot(&["m@2"], State::Done);
    assert_eq!(share_of_new(&snapshot, suspects), (1.0, Vec::new()));
}
