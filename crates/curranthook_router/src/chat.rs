//! Chat requests, from the parsed body to the response.

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
    bill::Cost,
    call::Call,
    completion::{Chunk, Completion, Item},
    parse::Chat,
    pin::Pin,
    rating,
    router::InFlight,
    selection::{self, StrategyInputs},
    snapshot::Snapshot,
    token,
};

/// Handles a chat request.
pub async fn run(
    router: &Arc<Router>,
    snapshot: &Arc<Snapshot>,
    chat: Chat,
    in_flight: InFlight,
) -> Result<Response<Body>, Refusal> {
    if router.node.poison().is_poison(&chat.metadata.fingerprint) {
        return Err(Refusal::not_run(Reason::Poison, "endpoints died under this request"));
    }
    let (plan, session) = plan(router, snapshot, &chat).await?;
    router.metrics.count(&format!("choice.{}", plan.reason.name()));
    let call = Call::new(router, snapshot, chat);
    let handler = Handler {
        router: Arc::clone(router),
        snapshot: Arc::clone(snapshot),
        call,
        cost: Cost::default(),
        sample: plan.sample,
        stage: Stage::Direct,
        started_at: router.clock.now(),
        session,
        text: String::new(),
        _in_flight: in_flight,
    };
    match plan.second {
        Some(second) => handler.cascade(plan.first, second).await,
        None => handler.direct(plan.first).await,
    }
}

/// Selects the version to use, and returns the session that it belongs to, if any.
async fn plan(
    router: &Arc<Router>,
    snapshot: &Snapshot,
    chat: &Chat,
) -> Result<(Plan, Option<session::Id>), Refusal> {
    let keys = &snapshot.config().session_keys;
    let pin = router.pins.find(&chat.metadata, keys, router.clock.unix_millis()).await?;
    if let Pin::Pinned(session, version) = &pin {
        let account = snapshot.account_settings(&chat.metadata.account);
        let sessions_may_move = account.is_some_and(|it| it.sessions_may_move);
        match selection::pinned_plan(snapshot, chat, version) {
            // By default the request is refused: a session keeps its version, and a withdrawn
            // version gets no requests. Only accounts that opted in have their sessions moved to
            // another version.
            Err(e) if e.code == Reason::PinnedWithdrawn && sessions_may_move => {}
            pinned => return pinned.map(|plan| (plan, Some(session.clone()))),
        }
    }
    let rollout_key = selection::rollout_key(chat, &pin);
    let is_suspect = |it: &version::Id| router.node.suspects().contains(it);
    let versions = selection::eligible(snapshot, chat, rollout_key, is_suspect)?;
    let inputs = StrategyInputs::new(snapshot, chat, &versions);
    let time_left = chat.metadata.time_left(router.clock.now());
    let rater = router.rater.state(snapshot.config().rater);
    let refusal = |code| Refusal::not_run(code, "no version can be chosen");
    let request = inputs.to_policy(chat, time_left, rater);
    let plan = router.version_strategy.lock().plan(&request).map_err(refusal)?;
    match pin {
        Pin::None => Ok((plan, None)),
        Pin::New(session) => Ok((selection::without_cascade(plan), Some(session))),
        // The new token in the response carries the move to another version.
        Pin::Pinned(session, _) if chat.metadata.token.is_some() => {
            Ok((selection::without_cascade(plan), Some(session)))
        }
        Pin::Pinned(session, from) => {
            let plan = selection::without_cascade(plan);
            let pins = &router.pins;
            let version =
                pins.replace(&chat.metadata.account, &session, &from, &plan.first).await?;
            Ok((plan_for_row(snapshot, chat, plan, &version)?, Some(session)))
        }
        Pin::Unclaimed(session) => {
            let plan = selection::without_cascade(plan);
            let version = router.pins.insert(&chat.metadata.account, &session, &plan.first).await?;
            Ok((plan_for_row(snapshot, chat, plan, &version)?, Some(session)))
        }
    }
}

/// Returns `plan`, unless the session's row names another version.
fn plan_for_row(
    snapshot: &Snapshot,
    chat: &Chat,
    plan: Plan,
    version: &version::Id,
) -> Result<Plan, Refusal> {
    if *version == plan.first {
        return Ok(plan);
    }
    selection::pinned_plan(snapshot, chat, version)
}

/// The state of a chat request while its response is produced.
struct Handler {
    router: Arc<Router>,
    snapshot: Arc<Snapshot>,
    call: Call,
    cost: Cost,
    sample: Sample,
    stage: Stage,
    started_at: Instant,
    session: Option<session::Id>,
    /// The text sent to the caller so far.
    text: String,
    _in_flight: InFlight,
}

/// The cascade stage of a response, which determines how its rating is used.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// There is no cascade.
    Direct,
    /// The first response. It is rated before any of it is sent.
    First,
    /// The second response, after the response of this version was rated too low. The second
    /// version sees only requests on which the first one fails, so its ratings say nothing about
    /// other requests.
    Second(version::Id),
}

/// A complete response of one version.
struct Collected {
    version: version::Id,
    chunks: Vec<Chunk>,
    usage: Usage,
}

impl Collected {
    fn text(&self) -> String {
        self.chunks.iter().map(|it| it.text.as_str()).collect()
    }
}

impl Handler {
    async fn direct(mut self, version: version::Id) -> Result<Response<Body>, Refusal> {
        let mut completion = Completion::new(version);
        if self.call.chat().body.stream {
            // The response head is sent once an endpoint has started; until then a refusal can be
            // returned.
            completion.open(&mut self.call).await?;
            return self.stream(completion);
        }
        let collected = self.collect(completion).await?;
        self.respond(collected).await
    }

    /// Requests a response of `first`, rates it before any of it is sent, and requests one of
    /// `second` if it is not good enough. What is sent comes from only one version.
    async fn cascade(
        mut self,
        first: version::Id,
        second: version::Id,
    ) -> Result<Response<Body>, Refusal> {
        self.stage = Stage::First;
        let first_response = match self.collect(Completion::new(first.clone())).await {
            Ok(collected) => Some(collected),
            Err(refusal) if is_final(&refusal) => return Err(refusal),
            Err(_) => None,
        };
        let rating = match &first_response {
            Some(collected) => self.rate(collected).await,
            None => None,
        };
        let first_response = match (first_response, rating) {
            (Some(it), Some(rating)) if rating::MIN_GOOD_RATING <= rating => {
                return self.respond(it).await;
            }
            (first_response, _) => first_response,
        };
        // A response that could not be rated counts as not good enough: the account requires a
        // quality, and the more expensive version is the one known to provide it.
        self.router.metrics.count_retry(retry::Reason::Escalated);
        self.call.reset_attempts();
        self.started_at = self.router.clock.now();
        match (self.collect(Completion::new(second)).await, first_response) {
            (Ok(second_response), first_response) => {
                // If there was no first response, the second version handled an ordinary request.
                self.stage = first_response.map_or(Stage::Direct, |_| Stage::Second(first));
                self.respond(second_response).await
            }
            // The second version cannot respond in time, or at all. The first response is complete
            // and allowed, so it is better than none.
            (Err(_), Some(first_response)) => {
                self.router.metrics.count("cascade.fell_back");
                self.respond(first_response).await
            }
            (Err(refusal), None) => Err(refusal),
        }
    }

    async fn collect(&mut self, mut completion: Completion) -> Result<Collected, Refusal> {
        let mut chunks = Vec::new();
        loop {
            match completion.next(&mut self.call).await? {
                Item::Chunk(chunk) => chunks.push(chunk),
                Item::End(usage) => {
                    let version = completion.version().clone();
                    self.record_usage(&version, usage);
                    self.record_latency(&version, usage);
                    return Ok(Collected { version, chunks, usage });
                }
            }
        }
    }

    fn record_usage(&mut self, version: &version::Id, usage: Usage) {
        if let Some(settings) = self.snapshot.config().versions.get(version) {
            self.cost = std::mem::take(&mut self.cost).with_usage(settings, usage);
        }
        self.router.retry_budget.lock().succeeded();
    }

    fn record_latency(&self, version: &version::Id, usage: Usage) {
        let latency = self.router.clock.now().saturating_duration_since(self.started_at);
        self.router.version_strategy.lock().record_duration(
            version,
            latency,
            usage.completion_tokens,
        );
    }

    async fn rate(&self, collected: &Collected) -> Option<f64> {
        let addr = self.snapshot.config().rater?;
        let chat = self.call.chat();
        let prompt = prompt_text(chat);
        let Collected { version, usage, .. } = collected;
        let text = collected.text();
        let rating =
            self.router.rater.rate(addr, version, &chat.metadata.kind, &prompt, &text).await;
        self.router.record_rating(&chat.metadata.kind, version, rating, usage.completion_tokens);
        rating
    }

    /// Records the bill of a complete response, which must be done before the response is sent.
    async fn record_bill(&self, version: &version::Id) {
        let metadata = &self.call.chat().metadata;
        let bill_line = self.cost.to_bill_line(metadata, version, &*self.router.clock);
        self.router.node.poison().clear(&metadata.fingerprint);
        // The line must survive the loss of this VM before the caller can know that it has the
        // whole response: otherwise the work would not be billed if the VM failed in between.
        self.router.record_bill(bill_line).await;
        self.router.metrics.count("answer.whole");
    }

    /// Has the response rated in the background if it is sampled; otherwise records it without a
    /// rating.
    fn rate_in_background(&self, version: &version::Id, text: String, usage: Usage) {
        let router = Arc::clone(&self.router);
        let kind = self.call.chat().metadata.kind.clone();
        let (version, tokens) = (version.clone(), usage.completion_tokens);
        let is_sampled = self.sample == Sample::Rate || router.should_rate(&kind, &version);
        let Some(addr) = self.snapshot.config().rater.filter(|_| is_sampled) else {
            return router.record_rating(&kind, &version, None, tokens);
        };
        let (prompt, stage) = (prompt_text(self.call.chat()), self.stage.clone());
        self.router
            .ex
            .spawn(async move {
                let rating = router.rater.rate(addr, &version, &kind, &prompt, &text).await;
                match (stage, rating) {
                    (Stage::Second(first), Some(rating)) => {
                        router.record_second_rating(&kind, &first, &version, rating);
                        router.record_rating(&kind, &version, None, tokens);
                    }
                    _ => router.record_rating(&kind, &version, rating, tokens),
                }
            })
            .detach();
    }

    async fn respond(self, collected: Collected) -> Result<Response<Body>, Refusal> {
        self.record_bill(&collected.version).await;
        let text = collected.text();
        if self.stage != Stage::First {
            self.rate_in_background(&collected.version, text.clone(), collected.usage);
        }
        let res = self.response_builder(&collected.version);
        if self.call.chat().body.stream {
            let text = collected.chunks.iter().fold(Vec::new(), |mut text, chunk| {
                text.extend_from_slice(&sse_event(&chunk.data));
                text
            });
            let text = [text, sse_event(END_MARKER.as_bytes()).to_vec()].concat();
            return Ok(build_response(
                res.header("content-type", "text/event-stream"),
                body::full(text),
            ));
        }
        let response = chat::Answer {
            id: self.call.chat().metadata.request.as_str().to_owned(),
            object: "chat.completion".to_owned(),
            model: collected.version.as_str().to_owned(),
            choices: vec![chat::Choice {
                message: Some(chat::Message { role: "assistant".to_owned(), content: text }),
                finish_reason: Some("stop".to_owned()),
                ..chat::Choice::default()
            }],
            usage: Some(collected.usage),
        };
        let text = serde_json::to_vec(&response).expect("an answer has only plain fields");
        Ok(build_response(res.header("content-type", "application/json"), body::full(text)))
    }

    /// Streams the response as it is generated. The end marker is held back until the bill is
    /// recorded.
    fn stream(self, completion: Completion) -> Result<Response<Body>, Refusal> {
        let mut res =
            self.response_builder(completion.version()).header("content-type", "text/event-stream");
        if let Some(endpoint) = completion.endpoint() {
            res = res.header(header::ENDPOINT, endpoint.as_str());
        }
        let frames = stream::unfold(Some((self, completion)), |state| async {
            let (mut handler, mut completion) = state?;
            match completion.next(&mut handler.call).await {
                Ok(Item::Chunk(chunk)) => {
                    handler.text.push_str(&chunk.text);
                    let frame = Ok(Frame::data(sse_event(&chunk.data)));
                    Some((frame, Some((handler, completion))))
                }
                Ok(Item::End(usage)) => {
                    handler.record_usage(completion.version(), usage);
                    handler.record_latency(completion.version(), usage);
                    Box::pin(handler.record_bill(completion.version())).await;
                    let text = std::mem::take(&mut handler.text);
                    handler.rate_in_background(completion.version(), text, usage);
                    Some((Ok(Frame::data(sse_event(END_MARKER.as_bytes()))), None))
                }
                // The stream ends with an error event and no end marker: the caller sees that the
                // response is incomplete.
                Err(refusal) => {
                    handler.router.metrics.count_refusal(refusal.code);
                    let text = Bytes::from(refusal.body());
                    let last = Frame::data(sse_event(&text));
                    Some((Ok(last), None))
                }
            }
        });
        Ok(build_response(res, BodyExt::boxed_unsync(StreamBody::new(frames))))
    }

    fn response_builder(&self, version: &version::Id) -> http::response::Builder {
        let metadata = &self.call.chat().metadata;
        let mut res = Response::builder()
            .header(header::REQUEST_ID, metadata.request.as_str())
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
            account: self.call.chat().metadata.account.clone(),
            version: version.clone(),
            signed_millis: self.router.clock.unix_millis(),
            key: key.id.clone(),
        };
        Some(token::sign(&claims, key))
    }
}

/// Whether a refusal from the first version applies to every other version too.
fn is_final(refusal: &Refusal) -> bool {
    matches!(refusal.code, Reason::Deadline | Reason::Poison | Reason::NotReady)
}

fn build_response(res: http::response::Builder, body: Body) -> Response<Body> {
    res.body(body).expect("ids are validated when the request is parsed")
}

fn sse_event(data: &[u8]) -> Bytes {
    [b"data: ", data, b"\n\n"].concat().into()
}

fn prompt_text(chat: &Chat) -> String {
    chat.body.messages.iter().map(|it| it.content.as_str()).collect::<Vec<_>>().join("\n")
}
