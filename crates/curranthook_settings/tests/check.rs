//! All errors in the files are reported at once, each with its file, line and path.

use curranthook_settings::{
    check::{self, Report, Severity},
    node, source,
};
use proptest::prelude::*;
use yare::parameterized;

const BASE: &str = r#"versions:
  m@1:
    price: {prompt: 1, completion: 2}
    quality: {summary: 0.8}
services:
  ledger: {repeatable: [GET]}
kinds:
  summary: {quality: 0.7}
session_keys:
  - {id: k1, secret: "00112233445566778899aabbccddeeff"}
accounts:
  yard-7:
    key_hashes: ["00000000000000000000000000000000000000000000000000000000000000aa"]
    versions: [m@1]
    services: [ledger]
"#;

const OVERLAY: &str = r#"site: south
endpoints:
  e-1: {address: "10.0.0.1:80", failure_domain: a, versions: [m@1]}
  l-1: {address: "10.0.0.2:80", failure_domain: a, service: ledger}
"#;

fn report(base: &str, overlay: &str) -> Report {
    let base = source::parse("base.yaml", base).expect("the base is YAML");
    let overlay = source::parse("south.yaml", overlay).expect("the overlay is YAML");
    check::trees(&base, &[overlay])
}

fn formatted_findings(report: &Report) -> Vec<String> {
    report.findings.iter().map(ToString::to_string).collect()
}

/// Asserts that exactly one finding has this location and path and a message with this text.
fn assert_found(report: &Report, location: &str, path: &str, message: &str) {
    let n = report.findings.iter().filter(|it| {
        it.location.to_string() == location && it.path == path && it.message.contains(message)
    });
    assert_eq!(n.count(), 1, "{location} {path} {message}: {:#?}", formatted_findings(report));
}

#[test]
fn valid_files_have_no_findings() {
    let report = report(BASE, OVERLAY);
    assert_eq!(formatted_findings(&report), Vec::<String>::new());
    assert_eq!(report.sites.len(), 1);
}

#[parameterized(
    unknown_key = { "    versions: [m@1]\n", "    versions: [m@1]\n    colour: red\n", 15, "accounts.yard-7.colour", "unknown key" },
    quality_over_one = { "summary: 0.8", "summary: 1.8", 4, "versions.m@1.quality.summary", "from 0 to 1" },
    quality_below_zero = { "{quality: 0.7}", "{quality: -0.7}", 8, "kinds.summary.quality", "from 0 to 1" },
    quality_infinite = { "summary: 0.8", "summary: .inf", 4, "versions.m@1.quality.summary", "from 0 to 1" },
    price_not_whole = { "prompt: 1", "prompt: 0.5", 3, "versions.m@1.price.prompt", "whole number of millionths" },
    price_below_zero = { "prompt: 1", "prompt: -1", 3, "versions.m@1.price.prompt", "whole number of millionths" },
    price_missing = { "prompt: 1, ", "", 3, "versions.m@1.price.prompt", "lacks `prompt`" },
    duration_with_unit = { "services:\n", "policy:\n  default_deadline_ms: 60s\nservices:\n", 6, "policy.default_deadline_ms", "milliseconds" },
    wrong_type = { "versions: [m@1]", "versions: m@1", 14, "accounts.yard-7.versions", "must be a list" },
    null_value = { "    quality: {summary: 0.8}", "    quality:", 4, "versions.m@1.quality", "no value" },
    version_without_number = { "  m@1:\n", "  m@2: {price: {prompt: 1, completion: 1}}\n  m: {price: {prompt: 1, completion: 1}}\n  m@1:\n", 3, "versions.m", "model@version" },
    unknown_version = { "versions: [m@1]", "versions: [m@1, m@9]", 14, "accounts.yard-7.versions[1]", "unknown version `m@9`" },
    unknown_service = { "services: [ledger]", "services: [book]", 15, "accounts.yard-7.services[0]", "unknown service `book`" },
    unknown_kind_of_version = { "{summary: 0.8}", "{summary: 0.8, poem: 0.5}", 4, "versions.m@1.quality.poem", "unknown kind `poem`" },
    unknown_kind_of_account = { "    versions: [m@1]\n", "    versions: [m@1]\n    quality: {poem: 0.5}\n", 15, "accounts.yard-7.quality.poem", "unknown kind `poem`" },
    unreachable_target_of_kind = { "{quality: 0.7}", "{quality: 0.9}", 12, "accounts.yard-7.versions", "no allowed version meets 0.9" },
    unreachable_target_of_account = { "    versions: [m@1]\n", "    versions: [m@1]\n    quality: {summary: 0.9}\n", 15, "accounts.yard-7.quality.summary", "no allowed version meets 0.9" },
    key_in_clear_text = { "\"00000000000000000000000000000000000000000000000000000000000000aa\"", "my-key", 13, "accounts.yard-7.key_hashes[0]", "64 hexadecimal digits" },
    duplicate_key_hash = { "aa\"]", "aa\", \"00000000000000000000000000000000000000000000000000000000000000AA\"]", 13, "accounts.yard-7.key_hashes[1]", "same key hash as at accounts.yard-7.key_hashes[0]" },
    duplicate_key = { "    versions: [m@1]\n", "    versions: [m@1]\n    versions: [m@1]\n", 15, "accounts.yard-7.versions", "duplicate key" },
    duplicate_account = { "accounts:\n", "accounts:\n  yard-7: {key_hashes: []}\n", 13, "accounts.yard-7", "duplicate key" },
    short_secret = { "00112233445566778899aabbccddeeff", "0011", 10, "session_keys[0].secret", "at least 16 bytes" },
    no_session_key = { "  - {id: k1, secret: \"00112233445566778899aabbccddeeff\"}", "  []", 9, "session_keys", "no session key" },
    name_with_slash = { "  ledger: {rep", "  led/ger: {rep", 6, "services.led/ger", "no slashes" },
    bad_method = { "[GET]", "[FETCH]", 6, "services.ledger.repeatable[0]", "must be one of" },
)]
fn error_in_base_is_reported(from: &str, to: &str, line: u64, path: &str, message: &str) {
    assert!(BASE.contains(from), "the base file has {from:?}");
    let report = report(&BASE.replacen(from, to, 1), OVERLAY);
    assert_found(&report, &format!("base.yaml:{line}"), path, message);
    assert!(!report.is_ok() && report.sites.is_empty());
}

#[parameterized(
    missing_site = { "site: south\n", "", 1, "site", "lacks `site`" },
    neither_versions_nor_service = { ", versions: [m@1]", "", 3, "endpoints.e-1", "neither versions nor a service" },
    both_versions_and_service = { ", versions: [m@1]", ", versions: [m@1], service: ledger", 3, "endpoints.e-1", "both versions and a service" },
    same_address = { "10.0.0.2:80", "10.0.0.1:80", 4, "endpoints.l-1.address", "same address as at endpoints.e-1.address" },
    bad_address = { "10.0.0.2:80", "ledger:80", 4, "endpoints.l-1.address", "IP:port" },
    site_with_space = { "site: south", "site: the south", 1, "site", "no spaces" },
    site_not_text = { "site: south", "site: 7", 1, "site", "needs quotes" },
    port_zero = { "10.0.0.2:80", "10.0.0.2:0", 4, "endpoints.l-1.address", "port not 0" },
    duplicate_key = { "site: south\n", "site: south\nsite: north\n", 2, "site", "duplicate key" },
    unknown_version = { "versions: [m@1]", "versions: [m@3]", 3, "endpoints.e-1.versions[0]", "unknown version `m@3`" },
    unknown_service = { "service: ledger", "service: book", 4, "endpoints.l-1.service", "unknown service `book`" },
    removes_unknown_entry = { "site: south\n", "site: south\naccounts: {yard-8: null}\n", 2, "accounts.yard-8", "isn't in the base file" },
    changes_unknown_entry = { "site: south\n", "site: south\naccounts:\n  yard-8:\n    limit: {requests: 5}\n", 3, "accounts.yard-8.key_hashes", "can't stand alone" },
)]
fn error_in_overlay_is_reported(from: &str, to: &str, line: u64, path: &str, message: &str) {
    assert!(OVERLAY.contains(from), "the overlay has {from:?}");
    let report = report(BASE, &OVERLAY.replacen(from, to, 1));
    assert_found(&report, &format!("south.yaml:{line}"), path, message);
    assert!(!report.is_ok() && report.sites.is_empty());
}

#[test]
fn all_errors_of_both_files_are_reported_at_once() {
    let base = BASE.replace("prompt: 1", "prompt: x").replace("services: [ledger]", "sevices: []");
    let overlay = OVERLAY.replace("10.0.0.2:80", "nowhere").replace("[m@1]", "[m@2]");
    let report = report(&base, &overlay);
    let found: Vec<_> = report.errors().map(|it| (it.location.to_string(), &*it.path)).collect();
    let expected = [
        ("base.yaml:3", "versions.m@1.price.prompt"),
        ("base.yaml:15", "accounts.yard-7.sevices"),
        ("south.yaml:3", "endpoints.e-1.versions[0]"),
        ("south.yaml:4", "endpoints.l-1.address"),
    ];
    assert_eq!(found, expected.map(|(location, path)| (location.to_owned(), path)));
}

#[test]
fn overlay_that_removes_all_accounts_is_reported_at_the_base_section() {
    let overlay = OVERLAY.replace("site: south\n", "site: south\naccounts: {yard-7: null}\n");
    assert_found(&report(BASE, &overlay), "base.yaml:11", "accounts", "no account");
}

#[test]
fn unserved_version_is_a_warning() {
    let base = BASE
        .replace("services:\n  l", "  m@2: {price: {prompt: 1, completion: 1}}\nservices:\n  l");
    let report = report(&base, OVERLAY);
    assert_found(&report, "base.yaml:5", "versions.m@2", "no endpoint serves");
    assert!(report.findings.iter().all(|it| it.severity == Severity::Warning));
    assert!(report.is_ok() && report.sites.len() == 1);
}

#[test]
fn two_overlays_of_one_site_are_an_error() {
    let base = source::parse("base.yaml", BASE).expect("YAML");
    let one = source::parse("one.yaml", OVERLAY).expect("YAML");
    let two = source::parse("two.yaml", OVERLAY).expect("YAML");
    let report = check::trees(&base, &[one, two]);
    assert_found(&report, "two.yaml:1", "site", "already defined in another overlay");
}

#[test]
fn invalid_yaml_is_reported_with_a_line() {
    let e = source::parse("a.yaml", "a: 1\nb: [1,\nc: 2\n").expect_err("invalid YAML");
    let source::Error::Syntax { location, .. } = &e else { panic!("{e}") };
    assert!(2 <= location.line, "{e}");
}

#[parameterized(
    unknown_key = { "vm: vm-1\ncolour: red\n", 2, "colour" },
    bad_address = { "vm: vm-1\nlisten: here\n", 2, "listen" },
    bad_platform = { "vm: vm-1\nplatform:\n  table: 1\n", 3, "platform.table" },
    peer_key_in_clear_text = { "vm: vm-1\npeer_key: open sesame\n", 2, "peer_key" },
    missing_key = { "vm: vm-1\n", 1, "peer_listen" },
)]
fn error_in_node_settings_is_reported(text: &str, line: u64, path: &str) {
    let tree = source::parse("node.yaml", text).expect("YAML");
    let findings = node::from_tree(&tree).expect_err("errors");
    let found = findings.iter().find(|it| it.path == path).expect("the error is reported");
    assert_eq!(found.location.to_string(), format!("node.yaml:{line}"));
    assert!(!found.message.contains("sesame"));
}

fn any_yaml() -> impl Strategy<Value = serde_json::Value> {
    let key = prop::sample::select(vec!["site", "versions", "accounts", "endpoints", "m@1", "a"]);
    let leaf = prop_oneof![
        Just(serde_json::Value::Null),
        any::<bool>().prop_map(Into::into),
        any::<i64>().prop_map(Into::into),
        (-2.0..2.0).prop_map(|it: f64| it.into()),
        "[a-z@]{0,4}".prop_map(Into::into),
    ];
    leaf.prop_recursive(4, 32, 5, move |inner| {
        let map = prop::collection::btree_map(key.clone(), inner.clone(), 0..5);
        prop_oneof![
            prop::collection::vec(inner, 0..4).prop_map(Into::into),
            map.prop_map(|it| it.into_iter().map(|(k, v)| (k.to_owned(), v)).collect()),
        ]
    })
}

proptest! {
    #[test]
    fn check_of_any_two_files_does_not_panic(base in any_yaml(), overlay in any_yaml()) {
        report(&base.to_string(), &overlay.to_string());
    }

    #[test]
    fn overlay_that_repeats_part_of_the_base_is_an_error(keep in prop::collection::vec(any::<bool>(), 5)) {
        let base = source::parse("base.yaml", BASE).expect("YAML").to_json();
        let entries = base.as_object().expect("a map").iter().zip(keep).filter(|(_, keep)| *keep);
        let mut part: serde_json::Map<_, _> =
            entries.map(|((key, value), _)| (key.clone(), value.clone())).collect();
        part.insert("site".to_owned(), "south".into());
        let report = report(BASE, &serde_json::Value::Object(part).to_string());
        assert_found(&report, "south.yaml:1", "", "changes nothing");
    }
}
