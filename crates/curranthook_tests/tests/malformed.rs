//! Malformed requests and garbage answers.

#[path = "malformed/garbage.rs"]
mod garbage;
#[path = "malformed/request.rs"]
mod request;

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use curranthook_platform::Table;
use curranthook_standin::proxy::link;
use curranthook_tests::{
    Site,
    call::{Call, Chat},
    run,
    site::Builder,
};
use curranthook_types::{
    header,
    refusal::{Reason, Run},
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sha2::{Digest, Sha256};

use request::{Expect, Request};

const SEED: u64 = 11;
/// How many malformed requests are made in all.
const N_REQUESTS: usize = 12_000;
/// How many callers make them at once.
const N_CALLERS: usize = 8;
/// An answer to a whole request comes within this time, also on a busy machine.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);
/// How long a caller waits for a word on bytes that may not be a whole request.
const SHORT_WAIT: Duration = Duration::from_millis(20);

fn site() -> Builder {
    let builder = Site::builder().engine("e1", &["m@1"]).service("s1", "ledger").routers(1);
    builder.config(|config| {
        for account in config.accounts.values_mut() {
            // What is asked for here is that each request is read, not the limit on their number.
            account.limit.requests = 1e9;
            account.limit.burst = 1e9;
        }
    })
}

fn posting(key: &str) -> Call {
    let call = Call::post("main", "ledger", "crates").with_idempotency_key(key);
    call.with_body(format!("{{\"crate\":\"{key}\"}}"))
}

/// Whether the router still serves, and has neither died nor lost a task on the way.
async fn assert_serves(site: &mut Site, key: &str) -> anyhow::Result<()> {
    let answer = Chat::new("main", "m", "weigh crate 7").send(&site.router("r1")).await?;
    assert!(answer.is_whole(), "{answer:?}");
    let answer = posting(key).send(&site.router("r1")).await?;
    assert_eq!(answer.status, 200, "{answer:?}");
    let router = site.router_process("r1");
    assert!(router.is_running());
    assert!(!router.log().contains("panicked"), "{}", router.log());
    Ok(())
}

/// Makes one malformed request and checks the answer.
fn make(addr: SocketAddr, req: &Request) -> anyhow::Result<()> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    let wait = if req.expect == Expect::Refusal { ANSWER_LIMIT } else { SHORT_WAIT };
    stream.set_read_timeout(Some(wait))?;
    // The router may answer and close before it has all.
    let _sent = stream.write_all(&req.bytes);
    if req.expect == Expect::Nothing {
        stream.shutdown(Shutdown::Both)?;
        return Ok(());
    }
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    match (req.expect, read) {
        // A router that closes while bytes still come resets the connection, and the answer may
        // be lost with it.
        (Expect::Refusal, Err(e)) if e.kind() != ErrorKind::ConnectionReset => Err(e.into()),
        (Expect::Refusal, _) => check_refusal(req, &answer),
        (_, _) => check_any(req, &answer),
    }
}

/// A whole request gets a refusal that says why and that nothing ran.
fn check_refusal(req: &Request, answer: &[u8]) -> anyhow::Result<()> {
    if answer.is_empty() && req.is_oversized() {
        return Ok(());
    }
    let text = String::from_utf8_lossy(answer);
    let status = text.split(' ').nth(1).unwrap_or_default();
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let json: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    let is_typed = json["error"]["code"].is_string() && json["error"]["not_run"] == true;
    anyhow::ensure!(is_typed && status.starts_with('4'), "{req:?}: {text}");
    Ok(())
}

/// Bytes that aren't HTTP get an error or a closed connection.
fn check_any(req: &Request, answer: &[u8]) -> anyhow::Result<()> {
    let text = String::from_utf8_lossy(answer);
    anyhow::ensure!(!text.starts_with("HTTP/1.1 2"), "{req:?}: {text}");
    anyhow::ensure!(!text.starts_with("HTTP/1.1 5"), "{req:?}: {text}");
    Ok(())
}

// Callers send whatever their libraries and their bugs make of a request. One that crashes the
// router takes down the calls of everyone on that VM; one that slips through runs something
// that nobody asked for.
#[test]
fn malformed_requests_are_refused_and_run_nothing() -> anyhow::Result<()> {
    run(async {
        let mut site = site().start().await?;
        let addr = site.router("r1");
        println!("seed {SEED}");
        let callers: Vec<_> = (0..N_CALLERS as u64)
            .map(|n| {
                thread::spawn(move || {
                    let mut rng = Pcg64Mcg::seed_from_u64(SEED + n);
                    (0..N_REQUESTS / N_CALLERS)
                        .try_for_each(|_| make(addr, &request::malformed(&mut rng)))
                })
            })
            .collect();
        for caller in callers {
            caller.join().expect("a caller doesn't panic")?;
        }
        assert!(site.engine("e1").runs().await?.is_empty());
        assert!(site.service("s1").calls().await?.is_empty());
        assert!(site.platform.rows("claims").await?.is_empty());
        assert_serves(&mut site, "after").await
    })
}

// A caller sends the head of a request and never the rest, many times over. Each would hold the
// router's memory for good, and a shutdown would wait for it.
#[test]
fn a_body_that_never_comes_is_given_up_at_the_deadline() -> anyhow::Result<()> {
    run(async {
        let mut site = site().start().await?;
        let mut stream = TcpStream::connect(site.router("r1"))?;
        stream.set_read_timeout(Some(ANSWER_LIMIT))?;
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\
                    authorization: Bearer key-main\r\nx-curranthook-deadline-ms: 300\r\n\
                    content-length: 100\r\n\r\n{\"model\":";
        stream.write_all(head.as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        assert!(answer.contains("\"deadline\""), "{answer}");
        assert!(answer.contains("\"not_run\":true"), "{answer}");
        assert_serves(&mut site, "after").await
    })
}

// The engine answers with garbage: broken HTTP, broken events, an end that never comes. The
// caller gets an error that leaves open whether it ran, and nobody else notices anything.
#[test]
fn garbage_from_endpoints_is_refused() -> anyhow::Result<()> {
    run(async {
        let garbage = garbage::listen()?;
        let builder = site().engine("bad", &["bad@1"]).service("bad-s", "bad");
        let builder = builder.config(move |config| {
            for (id, endpoint) in &mut config.endpoints {
                if id.as_str().starts_with("bad") {
                    endpoint.address = garbage;
                }
            }
        });
        let mut site = builder.start().await?;
        for n in 0..2 * garbage::N_KINDS {
            let deadline = |chat: Chat| chat.with_header(header::DEADLINE_MS, "1000");
            let chat = deadline(Chat::new("main", "bad@1", &format!("crate {n}")));
            let chat = if n % 2 == 0 { chat } else { chat.streamed() };
            let answer = chat.send(&site.router("r1")).await?;
            assert!(!answer.is_whole(), "{answer:?}");
            assert_ne!(answer.refusal().map(|it| it.not_run), Some(Run::Ran), "{answer:?}");
            let post = Call::post("main", "bad", "crates").with_idempotency_key(&format!("k{n}"));
            let post = post.with_header(header::DEADLINE_MS, "1000");
            let answer = post.send(&site.router("r1")).await?;
            if let Some(refusal) = answer.refusal() {
                assert_eq!(refusal.not_run, Run::Unknown, "{answer:?}");
            }
        }
        assert_serves(&mut site, "after").await
    })
}

// Guards against an answer of a service that is taken for a whole one, or repeated, although its head
// doesn't tell where its body ends.
#[test]
fn broken_framing_of_services_is_refused() -> anyhow::Result<()> {
    assert_refused(garbage::BROKEN_FRAMING)
}

// The same, as the head has lost the field that tells it.
#[test]
fn lost_framing_of_services_is_refused() -> anyhow::Result<()> {
    // Connections other than those of the calls get answers, too.
    garbage::LOST_FRAMING.chunks(1).try_for_each(assert_refused)
}

fn assert_refused(answers: &'static [&'static [u8]]) -> anyhow::Result<()> {
    run(async {
        let broken = garbage::listen_with(answers)?;
        let builder = site().service("bad-s", "bad").config(move |config| {
            let bad = config.endpoints.iter_mut().find(|(id, _)| id.as_str() == "bad-s");
            bad.expect("it was added").1.address = broken;
        });
        let mut site = builder.start().await?;
        for n in 0..answers.len() {
            let post = Call::post("main", "bad", "crates").with_idempotency_key(&format!("k{n}"));
            let answer = post.send(&site.router("r1")).await?;
            let refusal = answer.refusal().expect("a typed refusal");
            assert_eq!(refusal.not_run, Run::Unknown, "{answer:?}");
        }
        assert_serves(&mut site, "after").await
    })
}

// The engine sends without end, and never ends an event. A router that keeps all of it for the
// event's sake runs out of memory, and with it goes everybody's work on that VM.
#[test]
fn an_endless_event_is_given_up() -> anyhow::Result<()> {
    run(async {
        const MOST_KIB: u64 = 128 * 1024;
        let endless = garbage::listen_endless()?;
        let builder = site().engine("bad", &["bad@1"]).config(move |config| {
            let bad = config.endpoints.iter_mut().find(|(id, _)| id.as_str() == "bad");
            bad.expect("it was added").1.address = endless;
        });
        let mut site = builder.start().await?;
        let chat = Chat::new("main", "bad@1", "crate 7").with_header(header::DEADLINE_MS, "5000");
        let answer = chat.send(&site.router("r1")).await?;
        let refusal = answer.refusal().expect("a typed refusal");
        assert_eq!(refusal.code, Reason::EndpointFailed, "{refusal:?}");
        assert_eq!(refusal.not_run, Run::Unknown, "{refusal:?}");
        let most = peak_memory_kib(site.router_process("r1").pid())?;
        assert!(most < MOST_KIB, "the router took {most} KiB");
        assert_serves(&mut site, "after").await
    })
}

/// The most memory that a process has held.
fn peak_memory_kib(pid: u32) -> anyhow::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
    let number = line.and_then(|it| it.split_whitespace().next());
    Ok(number.unwrap_or_default().parse()?)
}

// The platform answers with garbage. Postings are refused, since nobody may send without a
// claim; chats don't need the platform and go on.
#[test]
fn garbage_from_the_platform_is_refused() -> anyhow::Result<()> {
    run(async {
        let mut site = site().behind_proxy().start().await?;
        site.proxy().set_mode("platform/r1", link::Mode::Cut).await?;
        let fault = link::Fault { target: Some(garbage::listen()?), ..Default::default() };
        site.proxy().set("platform/r1", &fault).await?;
        for n in 0..2 * garbage::N_KINDS {
            let answer = posting(&format!("k{n}")).send(&site.router("r1")).await?;
            let refusal = answer.refusal().expect("a typed refusal");
            assert_eq!(refusal.code, Reason::PlatformDown, "{refusal:?}");
            assert_eq!(refusal.not_run, Run::Not, "{refusal:?}");
            let answer = Chat::new("main", "m", "weigh crate 7").send(&site.router("r1")).await?;
            assert!(answer.is_whole(), "{answer:?}");
        }
        assert!(site.service("s1").calls().await?.is_empty());
        let mended = link::Fault { target: Some(site.platform.addr()), ..Default::default() };
        site.proxy().set_mode("platform/r1", link::Mode::Cut).await?;
        site.proxy().set("platform/r1", &mended).await?;
        assert_serves(&mut site, "after").await
    })
}

// Somebody wrote garbage into the rows that hold the outcomes of postings. Whoever comes with
// such a key is refused; the router lives on and sends nothing.
#[test]
fn garbage_in_a_claims_row_is_refused() -> anyhow::Result<()> {
    run(async {
        let mut site = site().start().await?;
        let done = |status: u32, content_type: &str| {
            let state = serde_json::json!({"done": {
                "status": status, "content_type": content_type, "body": "e30=",
            }});
            let call = hex(&call_digest(b"{\"crate\":\"row\"}"));
            serde_json::json!({"claim": "x", "call": call, "state": state}).to_string()
        };
        let rows = ["".to_owned(), "{}".to_owned(), "[[[".to_owned(), "\u{0}".to_owned()];
        let rows = rows.into_iter().chain([done(9, "text/plain"), done(200, "a\nb")]);
        for (n, row) in rows.enumerate() {
            let key = format!("row{n}");
            let table = site.platform.client();
            Table::insert(&table, "claims", &row_key(&key), row.into_bytes().into()).await?;
            let call = posting(&key).with_body("{\"crate\":\"row\"}");
            let answer = call.send(&site.router("r1")).await?;
            assert!(answer.refusal().is_some(), "{answer:?}");
        }
        assert!(site.service("s1").calls().await?.is_empty());
        assert_serves(&mut site, "after").await
    })
}

/// The row of an idempotency key of the account `main` at the service `ledger`.
fn row_key(key: &str) -> String {
    let parts: [&[u8]; 3] = [b"main", b"ledger", key.as_bytes()];
    hex(&digest(&parts))
}

/// What tells a posting to the ledger with this body from others.
fn call_digest(body: &[u8]) -> [u8; 32] {
    digest(&[b"POST", b"/crates", body])
}

fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update(part.len().to_be_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|it| format!("{it:02x}")).collect()
}
