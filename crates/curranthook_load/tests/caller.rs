//! How the load client interprets the responses of a small in-process server.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use curranthook_http::{client::Pool, runtime};
use curranthook_load::{
    client::{Call, Client},
    direct::{self, Load, Mode, Template},
    sample::{Failure, Mark, Outcome},
};
use curranthook_types::{clock, refusal};
use yare::parameterized;

/// Starts a server that accepts one connection and returns the same response after `delay`, with
/// the request ID in place of `ID`. Its thread ends with the connection.
fn start_server(response: CannedResponse, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 4096];
        // Each request fits in one read.
        while let Ok(n @ 1..) = stream.read(&mut buf) {
            let head = String::from_utf8_lossy(&buf[..n]).into_owned();
            let id = head.lines().find_map(|it| it.strip_prefix("x-request-id: "));
            thread::sleep(delay);
            if stream.write_all(response.text(id.unwrap_or("none")).as_bytes()).is_err() {
                break;
            }
        }
    });
    addr
}

struct CannedResponse {
    status: &'static str,
    headers: &'static str,
    body: String,
}

impl CannedResponse {
    fn text(&self, id: &str) -> String {
        let body = self.body.replace("ID", id);
        let (status, headers, length) = (self.status, self.headers, body.len());
        format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}")
    }
}

fn stream_response(body: String) -> CannedResponse {
    CannedResponse { status: "200 OK", headers: "content-type: text/event-stream\r\n", body }
}

fn refusal_response(reason: refusal::Reason) -> CannedResponse {
    let body = refusal::Refusal::not_run(reason, "busy").body();
    CannedResponse { status: "503 Busy", headers: "", body }
}

fn event(id: &str, token: &str) -> String {
    let event = serde_json::json!({
        "id": id, "object": "chat.completion.chunk", "model": "m@1",
        "choices": [{"index": 0, "delta": {"content": token}}],
    });
    format!("data: {event}\n\n")
}

fn call(addr: SocketAddr, scheduled: Instant, timeout: Duration) -> Outcome {
    let req = http::Request::post("/v1/chat/completions").header("host", "test");
    let call = Call {
        addr,
        req: req.body(Bytes::from_static(b"{}")).unwrap(),
        expected_id: Some("r1".to_owned()),
        scheduled,
        timeout,
    };
    runtime::run(1, |ex| async move {
        Client::new(Arc::new(Pool::new(ex, Arc::new(clock::System)))).run(call).await
    })
}

const TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn complete_stream_is_an_answer() {
    let events = event("r1", "[bad]") + &event("r1", " 12") + "data: [DONE]\n\n";
    let addr = start_server(stream_response(events), Duration::ZERO);
    let Outcome::Answered(answer) = call(addr, Instant::now(), TIMEOUT) else {
        panic!("the stream was complete");
    };
    assert_eq!(answer.mark, Some(Mark::Bad));
    assert_eq!(answer.version, Some("m@1".into()));
    assert_eq!(answer.gaps.len(), 1);
}

#[parameterized(
    no_end_marker = { event("r1", "[good]"), Failure::CutOff },
    other_request_id = { event("r2", "[good]") + "data: [DONE]\n\n", Failure::Foreign },
)]
fn stream_that_is_foreign_or_incomplete_fails(events: String, failure: Failure) {
    let addr = start_server(stream_response(events), Duration::ZERO);
    let outcome = call(addr, Instant::now(), TIMEOUT);
    assert!(matches!(&outcome, Outcome::Failed(it) if *it == failure), "{outcome:?}");
}

#[test]
fn refusal_keeps_reason_and_execution_state() {
    let addr = start_server(refusal_response(refusal::Reason::Overloaded), Duration::ZERO);
    let outcome = call(addr, Instant::now(), TIMEOUT);
    let expected = (refusal::Reason::Overloaded, refusal::Run::Not);
    assert!(
        matches!(&outcome, Outcome::Refused(reason, run) if (*reason, *run) == expected),
        "{outcome:?}"
    );
}

/// A router that aborts a stream after the response head can't change the status; it sends the
/// reason in the last event. Counting such requests as cut off would hide that they were refused.
#[test]
fn refusal_in_last_stream_event_is_a_refusal() {
    let refused = refusal::Refusal::unknown(refusal::Reason::Deadline, "too late").body();
    let events = event("r1", "[good]") + &format!("data: {refused}\n\n");
    let addr = start_server(stream_response(events), Duration::ZERO);
    let outcome = call(addr, Instant::now(), TIMEOUT);
    let expected = (refusal::Reason::Deadline, refusal::Run::Unknown);
    assert!(
        matches!(&outcome, Outcome::Refused(reason, run) if (*reason, *run) == expected),
        "{outcome:?}"
    );
}

#[test]
fn silent_server_ends_in_a_timeout() {
    let addr = start_server(stream_response(String::new()), TIMEOUT);
    let outcome = call(addr, Instant::now(), Duration::from_millis(100));
    assert!(matches!(outcome, Outcome::Failed(Failure::Timeout)), "{outcome:?}");
}

#[test]
fn latency_counts_from_the_scheduled_time() {
    const SEND_DELAY: Duration = Duration::from_millis(300);
    let events = event("r1", "[good]") + "data: [DONE]\n\n";
    let addr = start_server(stream_response(events), Duration::ZERO);
    let scheduled = Instant::now().checked_sub(SEND_DELAY).unwrap();
    let Outcome::Answered(answer) = call(addr, scheduled, TIMEOUT) else {
        panic!("the stream was complete");
    };
    assert!(SEND_DELAY <= answer.first_token.unwrap(), "the time before sending counts");
}

/// The server responds every 50 ms on a single connection, but calls are scheduled every 10 ms.
/// Latency measured from the actual send time would be 50 ms and hide that callers wait longer and
/// longer. Measured from the scheduled time, the last call has the highest latency.
#[test]
fn slow_server_does_not_delay_scheduled_arrivals() {
    const RESPONSE_DELAY: Duration = Duration::from_millis(50);
    let body = serde_json::json!({
        "id": "ID", "object": "chat.completion", "model": "m@1", "choices": [],
    });
    let response = CannedResponse { status: "200 OK", headers: "", body: body.to_string() };
    let addr = start_server(response, RESPONSE_DELAY);
    let load = load(addr);
    let n_arrivals = load.arrivals().len() as u64;
    let outcomes = runtime::run(1, |ex| async move { direct::run(&ex, load).await });
    assert_eq!(outcomes.answered, n_arrivals, "all were sent, though late: {outcomes:?}");
    let expected = RESPONSE_DELAY.as_secs_f64() * 1_000.0 * n_arrivals as f64 - 500.0;
    assert!(0.9 * expected < outcomes.whole.max, "the queueing delay counts: {outcomes:?}");
}

fn load(target: SocketAddr) -> Load {
    let template = Template {
        key: "key-test".to_owned(),
        model: "auto".to_owned(),
        kind: "summary".to_owned(),
        text: "How much?".to_owned(),
        stream: false,
    };
    let duration = Duration::from_millis(500);
    Load { target, mode: Mode::Open(100.0), duration, n_connections: 1, template, seed: 1 }
}
