//! Answers to callers.

use curranthook_http::{Body, body};
use curranthook_types::{Refusal, header, request};
use http::Response;

/// The answer that carries `refusal`.
///
/// It goes out at once, whatever the deadline: a caller that knows early can go elsewhere or
/// come back at the time it is told.
///
/// # Panics
///
/// If the request id isn't a valid header value; [`crate::parse`] lets no such id in.
pub fn from_refusal(refusal: &Refusal, request: Option<&request::Id>) -> Response<Body> {
    let mut res = Response::builder()
        .status(refusal.code.status())
        .header(http::header::CONTENT_TYPE, "application/json");
    if let Some(after) = refusal.retry_after {
        // The header counts whole seconds; the body has the milliseconds.
        res = res.header(http::header::RETRY_AFTER, after.as_millis().div_ceil(1_000).to_string());
    }
    if let Some(id) = request {
        res = res.header(header::REQUEST_ID, id.as_str());
    }
    res.body(body::full(refusal.body())).expect("the headers are valid")
}
