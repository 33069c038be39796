//! Programs started by a run are always stopped, whatever they do.

use std::{path::Path, time::Instant};

use curranthook_load::fleet::process::{Error, Process};
use yare::parameterized;

const PRINT_READY_LINE: &str = r#"echo '{"listening":{"http":"127.0.0.1:9"}}'"#;

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
fn address_is_read_after_other_lines() {
    let (process, dir) =
        start(&format!("echo starting; {PRINT_READY_LINE}; exec sleep 30")).unwrap();
    assert_eq!(process.addr("http"), "127.0.0.1:9".parse().unwrap());
    assert!(is_running(&dir));
    process.close();
    assert!(!is_running(&dir));
}

/// A program that ignores SIGTERM would keep its port and a CPU core, and distort the measurements
/// of the next run.
#[test]
fn program_that_ignores_sigterm_is_killed() {
    let script = format!("trap '' TERM; {PRINT_READY_LINE}; while :; do sleep 0.1; done");
    let (mut process, dir) = start(&script).unwrap();
    process.request_stop();
    assert!(!process.has_exited());
    drop(process);
    assert!(!is_running(&dir));
}

#[parameterized(
    exits_immediately = { "exit 3" },
    closes_stdout = { "exec sleep 30 >&-" },
)]
fn program_without_address_fails_immediately(script: &str) {
    let start_time = Instant::now();
    let e = start(script).expect_err("no address was printed");
    assert!(matches!(e, Error::NotReady { .. }), "{e}");
    assert!(
        start_time.elapsed().as_secs() < 5,
        "closed output is detected without waiting for the time-out"
    );
}

#[test]
fn exit_is_detected() {
    let (mut process, _dir) = start(PRINT_READY_LINE).unwrap();
    let deadline = Instant::now() + std::time::Duration::from_secs(5);
    while !process.has_exited() && Instant::now() < deadline {
        std::thread::yield_now();
    }
    assert!(process.has_exited());
    process.close();
}
