//! One client names a model that the workers don't serve, which they answer with 421.

use std::{
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
    site::{self, Node, Record, Worker},
    store::Store,
};

/// The time before the client with the other model comes.
const CALM: Duration = Duration::from_secs(3);
/// The time from then on.
const REST: Duration = Duration::from_secs(40);
/// The requests of that client, one a second.
const N_MISNAMED: usize = 4;

/// A kind of request, when it was sent and what became of it.
struct Result {
    is_stream: bool,
    at: Instant,
    answer: Answer,
}

pub fn run(record: &Path) -> i32 {
    let record = Record::new(record);
    let store = Store::start();
    store.put("op", "config", &site::config(1));
    let work = Duration::from_millis(60);
    let llm = (1..=12).map(|n| (format!("i-llm-{n}"), "tally-llm"));
    let ledger = (1..=3).map(|n| (format!("i-ledger-{n}"), "crate-ledger"));
    let workers: Vec<_> = llm
        .chain(ledger)
        .map(|(id, service)| Worker::start(&id, service, work, 800, &record))
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

    let (is_over, results) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let began = Instant::now();
    let clients: Vec<_> = (0..4u32)
        .map(|client| {
            let (callers, record, is_over) = (node.callers, record.clone(), Arc::clone(&is_over));
            let results: Arc<Mutex<Vec<Result>>> = Arc::clone(&results);
            thread::spawn(move || {
                let mut session = client * 1_000;
                while !is_over.load(Ordering::SeqCst) {
                    session += 1;
                    let is_stream = client % 2 == 0;
                    let (id, message) = match is_stream {
                        true => site::stream_request(session, "*", 15_000),
                        false => site::request("GET", "/look/weight", 4_000, b""),
                    };
                    let at = Instant::now();
                    record.line(&format!("client {client}: sends {id}"));
                    let answer = http::call(callers, &message, Duration::from_secs(15));
                    record.line(&format!("client {client}: {id} gets {}", answer.text()));
                    results.lock().unwrap().push(Result { is_stream, at, answer });
                    thread::sleep(Duration::from_millis(250));
                }
            })
        })
        .collect();
    thread::sleep(CALM);

    let troubled_at = Instant::now();
    for n in 0..N_MISNAMED {
        // Without the trouble, this client accepts any model as well.
        let model = if site::has_trouble() { "m-old" } else { "*" };
        let (id, message) = site::stream_request(900_000 + n as u32, model, 15_000);
        record.say(&format!("other client: sends {id} for model {model}"));
        let answer = http::call(node.callers, &message, Duration::from_secs(15));
        record.say(&format!("other client: {id} gets {}", answer.text()));
        thread::sleep(Duration::from_secs(1));
    }
    thread::sleep(REST.saturating_sub(troubled_at.elapsed()));
    is_over.store(true, Ordering::SeqCst);
    for it in clients {
        let _ = it.join();
    }
    if let Some(code) = node.exit_code() {
        record.say(&format!("the node ended: {code}"));
        return 2;
    }

    let results = results.lock().unwrap();
    let count = |select: &dyn Fn(&Result) -> bool| {
        let selected: Vec<_> = results.iter().filter(|it| select(it)).collect();
        let served = selected.iter().filter(|it| it.answer.status() == 200).count();
        (served, selected.len())
    };
    let before = count(&|it| it.is_stream && it.at < troubled_at);
    let last = count(&|it| it.is_stream && troubled_at + REST / 4 < it.at);
    let (streams, all) = (count(&|it| it.is_stream), count(&|_| true));
    let say = |what: &str, (served, n): (usize, usize)| {
        record.say(&format!("{what}: {served} of {n} served"));
    };
    say("streams before the other client", before);
    say("streams in the last 30 s", last);
    say("streams in all", streams);
    say("look-ups in all", count(&|it| !it.is_stream));
    record.say(&format!("the run took {} s", began.elapsed().as_secs()));
    let share = |(served, n): (usize, usize)| served as f64 / n.max(1) as f64;
    if share(before) < 0.9 || last.1 < 20 {
        record.say("the streams weren't served before, or too few were sent");
        return 2;
    }
    // The rule's check: a kind of request is served less than a quarter as often as all.
    i32::from(share(streams) < share(all) / 4.0)
}
