//! Names of the HTTP headers that callers, routers and endpoints exchange.

/// The id of the request, chosen by the caller; the response repeats it.
pub const REQUEST_ID: &str = "x-request-id";
/// The id of the session that the request belongs to, chosen by the caller.
pub const SESSION: &str = "x-curranthook-session";
/// The signed token that pins a session to its version; set on responses and sent back by callers.
pub const SESSION_TOKEN: &str = "x-curranthook-session-token";
/// The kind of work that the request is for, such as `summary`.
pub const KIND: &str = "x-curranthook-kind";
/// The deadline of the request, in milliseconds after its arrival.
pub const DEADLINE_MS: &str = "x-curranthook-deadline-ms";
/// The caller's idempotency key, for a call that must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The version that generated the response.
pub const VERSION: &str = "x-curranthook-version";
/// The endpoint that served the request.
pub const ENDPOINT: &str = "x-curranthook-endpoint";
/// `true` if the response is the replay of a stored outcome.
pub const REPLAYED: &str = "x-curranthook-replayed";
/// The number of requests that an endpoint is running or has queued; endpoints set it on each
/// response.
pub const LOAD: &str = "x-endpoint-load";
/// `true` if an endpoint is shutting down and should get no new requests.
pub const LEAVING: &str = "x-endpoint-leaving";
/// `true` if an endpoint refused the request before it started to run it.
pub const NOT_STARTED: &str = "x-endpoint-not-started";
/// The priority of a request at an engine: an integer, lowest first.
pub const PRIORITY: &str = "x-engine-priority";
/// The fencing token of an order to an engine, a number by which the engine can reject old orders.
pub const FENCING: &str = "x-fencing-number";
/// The number of tokens that an engine should skip when it resumes an interrupted response.
pub const RESUME_FROM: &str = "x-engine-resume-from";
/// The message authentication code (MAC) of a call between peers.
pub const PEER_MAC: &str = "x-curranthook-mac";
/// When a call between peers was signed, in milliseconds since the Unix epoch.
pub const PEER_TIME: &str = "x-curranthook-time";
