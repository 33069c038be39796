//! Chat requests, from the parsed body to the answer.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use curranthook_http::{Body, body};
use curranthook_policy::choice::{Plan, Sample};
use curranthook_types::{
    Refusal, chat,
    chat::{END_MARKER, Usage},
    header,
    refusal::Reason,
    retry, session, version,
};
use futures_lite::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use crate::{
    Router,
    admit::Chat,
    bill::Cost,
    call::Call,
    choose::{self, Question},
    pin::Pin,
    rate,
    router::InFlight,
    snapshot::Snapshot,
    source::{Item, Piece, Source},
    token,
};

/// Answers a chat request.
pub async fn run(
    router: &Arc<Router>,
    snapshot: &Arc<Snapshot>,
    chat: Chat,
    in_flight: InFlight,
) -> Result<Response<Body>, Refusal> {
    if router.node.poison().is_poison(&chat.ask.fingerprint) {
        return Err(Refusal::not_run(Reason::Poison, "endpoints died under this request"));
    }
    let (plan, session) = plan(router, snapshot, &chat).await?;
    router.metrics.count(&format!("choice.{}", plan.reason.name()));
    let call = Call::new(router, snapshot, chat);
    let answer = Answer {
        router: Arc::clone(router),
        snapshot: Arc::clone(snapshot),
        call,
        cost: Cost::default(),
        sample: plan.sample,
        stage: Stage::Direct,
        began: router.clock.now(),
        session,
        text: String::new(),
        _in_flight: in_flight,
    };
    match plan.second {
        Some(then) => answer.cascade(plan.first, then).await,
        None => answer.direct(plan.first).await,
    }
}

/// Which version to ask, and the session that it's the version of.
async fn plan(
    router: &Arc<Router>,
    snapshot: &Snapshot,
    chat: &Chat,
) -> Result<(Plan, Option<session::Id>), Refusal> {
    let keys = &snapshot.config().session_keys;
    let pin = router.pins.find(&chat.ask, keys, router.clock.unix_millis()).await?;
    if let Pin::Held(session, version) = &pin {
        let account = snapshot.account_settings(&chat.ask.account);
        let may_move = account.is_some_and(|it| it.sessions_may_move);
        match choose::pinned(snapshot, chat, version) {
            // Both promises hold: the session keeps its version, and the withdrawn version gets
            // no work. Only an account that asked for it has its sessions moved.
            Err(e) if e.code == Reason::PinnedWithdrawn && may_move => {}
            pinned => return pinned.map(|plan| (plan, Some(session.clone()))),
        }
    }
    let versions = choose::allowed(snapshot, chat)?;
    let versions = choose::staged(snapshot, versions, choose::key(chat, &pin));
    let versions = choose::trusted(versions, |it| router.node.suspects().contains(it));
    let question = Question::new(snapshot, chat, &versions);
    let time_left = chat.ask.time_left(router.clock.now());
    let rater = router.rater.state(snapshot.config().rater);
    let refused = |code| Refusal::not_run(code, "no version can be chosen");
    let ask = question.ask(chat, time_left, rater);
    let plan = router.chooser.lock().plan(&ask).map_err(refused)?;
    match pin {
        Pin::None => Ok((plan, None)),
        Pin::New(session) => Ok((choose::for_session(plan), Some(session))),
        // The answer's new token carries the move.
        Pin::Held(session, _) if chat.ask.token.is_some() => {
            Ok((choose::for_session(plan), Some(session)))
        }
        Pin::Held(session, from) => {
            let plan = choose::for_session(plan);
            let rows = &router.pins;
            let version = rows.replace(&chat.ask.account, &session, &from, &plan.first).await?;
            Ok((settled(snapshot, chat, plan, &version)?, Some(session)))
        }
        Pin::Unclaimed(session) => {
            let plan = choose::for_session(plan);
            let version = router.pins.insert(&chat.ask.account, &session, &plan.first).await?;
            Ok((settled(snapshot, chat, plan, &version)?, Some(session)))
        }
    }
}

/// The plan that was made, unless the session's row turned out to name another version.
fn settled(
    snapshot: &Snapshot,
    chat: &Chat,
    plan: Plan,
    version: &version::Id,
) -> Result<Plan, Refusal> {
    if *version == plan.first {
        return Ok(plan);
    }
    choose::pinned(snapshot, chat, version)
}

/// An answer that is being put together.
struct Answer {
    router: Arc<Router>,
    snapshot: Arc<Snapshot>,
    call: Call,
    cost: Cost,
    sample: Sample,
    stage: Stage,
    began: Instant,
    session: Option<session::Id>,
    /// What was passed on so far.
    text: String,
    _in_flight: InFlight,
}

/// Where an answer stands in a cascade, which decides what its rating tells.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// There's no cascade.
    Direct,
    /// The first answer. It's rated before it's given out.
    First,
    /// The second answer, after this version's was rated too low. It sees only what the first
    /// version fails at, so its ratings say nothing of other requests.
    Second(version::Id),
}

/// A whole answer of one version.
struct Whole {
    version: version::Id,
    pieces: Vec<Piece>,
    usage: Usage,
}

impl Whole {
    fn text(&self) -> String {
        self.pieces.iter().map(|it| it.text.as_str()).collect()
    }
}

impl Answer {
    async fn direct(mut self, version: version::Id) -> Result<Response<Body>, Refusal> {
        let mut source = Source::new(version);
        if self.call.chat().body.stream {
            // The head goes out once an endpoint is at work; until then a refusal can be given.
            source.open(&mut self.call).await?;
            return self.stream(source);
        }
        let whole = self.collect(source).await?;
        self.give(whole).await
    }

    /// Asks `first`, has its answer rated before any of it is shown, and asks `then` if it
    /// isn't good enough. What is shown comes from one version alone.
    async fn cascade(
        mut self,
        first: version::Id,
        then: version::Id,
    ) -> Result<Response<Body>, Refusal> {
        self.stage = Stage::First;
        let cheap = match self.collect(Source::new(first.clone())).await {
            Ok(whole) => Some(whole),
            Err(refusal) if is_final(&refusal) => return Err(refusal),
            Err(_) => None,
        };
        let rating = match &cheap {
            Some(whole) => self.rate(whole).await,
            None => None,
        };
        let cheap = match (cheap, rating) {
            (Some(whole), Some(rating)) if rate::GOOD <= rating => return self.give(whole).await,
            (cheap, _) => cheap,
        };
        // An answer that couldn't be rated counts as not good enough: the account asked for a
        // quality, and the dearer version is the one known to meet it.
        self.router.metrics.retried(retry::Reason::Escalated);
        self.call.reset();
        self.began = self.router.clock.now();
        match (self.collect(Source::new(then)).await, cheap) {
            (Ok(better), cheap) => {
                // Without a first answer it saw the request like any other.
                self.stage = cheap.map_or(Stage::Direct, |_| Stage::Second(first));
                self.give(better).await
            }
            // The second version can't answer in time or at all. The first one's answer is
            // whole and allowed, so it's better than none.
            (Err(_), Some(cheap)) => {
                self.router.metrics.count("cascade.fell_back");
                self.give(cheap).await
            }
            (Err(refusal), None) => Err(refusal),
        }
    }

    async fn collect(&mut self, mut source: Source) -> Result<Whole, Refusal> {
        let mut pieces = Vec::new();
        loop {
            match source.next(&mut self.call).await? {
                Item::Piece(piece) => pieces.push(piece),
                Item::End(usage) => {
                    let version = source.version().clone();
                    self.add(&version, usage);
                    self.observe(&version, usage);
                    return Ok(Whole { version, pieces, usage });
                }
            }
        }
    }

    fn add(&mut self, version: &version::Id, usage: Usage) {
        if let Some(settings) = self.snapshot.config().versions.get(version) {
            self.cost = std::mem::take(&mut self.cost).with(settings, usage);
        }
        self.router.budget.lock().succeeded();
    }

    fn observe(&self, version: &version::Id, usage: Usage) {
        let took = self.router.clock.now().saturating_duration_since(self.began);
        self.router.chooser.lock().record_duration(version, took, usage.completion_tokens);
    }

    async fn rate(&self, whole: &Whole) -> Option<f64> {
        let addr = self.snapshot.config().rater?;
        let chat = self.call.chat();
        let prompt = prompt(chat);
        let Whole { version, usage, .. } = whole;
        let text = whole.text();
        let rating = self.router.rater.rate(addr, version, &chat.ask.kind, &prompt, &text).await;
        self.router.learn(&chat.ask.kind, version, rating, usage.completion_tokens);
        rating
    }

    /// Bills a whole answer; after that it may be given out.
    async fn bill(&self, version: &version::Id) {
        let ask = &self.call.chat().ask;
        let line = self.cost.line(ask, version, &*self.router.clock);
        self.router.node.poison().release(&ask.fingerprint);
        // The line must outlive this VM before the caller can know that it has the answer:
        // a VM that dies in between would otherwise have worked for free.
        self.router.record(line).await;
        self.router.metrics.count("answer.whole");
    }

    /// Sends the answer to the rater in the background, or just counts it.
    fn follow_up(&self, version: &version::Id, text: String, usage: Usage) {
        let router = Arc::clone(&self.router);
        let kind = self.call.chat().ask.kind.clone();
        let (version, tokens) = (version.clone(), usage.completion_tokens);
        let is_sampled = self.sample == Sample::Rate || router.wants_rating(&kind, &version);
        let Some(addr) = self.snapshot.config().rater.filter(|_| is_sampled) else {
            return router.learn(&kind, &version, None, tokens);
        };
        let (prompt, stage) = (prompt(self.call.chat()), self.stage.clone());
        self.router
            .ex
            .spawn(async move {
                let rating = router.rater.rate(addr, &version, &kind, &prompt, &text).await;
                match (stage, rating) {
                    (Stage::Second(first), Some(rating)) => {
                        router.learn_second(&kind, &first, &version, rating);
                        router.learn(&kind, &version, None, tokens);
                    }
                    _ => router.learn(&kind, &version, rating, tokens),
                }
            })
            .detach();
    }

    async fn give(self, whole: Whole) -> Result<Response<Body>, Refusal> {
        self.bill(&whole.version).await;
        let text = whole.text();
        if self.stage != Stage::First {
            self.follow_up(&whole.version, text.clone(), whole.usage);
        }
        let res = self.head(&whole.version);
        if self.call.chat().body.stream {
            let text = whole.pieces.iter().fold(Vec::new(), |mut text, piece| {
                text.extend_from_slice(&event(&piece.data));
                text
            });
            let text = [text, event(END_MARKER.as_bytes()).to_vec()].concat();
            return Ok(finish(res.header("content-type", "text/event-stream"), body::full(text)));
        }
        let answer = chat::Answer {
            id: self.call.chat().ask.request.as_str().to_owned(),
            object: "chat.completion".to_owned(),
            model: whole.version.as_str().to_owned(),
            choices: vec![chat::Choice {
                message: Some(chat::Message { role: "assistant".to_owned(), content: text }),
                finish_reason: Some("stop".to_owned()),
                ..chat::Choice::default()
            }],
            usage: Some(whole.usage),
        };
        let text = serde_json::to_vec(&answer).expect("an answer has only plain fields");
        Ok(finish(res.header("content-type", "application/json"), body::full(text)))
    }

    /// Passes the answer on as it comes. Its end marker is held back until the bill is safe.
    fn stream(self, source: Source) -> Result<Response<Body>, Refusal> {
        let mut res = self.head(source.version()).header("content-type", "text/event-stream");
        if let Some(endpoint) = source.endpoint() {
            res = res.header(header::ENDPOINT, endpoint.as_str());
        }
        let frames = stream::unfold(Some((self, source)), |state| async {
            let (mut answer, mut source) = state?;
            match source.next(&mut answer.call).await {
                Ok(Item::Piece(piece)) => {
                    answer.text.push_str(&piece.text);
                    let frame = Ok(Frame::data(event(&piece.data)));
                    Some((frame, Some((answer, source))))
                }
                Ok(Item::End(usage)) => {
                    answer.add(source.version(), usage);
                    answer.observe(source.version(), usage);
                    Box::pin(answer.bill(source.version())).await;
                    let text = std::mem::take(&mut answer.text);
                    answer.follow_up(source.version(), text, usage);
                    Some((Ok(Frame::data(event(END_MARKER.as_bytes()))), None))
                }
                // No end marker and a broken body: the caller sees that the answer isn't whole.
                Err(refusal) => {
                    answer.router.metrics.refused(refusal.code);
                    let text = Bytes::from(refusal.body());
                    let last = Frame::data(event(&text));
                    Some((Ok(last), None))
                }
            }
        });
        Ok(finish(res, BodyExt::boxed_unsync(StreamBody::new(frames))))
    }

    fn head(&self, version: &version::Id) -> http::response::Builder {
        let ask = &self.call.chat().ask;
        let mut res = Response::builder()
            .header(header::REQUEST_ID, ask.request.as_str())
            .header(header::VERSION, version.as_str());
        if let Some(session) = &self.session {
            res = res.header(header::SESSION, session.as_str());
        }
        if let Some(token) = self.token(version) {
            res = res.header(header::SESSION_TOKEN, token);
        }
        res
    }

    fn token(&self, version: &version::Id) -> Option<String> {
        let key = self.snapshot.config().session_keys.first()?;
        let claims = token::Claims {
            session: self.session.clone()?,
            account: self.call.chat().ask.account.clone(),
            version: version.clone(),
            signed_millis: self.router.clock.unix_millis(),
            key: key.id.clone(),
        };
        Some(token::sign(&claims, key))
    }
}

/// Whether a refusal of the first version holds for any other too.
fn is_final(refusal: &Refusal) -> bool {
    matches!(refusal.code, Reason::Deadline | Reason::Poison | Reason::NotReady)
}

fn finish(res: http::response::Builder, body: Body) -> Response<Body> {
    res.body(body).expect("ids were checked when they came in")
}

fn event(data: &[u8]) -> Bytes {
    [b"data: ", data, b"\n\n"].concat().into()
}

fn prompt(chat: &Chat) -> String {
    chat.body.messages.iter().map(|it| it.content.as_str()).collect::<Vec<_>>().join("\n")
}
