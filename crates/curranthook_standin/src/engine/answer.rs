//! What an engine answers.

use curranthook_types::chat;

use crate::hash;

/// The first token of a good answer.
pub const GOOD: &str = "[good]";
/// The first token of a bad answer.
pub const BAD: &str = "[bad]";

/// The text that decides how hard a prompt is: all messages, one a line.
pub fn prompt(req: &chat::Request) -> String {
    let texts: Vec<_> = req.messages.iter().map(|it| it.content.as_str()).collect();
    texts.join("\n")
}

/// How hard a prompt is, from 0 up to 1, the same for all versions. A version answers well
/// where this is less than its quality.
///
/// ```
/// use curranthook_standin::engine::answer;
/// assert!((0.0..1.0).contains(&answer::difficulty("weigh crate 7")));
/// ```
pub fn difficulty(prompt: &str) -> f64 {
    hash::fraction(&["difficulty", prompt])
}

/// An answer, token by token.
#[derive(Debug, Clone)]
pub struct Answer {
    request_id: String,
    version: String,
    is_good: bool,
    n_tokens: u64,
    is_whole: bool,
}

impl Answer {
    /// The answer of `version`; its length lies between half and one and a half times
    /// `mean_tokens`, and `max_tokens` cuts it.
    pub fn new(
        request_id: &str,
        version: &str,
        is_good: bool,
        mean_tokens: u64,
        max_tokens: Option<u64>,
    ) -> Self {
        let spread = 0.5 + hash::fraction(&["length", request_id, version]);
        let wanted = ((mean_tokens as f64 * spread).round() as u64).max(1);
        let n_tokens = wanted.min(max_tokens.unwrap_or(u64::MAX)).max(1);
        Self {
            request_id: request_id.to_owned(),
            version: version.to_owned(),
            is_good,
            n_tokens,
            is_whole: n_tokens == wanted,
        }
    }

    /// How many tokens it has.
    pub fn n_tokens(&self) -> u64 {
        self.n_tokens
    }

    /// Whether it's a good one.
    pub fn is_good(&self) -> bool {
        self.is_good
    }

    /// The token at place `n`.
    pub fn token(&self, n: u64) -> String {
        if n == 0 {
            return if self.is_good { GOOD } else { BAD }.to_owned();
        }
        const WORDS: u64 = 10_000;
        let word = hash::of(&["token", &self.request_id, &self.version, &n.to_string()]) % WORDS;
        format!(" w{word}")
    }

    /// The text from place `from` on.
    pub fn text(&self, from: u64) -> String {
        (from..self.n_tokens).map(|n| self.token(n)).collect()
    }

    /// Why it ends.
    pub fn finish_reason(&self) -> &'static str {
        if self.is_whole { "stop" } else { "length" }
    }
}
