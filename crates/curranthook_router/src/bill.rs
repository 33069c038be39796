//! The bill line of a response.

use curranthook_settings::config;
use curranthook_types::{Clock, bill::Line, chat::Usage, price::Micros, version};

use crate::parse::Metadata;

/// The total cost of the attempts that produced a complete response. Failed attempts are not
/// billed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Cost {
    /// Tokens of the prompts of all responses.
    pub prompt_tokens: u64,
    /// Tokens of all responses.
    pub completion_tokens: u64,
    /// The total price.
    pub total: Micros,
}

impl Cost {
    /// Adds the usage of one version's response.
    ///
    /// ```
    /// # use curranthook_router::bill::Cost;
    /// # use curranthook_settings::config::Version;
    /// # use curranthook_types::{chat::Usage, price::{Micros, Rate}};
    /// let price = Rate { prompt: Micros(0), completion: Micros(500) };
    /// let version = Version { price, quality: Default::default() };
    /// let usage = Usage { prompt_tokens: 10, completion_tokens: 100 };
    /// assert_eq!(Cost::default().with_usage(&version, usage).total, Micros(50));
    /// ```
    pub fn with_usage(self, version: &config::Version, usage: Usage) -> Self {
        let cost = version.price.cost(usage.prompt_tokens, usage.completion_tokens);
        Self {
            prompt_tokens: self.prompt_tokens + usage.prompt_tokens,
            completion_tokens: self.completion_tokens + usage.completion_tokens,
            total: Micros(self.total.0 + cost.0),
        }
    }

    /// The bill line of a chat response of `version`.
    pub fn to_bill_line(
        &self,
        metadata: &Metadata,
        version: &version::Id,
        clock: &dyn Clock,
    ) -> Line {
        Line {
            request: metadata.request.clone(),
            account: metadata.account.clone(),
            served_by: version.as_str().to_owned(),
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.completion_tokens,
            cost: self.total,
            at_millis: clock.unix_millis(),
        }
    }
}
