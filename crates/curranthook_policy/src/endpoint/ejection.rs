//! Slow and failing endpoints are left out for a while.

use std::time::{Duration, Instant};

use crate::endpoint::track::{Ejected, Track};

/// Failures in a row after which an endpoint is left out.
const FAILURES: u32 = 3;
/// How many times slower than the median an endpoint must be to be left out.
const SLOW_FACTOR: f64 = 3.0;
/// Differences below this time are not worth leaving an endpoint out, in seconds.
const SLOW_MARGIN: f64 = 0.05;
/// Requests in a row that got their answers from elsewhere, after which it counts how long they
/// were waited for. One may have met a connection that went silent.
const OVERTAKEN: u32 = 2;
/// How many times the median that wait must be. The answer would have come later still.
const OVERTAKEN_FACTOR: f64 = 2.0;
/// How long a failing endpoint is left out at first; the time doubles with each failed probe.
const SHORTEST: Duration = Duration::from_secs(1);
/// The same for a slow one. Each probe makes a caller wait, and a slow endpoint isn't missed as
/// much as one that is thought dead while it's back already.
const SHORTEST_SLOW: Duration = Duration::from_secs(5);
const LONGEST: Duration = Duration::from_secs(30);

/// Leaves out or takes back the endpoint at `place` after an answer or a failure.
pub(crate) fn review(tracks: &mut [Track], place: usize, now: Instant) {
    let is_bad = is_failing(&tracks[place]) || is_slow(tracks, place);
    match (tracks[place].is_ejected(), is_bad) {
        (false, true) => eject(tracks, place, now),
        (true, true) => extend(&mut tracks[place], now),
        (true, false) => restore(&mut tracks[place]),
        (false, false) => settle(&mut tracks[place]),
    }
}

fn is_failing(track: &Track) -> bool {
    // One failure is enough for an endpoint on probation.
    let allowed = if track.is_ejected() { 1 } else { FAILURES };
    allowed <= track.n_failures
}

fn is_slow(tracks: &[Track], place: usize) -> bool {
    let Some(median) = median_of_others(tracks, place) else {
        return false;
    };
    let is_above = |own: f64, factor: f64| median * factor < own && median + SLOW_MARGIN < own;
    let track = &tracks[place];
    let allowed = if track.is_ejected() { 1 } else { OVERTAKEN };
    if allowed <= track.overtaken.n {
        return is_above(track.overtaken.waited.as_secs_f64(), OVERTAKEN_FACTOR);
    }
    let own = if track.is_ejected() {
        // The mean still holds the time that it was left out for; only the probe counts.
        track.first_byte.last().map(|it| it.as_secs_f64())
    } else if track.first_byte.is_known() {
        track.first_byte.mean()
    } else {
        None
    };
    own.is_some_and(|it| is_above(it, SLOW_FACTOR))
}

fn median_of_others(tracks: &[Track], place: usize) -> Option<f64> {
    const ENOUGH: usize = 2;
    let others =
        tracks.iter().enumerate().filter(|(it, track)| *it != place && !track.is_ejected());
    let mut means: Vec<f64> = others
        .filter(|(_, it)| it.first_byte.is_known())
        .filter_map(|(_, it)| it.first_byte.mean())
        .collect();
    if means.len() < ENOUGH {
        return None;
    }
    let middle = means.len() / 2;
    let (_, median, _) = means.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

/// Never more than half are left out. Where most endpoints look bad the cause lies elsewhere,
/// say in the network or in a request, and the few that are left would break down too.
fn eject(tracks: &mut [Track], place: usize, now: Instant) {
    let (n_staying, n_ejected) = count(tracks);
    if n_staying < 2 * (n_ejected + 1) {
        return;
    }
    let track = &mut tracks[place];
    track.ejected = Some(Ejected { until: now });
    extend(track, now);
}

/// Takes endpoints back after others went, so that half of those that stay are still in.
pub(crate) fn keep_floor(tracks: &mut [Track]) {
    loop {
        let (n_staying, n_ejected) = count(tracks);
        if 2 * n_ejected <= n_staying {
            return;
        }
        let ejected = tracks.iter_mut().filter(|it| !it.is_leaving && it.is_ejected());
        let Some(next) = ejected.min_by_key(|it| it.ejected.as_ref().map(|it| it.until)) else {
            return;
        };
        restore(next);
    }
}

/// How many endpoints stay, and how many of these are left out.
fn count(tracks: &[Track]) -> (usize, usize) {
    let staying = tracks.iter().filter(|it| !it.is_leaving);
    (staying.clone().count(), staying.filter(|it| it.is_ejected()).count())
}

fn extend(track: &mut Track, now: Instant) {
    let shortest = if is_failing(track) { SHORTEST } else { SHORTEST_SLOW };
    let time = shortest.saturating_mul(1 << track.n_ejections.min(10)).min(LONGEST);
    track.n_ejections += 1;
    track.ejected = Some(Ejected { until: now + time });
}

fn restore(track: &mut Track) {
    track.ejected = None;
    track.n_failures = 0;
    track.overtaken = Default::default();
    track.first_byte.restart();
}

/// An endpoint that has done well for a while is forgiven its past.
fn settle(track: &mut Track) {
    if track.n_failures == 0 && track.first_byte.is_known() {
        track.n_ejections = 0;
    }
}
