//! Selects the version that responds, and whether a cheaper one is tried first.

use std::time::Duration;

use curranthook_policy::{
    choice::{Candidate, Delivery, Plan, Rater, Sample, Scope},
    rollout,
};
use curranthook_types::{Refusal, refusal::Reason, version};

use crate::{parse::Chat, pin::Pin, snapshot::Snapshot};

/// The model name with which the caller leaves the selection of the model to the router.
pub const AUTO: &str = "auto";
/// The expected number of tokens in a response, unless the request limits it to fewer.
const EXPECTED_TOKENS: u64 = 200;
/// The approximate number of bytes of a prompt per token.
const BYTES_PER_TOKEN: u64 = 4;

/// The versions that may respond to `chat` and that an endpoint serves, without those to which a
/// rollout does not route the request with this `rollout_key`, and without suspect ones unless all
/// are suspect.
pub fn eligible<'a>(
    snapshot: &'a Snapshot,
    chat: &Chat,
    rollout_key: u64,
    is_suspect: impl Fn(&version::Id) -> bool,
) -> Result<Vec<&'a version::Id>, Refusal> {
    let is_served = |it: &version::Id| is_served(snapshot, it);
    let versions = allowed(snapshot, chat)?;
    // Applied before versions without endpoints are removed: a version under test must not get all
    // requests because the old one is lost.
    let is_usable = |it: &version::Id| is_served(it) && !is_suspect(it);
    let mut versions = apply_rollouts(snapshot, versions, rollout_key, is_usable);
    versions.retain(|it| is_served(it));
    if versions.is_empty() {
        let message = "no endpoint serves an allowed version";
        return Err(Refusal::not_run(Reason::NoEndpoint, message));
    }
    Ok(without_suspects(versions, is_suspect))
}

fn is_served(snapshot: &Snapshot, id: &version::Id) -> bool {
    snapshot.config().endpoints.values().any(|it| it.versions.contains(id))
}

/// The versions that may respond to `chat`: those of the requested model or version that the
/// account may use, without withdrawn versions.
fn allowed<'a>(snapshot: &'a Snapshot, chat: &Chat) -> Result<Vec<&'a version::Id>, Refusal> {
    let refused = |code, message: &str| Err(Refusal::not_run(code, message));
    let config = snapshot.config();
    let is_requested = |id: &version::Id| {
        let model = chat.body.model.as_str();
        model == AUTO || model == id.as_str() || model == id.model()
    };
    if !config.versions.keys().any(is_requested) {
        return refused(Reason::UnknownModel, "no such model or version");
    }
    let account = snapshot.account_settings(&chat.metadata.account);
    let granted: Vec<_> =
        account.into_iter().flat_map(|it| &it.versions).filter(|it| is_requested(it)).collect();
    if granted.is_empty() {
        return refused(Reason::NotAllowed, "the account may not use this model or version");
    }
    let live: Vec<_> =
        granted.into_iter().filter(|it| !snapshot.document.withdrawn.contains(*it)).collect();
    if live.is_empty() {
        return refused(Reason::Withdrawn, "the version was withdrawn");
    }
    Ok(live)
}

/// For each model with a rollout in progress, removes the version to which the rollout does not
/// route the request with this `rollout_key`. While a rollout is under way, it routes no request to a
/// new version that is not usable.
fn apply_rollouts<'a>(
    snapshot: &Snapshot,
    mut versions: Vec<&'a version::Id>,
    rollout_key: u64,
    is_usable: impl Fn(&version::Id) -> bool,
) -> Vec<&'a version::Id> {
    for it in snapshot.document.rollouts.values() {
        let has_both = versions.contains(&&it.from) && versions.contains(&&it.to);
        if !has_both {
            continue;
        }
        let is_open = !it.is_active() || is_usable(&it.to);
        let chosen = if is_open { rollout::route(it, rollout_key) } else { &it.from };
        let excluded = if *chosen == it.to { &it.from } else { &it.to };
        versions.retain(|id| *id != excluded);
    }
    versions
}

/// Removes suspect versions, unless all are suspect.
fn without_suspects(
    versions: Vec<&version::Id>,
    is_suspect: impl Fn(&version::Id) -> bool,
) -> Vec<&version::Id> {
    let trusted: Vec<_> = versions.iter().copied().filter(|it| !is_suspect(it)).collect();
    if trusted.is_empty() { versions } else { trusted }
}

/// The inputs of the version strategy, with owned lists.
#[derive(Debug)]
pub struct StrategyInputs<'a> {
    /// The versions to choose from.
    pub candidates: Vec<Candidate<'a>>,
    /// The share of responses that must be good.
    pub target_quality: f64,
    /// The estimated number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The estimated number of tokens in the response.
    pub expected_tokens: u64,
}

impl<'a> StrategyInputs<'a> {
    /// Collects the inputs for selecting a version for `chat` among `versions`.
    pub fn new(snapshot: &'a Snapshot, chat: &Chat, versions: &[&'a version::Id]) -> Self {
        const DEFAULT_TARGET: f64 = 0.8;
        let config = snapshot.config();
        let kind = &chat.metadata.kind;
        let account_target =
            snapshot.account_settings(&chat.metadata.account).and_then(|it| it.quality.get(kind));
        let target =
            account_target.copied().or_else(|| config.kinds.get(kind).map(|it| it.quality));
        let candidates = versions
            .iter()
            .filter_map(|id| config.versions.get_key_value(*id))
            .map(|(id, it)| Candidate { id, rate: &it.price, prior: it.quality.get(kind).copied() })
            .collect();
        let bytes: usize = chat.body.messages.iter().map(|it| it.content.len()).sum();
        Self {
            candidates,
            target_quality: target.unwrap_or(DEFAULT_TARGET),
            prompt_tokens: bytes as u64 / BYTES_PER_TOKEN,
            expected_tokens: chat.body.max_tokens.unwrap_or(EXPECTED_TOKENS).min(EXPECTED_TOKENS),
        }
    }

    /// Borrows the inputs as a request to the version strategy.
    pub fn to_policy<'b>(
        &'b self,
        chat: &'b Chat,
        time_left: Duration,
        rater: Rater,
    ) -> curranthook_policy::choice::Request<'b> {
        let in_session = chat.metadata.session.is_some() || chat.metadata.token.is_some();
        curranthook_policy::choice::Request {
            kind: &chat.metadata.kind,
            target_quality: self.target_quality,
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

/// The plan for a request of a session that is already pinned to `version`.
pub fn pinned_plan(
    snapshot: &Snapshot,
    chat: &Chat,
    version: &version::Id,
) -> Result<Plan, Refusal> {
    let refused = |code, message: &str| Err(Refusal::not_run(code, message));
    if snapshot.document.withdrawn.contains(version) {
        return refused(Reason::PinnedWithdrawn, "the session's version was withdrawn");
    }
    if !snapshot.allows(&chat.metadata.account, version) {
        return refused(Reason::NotAllowed, "the account may no longer use the session's version");
    }
    let model = chat.body.model.as_str();
    if model != AUTO && model != version.model() && model != version.as_str() {
        return refused(Reason::NotAllowed, "the session is on another model");
    }
    // The sample (a tenth by default) is drawn by request id, not by session, so that later
    // responses of sessions are rated too. That says more about a version than ratings of first
    // responses alone.
    let draw = stable_hash(chat.metadata.request.as_str()) as f64 / u64::MAX as f64;
    let is_rated = draw < snapshot.config().policy.rating_sample;
    Ok(Plan {
        first: version.clone(),
        second: None,
        sample: if is_rated { Sample::Rate } else { Sample::Skip },
        reason: curranthook_policy::choice::Reason::Only,
    })
}

/// The plan for the first request of a session: a session has one version, so there is no cascade.
/// The router's own strategy plans none for sessions; this enforces it for baselines.
pub fn without_cascade(plan: Plan) -> Plan {
    match plan.second {
        Some(second) => Plan { first: second, second: None, ..plan },
        None => plan,
    }
}

/// The key by which a request is routed to one version of a rollout: the session id if there is
/// one, so that a session that is known only by its id gets the same version if it is looked up
/// twice.
pub fn rollout_key(chat: &Chat, pin: &Pin) -> u64 {
    let id = match pin {
        Pin::New(id) | Pin::Unclaimed(id) | Pin::Pinned(id, _) => id.as_str(),
        Pin::None => chat.metadata.request.as_str(),
    };
    stable_hash(id)
}

/// A hash that is stable across processes and nodes.
pub fn stable_hash(text: &str) -> u64 {
    use sha2::{Digest, Sha256};
    let digest = Sha256::digest(text.as_bytes());
    u64::from_be_bytes(digest[..8].try_into().expect("a SHA-256 digest has more than eight bytes"))
}
