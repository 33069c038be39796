//! The part of the chat completions API that the router reads.

use serde::{Deserialize, Serialize};

/// A chat completion request. Fields that the router does not use are kept in `rest` and
/// forwarded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The model, a version of it (`model@version`), or `auto` to let the router choose.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<Message>,
    /// Whether the response is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The maximum number of tokens in the response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// All other fields, forwarded unchanged to the engine.
    #[serde(flatten)]
    pub rest: serde_json::Map<String, serde_json::Value>,
}

/// One message of the conversation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The text of the message.
    pub content: String,
}

/// Token counts reported by the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens in the response.
    pub completion_tokens: u64,
}

/// A complete response (`choices[].message`) or one event of a streamed response
/// (`choices[].delta`).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The id of the request that is answered.
    pub id: String,
    /// `chat.completion` or `chat.completion.chunk`.
    pub object: String,
    /// The version that generated the response.
    pub model: String,
    /// A single choice: the router does not request more than one.
    pub choices: Vec<Choice>,
    /// Token counts, on complete responses and on the last event of a stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// One choice of a response.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The index among the choices of the response.
    pub index: u64,
    /// The message of a complete response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// The next part of a streamed message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// `stop` or `length` when the message is complete.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// A part of a streamed message.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The text, one token per event.
    #[serde(default)]
    pub content: String,
}

/// The data of the event that ends a stream. A stream without it was truncated.
pub const END_MARKER: &str = "[DONE]";
