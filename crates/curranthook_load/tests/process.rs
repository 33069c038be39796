//! Programs started by a run are always stopped, whatever they do.

use std::{path::Path, time::Instant};

use curranthook_load::fleet::process::{Error, Process};
use yare::parameterized;

const READY: &str = r#"echo '{"listening":{"http":"127.0.0.1:9"}}'"#;

fn start(script: &str) -> Result<(Process, tempfile::TempDir), Error> {
    let dir = tempfile::tempdir().unwrap();
    // The shell writes its process ID to the log, so that a test can check later whether it runs.
    let script = format!("echo $$ >&2; {script}");
    let process = Process::start(Path::new("/bin/sh"), &["-c".to_owned(), script], "p", dir.path());
    process.map(|it| (it, dir))
}

fn is_running(dir: &tempfile::TempDir) -> bool {
    let log = std::fs::read_to_string(dir.path().join("p.log")).unwrap();
    Path::new("/proc").join(log.trim()).exists()
}

#[test]
fn address_is_read_past_other_lines() {
    let (process, dir) = start(&format!("echo starting; {READY}; exec sleep 30")).unwrap();
    assert_eq!(process.addr("http"), "127.0.0.1:9".parse().unwrap());
    assert!(is_running(&dir));
    process.close();
    assert!(!is_running(&dir));
}

/// A program that ignores SIGTERM would keep its port and a CPU core, and distort the measurements
/// of the next run.
#[test]
fn program_that_ignores_the_request_is_ended() {
    let script = format!("trap '' TERM; {READY}; while :; do sleep 0.1; done");
    let (mut process, dir) = start(&script).unwrap();
    process.request_stop();
    assert!(!process.has_ended());
    drop(process);
    assert!(!is_running(&dir));
}

#[parameterized(
    ends_at_once = { "exit 3" },
    closes_its_output = { "exec sleep 30 >&-" },
)]
fn program_without_address_is_an_error_at_once(script: &str) {
    let begun = Instant::now();
    let e = start(script).expect_err("no address was printed");
    assert!(matches!(e, Error::NotReady { .. }), "{e}");
    assert!(begun.elapsed().as_secs() < 5, "the end of the output is enough to tell");
}

#[test]
fn own_end_is_seen() {
    let (mut process, _dir) = start(READY).unwrap();
    let limit = Instant::now() + std::time::Duration::from_secs(5);
    while !process.has_ended() && Instant::now() < limit {
        std::thread::yield_now();
    }
    assert!(process.has_ended());
    process.close();
}
