//! Processes a request from arrival to the last token.

use std::{process, sync::Arc, sync::atomic::Ordering, time::Duration};

use async_io::Timer;
use bytes::Bytes;
use curranthook_http::{Body, body};
use curranthook_types::{chat, header};
use futures_lite::{future, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use crate::{
    app::{self, HangUp, Request},
    hash,
    program::duration_from_millis,
};

use super::{
    Engine,
    answer::{self, Answer},
    profile::Version,
    record::{self, Outcome, Run},
    set_header,
    slots::Permit,
};

/// The delay before a stream is cut, in which the server flushes the tokens generated so far.
const FLUSH_PAUSE: Duration = Duration::from_millis(5);

/// A chat completion that occupies a batch slot.
#[derive(Debug)]
struct Job {
    engine: Arc<Engine>,
    permit: Permit,
    entry: record::Entry,
    /// The request id in the response; the `foreign_id` fault substitutes another one.
    id: String,
    answer: Answer,
    version: String,
    version_profile: Version,
    resume_from: u64,
    prompt_tokens: u64,
    cut_after_tokens: Option<u64>,
    has_end_marker: bool,
}

/// The next step of a streamed response.
#[derive(Debug)]
enum Step {
    Token(Box<Job>, u64),
    End(Box<Job>),
}

impl Engine {
    /// Runs a chat completion.
    pub(super) async fn complete_chat(&self, req: &Request) -> http::Response<Body> {
        let chat: chat::Request = match req.json() {
            Ok(chat) => chat,
            Err(e) => return e.response(),
        };
        if !self.loaded.lock().contains(&chat.model) {
            return self.reject_not_started(404, "the version isn't loaded");
        }
        if self.should_reject() {
            return self.reject_not_started(503, "not taking work");
        }
        let prompt = answer::prompt(&chat);
        let crash_text = self.faults.lock().die_on.clone();
        if crash_text.is_some_and(|text| prompt.contains(&text)) {
            process::abort();
        }
        let own_id = self.request_id(req);
        let version_profile = self.version_profile(&chat.model);
        let is_good = answer::difficulty(&prompt) < version_profile.quality;
        let answer =
            Answer::new(&own_id, &chat.model, is_good, version_profile.tokens, chat.max_tokens);
        let resume_from = req.parsed_header(header::RESUME_FROM).unwrap_or(0);
        let priority = req.parsed_header(header::PRIORITY).unwrap_or(0);
        let entry = self.record.begin(|started_millis| Run {
            request_id: own_id.clone(),
            version: chat.model.clone(),
            prompt_hash: format!("{:016x}", hash::of(&[&prompt])),
            started_millis,
            finished_millis: None,
            outcome: Outcome::Running,
            from_token: resume_from,
            tokens: 0,
            good: is_good,
            priority,
        });
        let Ok(permit) = self.slots.acquire(priority).await else {
            entry.finish(Outcome::Refused);
            return self.reject_not_started(503, "the queue is full");
        };
        let (id, cut_after_tokens, has_end_marker) = {
            let mut faults = self.faults.lock();
            let id = if faults.foreign_id.triggers() { format!("not-{own_id}") } else { own_id };
            (id, faults.next_cut(), !faults.no_end_marker.triggers())
        };
        let job = Job {
            engine: self.weak_self.upgrade().expect("a call is made on a live engine"),
            permit,
            entry,
            id,
            answer,
            version_profile,
            resume_from,
            prompt_tokens: count_words(&prompt),
            cut_after_tokens,
            has_end_marker,
            version: chat.model.clone(),
        };
        job.run(&chat).await
    }

    fn should_reject(&self) -> bool {
        let is_full = self.slots.is_full();
        let mut faults = self.faults.lock();
        faults.leaving || is_full || faults.refuse.triggers()
    }

    fn request_id(&self, req: &Request) -> String {
        match req.header(header::REQUEST_ID) {
            Some(id) => id.to_owned(),
            None => {
                format!("{}-unnamed-{}", self.id, self.n_without_id.fetch_add(1, Ordering::Relaxed))
            }
        }
    }

    fn version_profile(&self, version: &str) -> Version {
        self.faults.lock().apply_to(version, self.profile.version(version))
    }
}

impl Job {
    async fn run(self, chat: &chat::Request) -> http::Response<Body> {
        let (hangs, delay) = {
            let mut faults = self.engine.faults.lock();
            (faults.hang_before_head.triggers(), Duration::from_millis(faults.answer_late_ms))
        };
        if hangs {
            return future::pending().await;
        }
        self.sleep(self.first_token_time(chat)).await;
        self.sleep(delay).await;
        let sample = hash::fraction(&["error", &self.id, &self.engine.id]);
        if sample < self.version_profile.error_rate {
            self.entry.finish(Outcome::Failed);
            return self.engine.with_state_headers(app::error(500, "the engine failed"));
        }
        let (id, engine) = (self.id.clone(), Arc::clone(&self.engine));
        let res = if chat.stream { self.stream_response() } else { self.json_response().await };
        let mut res = engine.with_state_headers(res);
        set_header(&mut res, header::REQUEST_ID, &id);
        res
    }

    /// The time to the first token; a prefix cache hit halves it.
    fn first_token_time(&self, chat: &chat::Request) -> Duration {
        let prefix = chat.messages.first().map_or("", |it| it.content.as_str());
        let now = self.engine.clock.now();
        let is_hit = self.engine.cache.lock().touch(&self.version, prefix, now);
        let time = duration_from_millis(self.version_profile.first_token_ms);
        if is_hit { time / 2 } else { time }
    }

    /// The time per token, which grows with each other request in the batch.
    fn token_time(&self) -> Duration {
        let n_others = self.engine.slots.n_running().saturating_sub(1);
        let slowdown = 1.0 + self.engine.profile.batch_slowdown * n_others as f64;
        duration_from_millis(self.version_profile.token_ms * slowdown)
    }

    async fn sleep(&self, time: Duration) {
        if !time.is_zero() {
            Timer::after(time).await;
        }
    }

    /// Whether the cut fault applies after the tokens generated so far.
    fn is_cut(&self) -> bool {
        self.cut_after_tokens.is_some_and(|n_tokens| n_tokens <= self.entry.n_tokens())
    }

    async fn json_response(mut self) -> http::Response<Body> {
        let n_tokens = self.answer.n_tokens().saturating_sub(self.resume_from);
        if self.cut_after_tokens.is_none() && self.token_time().is_zero() {
            self.entry.add_tokens(n_tokens);
        } else {
            for _ in 0..n_tokens {
                if self.is_cut() {
                    return self.cut_response();
                }
                self.sleep(self.token_time()).await;
                self.entry.add_tokens(1);
            }
        }
        let text = self.answer.text(self.resume_from);
        let message = chat::Message { role: "assistant".to_owned(), content: text };
        let choice = chat::Choice { message: Some(message), ..self.last_choice() };
        let res =
            body::json(200, &self.completion_object("chat.completion", choice, Some(self.usage())));
        self.entry.finish(Outcome::Done);
        res
    }

    /// A response whose body fails immediately.
    fn cut_response(self) -> http::Response<Body> {
        self.entry.finish(Outcome::Failed);
        let broken = stream::once(Err::<Frame<Bytes>, _>(HangUp.into()));
        http::Response::new(StreamBody::new(broken).boxed_unsync())
    }

    fn stream_response(mut self) -> http::Response<Body> {
        let body = if self.cut_after_tokens.is_none() && self.token_time().is_zero() {
            let text = self.events(self.resume_from, self.answer.n_tokens()) + &self.end_event();
            self.entry.add_tokens(self.answer.n_tokens().saturating_sub(self.resume_from));
            self.entry.finish(Outcome::Done);
            body::full(text)
        } else {
            let first = Step::Token(Box::new(self), 0);
            let steps = stream::unfold(Some(first), |step| async { Some(step?.run().await) });
            StreamBody::new(steps).boxed_unsync()
        };
        http::Response::builder()
            .header(http::header::CONTENT_TYPE, "text/event-stream")
            .body(body)
            .expect("the header is valid")
    }

    /// The events for tokens `from..to`; the event of the answer's last token carries the usage.
    fn events(&self, from: u64, to: u64) -> String {
        (from..to).map(|n| self.token_event(n)).collect()
    }

    fn token_event(&self, n: u64) -> String {
        let delta = Some(chat::Delta { content: self.answer.token(n) });
        let is_last = n + 1 == self.answer.n_tokens();
        let choice = if is_last { self.last_choice() } else { chat::Choice::default() };
        let usage = is_last.then(|| self.usage());
        let event = self.completion_object(
            "chat.completion.chunk",
            chat::Choice { delta, ..choice },
            usage,
        );
        sse_event(&serde_json::to_string(&event).expect("an event can be written as JSON"))
    }

    fn end_event(&self) -> String {
        if self.has_end_marker { sse_event(chat::END_MARKER) } else { String::new() }
    }

    fn completion_object(
        &self,
        object: &str,
        choice: chat::Choice,
        usage: Option<chat::Usage>,
    ) -> chat::Answer {
        chat::Answer {
            id: self.id.clone(),
            object: object.to_owned(),
            model: self.version.clone(),
            choices: vec![choice],
            usage,
        }
    }

    fn last_choice(&self) -> chat::Choice {
        let finish_reason = Some(self.answer.finish_reason().to_owned());
        chat::Choice { finish_reason, ..chat::Choice::default() }
    }

    /// Counts the whole answer, even if this run resumed it and generated only the rest.
    fn usage(&self) -> chat::Usage {
        chat::Usage { prompt_tokens: self.prompt_tokens, completion_tokens: self.answer.n_tokens() }
    }
}

type BodyChunk = Result<Frame<Bytes>, body::Error>;

impl Step {
    async fn run(self) -> (BodyChunk, Option<Self>) {
        match self {
            Self::Token(job, n) => next_token(job, n).await,
            Self::End(job) => {
                let text = job.end_event();
                let Job { entry, permit, .. } = *job;
                entry.finish(Outcome::Done);
                drop(permit);
                (Ok(Frame::data(text.into())), None)
            }
        }
    }
}

/// Generates the token at index `n` of this run.
async fn next_token(mut job: Box<Job>, n: u64) -> (BodyChunk, Option<Step>) {
    if job.is_cut() {
        // The server discards unsent data when a body ends with an error. Without the pause, the
        // tokens before the cut would be recorded but never reach the caller.
        Timer::after(FLUSH_PAUSE).await;
        job.entry.finish(Outcome::Failed);
        return (Err(HangUp.into()), None);
    }
    let index = job.resume_from + n;
    if job.answer.n_tokens() <= index {
        return (Ok(Frame::data(Bytes::new())), Some(Step::End(job)));
    }
    if 0 < n {
        job.sleep(job.token_time()).await;
    }
    job.entry.add_tokens(1);
    let text = job.token_event(index);
    (Ok(Frame::data(text.into())), Some(Step::Token(job, n + 1)))
}

fn sse_event(data: &str) -> String {
    format!("data: {data}\n\n")
}

fn count_words(text: &str) -> u64 {
    u64::try_from(text.split_whitespace().count()).unwrap_or(u64::MAX)
}
