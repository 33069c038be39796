//! Edits of the published document: publications, withdrawals, drains and roll-outs.

use std::collections::BTreeMap;

use curranthook_settings::{
    Config, Document,
    document::{Error, Plan, Stamp, difference},
    rollout::State,
};
use yare::parameterized;

const SITE: &str = r#"{
    "site": "south",
    "versions": {
        "m@1": {"price": {"prompt": 1, "completion": 2}},
        "m@2": {"price": {"prompt": 1, "completion": 3}},
        "n@1": {"price": {"prompt": 1, "completion": 3}}
    },
    "endpoints": {"e-1": {"address": "10.0.0.1:80", "failure_domain": "a", "versions": ["m@1"]}},
    "accounts": {"yard-7": {"key_hashes": []}},
    "session_keys": [{"id": "k1", "secret": "00112233445566778899aabbccddeeff"}]
}"#;

fn stamp(publication: &str) -> Stamp<'_> {
    Stamp { by: "lan", at_millis: 7, publication }
}

fn sites() -> BTreeMap<curranthook_types::site::Id, Config> {
    BTreeMap::from([("south".into(), serde_json::from_str(SITE).expect("a configuration"))])
}

fn published() -> Document {
    Document::publish(None, sites(), &stamp("p1"))
}

fn plan(from: &str, to: &str, stages: &[f64]) -> Plan {
    Plan { from: from.into(), to: to.into(), stages: stages.to_vec() }
}

/// An operator withdraws a version that returns wrong results, and a colleague later publishes
/// files without the withdrawal. If that reinstated the version, callers would get wrong results
/// again.
#[test]
fn publishing_files_keeps_withdrawals_drains_and_rollouts() {
    let withdrawn = published().withdraw(&"m@2".into(), &stamp("p2")).expect("withdrawn");
    let drained = withdrawn.drain(&"e-1".into(), &stamp("p3")).expect("drained");
    let started =
        drained.start(&plan("m@2", "m@1", &[0.5, 1.0]), &stamp("p4")).expect("a roll-out");
    let again = Document::publish(Some(&started), sites(), &stamp("p5"));
    assert_eq!(again.epoch.0, 5);
    assert_eq!(again.earlier, ["p4", "p3", "p2", "p1"]);
    assert!(again.withdrawn.contains("m@2") && again.drained.contains("e-1"));
    assert_eq!(again.rollouts, started.rollouts);
}

#[test]
fn publishing_one_site_keeps_the_others() {
    let mut north: Config = serde_json::from_str(SITE).expect("a configuration");
    north.site = "north".into();
    let both =
        Document::publish(Some(&published()), [("north".into(), north)].into(), &stamp("p2"));
    assert_eq!(both.sites.len(), 2);
}

/// A version is withdrawn during its roll-out. If the roll-out kept running, it would send new
/// sessions to a version that refuses them.
#[test]
fn withdrawal_aborts_the_rollout_to_the_version() {
    let running =
        published().start(&plan("m@1", "m@2", &[0.1, 1.0]), &stamp("p2")).expect("a roll-out");
    let withdrawn = running.withdraw(&"m@2".into(), &stamp("p3")).expect("withdrawn");
    assert_eq!(withdrawn.rollouts["m"].state, State::Aborted);
    let result = withdrawn.start(&plan("m@1", "m@2", &[1.0]), &stamp("p4"));
    assert_eq!(result, Err(Error::WithdrawnTarget("m@2".into())));
    let reinstated = withdrawn.reinstate(&"m@2".into(), &stamp("p4")).expect("reinstated");
    assert!(!reinstated.withdrawn.contains("m@2"));
    assert_eq!(reinstated.rollouts["m"].state, State::Aborted);
}

#[test]
fn rollout_advances_stage_by_stage() {
    let first_stage =
        published().start(&plan("m@1", "m@2", &[0.1, 1.0]), &stamp("p2")).expect("start");
    let paused = first_stage.pause("m", &stamp("p3")).expect("pause");
    let not_running = Error::InvalidState { model: "m".to_owned(), state: State::Paused };
    assert_eq!(paused.advance("m", 0, &stamp("p4")), Err(not_running));
    let second_stage =
        paused.resume("m", &stamp("p4")).and_then(|it| it.advance("m", 0, &stamp("p5")));
    let second_stage = second_stage.expect("resumed and advanced");
    assert_eq!(second_stage.rollouts["m"].share(), 1.0);
    // Another steward has checked the first stage too.
    let mismatch = Error::StageMismatch { model: "m".to_owned(), stage: 1 };
    assert_eq!(second_stage.advance("m", 0, &stamp("p6")), Err(mismatch));
    let done = second_stage.advance("m", 1, &stamp("p6")).expect("completed");
    assert_eq!(done.rollouts["m"].state, State::Done);
    let already_done = Error::InvalidState { model: "m".to_owned(), state: State::Done };
    assert_eq!(done.abort("m", &stamp("p7")), Err(already_done));
}

#[parameterized(
    unknown_from = { "m@8", "m@2", &[1.0], Error::UnknownVersion("m@8".into()) },
    unknown_to = { "m@1", "m@9", &[1.0], Error::UnknownVersion("m@9".into()) },
    same_version = { "m@1", "m@1", &[1.0], Error::SameVersion("m@1".into()) },
    other_model = { "m@1", "n@1", &[1.0], Error::ModelMismatch { from: "m@1".into(), to: "n@1".into() } },
    no_stage = { "m@1", "m@2", &[], Error::InvalidStages },
    descending_stages = { "m@1", "m@2", &[0.5, 0.1, 1.0], Error::InvalidStages },
    equal_stages = { "m@1", "m@2", &[0.5, 0.5, 1.0], Error::InvalidStages },
    last_stage_below_one = { "m@1", "m@2", &[0.5], Error::InvalidStages },
    last_stage_above_one = { "m@1", "m@2", &[0.5, 1.5], Error::InvalidStages },
    first_stage_zero = { "m@1", "m@2", &[0.0, 1.0], Error::InvalidStages },
    nan_stage = { "m@1", "m@2", &[f64::NAN, 1.0], Error::InvalidStages },
)]
fn invalid_plan_is_refused(from: &str, to: &str, stages: &[f64], expected: Error) {
    assert_eq!(published().start(&plan(from, to, stages), &stamp("p2")), Err(expected));
}

#[test]
fn files_without_a_version_in_an_active_rollout_are_refused() {
    let running = published().start(&plan("m@1", "m@2", &[1.0]), &stamp("p2")).expect("start");
    let mut sites = sites();
    sites.get_mut("south").expect("the site").versions.remove("m@2");
    let next = Document::publish(Some(&running), sites.clone(), &stamp("p3"));
    assert_eq!(next.check_rollouts(), Err(Error::VersionInRollout("m@2".into())));
    let aborted = running.abort("m", &stamp("p3")).expect("abort");
    assert_eq!(Document::publish(Some(&aborted), sites, &stamp("p4")).check_rollouts(), Ok(()));
}

#[test]
fn second_rollout_is_refused_while_one_is_active() {
    let running = published().start(&plan("m@1", "m@2", &[1.0]), &stamp("p2")).expect("start");
    let second = running.start(&plan("m@2", "m@1", &[1.0]), &stamp("p3"));
    assert_eq!(second, Err(Error::AlreadyRunning("m".to_owned())));
    let aborted = running.abort("m", &stamp("p3")).expect("abort");
    aborted
        .start(&plan("m@2", "m@1", &[1.0]), &stamp("p4"))
        .expect("the first roll-out is no longer active");
}

#[test]
fn difference_names_paths_and_masks_secrets() {
    let before = published();
    let mut after = before.withdraw(&"m@2".into(), &stamp("p2")).expect("withdrawn");
    let site = after.sites.get_mut("south").expect("the site");
    site.session_keys[0].secret = vec![9; 16];
    site.accounts.get_mut("yard-7").expect("the account").key_hashes.push([7; 32]);
    site.accounts.get_mut("yard-7").expect("the account").limit.requests = 5.0;
    site.endpoints.clear();
    let changes = difference(&before, &after);
    let lines: Vec<_> = changes.iter().map(ToString::to_string).collect();
    let expected = [
        "~ sites.south.accounts.yard-7.key_hashes: (not shown) -> (not shown)",
        "~ sites.south.accounts.yard-7.limit.requests: 100.0 -> 5.0",
        "- sites.south.endpoints.e-1.address: \"10.0.0.1:80\"",
        "- sites.south.endpoints.e-1.checks_fencing: false",
        "- sites.south.endpoints.e-1.failure_domain: \"a\"",
        "- sites.south.endpoints.e-1.slots: 16",
        "- sites.south.endpoints.e-1.versions: [\"m@1\"]",
        "~ sites.south.session_keys[0].secret: (not shown) -> (not shown)",
        "~ withdrawn: [] -> [\"m@2\"]",
    ];
    assert_eq!(lines, expected);
}
