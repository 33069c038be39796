//! Temporary ejection of slow and failing endpoints.

use std::time::{Duration, Instant};

use crate::endpoint::state::{Ejected, State};

/// Consecutive failures after which an endpoint is ejected.
const CONSECUTIVE_FAILURES: u32 = 3;
/// How many times slower than the median an endpoint must be to be ejected.
const SLOW_FACTOR: f64 = 3.0;
/// The smallest difference to the median, in seconds, that justifies an ejection.
const SLOW_MARGIN_SECONDS: f64 = 0.05;
/// The number of consecutive attempts that lost to a hedged attempt at another endpoint, from which
/// on their waiting time counts as a sign of a slow endpoint. A single loss may be due to one
/// stalled connection.
const CONSECUTIVE_HEDGE_LOSSES: u32 = 2;
/// How many times the median the waiting time of a lost attempt must be for an ejection. The factor
/// is lower than [`SLOW_FACTOR`], since the first byte would have arrived even later than the
/// moment the attempt was abandoned.
const HEDGE_LOSS_FACTOR: f64 = 2.0;
/// The first ejection time of a failing endpoint; it doubles with each failed probe.
const MIN_EJECTION_FAILING: Duration = Duration::from_secs(1);
/// The first ejection time of a slow endpoint; it also doubles with each failed probe. It is longer
/// than for a failing endpoint, since each probe of a slow endpoint makes a caller wait, and
/// ejecting a slow endpoint for too long costs less than ejecting one that has already recovered
/// from a failure.
const MIN_EJECTION_SLOW: Duration = Duration::from_secs(5);
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Ejects or readmits the endpoint at `index` after an answer or a failure.
pub(crate) fn update_ejection(endpoints: &mut [State], index: usize, now: Instant) {
    let is_unhealthy = is_failing(&endpoints[index]) || is_slow(endpoints, index);
    match (endpoints[index].is_ejected(), is_unhealthy) {
        (false, true) => eject(endpoints, index, now),
        (true, true) => extend_ejection(&mut endpoints[index], now),
        (true, false) => readmit(&mut endpoints[index]),
        (false, false) => reset_backoff(&mut endpoints[index]),
    }
}

fn is_failing(endpoint: &State) -> bool {
    // One failed probe extends the ejection of an ejected endpoint.
    let threshold = if endpoint.is_ejected() { 1 } else { CONSECUTIVE_FAILURES };
    threshold <= endpoint.n_failures
}

fn is_slow(endpoints: &[State], index: usize) -> bool {
    let Some(median) = median_of_others(endpoints, index) else {
        return false;
    };
    let exceeds_median = |measured: f64, factor: f64| {
        median * factor < measured && median + SLOW_MARGIN_SECONDS < measured
    };
    let endpoint = &endpoints[index];
    let threshold = if endpoint.is_ejected() { 1 } else { CONSECUTIVE_HEDGE_LOSSES };
    if threshold <= endpoint.hedge_losses.n {
        return exceeds_median(endpoint.hedge_losses.last_wait.as_secs_f64(), HEDGE_LOSS_FACTOR);
    }
    let measured = if endpoint.is_ejected() {
        // The mean still includes the times that led to the ejection; only the probe counts.
        endpoint.first_byte.last().map(|it| it.as_secs_f64())
    } else if endpoint.first_byte.has_enough_samples() {
        endpoint.first_byte.mean()
    } else {
        None
    };
    measured.is_some_and(|it| exceeds_median(it, SLOW_FACTOR))
}

fn median_of_others(endpoints: &[State], index: usize) -> Option<f64> {
    const MIN_OTHERS: usize = 2;
    let others = endpoints
        .iter()
        .enumerate()
        .filter(|(it, endpoint)| *it != index && !endpoint.is_ejected());
    let mut means: Vec<f64> = others
        .filter(|(_, it)| it.first_byte.has_enough_samples())
        .filter_map(|(_, it)| it.first_byte.mean())
        .collect();
    if means.len() < MIN_OTHERS {
        return None;
    }
    let middle = means.len() / 2;
    let (_, median, _) = means.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

/// Never ejects more than half of the endpoints. If most endpoints look unhealthy, the cause lies
/// elsewhere, such as in the network or in a request, and the few remaining ones would be
/// overloaded.
fn eject(endpoints: &mut [State], index: usize, now: Instant) {
    let (n_active, n_ejected) = count_members(endpoints);
    if n_active < 2 * (n_ejected + 1) {
        return;
    }
    let endpoint = &mut endpoints[index];
    endpoint.ejected = Some(Ejected { until: now });
    extend_ejection(endpoint, now);
}

/// Readmits endpoints after others left, so that at least half of the remaining ones are not
/// ejected.
pub(crate) fn enforce_floor(endpoints: &mut [State]) {
    loop {
        let (n_active, n_ejected) = count_members(endpoints);
        if 2 * n_ejected <= n_active {
            return;
        }
        let ejected = endpoints.iter_mut().filter(|it| !it.is_leaving && it.is_ejected());
        let Some(earliest) = ejected.min_by_key(|it| it.ejected.as_ref().map(|it| it.until)) else {
            return;
        };
        readmit(earliest);
    }
}

/// The number of endpoints that are not leaving, and how many of these are ejected.
fn count_members(endpoints: &[State]) -> (usize, usize) {
    let active = endpoints.iter().filter(|it| !it.is_leaving);
    (active.clone().count(), active.filter(|it| it.is_ejected()).count())
}

fn extend_ejection(endpoint: &mut State, now: Instant) {
    let min_duration = if is_failing(endpoint) { MIN_EJECTION_FAILING } else { MIN_EJECTION_SLOW };
    let duration = min_duration.saturating_mul(1 << endpoint.n_ejections.min(10)).min(MAX_EJECTION);
    endpoint.n_ejections += 1;
    endpoint.ejected = Some(Ejected { until: now + duration });
}

fn readmit(endpoint: &mut State) {
    endpoint.ejected = None;
    endpoint.n_failures = 0;
    endpoint.hedge_losses = Default::default();
    endpoint.first_byte.reset();
}

/// Resets the ejection backoff of an endpoint that has been healthy for a while.
fn reset_backoff(endpoint: &mut State) {
    if endpoint.n_failures == 0 && endpoint.first_byte.has_enough_samples() {
        endpoint.n_ejections = 0;
    }
}
