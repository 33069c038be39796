//! HTTP responses for refusals.

use curranthook_http::{Body, body};
use curranthook_types::{Refusal, header, request};
use http::Response;

/// The HTTP response for `refusal`.
///
/// It is sent immediately, without waiting for the deadline: a caller that is refused early can
/// send the request elsewhere, or retry after the delay in the `Retry-After` header.
///
/// # Panics
///
/// If the request id is not a valid header value; [`crate::parse`] rejects such ids.
pub fn from_refusal(refusal: &Refusal, request: Option<&request::Id>) -> Response<Body> {
    let mut res = Response::builder()
        .status(refusal.code.status())
        .header(http::header::CONTENT_TYPE, "application/json");
    if let Some(after) = refusal.retry_after {
        // The header has whole seconds; the body has milliseconds.
        res = res.header(http::header::RETRY_AFTER, after.as_millis().div_ceil(1_000).to_string());
    }
    if let Some(id) = request {
        res = res.header(header::REQUEST_ID, id.as_str());
    }
    res.body(body::full(refusal.body())).expect("the headers are valid")
}
