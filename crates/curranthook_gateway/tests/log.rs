//! The event log: it never delays a request, and each line is a JSON object.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, channel},
    },
    time::{Duration, Instant},
};

use curranthook_gateway::event::{Event, Log};
use curranthook_types::clock;

/// A writer that blocks at its first write until it is resumed.
struct StalledWriter {
    resume: Receiver<()>,
    text: Arc<Mutex<Vec<u8>>>,
    has_resumed: bool,
}

impl Write for StalledWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.has_resumed {
            let _resumed = self.resume.recv();
            self.has_resumed = true;
        }
        self.text.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The reader of the log stalls. Guards against requests that wait for the log. Lines that do not
/// fit into the queue are dropped, and the next line that fits reports how many.
#[test]
fn a_stalled_reader_drops_lines_without_delaying_requests() {
    let (tx, resume) = channel();
    let text: Arc<Mutex<Vec<u8>>> = Arc::default();
    let out = StalledWriter { resume, text: Arc::clone(&text), has_resumed: false };
    let log = Log::start("n-1", Arc::new(clock::System), Box::new(out)).unwrap();
    let start = Instant::now();
    for _ in 0..20_000 {
        let (request, service, why) = ("r-1", "engines", "budget");
        log.write(&Event::NotRepeated { request, service, why, budget: None, age_ms: 0 });
    }
    let time_per_line = start.elapsed() / 20_000;
    assert!(time_per_line < Duration::from_micros(200), "{time_per_line:?} per line");
    assert!(0 < log.dropped());
    tx.send(()).unwrap();
    let reports_drops = || String::from_utf8_lossy(&text.lock().unwrap()).contains("lines_dropped");
    let start = Instant::now();
    while !reports_drops() && start.elapsed() < Duration::from_secs(5) {
        std::thread::sleep(Duration::from_millis(20));
        log.write(&Event::Reloaded { changed: "" });
    }
    assert!(reports_drops(), "the dropped lines are reported");
    let lines = text.lock().unwrap().iter().filter(|it| **it == b'\n').count();
    assert!(lines < 5_000, "the queue is bounded: {lines} lines of 20,000 were kept");
}

/// Guards against fields with quotes or line breaks that make a line invalid JSON, or split it.
#[test]
fn each_line_is_one_json_object() {
    let text: Arc<Mutex<Vec<u8>>> = Arc::default();
    let (tx, resume) = channel();
    tx.send(()).unwrap();
    let out = StalledWriter { resume, text: Arc::clone(&text), has_resumed: false };
    let log = Log::start("n-1", Arc::new(clock::System), Box::new(out)).unwrap();
    log.write(&Event::RowRejected { table: "operator", why: "a \"line\"\nin a line" });
    std::thread::sleep(Duration::from_millis(200));
    let text = String::from_utf8(text.lock().unwrap().clone()).unwrap();
    assert_eq!(text.lines().count(), 1);
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(
        (value["node"].as_str(), value["event"].as_str()),
        (Some("n-1"), Some("row_rejected"))
    );
    assert!(value["at_ms"].is_u64());
}
