//! How much of an account's limit this node may use.
//!
//! A limit holds for all nodes of a site together. Each node tells its rate of requests for each
//! account, and takes the part of the limit that its rate is of the sum.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use curranthook_types::{Clock, account, vm};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// A report older than this is left out of the sum.
const MAX_AGE: Duration = Duration::from_secs(60);
/// The weight of the latest second in the rate.
const SMOOTHING: f64 = 0.3;
/// Added to each node's rate, in requests a second. Without it a node that has had no request
/// for an account would have no share, and would refuse the first one.
const FLOOR: f64 = 0.5;
/// How many peers' reports are kept.
const MAX_REPORTS: usize = 2_048;

/// A node's rates as a digest carries them: VM, incarnation, time, and rates in tenths of a
/// request a second by account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry(pub vm::Id, pub vm::Incarnation, pub u64, pub BTreeMap<account::Id, u64>);

#[derive(Debug, Default)]
struct State {
    counted: HashMap<account::Id, u64>,
    rates: BTreeMap<account::Id, f64>,
    reports: BTreeMap<vm::Id, Entry>,
    cursor: usize,
}

/// Demand of this node and, as reported, of the site's others.
#[derive(Debug)]
pub struct Demand {
    vm: vm::Id,
    incarnation: vm::Incarnation,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

impl Demand {
    /// No demand yet.
    pub fn new(vm: vm::Id, incarnation: vm::Incarnation, clock: Arc<dyn Clock>) -> Self {
        Self { vm, incarnation, clock, state: Mutex::default() }
    }

    /// Counts a request of an account, whether or not it's let in.
    pub fn add(&self, account: &account::Id) {
        *self.state.lock().counted.entry(account.clone()).or_default() += 1;
    }

    /// Turns what was counted over `elapsed` into rates.
    pub fn tick(&self, elapsed: Duration) {
        let mut state = self.state.lock();
        let counted = std::mem::take(&mut state.counted);
        let seconds = elapsed.as_secs_f64().max(0.001);
        for account in counted.keys() {
            state.rates.entry(account.clone()).or_default();
        }
        state.rates.retain(|account, rate| {
            let n = counted.get(account).copied().unwrap_or(0);
            *rate += SMOOTHING * (n as f64 / seconds - *rate);
            0.05 < *rate
        });
    }

    /// This node's part of the account's limit, given how many nodes share it.
    pub fn share(&self, account: &account::Id, site_nodes: usize) -> f64 {
        let now = self.clock.unix_millis();
        let state = self.state.lock();
        let own = state.rates.get(account).copied().unwrap_or(0.0);
        let live = state.reports.values().filter(|it| is_live(it, now));
        let rates = live.map(|it| it.3.get(account).copied().unwrap_or(0) as f64 / 10.0);
        let (n_others, sum) = rates.fold((0_usize, 0.0), |(n, sum), rate| (n + 1, sum + rate));
        let n_known = n_others + 1;
        let n_nodes = site_nodes.max(n_known);
        // Nodes that haven't been heard of are taken to have the average demand; leaving them out
        // would let the others exceed the limit by what these let in.
        let total = (own + sum) * n_nodes as f64 / n_known as f64;
        (own + FLOOR) / (total + FLOOR * n_nodes as f64)
    }

    /// Takes in a peer's report; of two from one VM the later process's, then the later one.
    pub fn merge(&self, entry: Entry) {
        let now = self.clock.unix_millis();
        if entry.0 == self.vm || !is_live(&entry, now) {
            return;
        }
        let mut state = self.state.lock();
        if MAX_REPORTS <= state.reports.len() {
            state.reports.retain(|_, it| is_live(it, now));
        }
        let known = state.reports.get(&entry.0).map(|it| (it.1, it.2));
        if known < Some((entry.1, entry.2)) && state.reports.len() < MAX_REPORTS {
            state.reports.insert(entry.0.clone(), entry);
        }
    }

    /// Forgets a VM that left.
    pub fn forget(&self, vm: &vm::Id) {
        self.state.lock().reports.remove(vm);
    }

    /// This node's report and, in turn, the others'.
    pub fn pick(&self, n: usize) -> Vec<Entry> {
        let now = self.clock.unix_millis();
        let mut state = self.state.lock();
        let tenths =
            |(account, rate): (&account::Id, &f64)| (account.clone(), (rate * 10.0).round() as u64);
        let own = state.rates.iter().map(tenths).collect();
        let mut picked = vec![Entry(self.vm.clone(), self.incarnation, now, own)];
        let live: Vec<_> = state.reports.values().filter(|it| is_live(it, now)).collect();
        let start = state.cursor.checked_rem(live.len()).unwrap_or(0);
        picked.extend(live.iter().cycle().skip(start).take(n.min(live.len())).copied().cloned());
        state.cursor = start + n;
        picked
    }
}

fn is_live(entry: &Entry, now_millis: u64) -> bool {
    now_millis.saturating_sub(entry.2) <= MAX_AGE.as_millis() as u64
}
