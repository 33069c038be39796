//! A node gets SIGTERM while clients send requests for streams on kept connections, of which sound
//! workers treat some differently.

use std::{
    collections::HashSet,
    io::{BufReader, Write},
    net::TcpStream,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer},
    site::{self, Node, Record, Special, Worker},
    store::Store,
};

/// The time before SIGTERM for which the clients send requests.
const CALM: Duration = Duration::from_millis(4_000);
/// The grace of the deployment, and the part of it from which on an answer may be cut off while its
/// worker is at work.
const GRACE: Duration = Duration::from_millis(8_000);
const LAST_SIXTH: Duration = Duration::from_millis(6_666);
const N_CLIENTS: u32 = 16;

/// A request, and what its client saw of the answer.
struct Outcome {
    id: String,
    sent_at: Instant,
    ended_at: Instant,
    answer: Answer,
}

/// Runs the case with what workers do with the special requests.
pub fn run(record: &Path, special: Special) -> i32 {
    let record = Record::new(record);
    let store = Store::start();
    store.put("op", "config", &site::config(1));
    let work = Duration::from_millis(60);
    let workers: Vec<_> = (1..=12)
        .map(|n| Worker::start(&format!("i-{n}"), "tally-llm", work, 800, &record))
        .collect();
    for it in &workers {
        store.put("servers", &it.id, &it.entry("ready"));
    }
    let mut node = Node::start("edge-vn-south-a-1", &store, 260);
    if !node.wait_until_ready(Duration::from_secs(15)) {
        record.say(&format!("the node isn't ready: {}", node.log()));
        return 2;
    }
    thread::sleep(Duration::from_secs(4));

    let is_over = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let clients: Vec<_> = (0..N_CLIENTS)
        .map(|client| {
            let (callers, record) = (node.callers, record.clone());
            let (is_over, outcomes) = (Arc::clone(&is_over), Arc::clone(&outcomes));
            thread::spawn(move || send(client, callers, &record, &is_over, &outcomes))
        })
        .collect();
    thread::sleep(CALM);
    if site::has_trouble() {
        // Only what is sent from now on, so that no earlier attempts bear on it.
        workers.iter().for_each(|it| *it.special.lock().unwrap() = special);
    }
    node.signal("TERM");
    let stopped_at = Instant::now();
    record.say("platform: sends SIGTERM to the node");
    // Clients go on using the connections that they have, and open no others.
    is_over.store(true, Ordering::SeqCst);
    thread::sleep(GRACE + Duration::from_secs(1));
    for it in clients {
        let _ = it.join();
    }
    match node.exit_code() {
        Some(code) => record.say(&format!("the node has ended: {code}")),
        None => {
            record.say("the node still runs after its grace");
            return 2;
        }
    }

    let outcomes = outcomes.lock().unwrap();
    let arrivals = workers.iter().flat_map(|it| it.arrivals.lock().unwrap().clone());
    let passed_on: HashSet<String> = arrivals.map(|it| it.id).collect();
    let is_whole = |it: &&Outcome| matches!(it.answer, Answer::Whole { .. });
    let before: Vec<_> = outcomes.iter().filter(|it| it.sent_at < stopped_at).collect();
    let n_whole = before.iter().filter(|it| is_whole(it)).count();
    record.say(&format!("sent before SIGTERM: {}, answered whole: {n_whole}", before.len()));
    let after = outcomes.iter().filter(|it| stopped_at <= it.sent_at && passed_on.contains(&it.id));
    let after: Vec<_> = after.collect();
    let whole: Vec<_> = after.iter().filter(|it| is_whole(it)).collect();
    record.say(&format!(
        "sent after it and passed on to a worker: {}, answered whole: {}",
        after.len(),
        whole.len()
    ));
    let cut: Vec<_> =
        after.iter().filter(|it| !is_whole(it) && it.ended_at < stopped_at + LAST_SIXTH).collect();
    for it in &cut {
        let after_ms = it.ended_at.duration_since(stopped_at).as_millis();
        record.line(&format!("lost: {}, {} ms after SIGTERM", it.id, after_ms));
    }
    record.say(&format!(
        "of these, ended without a complete answer before the last sixth of the grace: {}",
        cut.len()
    ));
    if n_whole < 50 || after.len() < 10 {
        record.say("too few streams were sent or served");
        return 2;
    }
    i32::from(!cut.is_empty())
}

/// Sends requests one after the other on one connection, as long as the node keeps it.
fn send(
    client: u32,
    callers: std::net::SocketAddr,
    record: &Record,
    is_over: &AtomicBool,
    outcomes: &Mutex<Vec<Outcome>>,
) {
    let mut kept: Option<(TcpStream, BufReader<TcpStream>)> = None;
    let mut session = client * 1_000 + client;
    loop {
        session += 1;
        let (mut stream, mut reader) = match kept.take() {
            Some(it) => it,
            None if is_over.load(Ordering::SeqCst) => return,
            None => {
                let Ok(stream) = TcpStream::connect(callers) else { return };
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
                let Ok(read) = stream.try_clone() else { return };
                record.line(&format!("client {client}: opens a connection"));
                (stream, BufReader::new(read))
            }
        };
        let (id, message) = site::stream_request(session, "*", 15_000);
        let sent_at = Instant::now();
        record.line(&format!("client {client}: sends {id}"));
        let answer = match stream.write_all(&message) {
            Ok(()) => http::read_answer(&mut reader),
            Err(e) => Answer::None(e.kind().to_string()),
        };
        record.line(&format!("client {client}: {id} gets {}", answer.text()));
        if let Answer::Whole { headers, .. } = &answer
            && http::find(headers, "connection").is_none_or(|it| !it.contains("close"))
        {
            kept = Some((stream, reader));
        }
        outcomes.lock().unwrap().push(Outcome { id, sent_at, ended_at: Instant::now(), answer });
        thread::sleep(Duration::from_millis(50));
    }
}
