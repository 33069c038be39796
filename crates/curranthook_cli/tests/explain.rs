//! Tests of `explain`: reconstructing the timeline of a request from node logs.

use curranthook_cli::{command::explain, output::Render};

const NODE_LOGS: &str = r#"
  0.9 n-1 {"at_ms":900,"node":"n-1","event":"endpoint","endpoint":"e-1","service":"s","state":"ready","version":"v1","rev":3}
  0.9 n-1 {"at_ms":910,"node":"n-1","event":"endpoint","endpoint":"e-2","service":"s","state":"ready","version":"v1","rev":4}
  0.9 n-2 {"at_ms":950,"node":"n-2","event":"configuration","version":9,"before":8,"routes":1,"rev":5,"from":"store"}
  0.9 n-1 {"at_ms":960,"node":"n-1","event":"configuration","version":8,"before":7,"routes":1,"rev":2,"from":"peer"}
  1.0 n-1 {"at_ms":1000,"node":"n-1","event":"sent","request":"r-1","endpoint":"e-1","attempt":1,"resumed_after":null}
  1.0 n-1 {"at_ms":1001,"node":"n-1","event":"sent","request":"r-2","endpoint":"e-2","attempt":1}
  not a line of ours {
  1.3 n-1 {"at_ms":1300,"node":"n-1","event":"attempt_failed","request":"r-1","endpoint":"e-1","why":"cut","execution":"may_have_run"}
  1.4 n-1 {"at_ms":1400,"node":"n-1","event":"ended","request":"r-1","status":502,"outcome":"endpoint_failed"}
"#;

/// A user reports one failed request. Its events are mixed with those of other requests and
/// nodes, and the endpoint and configuration state that its node used is in earlier events.
#[test]
fn timeline_includes_latest_endpoint_and_configuration() {
    let timeline = explain::run("r-1", &[], &mut NODE_LOGS.as_bytes()).unwrap();
    let text = timeline.render();
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 6, "{text}");
    assert!(lines[1].contains("endpoint=e-1") && lines[1].contains("rev=3"), "{text}");
    assert!(lines[2].contains("version=8") && lines[2].contains("from=peer"), "{text}");
    assert!(lines[3].contains("+0.000 s  n-1  sent"), "{text}");
    assert!(lines[4].contains("why=cut") && lines[4].contains("execution=may_have_run"), "{text}");
    assert!(lines[5].contains("outcome=endpoint_failed"), "{text}");
    assert_eq!(timeline.n_unparsed, 1);
}

/// Logs are truncated and rotated, so the events of a request may be missing.
#[test]
fn missing_request_is_reported() {
    let timeline = explain::run("r-9", &[], &mut NODE_LOGS.as_bytes()).unwrap();
    assert_eq!(timeline.render(), "no line of request r-9 was found");
}
