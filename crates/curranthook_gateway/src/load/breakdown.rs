//! The form in which nodes send each other pending work by priority.
//!
//! A message contains the sum for each endpoint (`waiting`), which is all that older builds send
//! and read, and beside it the breakdown by priority (`by_priority`). To fit a datagram, the
//! breakdown does not repeat the endpoints' ids: it has one list per endpoint of `waiting`, in
//! ascending order of ids, of pairs of a priority and its work in ms. An empty list stands for work
//! of unknown priority, which counts as the most urgent.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use curranthook_types::endpoint;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::load::work::{N_PRIORITIES, Work};

/// The largest sum that is accepted; larger ones are clamped. Sums over several nodes of larger ones
/// would exceed what a message can state.
const MAX_SUM: Duration = Duration::from_secs(1_000_000);

/// The work pending at each endpoint.
pub type PendingWork = HashMap<endpoint::Id, Work>;

/// The breakdown by priority of the sums in a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Breakdown {
    /// The list of each endpoint.
    Lists(Vec<Vec<(u8, u64)>>),
    /// Anything else, which is ignored so that the sums beside it remain usable.
    Malformed(Value),
}

impl Default for Breakdown {
    fn default() -> Self {
        Self::Lists(Vec::new())
    }
}

impl Breakdown {
    /// Whether it contains no priorities, so that it need not be sent.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Lists(lists) if lists.iter().all(Vec::is_empty))
    }

    /// Removes the lists of the endpoints with the least work in `waiting` until the serialized
    /// breakdown is at least `n_bytes` shorter, or all lists are empty.
    pub fn shorten(&mut self, waiting: &HashMap<endpoint::Id, Duration>, n_bytes: usize) {
        let Self::Lists(lists) = self else { return };
        let sorted: BTreeMap<_, _> = waiting.iter().collect();
        let mut by_work: Vec<_> = lists.iter_mut().zip(sorted.into_values()).collect();
        by_work.sort_by_key(|(_, work)| **work);
        let mut n_removed = 0;
        for (list, _) in by_work {
            if n_bytes <= n_removed {
                return;
            }
            n_removed += serialized_len(list).saturating_sub("[]".len());
            list.clear();
        }
    }
}

fn serialized_len(list: &[(u8, u64)]) -> usize {
    serde_json::to_vec(list).map_or(0, |it| it.len())
}

/// Splits pending work into the sums and the breakdown of a message.
///
/// ```
/// # use std::{collections::HashMap, time::Duration};
/// # use curranthook_gateway::load::{breakdown, work::Work};
/// let work = HashMap::from([("engine-1".into(), Work::new(7, Duration::from_millis(400)))]);
/// let (waiting, by_priority) = breakdown::split(&work);
/// assert_eq!(serde_json::to_string(&by_priority).unwrap(), "[[[7,400]]]");
/// assert_eq!(breakdown::join(waiting, &by_priority), (work, 0));
/// ```
pub fn split(pending: &PendingWork) -> (HashMap<endpoint::Id, Duration>, Breakdown) {
    let sorted: BTreeMap<_, _> = pending.iter().collect();
    let lists = sorted.into_values().map(list).collect();
    let waiting = pending.iter().map(|(id, work)| (id.clone(), sum(work))).collect();
    (waiting, Breakdown::Lists(lists))
}

/// Whether all of the work is most urgent, which is how the sum alone is understood.
fn is_most_urgent(work: &Work) -> bool {
    work.by_priority()[1..].iter().all(Duration::is_zero)
}

fn list(work: &Work) -> Vec<(u8, u64)> {
    if is_most_urgent(work) {
        return Vec::new();
    }
    let parts = (0..).zip(work.by_priority().map(rounded_millis));
    parts.filter(|(_, ms)| 0 < *ms).collect()
}

/// The sum as sent: that of the rounded parts, so that it agrees with the breakdown.
fn sum(work: &Work) -> Duration {
    if is_most_urgent(work) {
        return work.total();
    }
    let parts = work.by_priority().map(rounded_millis);
    Duration::from_millis(parts.into_iter().fold(0, u64::saturating_add))
}

fn rounded_millis(duration: Duration) -> u64 {
    let rounded = duration.saturating_add(Duration::from_micros(500));
    u64::try_from(rounded.as_millis()).unwrap_or(u64::MAX)
}

/// Joins the sums and the breakdown of a received message. If a breakdown is malformed or does not
/// agree with the sum, all of the endpoint's work counts as the most urgent. So does a sum that is
/// out of range, which is clamped: without it, a loaded endpoint would seem idle. Also returns the
/// number of endpoints whose work differs from what the message states.
pub fn join(
    waiting: HashMap<endpoint::Id, Duration>,
    by_priority: &Breakdown,
) -> (PendingWork, usize) {
    let lists = match by_priority {
        Breakdown::Lists(lists) if lists.is_empty() => Some(None),
        Breakdown::Lists(lists) if lists.len() == waiting.len() => Some(Some(lists)),
        Breakdown::Lists(_) | Breakdown::Malformed(_) => None,
    };
    let sorted: BTreeMap<_, _> = waiting.into_iter().collect();
    let (mut pending, mut n_changed) = (PendingWork::new(), 0);
    for (index, (id, sum)) in sorted.into_iter().enumerate() {
        let list = lists.map(|it| it.map_or(&[][..], |it| it[index].as_slice()));
        let work = list.filter(|_| sum <= MAX_SUM).and_then(|it| work(sum, it));
        n_changed += usize::from(work.is_none());
        pending.insert(id, work.unwrap_or_else(|| sum.min(MAX_SUM).into()));
    }
    (pending, n_changed)
}

/// The work of a list; `None` if the list is invalid or does not add up to `sum`.
fn work(sum: Duration, list: &[(u8, u64)]) -> Option<Work> {
    if list.is_empty() {
        return Some(sum.into());
    }
    let is_valid = list.iter().all(|(priority, _)| usize::from(*priority) < N_PRIORITIES)
        && list.is_sorted_by(|(one, _), (next, _)| one < next);
    let total_ms = list.iter().try_fold(0_u64, |total, (_, ms)| total.checked_add(*ms))?;
    let parts = list.iter().map(|(priority, ms)| Work::new(*priority, Duration::from_millis(*ms)));
    (is_valid && Duration::from_millis(total_ms) == sum).then(|| parts.sum())
}
