//! Bill lines: what a client account pays for one request.

use serde::{Deserialize, Serialize};

use crate::{account, price, request, vm};

/// One line of the bill. There is one for each request id, whatever the attempts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The request.
    pub request: request::Id,
    /// Who pays.
    pub account: account::Id,
    /// The version that gave the answer, or the name of the plain service.
    pub served_by: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// The price of the answer and of the attempts before it.
    pub cost: price::Micros,
    /// When the answer was complete, in milliseconds since 1970.
    pub at_millis: u64,
}

/// Where a line was first written down; `(vm, incarnation, sequence)` names it for good, so a
/// line that is stored twice is recognised.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The VM whose router answered.
    pub vm: vm::Id,
    /// Which process of that VM.
    pub incarnation: vm::Incarnation,
}

/// A run of lines of one origin, as stored in the object store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// Whose lines.
    pub origin: Origin,
    /// The sequence number of the first line.
    pub first: u64,
    /// The lines, in sequence.
    pub lines: Vec<Line>,
}

impl Segment {
    /// The object key, the same for owner and replicas.
    ///
    /// ```
    /// # use curranthook_types::bill::{Origin, Segment};
    /// let origin = Origin { vm: "vm-1".into(), incarnation: 7 };
    /// let segment = Segment { origin, first: 40, lines: Vec::new() };
    /// assert_eq!(segment.key(), "bills/vm-1/7/00000000000000000040");
    /// ```
    pub fn key(&self) -> String {
        format!("bills/{}/{}/{:020}", self.origin.vm, self.origin.incarnation, self.first)
    }
}
