//! Calls as a caller makes them.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use anyhow::Context;
use bytes::Bytes;
use curranthook_http::{
    client::{Connection, Freshness, response},
    timeout,
};
use curranthook_types::{Refusal, chat, header};
use http::HeaderMap;
use http_body_util::BodyExt;

use crate::pool;

/// How long a caller waits for a whole answer.
const LIMIT: Duration = Duration::from_secs(60);

/// The key of `account`, whose hash the site's configuration holds.
pub fn key(account: &str) -> String {
    format!("key-{account}")
}

/// A chat completion.
#[derive(Debug, Clone)]
pub struct Chat {
    call: Call,
    body: chat::Request,
}

impl Chat {
    /// A request for a whole answer.
    pub fn new(account: &str, model: &str, prompt: &str) -> Self {
        let message = chat::Message { role: "user".to_owned(), content: prompt.to_owned() };
        let body = chat::Request {
            model: model.to_owned(),
            messages: vec![message],
            stream: false,
            max_tokens: None,
            rest: serde_json::Map::new(),
        };
        Self { call: Call::new(account, http::Method::POST, "/v1/chat/completions"), body }
    }

    /// Asks for a stream.
    pub fn streamed(mut self) -> Self {
        self.body.stream = true;
        self
    }

    /// Sets the most tokens that the answer may have.
    pub fn with_max_tokens(mut self, n: u64) -> Self {
        self.body.max_tokens = Some(n);
        self
    }

    /// Sets a header.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.call = self.call.with_header(name, value);
        self
    }

    /// Sets the request's id.
    pub fn with_id(self, id: &str) -> Self {
        self.with_header(header::REQUEST_ID, id)
    }

    /// Sends it to `router` and returns once the head of the answer is there.
    pub async fn open(&self, router: &SocketAddr) -> anyhow::Result<Stream> {
        let body = serde_json::to_vec(&self.body)?;
        self.call.clone().with_body(body).open(router).await
    }

    /// Sends it to `router` and reads the answer to its end.
    pub async fn send(&self, router: &SocketAddr) -> anyhow::Result<Answer> {
        timeout::run(LIMIT, async { self.open(router).await?.finish().await }).await?
    }
}

/// A call of any kind.
#[derive(Debug, Clone)]
pub struct Call {
    method: http::Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

impl Call {
    /// A call of the path `path`.
    pub fn new(account: &str, method: http::Method, path: &str) -> Self {
        let headers = vec![("authorization", format!("Bearer {}", key(account)))];
        Self { method, path: path.to_owned(), headers, body: Bytes::new() }
    }

    /// A `POST` to a plain service, `path` without its first slash.
    pub fn post(account: &str, service: &str, path: &str) -> Self {
        Self::new(account, http::Method::POST, &format!("/services/{service}/{path}"))
    }

    /// Sets a header, in place of an earlier one of that name.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(other, _)| *other != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Sets the request's id.
    pub fn with_id(self, id: &str) -> Self {
        self.with_header(header::REQUEST_ID, id)
    }

    /// Sets the idempotency key.
    pub fn with_idempotency_key(self, key: &str) -> Self {
        self.with_header(header::IDEMPOTENCY_KEY, key)
    }

    /// Sets the body.
    pub fn with_body(self, body: impl Into<Bytes>) -> Self {
        Self { body: body.into(), ..self }
    }

    /// Sends it to `router` and returns once the head of the answer is there.
    pub async fn open(&self, router: &SocketAddr) -> anyhow::Result<Stream> {
        let start = Instant::now();
        let mut req = http::Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(http::header::HOST, router.to_string());
        for (name, value) in &self.headers {
            req = req.header(*name, value);
        }
        let req = req.body(self.body.clone())?;
        let mut conn = pool().take(*router, Freshness::New).await?;
        let (head, body) = conn.send(req).await?.into_parts();
        let answer = Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            head_after: start.elapsed(),
            body: Vec::new(),
            events: Vec::new(),
            broken: None,
        };
        Ok(Stream { answer, start, body, _conn: conn })
    }

    /// Sends it to `router` and reads the answer to its end.
    pub async fn send(&self, router: &SocketAddr) -> anyhow::Result<Answer> {
        timeout::run(LIMIT, async { self.open(router).await?.finish().await }).await?
    }
}

/// An answer that is still coming. Dropping it closes the connection.
#[derive(Debug)]
pub struct Stream {
    answer: Answer,
    start: Instant,
    body: response::Body,
    _conn: Connection,
}

/// An event of a stream.
#[derive(Debug, Clone)]
pub struct Event {
    /// When it came, counted from the call.
    pub after: Duration,
    /// Its data.
    pub data: String,
}

/// An answer as far as it came.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// When its head came, counted from the call.
    pub head_after: Duration,
    /// The body as it came.
    pub body: Vec<u8>,
    /// The events of a stream, in the order in which they came.
    pub events: Vec<Event>,
    /// Why it broke off, if it did.
    pub broken: Option<String>,
}

impl Stream {
    /// What has come so far.
    pub fn so_far(&self) -> &Answer {
        &self.answer
    }

    /// Reads the next piece; `false` at the end.
    pub async fn read(&mut self) -> bool {
        match self.body.frame().await {
            None => false,
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.answer.add(data, self.start.elapsed());
                }
                true
            }
            Some(Err(e)) => {
                self.answer.broken = Some(e.to_string());
                false
            }
        }
    }

    /// Reads until at least `n` events have come; an error if the answer ends before.
    pub async fn read_events(&mut self, n: usize) -> anyhow::Result<()> {
        while self.answer.events.len() < n {
            let has_more = timeout::run(LIMIT, self.read()).await?;
            anyhow::ensure!(has_more, "the answer ended: {:?}", self.answer);
        }
        Ok(())
    }

    /// Reads to the end.
    pub async fn finish(mut self) -> anyhow::Result<Answer> {
        let read_all = async { while self.read().await {} };
        timeout::run(LIMIT, read_all).await.context("the answer has no end")?;
        Ok(self.answer)
    }
}

impl Answer {
    fn add(&mut self, data: &[u8], after: Duration) {
        self.body.extend_from_slice(data);
        if !self.is_stream() {
            return;
        }
        let text = String::from_utf8_lossy(&self.body).into_owned();
        // What follows the last blank line is an event still under way.
        let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
        let all = whole.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
        let new = all.skip(self.events.len()).map(|data| Event { after, data: data.to_owned() });
        let new: Vec<_> = new.collect();
        self.events.extend(new);
    }

    /// Whether it is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.header("content-type").is_some_and(|it| it.starts_with("text/event-stream"))
    }

    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The body as JSON.
    pub fn json(&self) -> anyhow::Result<serde_json::Value> {
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// The refusal, if it is one.
    pub fn refusal(&self) -> Option<Refusal> {
        #[derive(Debug, serde::Deserialize)]
        struct Body {
            error: Refusal,
        }
        serde_json::from_slice::<Body>(&self.body).ok().map(|body| body.error)
    }

    /// The pieces of the answer: one for a whole answer, one an event for a stream.
    pub fn pieces(&self) -> Vec<chat::Answer> {
        if !self.is_stream() {
            return serde_json::from_slice(&self.body).into_iter().collect();
        }
        self.events.iter().filter_map(|event| serde_json::from_str(&event.data).ok()).collect()
    }

    /// The text.
    pub fn text(&self) -> String {
        let choices = self.pieces().into_iter().flat_map(|piece| piece.choices);
        choices
            .map(|it| it.message.map(|it| it.content).or(it.delta.map(|it| it.content)))
            .fold(String::new(), |text, piece| text + piece.as_deref().unwrap_or_default())
    }

    /// Whether nothing is missing: a stream up to its end marker, or a whole answer.
    pub fn is_whole(&self) -> bool {
        if self.status != 200 || self.broken.is_some() {
            return false;
        }
        if self.is_stream() {
            return self.events.last().is_some_and(|event| event.data == chat::END_MARKER);
        }
        !self.pieces().is_empty()
    }
}
