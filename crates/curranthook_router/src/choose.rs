//! Which version answers, and whether a cheaper one is tried first.

use std::time::Duration;

use curranthook_policy::{
    choice::{Candidate, Delivery, Plan, Rater, Sample, Scope},
    rollout,
};
use curranthook_types::{Refusal, refusal::Reason, version};

use crate::{admit::Chat, pin::Pin, snapshot::Snapshot};

/// The model name that leaves the choice of the model to the router.
pub const AUTO: &str = "auto";
/// How many tokens an answer is expected to have when the request doesn't say.
const EXPECTED_TOKENS: u64 = 200;
/// How many bytes of a prompt make a token, roughly.
const BYTES_PER_TOKEN: u64 = 4;

/// The versions that may answer `chat`: what the account allows of what it asks for, without
/// withdrawn versions and those that nobody serves.
pub fn allowed<'a>(snapshot: &'a Snapshot, chat: &Chat) -> Result<Vec<&'a version::Id>, Refusal> {
    let refused = |code, message: &str| Err(Refusal::not_run(code, message));
    let config = snapshot.config();
    let asked = |id: &version::Id| {
        let model = chat.body.model.as_str();
        model == AUTO || model == id.as_str() || model == id.model()
    };
    if !config.versions.keys().any(asked) {
        return refused(Reason::UnknownModel, "no such model or version");
    }
    let account = snapshot.account_settings(&chat.ask.account);
    let granted: Vec<_> =
        account.into_iter().flat_map(|it| &it.versions).filter(|it| asked(it)).collect();
    if granted.is_empty() {
        return refused(Reason::NotAllowed, "the account may not use this model or version");
    }
    let live: Vec<_> =
        granted.into_iter().filter(|it| !snapshot.document.withdrawn.contains(*it)).collect();
    if live.is_empty() {
        return refused(Reason::Withdrawn, "the version was withdrawn");
    }
    let is_served = |id: &version::Id| config.endpoints.values().any(|it| it.versions.contains(id));
    let served: Vec<_> = live.into_iter().filter(|it| is_served(it)).collect();
    if served.is_empty() {
        return refused(Reason::NoEndpoint, "no endpoint serves an allowed version");
    }
    Ok(served)
}

/// Leaves of each model under a roll-out the one version that this request's `key` falls to.
pub fn staged<'a>(
    snapshot: &Snapshot,
    mut versions: Vec<&'a version::Id>,
    key: u64,
) -> Vec<&'a version::Id> {
    for it in snapshot.document.rollouts.values() {
        let has_both = versions.contains(&&it.from) && versions.contains(&&it.to);
        if !has_both {
            continue;
        }
        let taken = rollout::route(it, key);
        let left = if *taken == it.to { &it.from } else { &it.to };
        versions.retain(|id| *id != left);
    }
    versions
}

/// Leaves out suspects while anything else remains.
pub fn trusted(
    versions: Vec<&version::Id>,
    is_suspect: impl Fn(&version::Id) -> bool,
) -> Vec<&version::Id> {
    let trusted: Vec<_> = versions.iter().copied().filter(|it| !is_suspect(it)).collect();
    if trusted.is_empty() { versions } else { trusted }
}

/// The question put to the policy, with owned lists.
#[derive(Debug)]
pub struct Question<'a> {
    /// The versions to choose from.
    pub candidates: Vec<Candidate<'a>>,
    /// The share of answers that must be good.
    pub target: f64,
    /// Tokens of the prompt, estimated.
    pub prompt_tokens: u64,
    /// Tokens of the answer, estimated.
    pub expected_tokens: u64,
}

impl<'a> Question<'a> {
    /// The question for `chat` among `versions`.
    pub fn new(snapshot: &'a Snapshot, chat: &Chat, versions: &[&'a version::Id]) -> Self {
        const DEFAULT_TARGET: f64 = 0.8;
        let config = snapshot.config();
        let kind = &chat.ask.kind;
        let own = snapshot.account_settings(&chat.ask.account).and_then(|it| it.quality.get(kind));
        let target = own.copied().or_else(|| config.kinds.get(kind).map(|it| it.quality));
        let candidates = versions
            .iter()
            .filter_map(|id| config.versions.get_key_value(*id))
            .map(|(id, it)| Candidate { id, rate: &it.price, prior: it.quality.get(kind).copied() })
            .collect();
        let bytes: usize = chat.body.messages.iter().map(|it| it.content.len()).sum();
        Self {
            candidates,
            target: target.unwrap_or(DEFAULT_TARGET),
            prompt_tokens: bytes as u64 / BYTES_PER_TOKEN,
            expected_tokens: chat.body.max_tokens.unwrap_or(EXPECTED_TOKENS).min(EXPECTED_TOKENS),
        }
    }

    /// The form that the policy takes.
    pub fn ask<'b>(
        &'b self,
        chat: &'b Chat,
        time_left: Duration,
        rater: Rater,
    ) -> curranthook_policy::choice::Request<'b> {
        let in_session = chat.ask.session.is_some() || chat.ask.token.is_some();
        curranthook_policy::choice::Request {
            kind: &chat.ask.kind,
            target_quality: self.target,
            candidates: &self.candidates,
            time_left,
            prompt_tokens: self.prompt_tokens,
            expected_tokens: self.expected_tokens,
            delivery: if chat.body.stream { Delivery::Stream } else { Delivery::Whole },
            rater,
            scope: if in_session { Scope::Session } else { Scope::Request },
        }
    }
}

/// The plan for a request of a session that is on `version` already.
pub fn pinned(snapshot: &Snapshot, chat: &Chat, version: &version::Id) -> Result<Plan, Refusal> {
    let refused = |code, message: &str| Err(Refusal::not_run(code, message));
    if snapshot.document.withdrawn.contains(version) {
        return refused(Reason::PinnedWithdrawn, "the session's version was withdrawn");
    }
    if !snapshot.allows(&chat.ask.account, version) {
        return refused(Reason::NotAllowed, "the account may no longer use the session's version");
    }
    let model = chat.body.model.as_str();
    if model != AUTO && model != version.model() && model != version.as_str() {
        return refused(Reason::NotAllowed, "the session is on another model");
    }
    // Drawn by the request's id: a tenth of the answers, not of the sessions, says more of a
    // version than its first answers alone.
    let draw = hash(chat.ask.request.as_str()) as f64 / u64::MAX as f64;
    let is_rated = draw < snapshot.config().policy.rating_sample;
    Ok(Plan {
        first: version.clone(),
        second: None,
        sample: if is_rated { Sample::Rate } else { Sample::Skip },
        reason: curranthook_policy::choice::Reason::Only,
    })
}

/// The plan for the first request of a session: a session has one version, so no cascade. Ours
/// plans none; this holds baselines to it.
pub fn for_session(plan: Plan) -> Plan {
    match plan.second {
        Some(then) => Plan { first: then, second: None, ..plan },
        None => plan,
    }
}

/// The key by which a request falls to one side of a roll-out: its session if it has one, so
/// that the id-only session that is looked up twice falls to the same side.
pub fn key(chat: &Chat, pin: &Pin) -> u64 {
    let text = match pin {
        Pin::New(id) | Pin::Unclaimed(id) | Pin::Held(id, _) => id.as_str(),
        Pin::None => chat.ask.request.as_str(),
    };
    hash(text)
}

/// A stable hash, the same on all nodes.
pub fn hash(text: &str) -> u64 {
    use sha2::{Digest, Sha256};
    let digest = Sha256::digest(text.as_bytes());
    u64::from_be_bytes(digest[..8].try_into().expect("a digest is longer than eight bytes"))
}
