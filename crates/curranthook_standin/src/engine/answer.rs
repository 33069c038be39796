//! The deterministic content of an engine's answers.

use curranthook_types::chat;

use crate::hash;

/// The first token of a good answer.
pub const GOOD_MARKER: &str = "[good]";
/// The first token of a bad answer.
pub const BAD_MARKER: &str = "[bad]";

/// The text that determines a prompt's difficulty: all messages, joined by newlines.
pub fn prompt(req: &chat::Request) -> String {
    let texts: Vec<_> = req.messages.iter().map(|it| it.content.as_str()).collect();
    texts.join("\n")
}

/// The difficulty of a prompt, in [0, 1), the same for all versions. A version gives a good
/// answer if the difficulty is below its quality.
///
/// ```
/// use curranthook_standin::engine::answer;
/// assert!((0.0..1.0).contains(&answer::difficulty("weigh crate 7")));
/// ```
pub fn difficulty(prompt: &str) -> f64 {
    hash::fraction(&["difficulty", prompt])
}

/// An answer that can be generated token by token.
#[derive(Debug, Clone)]
pub struct Answer {
    request_id: String,
    version: String,
    is_good: bool,
    n_tokens: u64,
    is_complete: bool,
}

impl Answer {
    /// Creates the answer of `version`. Its length is between 0.5 and 1.5 times `mean_tokens`,
    /// truncated to `max_tokens`.
    pub fn new(
        request_id: &str,
        version: &str,
        is_good: bool,
        mean_tokens: u64,
        max_tokens: Option<u64>,
    ) -> Self {
        let length_factor = 0.5 + hash::fraction(&["length", request_id, version]);
        let full_length = ((mean_tokens as f64 * length_factor).round() as u64).max(1);
        let n_tokens = full_length.min(max_tokens.unwrap_or(u64::MAX)).max(1);
        Self {
            request_id: request_id.to_owned(),
            version: version.to_owned(),
            is_good,
            n_tokens,
            is_complete: n_tokens == full_length,
        }
    }

    /// The number of tokens.
    pub fn n_tokens(&self) -> u64 {
        self.n_tokens
    }

    /// Whether the answer is good.
    pub fn is_good(&self) -> bool {
        self.is_good
    }

    /// The token at index `n`.
    pub fn token(&self, n: u64) -> String {
        if n == 0 {
            return if self.is_good { GOOD_MARKER } else { BAD_MARKER }.to_owned();
        }
        const N_WORDS: u64 = 10_000;
        let word = hash::of(&["token", &self.request_id, &self.version, &n.to_string()]) % N_WORDS;
        format!(" w{word}")
    }

    /// The text from token index `from` to the end.
    pub fn text(&self, from: u64) -> String {
        (from..self.n_tokens).map(|n| self.token(n)).collect()
    }

    /// The finish reason: `stop`, or `length` if truncated by `max_tokens`.
    pub fn finish_reason(&self) -> &'static str {
        if self.is_complete { "stop" } else { "length" }
    }
}
