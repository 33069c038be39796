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
    program::millis,
};

use super::{
    Engine,
    answer::{self, Answer},
    profile::Version,
    record::{self, Outcome, Run},
    set_header,
    slots::Permit,
};

/// How long the server gets to flush the tokens before a stream is cut.
const FLUSH_PAUSE: Duration = Duration::from_millis(5);

/// A request that occupies a batch slot.
#[derive(Debug)]
struct Job {
    engine: Arc<Engine>,
    permit: Permit,
    entry: record::Entry,
    /// The request id in the response; the `foreign_id` fault substitutes another one.
    id: String,
    answer: Answer,
    version: String,
    speed: Version,
    from: u64,
    prompt_tokens: u64,
    cut_after: Option<u64>,
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
    pub(super) async fn work(&self, req: &Request) -> http::Response<Body> {
        let chat: chat::Request = match req.json() {
            Ok(chat) => chat,
            Err(e) => return e.answer(),
        };
        if !self.loaded.lock().contains(&chat.model) {
            return self.not_started(404, "the version isn't loaded");
        }
        if self.refuses() {
            return self.not_started(503, "not taking work");
        }
        let prompt = answer::prompt(&chat);
        let dies_on = self.faults.lock().die_on.clone();
        if dies_on.is_some_and(|text| prompt.contains(&text)) {
            process::abort();
        }
        let own_id = self.request_id(req);
        let speed = self.speed(&chat.model);
        let is_good = answer::difficulty(&prompt) < speed.quality;
        let answer = Answer::new(&own_id, &chat.model, is_good, speed.tokens, chat.max_tokens);
        let from = req.number(header::RESUME_FROM).unwrap_or(0);
        let priority = req.number(header::PRIORITY).unwrap_or(0);
        let entry = self.record.begin(|started_millis| Run {
            request_id: own_id.clone(),
            version: chat.model.clone(),
            prompt_hash: format!("{:016x}", hash::of(&[&prompt])),
            started_millis,
            finished_millis: None,
            outcome: Outcome::Running,
            from_token: from,
            tokens: 0,
            good: is_good,
            priority,
        });
        let Ok(permit) = self.slots.acquire(priority).await else {
            entry.close(Outcome::Refused);
            return self.not_started(503, "the queue is full");
        };
        let (id, cut_after, has_end_marker) = {
            let mut faults = self.faults.lock();
            let id = if faults.foreign_id.strikes() { format!("not-{own_id}") } else { own_id };
            (id, faults.cut(), !faults.no_end_marker.strikes())
        };
        let job = Job {
            engine: self.me.upgrade().expect("a call is made on a living engine"),
            permit,
            entry,
            id,
            answer,
            speed,
            from,
            prompt_tokens: n_words(&prompt),
            cut_after,
            has_end_marker,
            version: chat.model.clone(),
        };
        job.run(&chat).await
    }

    fn refuses(&self) -> bool {
        let is_full = self.slots.is_full();
        let mut faults = self.faults.lock();
        faults.leaving || is_full || faults.refuse.strikes()
    }

    fn request_id(&self, req: &Request) -> String {
        match req.header(header::REQUEST_ID) {
            Some(id) => id.to_owned(),
            None => {
                format!("{}-unnamed-{}", self.id, self.n_unnamed.fetch_add(1, Ordering::Relaxed))
            }
        }
    }

    fn speed(&self, version: &str) -> Version {
        self.faults.lock().over(version, self.profile.version(version))
    }
}

impl Job {
    async fn run(self, chat: &chat::Request) -> http::Response<Body> {
        let (hangs, late) = {
            let mut faults = self.engine.faults.lock();
            (faults.hang_before_head.strikes(), Duration::from_millis(faults.answer_late_ms))
        };
        if hangs {
            return future::pending().await;
        }
        self.pause(self.first_token_time(chat)).await;
        self.pause(late).await;
        let draw = hash::fraction(&["error", &self.id, &self.engine.id]);
        if draw < self.speed.error_rate {
            self.entry.close(Outcome::Failed);
            return self.engine.with_state(app::error(500, "the engine failed"));
        }
        let (id, engine) = (self.id.clone(), Arc::clone(&self.engine));
        let res = if chat.stream { self.stream() } else { self.whole().await };
        let mut res = engine.with_state(res);
        set_header(&mut res, header::REQUEST_ID, &id);
        res
    }

    /// The time to the first token; a prefix cache hit halves it.
    fn first_token_time(&self, chat: &chat::Request) -> Duration {
        let prefix = chat.messages.first().map_or("", |it| it.content.as_str());
        let now = self.engine.clock.now();
        let is_hit = self.engine.cache.lock().touch(&self.version, prefix, now);
        let time = millis(self.speed.first_token_ms);
        if is_hit { time / 2 } else { time }
    }

    /// The time per token, which grows with each other request in the batch.
    fn token_time(&self) -> Duration {
        let others = self.engine.slots.n_running().saturating_sub(1);
        let slowdown = 1.0 + self.engine.profile.batch_slowdown * others as f64;
        millis(self.speed.token_ms * slowdown)
    }

    async fn pause(&self, time: Duration) {
        if !time.is_zero() {
            Timer::after(time).await;
        }
    }

    /// Whether the cut fault applies after the tokens generated so far.
    fn is_cut(&self) -> bool {
        self.cut_after.is_some_and(|after| after <= self.entry.n_tokens())
    }

    async fn whole(mut self) -> http::Response<Body> {
        let n_tokens = self.answer.n_tokens().saturating_sub(self.from);
        if self.cut_after.is_none() && self.token_time().is_zero() {
            self.entry.add_tokens(n_tokens);
        } else {
            for _ in 0..n_tokens {
                if self.is_cut() {
                    return self.cut();
                }
                self.pause(self.token_time()).await;
                self.entry.add_tokens(1);
            }
        }
        let text = self.answer.text(self.from);
        let message = chat::Message { role: "assistant".to_owned(), content: text };
        let choice = chat::Choice { message: Some(message), ..self.last_choice() };
        let res = body::json(200, &self.event("chat.completion", choice, Some(self.usage())));
        self.entry.close(Outcome::Done);
        res
    }

    /// A response whose body fails immediately.
    fn cut(self) -> http::Response<Body> {
        self.entry.close(Outcome::Failed);
        let broken = stream::once(Err::<Frame<Bytes>, _>(HangUp.into()));
        http::Response::new(StreamBody::new(broken).boxed_unsync())
    }

    fn stream(mut self) -> http::Response<Body> {
        let body = if self.cut_after.is_none() && self.token_time().is_zero() {
            let text = self.events(self.from, self.answer.n_tokens()) + &self.end();
            self.entry.add_tokens(self.answer.n_tokens().saturating_sub(self.from));
            self.entry.close(Outcome::Done);
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
        let event = self.event("chat.completion.chunk", chat::Choice { delta, ..choice }, usage);
        sse(&serde_json::to_string(&event).expect("an event can be written as JSON"))
    }

    fn end(&self) -> String {
        if self.has_end_marker { sse(chat::END_MARKER) } else { String::new() }
    }

    fn event(
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

type Piece = Result<Frame<Bytes>, body::Error>;

impl Step {
    async fn run(self) -> (Piece, Option<Self>) {
        match self {
            Self::Token(job, n) => next_token(job, n).await,
            Self::End(job) => {
                let text = job.end();
                let Job { entry, permit, .. } = *job;
                entry.close(Outcome::Done);
                drop(permit);
                (Ok(Frame::data(text.into())), None)
            }
        }
    }
}

/// Generates the token at index `n` of this run.
async fn next_token(mut job: Box<Job>, n: u64) -> (Piece, Option<Step>) {
    if job.is_cut() {
        // The server discards unsent data when a body ends with an error. Without the pause, the
        // tokens before the cut would be recorded but never reach the caller.
        Timer::after(FLUSH_PAUSE).await;
        job.entry.close(Outcome::Failed);
        return (Err(HangUp.into()), None);
    }
    let place = job.from + n;
    if job.answer.n_tokens() <= place {
        return (Ok(Frame::data(Bytes::new())), Some(Step::End(job)));
    }
    if 0 < n {
        job.pause(job.token_time()).await;
    }
    job.entry.add_tokens(1);
    let text = job.token_event(place);
    (Ok(Frame::data(text.into())), Some(Step::Token(job, n + 1)))
}

fn sse(data: &str) -> String {
    format!("data: {data}\n\n")
}

fn n_words(text: &str) -> u64 {
    u64::try_from(text.split_whitespace().count()).unwrap_or(u64::MAX)
}
