//! Message bodies.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody};
use hyper::body::Incoming;

/// Any error that a body can end with.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// The body of an answer that a server gives.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// A body of known bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// An answer with a JSON body.
///
/// # Panics
///
/// If `value` can't be written as JSON, as a map whose keys aren't strings.
///
/// ```
/// let res = curranthook_http::body::json(200, &serde_json::json!({"ready": true}));
/// assert_eq!(res.status(), 200);
/// ```
pub fn json(status: u16, value: &impl serde::Serialize) -> http::Response<Body> {
    let text = serde_json::to_vec(value).expect("the value can be written as JSON");
    http::Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(full(text))
        .expect("status and header are valid")
}

/// Why a body couldn't be read whole.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// It's longer than the limit.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The other side broke off.
    #[error("the body broke off: {0}")]
    Incomplete(Error),
}

/// Reads a whole body of at most `limit` bytes.
pub async fn read(mut body: Incoming, limit: usize) -> Result<Bytes, ReadError> {
    read_mut(&mut body, limit).await
}

/// Reads what is left of a body, at most `limit` bytes, and leaves it with its owner.
pub async fn read_mut(body: &mut Incoming, limit: usize) -> Result<Bytes, ReadError> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(ReadError::TooLarge { limit }),
        Err(e) => Err(ReadError::Incomplete(e)),
    }
}
