//! Prices, in millionths of the site's currency.

use serde::{Deserialize, Serialize};

/// An amount of money in millionths of the site's currency.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

/// The price of a version, per thousand tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// The price of a thousand tokens of the prompt.
    pub prompt: Micros,
    /// The price of a thousand tokens of the response.
    pub completion: Micros,
}

impl Rate {
    /// The cost of one response, rounded up.
    ///
    /// ```
    /// # use curranthook_types::price::{Micros, Rate};
    /// let rate = Rate { prompt: Micros(100), completion: Micros(400) };
    /// assert_eq!(rate.cost(500, 1_000), Micros(450));
    /// ```
    pub fn cost(&self, prompt_tokens: u64, completion_tokens: u64) -> Micros {
        const TOKENS_PER_PRICE: u64 = 1_000;
        let total = self.prompt.0 * prompt_tokens + self.completion.0 * completion_tokens;
        Micros(total.div_ceil(TOKENS_PER_PRICE))
    }
}
