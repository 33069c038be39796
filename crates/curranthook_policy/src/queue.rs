//! The queue of requests waiting for an endpoint.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use curranthook_types::account;

/// How far one request of an account of weight 1 advances the account's virtual time.
const COST_PER_REQUEST: f64 = 1_000_000.0;
/// The minimum weight of an account, which avoids a division by zero.
const MIN_WEIGHT: f64 = 0.001;
/// The largest share of the time left that the expected wait may take. The rest covers errors of
/// the estimate and the time to answer: a request that waits until just before its deadline fails
/// anyway.
const MAX_WAIT_SHARE: f64 = 0.3;

/// The queue cannot serve a request in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full {
    /// How long the caller should wait before it retries.
    pub retry_after: Duration,
}

/// A request removed from the queue by [`Fair::pop`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next<T> {
    /// The request to run next.
    Run(T),
    /// A request to refuse: its deadline passed while it waited.
    Expired(T),
}

/// A weighted fair queue over accounts (self-clocked fair queueing) that respects deadlines.
///
/// A request is refused on arrival if its expected wait is too long for its deadline. It would miss
/// the deadline anyway; if it is refused at once, its caller can try elsewhere, and the requests
/// behind it don't wait for a request that cannot succeed.
///
/// ```
/// # use std::time::{Duration, Instant};
/// # use curranthook_policy::queue::{Fair, Next};
/// let now = Instant::now();
/// let mut queue = Fair::new(100);
/// let deadline = now + Duration::from_secs(1);
/// queue.push("weigh", &"mekong".into(), 1.0, deadline, now).unwrap();
/// assert_eq!(queue.pop(now), Some(Next::Run("weigh")));
/// assert_eq!(queue.pop(now), None);
/// ```
#[derive(Debug)]
pub struct Fair<T> {
    capacity: usize,
    entries: BTreeMap<(u64, u64), Entry<T>>,
    flows: HashMap<account::Id, Flow>,
    virtual_time: u64,
    sequence: u64,
    n_served: u64,
    throughput: Throughput,
}

#[derive(Debug)]
struct Entry<T> {
    item: T,
    account: account::Id,
    deadline: Instant,
    /// The number of requests ahead of it on arrival, and the number served before its arrival.
    ahead: u32,
    served_before: u64,
}

/// The queueing state of one account.
#[derive(Debug)]
struct Flow {
    finish: u64,
    n_waiting: usize,
    weight: f64,
    /// The number of requests served before one of this account, relative to the number that was
    /// ahead of it on arrival. Accounts that send less than their share overtake accounts that send
    /// more; without this factor, requests of the latter would be admitted and expire in the queue.
    delay_factor: f64,
}

impl<T> Fair<T> {
    /// Creates a queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: BTreeMap::new(),
            flows: HashMap::new(),
            virtual_time: 0,
            sequence: 0,
            n_served: 0,
            throughput: Throughput::default(),
        }
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Changes the capacity; requests that are waiting stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Adds a request at its account's position, unless it would be served too late.
    pub fn push(
        &mut self,
        item: T,
        account: &account::Id,
        weight: f64,
        deadline: Instant,
        now: Instant,
    ) -> Result<(), Full> {
        let weight = weight.max(MIN_WEIGHT);
        let flow = self.flows.get(account);
        let start = flow.map_or(self.virtual_time, |it| it.finish.max(self.virtual_time));
        let finish = start.saturating_add((COST_PER_REQUEST / weight) as u64);

        let ahead = self.count_ahead(finish);
        let delay_factor = flow.map_or(1.0, |it| it.delay_factor);
        let wait = self.throughput.expected_interval(now).mul_f64(f64::from(ahead) * delay_factor);
        let time_left = deadline.saturating_duration_since(now);
        let is_too_late = time_left.is_zero() || time_left.mul_f64(MAX_WAIT_SHARE) < wait;
        if is_too_late || self.remaining_capacity(account, weight) == 0 {
            return Err(Full { retry_after: wait.max(Full::MIN_RETRY_AFTER) });
        }

        if self.entries.is_empty() {
            self.throughput.start(now);
        }
        self.sequence += 1;
        let served_before = self.n_served;
        let entry = Entry { item, account: account.clone(), deadline, ahead, served_before };
        self.entries.insert((finish, self.sequence), entry);
        let flow = self.flows.entry(account.clone()).or_insert(Flow::new(finish, weight));
        flow.finish = finish;
        flow.weight = weight;
        flow.n_waiting += 1;
        Ok(())
    }

    /// Removes and returns the next request in fair order.
    pub fn pop(&mut self, now: Instant) -> Option<Next<T>> {
        let ((finish, _), entry) = self.entries.pop_first()?;
        self.record_departure(&entry);
        if entry.deadline <= now {
            return Some(Next::Expired(entry.item));
        }
        self.virtual_time = self.virtual_time.max(finish);
        self.n_served += 1;
        Some(Next::Run(entry.item))
    }

    /// Records that an endpoint became free. While requests wait, the time between these calls
    /// measures the service rate.
    pub fn record_service(&mut self, now: Instant) {
        self.throughput.record(now);
        if self.entries.is_empty() {
            self.throughput.stop();
        }
    }

    /// How long a request is expected to wait if it arrives now from an account with weight 1 and
    /// no waiting requests.
    pub fn expected_wait(&self, now: Instant) -> Duration {
        let ahead = self.count_ahead(self.virtual_time.saturating_add(COST_PER_REQUEST as u64));
        self.throughput.expected_interval(now).saturating_mul(ahead)
    }

    fn count_ahead(&self, finish: u64) -> u32 {
        let ahead = self.entries.range(..=(finish, u64::MAX)).count();
        u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    /// How many more requests of an account may wait. The share is computed as if there were one
    /// more account of the same weight, so that a single account cannot fill the queue and lock out
    /// the next one.
    fn remaining_capacity(&self, account: &account::Id, weight: f64) -> usize {
        let others = self.flows.iter().filter(|(id, _)| *id != account);
        let others: f64 = others.map(|(_, it)| it.weight).sum();
        let share = (self.capacity as f64 * weight / (others + 2.0 * weight)).ceil() as usize;
        let waiting = self.flows.get(account).map_or(0, |it| it.n_waiting);
        share.saturating_sub(waiting).min(self.capacity.saturating_sub(self.entries.len()))
    }

    fn record_departure(&mut self, entry: &Entry<T>) {
        let Some(flow) = self.flows.get_mut(&entry.account) else {
            return;
        };
        flow.n_waiting -= 1;
        flow.update_delay_factor(entry.ahead, self.n_served - entry.served_before);
        // A flow whose finish time is behind virtual time carries no state worth keeping.
        if flow.n_waiting == 0 {
            self.flows.remove(&entry.account);
        }
    }
}

impl Flow {
    fn new(finish: u64, weight: f64) -> Self {
        Self { finish, n_waiting: 0, weight, delay_factor: 1.0 }
    }

    fn update_delay_factor(&mut self, ahead: u32, served: u64) {
        const EWMA_WEIGHT: f64 = 0.1;
        let sample = (served as f64 + 1.0) / (f64::from(ahead) + 1.0);
        self.delay_factor =
            (self.delay_factor + EWMA_WEIGHT * (sample - self.delay_factor)).max(1.0);
    }
}

impl Full {
    const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
}

/// The rate at which requests are served while others wait.
#[derive(Debug, Default)]
struct Throughput {
    mean_interval_seconds: Option<f64>,
    last_served: Option<Instant>,
}

impl Throughput {
    /// Starts timing with the first waiting request: intervals without waiting requests say nothing
    /// about the service rate.
    fn start(&mut self, now: Instant) {
        self.last_served = Some(now);
    }

    fn stop(&mut self) {
        self.last_served = None;
    }

    fn record(&mut self, now: Instant) {
        const EWMA_WEIGHT: f64 = 0.1;
        if let Some(last_served) = self.last_served {
            let sample = now.saturating_duration_since(last_served).as_secs_f64();
            let mean_interval_seconds = self.mean_interval_seconds.get_or_insert(sample);
            *mean_interval_seconds += EWMA_WEIGHT * (sample - *mean_interval_seconds);
        }
        self.last_served = Some(now);
    }

    /// The expected time between two served requests. An ongoing stall counts too, since endpoints
    /// that stop altogether never produce another interval.
    fn expected_interval(&self, now: Instant) -> Duration {
        /// The fraction of the time since the last served request that is assumed as the expected
        /// interval.
        const STALL_WEIGHT: f64 = 0.25;
        let mean_interval_seconds = self.mean_interval_seconds.unwrap_or(0.0);
        let elapsed =
            self.last_served.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        Duration::from_secs_f64(mean_interval_seconds.max(elapsed.as_secs_f64() * STALL_WEIGHT))
    }
}
