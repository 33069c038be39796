//! Malformed requests, drawn at random from a seed.

use rand::{RngExt, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;

/// More than the router reads of a body or of a head.
const OVERSIZE_BODY: usize = 1024 * 1024 + 1;
const OVERSIZE_HEAD: usize = 256 * 1024;

/// What follows a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Expect {
    /// A typed refusal.
    Refusal,
    /// An error or a closed connection, as for bytes that aren't HTTP.
    Any,
    /// The caller doesn't wait.
    Nothing,
}

/// Bytes for the router.
pub(super) struct Request {
    /// The bytes.
    pub(super) bytes: Vec<u8>,
    /// What follows.
    pub(super) expect: Expect,
}

impl std::fmt::Debug for Request {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        const SHOWN: usize = 600;
        let start = &self.bytes[..self.bytes.len().min(SHOWN)];
        write!(f, "{:?}: {}", self.expect, String::from_utf8_lossy(start))
    }
}

impl Request {
    /// Whether the router may close the connection before it has read all.
    pub(super) fn is_oversized(&self) -> bool {
        OVERSIZE_HEAD < self.bytes.len()
    }
}

/// A malformed request.
pub(super) fn malformed(rng: &mut Pcg64Mcg) -> Request {
    match rng.random_range(0..100) {
        0..30 => refused(chat(&bad_body(rng))),
        30..45 => refused(bad_header(rng)),
        45..60 => refused(bad_target(rng)),
        60..75 => mutated(rng),
        75..85 => noise(rng),
        85..97 => half(rng),
        97..99 => refused(chat(&vec![b' '; OVERSIZE_BODY])),
        _ => Request { bytes: big_head(), expect: Expect::Any },
    }
}

fn refused(bytes: Vec<u8>) -> Request {
    Request { bytes, expect: Expect::Refusal }
}

fn http(method: &str, target: &str, headers: &[(&str, &[u8])], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {target} HTTP/1.1\r\nhost: r\r\n").into_bytes();
    bytes.extend_from_slice(b"connection: close\r\n");
    for (name, value) in headers {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

const KEY: (&str, &[u8]) = ("authorization", b"Bearer key-main");
const CHAT: &str = "/v1/chat/completions";
const GOOD: &[u8] = br#"{"model":"m@1","messages":[{"role":"user","content":"crate 7"}]}"#;

fn chat(body: &[u8]) -> Vec<u8> {
    http("POST", CHAT, &[KEY], body)
}

fn bad_body(rng: &mut Pcg64Mcg) -> Vec<u8> {
    const BAD: &[&str] = &[
        "",
        "null",
        "[]",
        "7",
        "\"text\"",
        "{",
        "{}",
        r#"{"model":"m@1"}"#,
        r#"{"messages":[]}"#,
        r#"{"model":"m@1","messages":[]}"#,
        r#"{"model":"m@1","messages":{}}"#,
        r#"{"model":"m@1","messages":["crate 7"]}"#,
        r#"{"model":"m@1","messages":[{"role":"user"}]}"#,
        r#"{"model":"m@1","messages":[{"role":1,"content":2}]}"#,
        r#"{"model":7,"messages":[{"role":"user","content":"a"}]}"#,
        r#"{"model":null,"messages":[{"role":"user","content":"a"}]}"#,
        r#"{"model":"m@1","messages":[{"role":"user","content":"a"}],"max_tokens":-1}"#,
        r#"{"model":"m@1","messages":[{"role":"user","content":"a"}],"max_tokens":1e400}"#,
        r#"{"model":"m@1","messages":[{"role":"user","content":"a"}],"max_tokens":"7"}"#,
        r#"{"model":"m@1","messages":[{"role":"user","content":"a"}],"stream":"yes"}"#,
        r#"{"model":"nobody","messages":[{"role":"user","content":"a"}]}"#,
        r#"{"model":"m@2","messages":[{"role":"user","content":"a"}]}"#,
        r#"{"model":"","messages":[{"role":"user","content":"a"}]}"#,
        r#"{"model":"m@1","model":"m@1","messages":[{"role":"user","content":"a"}]}"#,
        r#"{"model":"m@1","messages":[{"role":"user","content":"\ud800"}]}"#,
    ];
    match rng.random_range(0..6) {
        0 => nested(rng),
        // A good body with its end missing.
        1 => GOOD[..rng.random_range(0..GOOD.len())].to_vec(),
        2 => [GOOD, b"{"].concat(),
        3 => [&GOOD[..40], &[0xff, 0xfe], &GOOD[40..]].concat(),
        _ => BAD.choose(rng).expect("there are some").as_bytes().to_vec(),
    }
}

/// Brackets so deep that a reader which calls itself for each runs out of stack.
fn nested(rng: &mut Pcg64Mcg) -> Vec<u8> {
    let depth = rng.random_range(200..50_000);
    let open = if rng.random() { "[" } else { "{\"a\":" };
    let text = open.repeat(depth);
    if rng.random() {
        return text.into_bytes();
    }
    format!("{{\"model\":\"m@1\",\"messages\":[],\"rest\":{text}").into_bytes()
}

fn bad_header(rng: &mut Pcg64Mcg) -> Vec<u8> {
    let long = vec![b'x'; rng.random_range(201..2_000)];
    let checked = ["x-request-id", "x-curranthook-session", "x-curranthook-kind"];
    let name = checked.choose(rng).copied().expect("there are some");
    let values: [&[u8]; 4] = [b"", b"two words", b"\xc3\xa4", &long];
    let value = *values.choose(rng).expect("there are some");
    let deadlines: [&[u8]; 6] = [b"abc", b"-1", b"1.5", b"", b"0x10", b"99999999999999999999"];
    let deadline = *deadlines.choose(rng).expect("there are some");
    let posting = "/services/ledger/crates";
    match rng.random_range(0..6) {
        0 => http("POST", CHAT, &[KEY, ("x-curranthook-deadline-ms", deadline)], GOOD),
        1 => http("POST", CHAT, &[("authorization", b"Bearer nobody's")], GOOD),
        2 => http("POST", CHAT, &[("authorization", value)], GOOD),
        3 => http("POST", CHAT, &[KEY, ("x-curranthook-session-token", b"forged.token")], GOOD),
        4 => http("POST", posting, &[KEY, ("idempotency-key", value)], b"{}"),
        _ => http("POST", CHAT, &[KEY, (name, value)], GOOD),
    }
}

fn bad_target(rng: &mut Pcg64Mcg) -> Vec<u8> {
    const METHODS: &[&str] = &["GET", "PUT", "DELETE", "PATCH", "OPTIONS", "BREW"];
    const TARGETS: &[&str] = &[
        "/",
        "/v1",
        "/v1/chat",
        "/v1/chat/completions/",
        "//v1/chat/completions",
        "/services",
        "/services/",
        "/services//crates",
        "/services/nobody/crates",
        "/services/ledger%00/crates",
        "/services/LEDGER/crates",
        "/rpc",
        "/control/faults",
        "/v1/../services/ledger",
        "/%ff%fe",
        "/?a=b&&&===",
    ];
    let target = TARGETS.choose(rng).expect("there are some");
    match rng.random_range(0..4) {
        // A posting without a key.
        0 => http("POST", "/services/ledger/crates", &[KEY], b"{}"),
        1 => http(METHODS.choose(rng).expect("there are some"), CHAT, &[KEY], GOOD),
        2 => http("POST", target, &[KEY], GOOD),
        _ => http(METHODS.choose(rng).expect("there are some"), target, &[KEY], b""),
    }
}

/// A request that is wrong anyway, with some of its bytes changed, doubled or missing.
fn mutated(rng: &mut Pcg64Mcg) -> Request {
    let mut bytes = chat(br#"{"model":"m@1","messages":[]}"#);
    for _ in 0..rng.random_range(1..8) {
        let place = rng.random_range(0..bytes.len());
        match rng.random_range(0..3) {
            0 => bytes[place] = rng.random(),
            1 => bytes.insert(place, rng.random()),
            _ => drop(bytes.remove(place)),
        }
    }
    Request { bytes, expect: Expect::Any }
}

fn noise(rng: &mut Pcg64Mcg) -> Request {
    let n_bytes = rng.random_range(1..2_000);
    let mut bytes: Vec<u8> = (0..n_bytes).map(|_| rng.random()).collect();
    if rng.random() {
        bytes.splice(0..0, *b"POST / HTTP/1.1\r\n");
    }
    Request { bytes, expect: Expect::Any }
}

/// A good request that its caller breaks off.
fn half(rng: &mut Pcg64Mcg) -> Request {
    let whole = chat(GOOD);
    let n_bytes = rng.random_range(0..whole.len());
    Request { bytes: whole[..n_bytes].to_vec(), expect: Expect::Nothing }
}

fn big_head() -> Vec<u8> {
    let value = vec![b'x'; OVERSIZE_HEAD];
    http("POST", CHAT, &[KEY, ("x-big", &value)], GOOD)
}
