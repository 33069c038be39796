//! The messages between nodes. Builds of different versions exchange them, so fields are only added,
//! and a message without an added field stays valid.

use std::{collections::HashMap, time::Duration};

use curranthook_policy::poison;
use curranthook_types::endpoint;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{limits::Limit, statements::Statement};
use crate::{
    affinity::Record,
    fleet::unlisted,
    load::{
        breakdown::Breakdown,
        in_flight::{self, Counts, Observed},
        slowdowns,
    },
    permit::lending::Loan,
    steps::Evidence,
    store::Rev,
    suspects,
};

/// A message between nodes.
#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The work that `node` has pending at endpoints; replaces its previous report.
    #[serde(rename = "notice")]
    Report {
        /// The name of the node.
        node: String,
        /// The pending work.
        #[serde_as(as = "HashMap<_, DurationMilliSeconds<u64>>")]
        waiting: HashMap<endpoint::Id, Duration>,
        /// The same by priority.
        #[serde(default, skip_serializing_if = "Breakdown::is_empty")]
        by_priority: Breakdown,
        /// The prompts that `node` sent for prefill since its previous report.
        #[serde(default, rename = "reads", skip_serializing_if = "Vec::is_empty")]
        prefills: Vec<Record>,
        /// The endpoints to which `node` could not open a connection since its previous report.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        unreachable: Vec<endpoint::Id>,
        /// The number of requests that `node` has in flight at endpoints of services without models.
        #[serde(default, deserialize_with = "in_flight::read_counts")]
        #[serde(skip_serializing_if = "HashMap::is_empty")]
        in_flight: Counts,
        /// When the report was sent, by the store's clock; none if that is unknown.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        at_ms: Option<u64>,
        /// The slowdowns that endpoints reported to `node` since its previous report.
        #[serde(default, skip_serializing_if = "slowdowns::Entries::is_empty")]
        slowdowns: slowdowns::Entries,
        /// The brittle endpoints that rejected a request since the previous report, with the number
        /// of requests that they had.
        #[serde(default, deserialize_with = "in_flight::read_counts")]
        #[serde(skip_serializing_if = "HashMap::is_empty")]
        rejected: Counts,
        /// Those of them that stated free slots, with the length of the rejected prompt in tokens.
        #[serde(default, deserialize_with = "in_flight::read_lengths")]
        #[serde(skip_serializing_if = "HashMap::is_empty")]
        rejected_prompts: HashMap<endpoint::Id, u64>,
        /// The numbers of answers about room at brittle endpoints upon which `node` has sent a
        /// request, or decided not to, since its previous report.
        #[serde(default, deserialize_with = "in_flight::read_counts")]
        #[serde(skip_serializing_if = "HashMap::is_empty")]
        settled: Counts,
    },
    /// The evidence of `node` about a rollout that its row does not contain; replaces its previous
    /// report.
    Evidence {
        /// The name of the node.
        node: String,
        /// The service.
        service: String,
        /// The revision of the rollout order.
        order: Rev,
        /// The evidence.
        evidence: Box<Evidence>,
    },
    /// Rate limits reported by endpoints.
    Limits {
        /// The rate limits.
        limits: Vec<Limit>,
    },
    /// Statements of endpoints that they are brittle.
    Brittle {
        /// The statements.
        statements: Vec<Statement>,
    },
    /// Crashes of endpoints under parts of prompts.
    Crashes {
        /// The crashes.
        reports: Vec<suspects::Report>,
    },
    /// Verdicts on parts of prompts, and answers that disprove some.
    Verdicts {
        /// The verdicts.
        findings: Vec<suspects::Finding>,
        /// The answers.
        objections: Vec<suspects::Objection>,
    },
    /// Crashes of endpoints under requests, and answers that clear these.
    Poison {
        /// The records of the requests.
        entries: Vec<poison::Entry>,
    },
    /// Asks for the requests under which several endpoints crashed, and for the valid verdicts on parts
    /// of prompts.
    CrashQuestion,
    /// Asks for the permit to send one request to one of these endpoints.
    Borrow {
        /// The id of the question, repeated in the answer.
        id: u64,
        /// The endpoints.
        endpoints: Vec<endpoint::Id>,
    },
    /// The answer to that.
    Lent {
        /// The id of the question.
        id: u64,
        /// What is lent.
        loan: Loan,
    },
    /// Asks a node that has no row whether it runs.
    PresenceQuestion,
    /// The answer to that.
    Present {
        /// The name of the node.
        node: String,
    },
    /// Asks for the nodes that have no row.
    UnlistedQuestion,
    /// Nodes that have no row and may be running.
    Unlisted {
        /// The nodes.
        nodes: Vec<unlisted::Told>,
    },
    /// Asks for the valid statements of endpoints that they are brittle.
    BrittleQuestion,
    /// Asks how much work all nodes except `node` have pending at these endpoints.
    Question {
        /// The id of the question, repeated in the answer.
        id: u64,
        /// The name of the requesting node.
        node: String,
        /// The endpoints.
        endpoints: Vec<endpoint::Id>,
        /// The prompt prefix whose holders are requested, if any: the hash of the model and the
        /// shared prompt parts.
        #[serde(default, rename = "subject", skip_serializing_if = "Option::is_none")]
        prefix_hash: Option<u64>,
        /// Whether the answer is to contain the requests in flight.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        in_flight: bool,
    },
    /// The answer to a question.
    Answer {
        /// The id of the question.
        id: u64,
        /// The pending work.
        #[serde_as(as = "HashMap<_, DurationMilliSeconds<u64>>")]
        waiting: HashMap<endpoint::Id, Duration>,
        /// The same by priority.
        #[serde(default, skip_serializing_if = "Breakdown::is_empty")]
        by_priority: Breakdown,
        /// The endpoints that have prefilled the prompt prefix, if the question contains one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        holders: Option<Vec<endpoint::Id>>,
        /// Those of the endpoints in the question that are unreachable.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        unreachable: Vec<endpoint::Id>,
        /// The requests that all nodes except the one that asked have in flight.
        #[serde(default, deserialize_with = "in_flight::read_counts")]
        #[serde(skip_serializing_if = "HashMap::is_empty")]
        in_flight: Counts,
        /// The numbers of requests in the answers that the owner itself got.
        #[serde(default, deserialize_with = "in_flight::read_observed")]
        #[serde(skip_serializing_if = "HashMap::is_empty")]
        loads: HashMap<endpoint::Id, Observed>,
        /// The numbers of requests that brittle endpoints take.
        #[serde(default, deserialize_with = "in_flight::read_counts")]
        #[serde(skip_serializing_if = "HashMap::is_empty")]
        limits: Counts,
        /// The same for requests with long prompts, after the length from which on a prompt is long,
        /// in tokens. Only endpoints whose limit for them is lower are contained.
        #[serde(default, deserialize_with = "in_flight::read_long_prompts")]
        #[serde(skip_serializing_if = "HashMap::is_empty")]
        long_prompts: HashMap<endpoint::Id, (u64, u32)>,
        /// The newest slowdowns of the endpoints in the question.
        #[serde(default, skip_serializing_if = "slowdowns::Entries::is_empty")]
        slowdowns: slowdowns::Entries,
    },
}

impl Message {
    /// The name of the node that sent the message, if the message contains it.
    pub(super) fn sender(&self) -> Option<&str> {
        match self {
            Self::Report { node, .. }
            | Self::Evidence { node, .. }
            | Self::Present { node }
            | Self::Question { node, .. } => Some(node),
            _ => None,
        }
    }
}
