//! A client of the service that rates responses.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use curranthook_http::{Exchange, client::Pool};
use curranthook_policy::choice;
use curranthook_types::{Clock, kind, version};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// The lowest rating, on a scale from 0 to 1, of a response that is good enough.
pub const MIN_GOOD_RATING: f64 = 0.5;
/// The time limit for one request to the rating service.
const RATING_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the service counts as down after a failure. While it does, no cascades are planned,
/// since they wait for it.
const DOWN_PERIOD: Duration = Duration::from_secs(5);

/// A client of the rating service.
#[derive(Debug)]
pub struct Rater {
    pool: Arc<Pool>,
    clock: Arc<dyn Clock>,
    failed_at: Mutex<Option<Instant>>,
}

#[derive(Debug, Serialize)]
struct Request<'a> {
    version: &'a version::Id,
    kind: &'a kind::Id,
    prompt: &'a str,
    answer: &'a str,
}

#[derive(Debug, Deserialize)]
struct Response {
    rating: f64,
}

impl Rater {
    /// A client that assumes that the service is up.
    pub fn new(pool: Arc<Pool>, clock: Arc<dyn Clock>) -> Self {
        Self { pool, clock, failed_at: Mutex::default() }
    }

    /// Whether the rating service counts as up. It does if the last request to it succeeded, or
    /// failed at least `DOWN_PERIOD` ago. Without an address it counts as down.
    pub fn state(&self, addr: Option<SocketAddr>) -> choice::Rater {
        let is_down = |at: Instant| self.clock.now() < at + DOWN_PERIOD;
        if addr.is_none() || self.failed_at.lock().is_some_and(is_down) {
            choice::Rater::Down
        } else {
            choice::Rater::Up
        }
    }

    /// Rates a response from 0 to 1; `None` if the service fails or times out.
    pub async fn rate(
        &self,
        addr: SocketAddr,
        version: &version::Id,
        kind: &kind::Id,
        prompt: &str,
        answer: &str,
    ) -> Option<f64> {
        let request = Request { version, kind, prompt, answer };
        let exchange =
            Exchange::post(addr, "/rate").with_json(&request).with_timeout(RATING_TIMEOUT);
        let res = exchange.run(&self.pool).await.ok().filter(|it| it.status().is_success());
        let rating = res.and_then(|it| serde_json::from_slice::<Response>(it.body()).ok());
        *self.failed_at.lock() = if rating.is_some() { None } else { Some(self.clock.now()) };
        rating.map(|it| it.rating.clamp(0.0, 1.0))
    }
}
