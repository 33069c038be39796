//! Tests of the connections that a server closes unread.

use std::{sync::Arc, time::Duration};

use curranthook_http::server::{Backlog, Waiting};
use curranthook_types::clock::Manual;

const MAX_WAIT: Duration = Duration::from_millis(100);

struct Process {
    clock: Arc<Manual>,
    backlog: Arc<Backlog>,
    waiting: Vec<Waiting>,
    n_read: usize,
}

impl Process {
    fn new() -> Self {
        let clock = Arc::new(Manual::default());
        let backlog = Arc::new(Backlog::new(MAX_WAIT, clock.clone()));
        Self { clock, backlog, waiting: Vec::new(), n_read: 0 }
    }

    /// Reads one connection each `read_time` for `duration`, while another arrives each
    /// `arrival_time`.
    fn run(&mut self, read_time: Duration, arrival_time: Duration, duration: Duration) {
        let step = Duration::from_millis(1);
        for elapsed in (0..duration.as_millis()).map(|it| Duration::from_millis(it as u64)) {
            if elapsed.as_millis() % arrival_time.as_millis() == 0 {
                self.waiting.extend(self.backlog.admit());
            }
            if elapsed.as_millis() % read_time.as_millis() == 0 && !self.waiting.is_empty() {
                // Closing takes no time.
                while !self.waiting.is_empty() && !self.waiting.remove(0).end() {}
                self.n_read += 1;
            }
            self.clock.advance(step);
        }
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against callers that wait ever longer because all of them are read, and against a process
/// that reads less than it can.
#[test]
fn process_that_is_behind_reads_what_it_can() {
    let mut process = Process::new();
    process.run(ms(10), ms(2), ms(3_000));
    process.n_read = 0;
    process.run(ms(10), ms(2), ms(10_000));
    assert!(990 <= process.n_read, "{} read", process.n_read);
    assert!(process.waiting.len() <= 10, "{} wait", process.waiting.len());
}

/// Guards against closing connections for a short burst, or for a process that is as slow but not
/// behind.
#[test]
fn bursts_and_slow_processes_are_read() {
    let mut process = Process::new();
    process.run(ms(10), ms(10), ms(5_000));
    process.run(ms(10), ms(2), ms(150));
    process.run(ms(10), ms(50), ms(5_000));
    assert_eq!(process.backlog.n_closed(), 0);
    process.run(ms(300), ms(400), ms(60_000));
    assert_eq!(process.backlog.n_closed(), 0);
}

/// Guards against connections that are closed long after the process has caught up.
#[test]
fn all_are_read_again_once_the_process_has_caught_up() {
    let mut process = Process::new();
    process.run(ms(10), ms(2), ms(5_000));
    assert!(process.backlog.are_waits_too_long());
    process.run(ms(10), ms(50), ms(1_000));
    let n_closed = process.backlog.n_closed();
    assert!(!process.backlog.are_waits_too_long());
    process.run(ms(1), ms(1), ms(5_000));
    assert_eq!(process.backlog.n_closed(), n_closed);
}
