//! Requests that wait for an endpoint.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use curranthook_types::account;

/// What one request of an account of weight 1 adds to the account's virtual time.
const UNIT: f64 = 1_000_000.0;
const LEAST_WEIGHT: f64 = 0.001;
/// The part of the time left that the expected wait may take; the rest is for its error and for
/// the answer itself. A request that waits until just before its deadline is lost all the same.
const USABLE: f64 = 0.3;

/// The queue can't serve a request in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full {
    /// When to come back.
    pub retry_after: Duration,
}

/// The next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next<T> {
    /// To be run.
    Run(T),
    /// To be refused: its deadline passed while it waited.
    Expired(T),
}

/// A weighted fair queue over accounts (self-clocked fair queueing) that knows deadlines.
///
/// A request whose expected wait is longer than the time it has is refused as it arrives. It
/// would fail at its deadline anyway; told at once, its caller can go elsewhere, and requests
/// behind it don't wait for one that is lost.
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
    waiting: BTreeMap<(u64, u64), Entry<T>>,
    lanes: HashMap<account::Id, Lane>,
    virtual_time: u64,
    sequence: u64,
    taken: u64,
    service: Service,
}

#[derive(Debug)]
struct Entry<T> {
    item: T,
    account: account::Id,
    deadline: Instant,
    /// Requests ahead of it when it came, and how many had been taken by then.
    ahead: u32,
    taken_before: u64,
}

/// One account's place in virtual time.
#[derive(Debug)]
struct Lane {
    finish: u64,
    waiting: usize,
    weight: f64,
    /// How many requests were served before one of this account, for each that was ahead of
    /// it when it came. Accounts that ask for less than their share overtake those that ask
    /// for more; without this factor, the latter would be let in to wait in vain.
    overtaken: f64,
}

impl<T> Fair<T> {
    /// A queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            waiting: BTreeMap::new(),
            lanes: HashMap::new(),
            virtual_time: 0,
            sequence: 0,
            taken: 0,
            service: Service::default(),
        }
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Changes how many requests may wait; those that wait stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Puts a request in its account's place, unless it would come too late.
    pub fn push(
        &mut self,
        item: T,
        account: &account::Id,
        weight: f64,
        deadline: Instant,
        now: Instant,
    ) -> Result<(), Full> {
        let weight = weight.max(LEAST_WEIGHT);
        let lane = self.lanes.get(account);
        let start = lane.map_or(self.virtual_time, |it| it.finish.max(self.virtual_time));
        let finish = start.saturating_add((UNIT / weight) as u64);

        let ahead = self.ahead(finish);
        let overtaken = lane.map_or(1.0, |it| it.overtaken);
        let wait = self.service.interval(now).mul_f64(f64::from(ahead) * overtaken);
        let time_left = deadline.saturating_duration_since(now);
        let is_late = time_left.is_zero() || time_left.mul_f64(USABLE) < wait;
        if is_late || self.room(account, weight) == 0 {
            return Err(Full { retry_after: wait.max(Full::SHORTEST) });
        }

        if self.waiting.is_empty() {
            self.service.begin(now);
        }
        self.sequence += 1;
        let taken_before = self.taken;
        let entry = Entry { item, account: account.clone(), deadline, ahead, taken_before };
        self.waiting.insert((finish, self.sequence), entry);
        let lane = self.lanes.entry(account.clone()).or_insert(Lane::new(finish, weight));
        lane.finish = finish;
        lane.weight = weight;
        lane.waiting += 1;
        Ok(())
    }

    /// Takes the next request.
    pub fn pop(&mut self, now: Instant) -> Option<Next<T>> {
        let ((finish, _), entry) = self.waiting.pop_first()?;
        self.leave(&entry);
        if entry.deadline <= now {
            return Some(Next::Expired(entry.item));
        }
        self.virtual_time = self.virtual_time.max(finish);
        self.taken += 1;
        Some(Next::Run(entry.item))
    }

    /// An endpoint became free. The times between these calls, while requests wait, give the
    /// rate of service.
    pub fn record_service(&mut self, now: Instant) {
        self.service.add(now);
        if self.waiting.is_empty() {
            self.service.pause();
        }
    }

    /// How long a request of a new account would wait.
    pub fn expected_wait(&self, now: Instant) -> Duration {
        let ahead = self.ahead(self.virtual_time.saturating_add(UNIT as u64));
        self.service.interval(now).saturating_mul(ahead)
    }

    fn ahead(&self, finish: u64) -> u32 {
        let ahead = self.waiting.range(..=(finish, u64::MAX)).count();
        u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    /// How many more requests of an account may wait. The share is worked out as if one more
    /// account of its weight were there: an account that comes alone must not fill the queue
    /// and shut out the next.
    fn room(&self, account: &account::Id, weight: f64) -> usize {
        let others = self.lanes.iter().filter(|(id, _)| *id != account);
        let others: f64 = others.map(|(_, it)| it.weight).sum();
        let share = (self.capacity as f64 * weight / (others + 2.0 * weight)).ceil() as usize;
        let waiting = self.lanes.get(account).map_or(0, |it| it.waiting);
        share.saturating_sub(waiting).min(self.capacity.saturating_sub(self.waiting.len()))
    }

    fn leave(&mut self, entry: &Entry<T>) {
        let Some(lane) = self.lanes.get_mut(&entry.account) else {
            return;
        };
        lane.waiting -= 1;
        lane.learn(entry.ahead, self.taken - entry.taken_before);
        // A lane that is behind virtual time holds nothing worth keeping.
        if lane.waiting == 0 {
            self.lanes.remove(&entry.account);
        }
    }
}

impl Lane {
    fn new(finish: u64, weight: f64) -> Self {
        Self { finish, waiting: 0, weight, overtaken: 1.0 }
    }

    fn learn(&mut self, ahead: u32, served: u64) {
        const WEIGHT: f64 = 0.1;
        let sample = (served as f64 + 1.0) / (f64::from(ahead) + 1.0);
        self.overtaken = (self.overtaken + WEIGHT * (sample - self.overtaken)).max(1.0);
    }
}

impl Full {
    const SHORTEST: Duration = Duration::from_millis(100);
}

/// The rate at which requests are taken while others wait.
#[derive(Debug, Default)]
struct Service {
    seconds: Option<f64>,
    last: Option<Instant>,
}

impl Service {
    /// Times without waiting requests tell nothing of how fast they would be served, so the
    /// clock starts with the first that waits.
    fn begin(&mut self, now: Instant) {
        self.last = Some(now);
    }

    fn pause(&mut self) {
        self.last = None;
    }

    fn add(&mut self, now: Instant) {
        const WEIGHT: f64 = 0.1;
        if let Some(last) = self.last {
            let sample = now.saturating_duration_since(last).as_secs_f64();
            let seconds = self.seconds.get_or_insert(sample);
            *seconds += WEIGHT * (sample - *seconds);
        }
        self.last = Some(now);
    }

    /// The expected time between two requests. A stall counts as it goes on: endpoints that
    /// stop altogether never report another interval.
    fn interval(&self, now: Instant) -> Duration {
        const STALL: f64 = 0.25;
        let seconds = self.seconds.unwrap_or(0.0);
        let since = self.last.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        Duration::from_secs_f64(seconds.max(since.as_secs_f64() * STALL))
    }
}
