//! The part of the chat-completions interface that the router reads.

use serde::{Deserialize, Serialize};

/// A request. Fields that the router has no use for are kept in `rest` and passed on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The model, a version of it (`model@version`), or `auto`.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<Message>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The most tokens that the answer may have.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Everything else.
    #[serde(flatten)]
    pub rest: serde_json::Map<String, serde_json::Value>,
}

/// One message of the conversation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The text.
    pub content: String,
}

/// Tokens counted by the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
}

/// A whole answer (`choices[].message`) or one event of a stream (`choices[].delta`).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The id of the request that this answers.
    pub id: String,
    /// `chat.completion` or `chat.completion.chunk`.
    pub object: String,
    /// The version that answers.
    pub model: String,
    /// One choice; the router asks for no more.
    pub choices: Vec<Choice>,
    /// On whole answers and on the last event of a stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// One choice of an answer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Its place among the choices.
    pub index: u64,
    /// The whole message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// The next piece of a stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// `stop` or `length` at the end.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// A piece of a streamed message.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The text, one token an event.
    #[serde(default)]
    pub content: String,
}

/// The data of the event that ends a stream. A stream without it was cut short.
pub const END_MARKER: &str = "[DONE]";
