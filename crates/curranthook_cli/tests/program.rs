//! Tests of the executable: output and exit codes.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener},
    process::{Command, Output, Stdio},
};

use yare::parameterized;

fn curranthook_command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curranthook"));
    command.args(args).env_remove("CURRANTHOOK_PLATFORM");
    command.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/mekong"));
    command
}

fn run(args: &[&str]) -> (i32, String, String) {
    let Output { status, stdout, stderr } = curranthook_command(args).output().expect("it runs");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (status.code().expect("an exit code"), text(stdout), text(stderr))
}

/// Returns a loopback address on which no process listens.
fn unused_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("its address")
}

#[test]
fn check_prints_the_merged_site_without_secrets() {
    let (code, out, err) = run(&["check", "base.yaml", "--overlay", "vn-south.yaml"]);
    assert_eq!((code, &*err), (0, ""));
    assert!(out.contains("site: vn-south") && out.contains("no errors"), "{out}");
    let json = run(&["check", "base.yaml", "--overlay", "vn-south.yaml", "--output", "json"]).1;
    let json: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    let limit = &json["sites"]["vn-south"]["accounts"]["yard-can-tho"]["limit"];
    assert_eq!(limit["requests"], 600.0);
    assert_eq!(json["sites"]["vn-south"]["session_keys"][0]["secret"], "(not shown)");
}

#[test]
fn check_prints_errors_as_text_and_json() {
    let (code, _, err) = run(&["check", "base.yaml", "--overlay", "node.yaml"]);
    assert_eq!(code, 2);
    assert!(err.contains("node.yaml:2: error: vm: unknown key"), "{err}");
    let (code, _, err) = run(&["--output", "json", "check", "base.yaml", "--overlay", "node.yaml"]);
    let json: serde_json::Value = serde_json::from_str(&err).expect("JSON");
    assert_eq!((code, &json["code"]), (2, &"check".into()));
    assert_eq!(json["findings"][0]["file"], "base.yaml");
}

#[parameterized(
    unknown_command = { &["fly"], 1 },
    no_platform = { &["epoch"], 1 },
    help = { &["--help"], 0 },
    version = { &["--version"], 0 },
    no_such_file = { &["check", "no-such-file.yaml"], 2 },
)]
fn exit_code(args: &[&str], expected: i32) {
    assert_eq!(run(args).0, expected);
}

#[test]
fn unavailable_platform_has_its_own_exit_code() {
    let addr = unused_addr().to_string();
    let (code, _, err) =
        run(&["--platform", &addr, "publish", "base.yaml", "--overlay", "vn-south.yaml"]);
    assert_eq!(code, 4, "{err}");
}

#[test]
fn unreachable_router_is_listed_and_fails_the_command() {
    let addr = unused_addr().to_string();
    let (code, out, _) = run(&["status", &addr]);
    assert_eq!(code, 1);
    assert!(out.contains(&addr) && out.contains("can't connect"), "{out}");
}

#[test]
fn key_is_hashed_from_standard_input() {
    let mut command = curranthook_command(&["accounts", "hash-key"]);
    command.stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = command.spawn().expect("it runs");
    child.stdin.take().expect("a pipe").write_all(b"yard-can-tho-demo-key\n").expect("written");
    let out = child.wait_with_output().expect("it ends").stdout;
    let base_yaml = include_str!("../../../examples/mekong/base.yaml");
    let hash = String::from_utf8(out).expect("text");
    assert!(base_yaml.contains(hash.trim()), "{hash}");
}

#[parameterized(
    check = { "check" }, diff = { "diff" }, publish = { "publish" }, rollout = { "rollout" },
    withdraw = { "withdraw" }, reinstate = { "reinstate" }, drain = { "drain" },
    undrain = { "undrain" }, accounts = { "accounts" }, status = { "status" },
    bills = { "bills" }, epoch = { "epoch" },
)]
fn help_has_an_example(command: &str) {
    let (code, out, _) = run(&[command, "--help"]);
    assert_eq!(code, 0);
    assert!(out.contains("Example") && out.contains(&format!("curranthook {command}")), "{out}");
}
