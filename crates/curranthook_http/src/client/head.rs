//! Checks of response heads that the HTTP library leaves to its user.

use std::{error::Error as _, io};

use http::{HeaderValue, Method, StatusCode, header, response::Parts};

/// Why a response head is malformed.
#[derive(Debug, thiserror::Error)]
pub enum Malformed {
    /// It cannot be parsed, or is too large.
    #[error(transparent)]
    Syntax(hyper::Error),
    /// The status is that of no final response, or of none at all.
    #[error("status {0} is not one of a final response")]
    Status(StatusCode),
    /// Another transfer coding than a single `chunked`: the library would pass on the codings that it
    /// does not know, or take the chunks' framing for a part of the body.
    #[error("unsupported transfer coding {0:?}")]
    TransferCoding(Vec<HeaderValue>),
}

impl Malformed {
    /// The malformed head that made a request fail; the error itself if that is not the reason.
    pub(super) fn from_error(error: hyper::Error) -> Result<Self, hyper::Error> {
        let source = error.source().and_then(|it| it.downcast_ref::<io::Error>());
        let is_too_large = source.is_some_and(|it| it.kind() == io::ErrorKind::InvalidData);
        if error.is_parse() || is_too_large { Ok(Self::Syntax(error)) } else { Err(error) }
    }
}

/// Checks that a response is a final one and that its body can be told from its framing.
pub(super) fn check(head: &Parts) -> Result<(), Malformed> {
    if !(200..600).contains(&head.status.as_u16()) {
        return Err(Malformed::Status(head.status));
    }
    let codings: Vec<_> = head.headers.get_all(header::TRANSFER_ENCODING).iter().collect();
    let is_supported = match codings[..] {
        [] => true,
        [coding] => coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"),
        _ => false,
    };
    if !is_supported {
        return Err(Malformed::TransferCoding(codings.into_iter().cloned().collect()));
    }
    Ok(())
}

/// Removes a length beside chunks. It says nothing of the body, but whoever gets it passed on would
/// believe it.
pub(super) fn remove_overridden_length(head: &mut Parts) {
    if head.headers.contains_key(header::TRANSFER_ENCODING) {
        head.headers.remove(header::CONTENT_LENGTH);
    }
}

/// Whether the end of the body is marked, by chunks or by the end of the connection, in the response
/// to a request with this method. Otherwise the head alone states it.
pub(super) fn is_delimited(method: &Method, head: &Parts) -> bool {
    let has_no_body = *method == Method::HEAD
        || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    !has_no_body && (is_chunked || !head.headers.contains_key(header::CONTENT_LENGTH))
}
