//! Bill lines: the charge to a client account for one request.

use serde::{Deserialize, Serialize};

use crate::{account, price, request, vm};

/// One line of the bill. Each request id has one line, however many attempts were made.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The request that is billed.
    pub request: request::Id,
    /// The account that is charged.
    pub account: account::Id,
    /// The version that generated the response, or the name of the plain service.
    pub served_by: String,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens in the response.
    pub completion_tokens: u64,
    /// The cost of the response and of the attempts before it.
    pub cost: price::Micros,
    /// When the response was complete, in milliseconds since the Unix epoch.
    pub at_millis: u64,
}

/// The process that first recorded a line. `(vm, incarnation, sequence)` identifies the line
/// permanently, so a line that is stored twice is recognised as a duplicate.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The VM whose router served the request.
    pub vm: vm::Id,
    /// The incarnation of that VM, which identifies the process.
    pub incarnation: vm::Incarnation,
}

/// Consecutive lines of one origin, stored as one object in the object store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// The origin of all lines.
    pub origin: Origin,
    /// The sequence number of the first line.
    pub first: u64,
    /// The lines, in order of their sequence numbers.
    pub lines: Vec<Line>,
}

impl Segment {
    /// The object key, the same whether the origin or a replica stores the segment.
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
