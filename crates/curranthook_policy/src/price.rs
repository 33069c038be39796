//! The price of an answer of the largest model, by the urgency of the request that asks for it.
//!
//! Addresses load where requests of different ranks compete for the same engines. A request alone
//! cannot tell what the engine time of the largest model would be worth to others. With one price
//! for all, a burst of the least urgent requests takes the largest model from the most urgent ones.

/// The price at the mean level, as a share of the answer's value.
const MEAN_PRICE: f64 = 0.4;
/// The difference in price between one level and the next.
const PRICE_PER_LEVEL: f64 = 0.1;
/// The bounds of the price. Even the most urgent requests pay for the delay that they cause, and
/// even the least urgent ones are worth escalating when the small model's answer is clearly bad.
const MIN_PRICE: f64 = 0.25;
const MAX_PRICE: f64 = 0.6;
/// The weight of a request in the moving average of levels, so that roughly the last hundred
/// requests count.
const SMOOTHING_FACTOR: f64 = 0.01;

/// The prices of one service, relative to the requests that compete for it.
///
/// Levels only order requests: those of all accounts may be urgent, or none. So the price depends
/// on how a request's level compares with the mean of recent ones.
#[derive(Debug, Clone, Copy, Default)]
pub struct Scale {
    mean_level: Option<f64>,
}

impl Scale {
    /// Counts a request of `level` among those that compete for the service.
    ///
    /// ```
    /// # use curranthook_policy::price::Scale;
    /// let mut scale = Scale::default();
    /// (0..200).for_each(|n| scale.record(2 + n % 3));
    /// assert!(scale.price(2) < scale.price(3));
    /// assert!(scale.price(3) < scale.price(4));
    /// ```
    pub fn record(&mut self, level: u8) {
        let level = f64::from(level);
        let mean = self.mean_level.get_or_insert(level);
        *mean += SMOOTHING_FACTOR * (level - *mean);
    }

    /// The price of an answer of the largest model for a request of `level`, as a share of the
    /// answer's value. Before any request was counted, it is the price at the mean level.
    pub fn price(&self, level: u8) -> f64 {
        let offset = self.mean_level.map_or(0.0, |it| f64::from(level) - it);
        (MEAN_PRICE + PRICE_PER_LEVEL * offset).clamp(MIN_PRICE, MAX_PRICE)
    }
}
