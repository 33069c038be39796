//! Callers that go on whatever happens, and what they saw.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_io::Timer;
use curranthook_http::timeout;
use curranthook_tests::call::{Answer, Call, Chat};
use curranthook_types::header;
use parking_lot::Mutex;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

use super::plan::pick;

/// How long a caller gives the router.
const DEADLINE_MILLIS: &str = "5000";
/// How long it waits itself; a connection may be silent for good.
const PATIENCE: Duration = Duration::from_secs(8);
/// How often a posting is sent again under the same key.
const MAX_POSTS: usize = 3;
/// The most tokens of an answer.
pub const MAX_TOKENS: u64 = 12;

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The request's id, another one for each time that a posting is sent.
    pub id: String,
    /// What was asked.
    pub ask: Ask,
    /// The answer; none if the caller gave up or its connection broke before the head.
    pub answer: Option<Answer>,
}

/// What was asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ask {
    /// A chat with this prompt.
    Chat(String),
    /// A call that may be repeated.
    Get,
    /// A call that may not, under this key.
    Post(String),
}

/// What all callers share.
#[derive(Debug)]
pub struct Load {
    /// Where the routers are reached.
    pub routers: Vec<SocketAddr>,
    /// Set when it's enough.
    pub is_over: AtomicBool,
    /// All requests that ended.
    pub entries: Mutex<Vec<Entry>>,
}

/// One caller's part.
pub async fn run(load: Arc<Load>, caller: usize, seed: u64) {
    let mut rng = Pcg64::seed_from_u64(seed ^ (caller as u64 + 1).wrapping_mul(0x9e37_79b9));
    let mut n = 0;
    while !load.is_over.load(Ordering::SeqCst) {
        n += 1;
        let id = format!("c{caller}-{n}");
        match rng.random_range(0..6) {
            0 | 1 => load.chat(&mut rng, id, Shape::Whole).await,
            2 | 3 => load.chat(&mut rng, id, Shape::Stream).await,
            4 => load.get(&mut rng, id).await,
            _ => load.post(&mut rng, id).await,
        }
        Timer::after(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shape {
    Whole,
    Stream,
}

impl Load {
    async fn chat(&self, rng: &mut Pcg64, id: String, shape: Shape) {
        let prompt = format!("summary {id}");
        let model = pick(rng, &["m", "m", "m@1", "m@2", "m@3"]);
        let chat = Chat::new("main", model, &prompt).with_max_tokens(MAX_TOKENS).with_id(&id);
        let chat = chat.with_header(header::DEADLINE_MS, DEADLINE_MILLIS);
        let chat = if shape == Shape::Stream { chat.streamed() } else { chat };
        let router = pick(rng, &self.routers);
        let answer = timeout::run(PATIENCE, chat.send(&router)).await;
        self.note(id, Ask::Chat(prompt), answer);
    }

    async fn get(&self, rng: &mut Pcg64, id: String) {
        let call = Call::new("main", http::Method::GET, "/services/ledger/status");
        let router = pick(rng, &self.routers);
        let call = call.with_id(&id).with_header(header::DEADLINE_MS, DEADLINE_MILLIS);
        let answer = timeout::run(PATIENCE, call.send(&router)).await;
        self.note(id, Ask::Get, answer);
    }

    /// Sends a posting again over any router until it's answered, as an anxious caller does.
    async fn post(&self, rng: &mut Pcg64, key: String) {
        let call = Call::post("main", "ledger", "crates").with_idempotency_key(&key);
        let call = call.with_body(key.clone()).with_header(header::DEADLINE_MS, DEADLINE_MILLIS);
        for n in 0..MAX_POSTS {
            let id = format!("{key}-p{n}");
            let router = pick(rng, &self.routers);
            let call = call.clone().with_id(&id);
            let patience = PATIENCE.mul_f64(rng.random_range(0.02..1.0));
            let answer = timeout::run(patience, call.send(&router)).await;
            let is_done = matches!(&answer, Ok(Ok(it)) if it.status == 200);
            self.note(id, Ask::Post(key.clone()), answer);
            if is_done {
                break;
            }
        }
    }

    fn note(&self, id: String, ask: Ask, answer: Result<anyhow::Result<Answer>, timeout::Elapsed>) {
        let answer = answer.ok().and_then(Result::ok);
        self.entries.lock().push(Entry { id, ask, answer });
    }
}
