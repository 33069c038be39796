//! Names of the HTTP headers that callers, routers and endpoints exchange.

/// The caller's id for the request; the answer repeats it.
pub const REQUEST_ID: &str = "x-request-id";
/// The caller's id for the session that the request belongs to.
pub const SESSION: &str = "x-curranthook-session";
/// The signed token that pins a session to its version; answers carry it, callers echo it.
pub const SESSION_TOKEN: &str = "x-curranthook-session-token";
/// The kind of work, such as `summary`.
pub const KIND: &str = "x-curranthook-kind";
/// How long the caller will wait, in milliseconds from arrival.
pub const DEADLINE_MS: &str = "x-curranthook-deadline-ms";
/// The caller's key for a call that may not be repeated.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The version that answered.
pub const VERSION: &str = "x-curranthook-version";
/// The endpoint that answered.
pub const ENDPOINT: &str = "x-curranthook-endpoint";
/// `true` on the replay of a stored outcome.
pub const REPLAYED: &str = "x-curranthook-replayed";
/// How many requests an endpoint holds, running and queued; endpoints put it on each answer.
pub const LOAD: &str = "x-endpoint-load";
/// `true` when an endpoint is leaving and wants no new work.
pub const LEAVING: &str = "x-endpoint-leaving";
/// `true` on an endpoint's refusal given before it began the work.
pub const NOT_STARTED: &str = "x-endpoint-not-started";
/// How urgent a request is to an engine: a whole number, the lowest first.
pub const PRIORITY: &str = "x-engine-priority";
/// The fencing number of an order to an engine.
pub const FENCING: &str = "x-fencing-number";
/// How many tokens of an interrupted answer the engine should skip when it resumes one.
pub const RESUME_FROM: &str = "x-engine-resume-from";
/// The MAC over a call between peers.
pub const PEER_MAC: &str = "x-curranthook-mac";
/// When a call between peers was signed, in milliseconds since 1970.
pub const PEER_TIME: &str = "x-curranthook-time";
