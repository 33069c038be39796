//! Requests for streams on kept connections, of which sound workers treat some differently.

use std::{
    io::{BufReader, Write},
    net::TcpStream,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Answer},
    site::{self, Node, Record, Special, Worker},
    store::Store,
};

/// More requests than this must not be passed on and cut off.
const MAX_CUT: usize = 3;
/// The time for which the clients send requests.
const TIME: Duration = Duration::from_secs(15);

/// Runs the case with what workers do with the special requests.
pub fn run(folder: &Path, special: Special) -> i32 {
    let record = Record::new(folder);
    let store = Store::start();
    store.put("op", "config", &site::config(1));
    let work = Duration::from_millis(60);
    let workers: Vec<_> = (1..=12)
        .map(|n| Worker::start(&format!("i-{n}"), "tally-llm", work, 800, &record))
        .collect();
    for it in &workers {
        if site::has_trouble() {
            *it.special.lock().unwrap() = special;
        }
        store.put("servers", &it.id, &it.entry("ready"));
    }
    let mut node = Node::start("edge-vn-south-a-1", &store, 260);
    if !node.wait_until_ready(Duration::from_secs(15)) {
        record.say(&format!("the node isn't ready: {}", node.log()));
        return 2;
    }
    thread::sleep(Duration::from_secs(4));

    let is_over = Arc::new(AtomicBool::new(false));
    let results: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    let clients: Vec<_> = (0..4u32)
        .map(|client| {
            let (callers, record) = (node.callers, record.clone());
            let (is_over, results) = (Arc::clone(&is_over), Arc::clone(&results));
            thread::spawn(move || {
                let mut kept: Option<(TcpStream, BufReader<TcpStream>)> = None;
                let mut session = client * 1_000;
                while !is_over.load(Ordering::SeqCst) {
                    session += 1;
                    let (mut stream, mut reader) = match kept.take() {
                        Some(it) => it,
                        None => {
                            let Ok(stream) = TcpStream::connect(callers) else { continue };
                            let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
                            let Ok(read) = stream.try_clone() else { continue };
                            record.line(&format!("client {client}: opens a connection"));
                            (stream, BufReader::new(read))
                        }
                    };
                    let (id, message) = site::stream_request(session, "*", 15_000);
                    record.line(&format!("client {client}: sends {id}"));
                    let answer = match stream.write_all(&message) {
                        Ok(()) => http::read_answer(&mut reader),
                        Err(e) => Answer::None(e.kind().to_string()),
                    };
                    record.line(&format!("client {client}: {id} gets {}", answer.text()));
                    if matches!(answer, Answer::Whole { .. }) {
                        kept = Some((stream, reader));
                    }
                    results.lock().unwrap().push((id, answer));
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(TIME);
    is_over.store(true, Ordering::SeqCst);
    for it in clients {
        let _ = it.join();
    }
    if let Some(code) = node.exit_code() {
        record.say(&format!("the node ended: {code}"));
        return 2;
    }

    let results = results.lock().unwrap();
    let count = |status: u16| results.iter().filter(|(_, it)| it.status() == status).count();
    let cut = results.iter().filter(|(_, it)| !matches!(it, Answer::Whole { .. })).count();
    record.say(&format!(
        "{} streams: {} answered with 200, {} with 500, {cut} connections closed without a whole answer",
        results.len(),
        count(200),
        count(500)
    ));
    if count(200) < 50 {
        record.say("too few streams were served");
        return 2;
    }
    i32::from(MAX_CUT < cut)
}
