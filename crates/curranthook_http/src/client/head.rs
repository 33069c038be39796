//! Checks of response heads that the HTTP library leaves to its user.

use std::{error::Error as _, io};

use http::{HeaderName, HeaderValue, Method, StatusCode, Version, header, response::Parts};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

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
    /// Neither a length nor chunks, although the connection is kept: the body has no end.
    #[error("a body without a length on a connection that is kept")]
    Unframed,
}

/// What marks the end of a response's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    /// Nothing in the body itself: the head alone states the length, or that there is no body.
    Head,
    /// The last chunk.
    Chunks,
    /// The end of the connection.
    Close,
}

/// What a head states of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Persistence {
    /// It ends after the response.
    Closes,
    /// It is kept for further requests.
    Kept,
    /// Nothing.
    Unstated,
}

impl Malformed {
    /// The malformed head that made a request fail; the error itself if that is not the reason.
    pub(super) fn from_error(error: hyper::Error) -> Result<Self, hyper::Error> {
        let source = error.source().and_then(|it| it.downcast_ref::<io::Error>());
        let is_too_large = source.is_some_and(|it| it.kind() == io::ErrorKind::InvalidData);
        if error.is_parse() || is_too_large { Ok(Self::Syntax(error)) } else { Err(error) }
    }
}

/// Checks that a response to a request with this method is a final one and that its body can be told
/// from its framing. Returns what marks the end of the body.
pub(super) fn check(method: &Method, head: &Parts) -> Result<Framing, Malformed> {
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
    match framing(method, head) {
        // RFC 9112, 9.3: each message on a connection that is kept states its own length.
        Framing::Close if persistence(head) == Persistence::Kept => Err(Malformed::Unframed),
        framing => Ok(framing),
    }
}

fn framing(method: &Method, head: &Parts) -> Framing {
    let has_no_body = *method == Method::HEAD
        || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if has_no_body {
        Framing::Head
    } else if head.headers.contains_key(header::TRANSFER_ENCODING) {
        Framing::Chunks
    } else if head.headers.contains_key(header::CONTENT_LENGTH) {
        Framing::Head
    } else {
        Framing::Close
    }
}

/// Whether the head of a success states a length of zero although its status allows for a body.
pub(super) fn states_empty_body(method: &Method, head: &Parts) -> bool {
    let may_have_body = *method != Method::HEAD && head.status != StatusCode::NO_CONTENT;
    let length = head.headers.get(header::CONTENT_LENGTH);
    let is_zero = length.is_some_and(|it| it.as_bytes().iter().all(|byte| *byte == b'0'));
    head.status.is_success() && may_have_body && is_zero
}

/// What the head states of its connection. The end prevails, as whoever announces it closes.
pub(super) fn persistence(head: &Parts) -> Persistence {
    let connection = head.headers.get_all(header::CONNECTION).iter();
    let options: Vec<_> = connection
        .flat_map(|it| it.as_bytes().split(|byte| *byte == b','))
        .map(<[u8]>::trim_ascii)
        .collect();
    let has_option = |name: &[u8]| options.iter().any(|it| it.eq_ignore_ascii_case(name));
    if has_option(b"close") {
        Persistence::Closes
    } else if has_option(b"keep-alive") || head.headers.contains_key(KEEP_ALIVE) {
        Persistence::Kept
    } else if head.version < Version::HTTP_11 {
        Persistence::Closes
    } else {
        Persistence::Unstated
    }
}

/// Leaves the one length that counts, as whoever gets the head passed on may believe another one. Beside
/// chunks there is none; the same length that is stated several times is stated once.
pub(super) fn normalize_length(head: &mut Parts) {
    let Some(length) = head.headers.remove(header::CONTENT_LENGTH) else { return };
    if head.headers.contains_key(header::TRANSFER_ENCODING) {
        return;
    }
    let first = length.as_bytes().split(|it| *it == b',').next().map(<[u8]>::trim_ascii);
    let first = first.and_then(|it| HeaderValue::from_bytes(it).ok());
    head.headers.insert(header::CONTENT_LENGTH, first.unwrap_or(length));
}
