//! How much of an account's rate limit this node may use.
//!
//! A limit applies to all nodes of a site together. Each node reports its request rate for each
//! account and gets the share of the limit that its rate has in the sum of all rates.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use curranthook_types::{Clock, account, vm};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Reports older than this don't count towards the sum of rates.
const MAX_REPORT_AGE: Duration = Duration::from_secs(60);
/// The weight of the latest interval, about a second, in the moving average of the rate.
const SMOOTHING_FACTOR: f64 = 0.3;
/// Added to each node's rate, in requests per second. Without it a node that has had no request for
/// an account would have no share and would reject the first one.
const BASE_RATE: f64 = 0.5;
/// Maximum number of VMs whose reports are stored.
const MAX_REPORTS: usize = 2_048;
/// Maximum number of accounts in an entry from a peer; larger entries are ignored.
const MAX_ACCOUNTS_PER_REPORT: usize = 64;
/// Maximum number of accounts in an entry that this node sends about itself.
const ACCOUNTS_PER_ENTRY: usize = 3;

/// A part of a node's request rates as it appears in a digest: VM, incarnation, time in
/// milliseconds since 1970, and the rates by account in tenths of a request per second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry(pub vm::Id, pub vm::Incarnation, pub u64, pub BTreeMap<account::Id, u64>);

/// A rate in tenths of a request per second, and when it was reported, in milliseconds since 1970.
#[derive(Debug, Clone, Copy)]
struct ReportedRate {
    tenths_per_second: u64,
    at_millis: u64,
}

/// The rates that one process has reported. They arrive a few accounts at a time, each with its own
/// time.
#[derive(Debug, Default)]
struct Report {
    incarnation: vm::Incarnation,
    at_millis: u64,
    rates: BTreeMap<account::Id, ReportedRate>,
}

#[derive(Debug, Default)]
struct State {
    request_counts: HashMap<account::Id, u64>,
    rates: BTreeMap<account::Id, f64>,
    reports: BTreeMap<vm::Id, Report>,
    cursor: usize,
}

/// The request rates by account at this node and, as reported, at the other nodes of the site.
#[derive(Debug)]
pub struct Demand {
    vm: vm::Id,
    incarnation: vm::Incarnation,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

impl Demand {
    /// Creates an empty table of rates.
    pub fn new(vm: vm::Id, incarnation: vm::Incarnation, clock: Arc<dyn Clock>) -> Self {
        Self { vm, incarnation, clock, state: Mutex::default() }
    }

    /// Counts a request of an account, whether or not it is admitted.
    pub fn record_request(&self, account: &account::Id) {
        *self.state.lock().request_counts.entry(account.clone()).or_default() += 1;
    }

    /// Updates the rates with the requests that were counted during `elapsed`.
    pub fn update_rates(&self, elapsed: Duration) {
        let mut state = self.state.lock();
        let request_counts = std::mem::take(&mut state.request_counts);
        let seconds = elapsed.as_secs_f64().max(0.001);
        for account in request_counts.keys() {
            state.rates.entry(account.clone()).or_default();
        }
        state.rates.retain(|account, rate| {
            let n_requests = request_counts.get(account).copied().unwrap_or(0);
            // An exponential moving average; an account is dropped when its rate is near zero.
            *rate += SMOOTHING_FACTOR * (n_requests as f64 / seconds - *rate);
            0.05 < *rate
        });
    }

    /// This node's share of the account's limit, given the number of nodes that share it.
    pub fn share(&self, account: &account::Id, site_nodes: usize) -> f64 {
        let now = self.clock.unix_millis();
        let state = self.state.lock();
        let own_rate = state.rates.get(account).copied().unwrap_or(0.0);
        let recent_reports = state.reports.values().filter(|it| is_recent(it.at_millis, now));
        let rates = recent_reports.map(|it| it.rate(account, now));
        let (n_others, sum) = rates.fold((0_usize, 0.0), |(n, sum), rate| (n + 1, sum + rate));
        let n_reporting = n_others + 1;
        let n_nodes = site_nodes.max(n_reporting);
        // Nodes without a report are assumed to have the average demand; if they were left out, the
        // others would exceed the limit by the requests that these nodes admit.
        let total = (own_rate + sum) * n_nodes as f64 / n_reporting as f64;
        (own_rate + BASE_RATE) / (total + BASE_RATE * n_nodes as f64)
    }

    /// Merges a peer's report. Of two reports for one account, the one of the later process wins,
    /// then the later one.
    pub fn merge(&self, entry: &Entry) {
        let now = self.clock.unix_millis();
        let Entry(vm, incarnation, at_millis, rates) = entry;
        if *vm == self.vm || !is_recent(*at_millis, now) || MAX_ACCOUNTS_PER_REPORT < rates.len() {
            return;
        }
        let at_millis = (*at_millis).min(now);
        let mut state = self.state.lock();
        if MAX_REPORTS <= state.reports.len() && !state.reports.contains_key(vm) {
            state.reports.retain(|_, it| is_recent(it.at_millis, now));
            if MAX_REPORTS <= state.reports.len() {
                return;
            }
        }
        let report = state.reports.entry(vm.clone()).or_default();
        if report.incarnation < *incarnation {
            *report = Report { incarnation: *incarnation, ..Report::default() };
        }
        if report.incarnation == *incarnation {
            report.merge(at_millis, rates, now);
        }
    }

    /// Removes the reports of a VM that has left.
    pub fn remove(&self, vm: &vm::Id) {
        self.state.lock().reports.remove(vm);
    }

    /// Some of this node's rates and, in rotation, those of one other node, as far as they fit.
    pub fn select_entries(&self, mut fits: impl FnMut(&Entry) -> bool) -> Vec<Entry> {
        let now = self.clock.unix_millis();
        let mut state = self.state.lock();
        state.cursor += 1;
        let cursor = state.cursor;
        let own_rates = rates_at_cursor(&state.rates, cursor, |rate| (rate * 10.0).round() as u64);
        let own_entry = Entry(self.vm.clone(), self.incarnation, now, own_rates);
        let recent: Vec<_> =
            state.reports.iter().filter(|(_, it)| is_recent(it.at_millis, now)).collect();
        let other_entry = cursor.checked_rem(recent.len()).map(|index| {
            let (vm, report) = recent[index];
            report.entry(vm, cursor / recent.len())
        });
        // An entry that doesn't fit is sent with fewer accounts. Otherwise a node whose account
        // names are long might never report its demand.
        let shrink = |mut entry: Entry| {
            while !fits(&entry) {
                entry.3.pop_last()?;
            }
            Some(entry)
        };
        // A node without demand reports that too: other nodes would assume the average for it, and
        // its share of the limit would go unused.
        [Some(own_entry), other_entry].into_iter().flatten().filter_map(shrink).collect()
    }
}

impl Report {
    fn rate(&self, account: &account::Id, now_millis: u64) -> f64 {
        let reported = self.rates.get(account).filter(|it| is_recent(it.at_millis, now_millis));
        reported.map_or(0.0, |it| it.tenths_per_second as f64 / 10.0)
    }

    fn merge(&mut self, at_millis: u64, rates: &BTreeMap<account::Id, u64>, now_millis: u64) {
        self.at_millis = self.at_millis.max(at_millis);
        for (account, tenths) in rates {
            let known_at_millis = self.rates.get(account).map_or(0, |it| it.at_millis);
            if known_at_millis < at_millis {
                self.rates.insert(
                    account.clone(),
                    ReportedRate { tenths_per_second: *tenths, at_millis },
                );
            }
        }
        self.rates.retain(|_, it| is_recent(it.at_millis, now_millis));
    }

    /// Rates that were reported at the same time are forwarded together; `cursor` rotates through
    /// the different times.
    fn entry(&self, vm: &vm::Id, cursor: usize) -> Entry {
        let times: BTreeSet<_> = self.rates.values().map(|it| it.at_millis).collect();
        let index = cursor.checked_rem(times.len()).and_then(|index| times.iter().nth(index));
        let at_millis = index.copied().unwrap_or(self.at_millis);
        let simultaneous = self.rates.iter().filter(|(_, it)| it.at_millis == at_millis);
        let rates =
            simultaneous.map(|(account, it)| (account.clone(), it.tenths_per_second)).collect();
        Entry(vm.clone(), self.incarnation, at_millis, rates)
    }
}

/// The rates of a few accounts; `cursor` rotates through all accounts.
fn rates_at_cursor<T>(
    rates: &BTreeMap<account::Id, T>,
    cursor: usize,
    to_tenths: impl Fn(&T) -> u64,
) -> BTreeMap<account::Id, u64> {
    let n_parts = rates.len().div_ceil(ACCOUNTS_PER_ENTRY).max(1);
    let start = cursor % n_parts * ACCOUNTS_PER_ENTRY;
    let selected = rates.iter().skip(start).take(ACCOUNTS_PER_ENTRY);
    selected.map(|(account, rate)| (account.clone(), to_tenths(rate))).collect()
}

fn is_recent(at_millis: u64, now_millis: u64) -> bool {
    u128::from(now_millis.saturating_sub(at_millis)) <= MAX_REPORT_AGE.as_millis()
}
