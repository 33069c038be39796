//! The numbers of requests that other nodes have in flight at endpoints of services without models,
//! and at brittle ones.
//!
//! Addresses many nodes that send short calls to few endpoints, or to an endpoint that fails under
//! what it has to reject. Each node reports its number to the
//! endpoint's load owner, which keeps the last report of each node in this table (see
//! [`reports`]). A report that arrives late, because its sender or the owner was paused, is
//! dropped: the calls that it counts have ended.
//!
//! [`reports`]: crate::load::reports

use std::{
    cmp::Reverse,
    collections::HashMap,
    time::{Duration, Instant},
};

use curranthook_types::endpoint;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;

use super::occupancy::{self, Observation};
use crate::{Gateway, directory::Directory};

/// How long a report is valid. A node with requests in flight repeats its report every 300 ms.
const EXPIRY: Duration = Duration::from_millis(800);
/// How long a request is expected after its node was told of room, if no report says what it did.
const EXPECTED_TIME: Duration = Duration::from_millis(300);
/// The maximum number of requests that are expected at an endpoint.
const MAX_EXPECTED: usize = 1_000;
/// The maximum number of requests that a node may report at one endpoint: more than the connections
/// that an endpoint accepts.
const MAX_COUNT: u32 = 10_000;

/// The numbers of requests at endpoints.
pub type Counts = HashMap<endpoint::Id, u32>;

/// The last report of each node.
#[derive(Debug, Default)]
pub struct Table {
    nodes: HashMap<String, Report>,
    /// The nodes that are expected to send a request to an endpoint, as its owner told them of room
    /// there, and when it did.
    expected: HashMap<endpoint::Id, Vec<(String, Instant)>>,
}

#[derive(Debug)]
struct Report {
    /// When the report was sent, or received if that is unknown.
    at: Instant,
    counts: Counts,
}

impl Table {
    /// Stores the report of `node`, in place of its previous one. `age` is the time since it was
    /// sent; none if that is unknown.
    pub fn update(&mut self, node: String, counts: Counts, age: Option<Duration>, now: Instant) {
        self.nodes.retain(|_, it| it.is_valid(now));
        self.expected.retain(|_, expected| {
            expected.retain(|(_, at)| is_expected(*at, now));
            !expected.is_empty()
        });
        let age = age.unwrap_or_default();
        let Some(at) = now.checked_sub(age).filter(|_| age < EXPIRY) else {
            log::debug!("ignoring a report of {node} that is {age:?} old");
            return;
        };
        self.nodes.insert(node, Report { at, counts });
    }

    /// The number of requests in flight at an endpoint, except those of `requester`, which knows
    /// its own.
    ///
    /// ```
    /// # use std::{collections::HashMap, time::{Duration, Instant}};
    /// # use curranthook_gateway::load::in_flight::Table;
    /// let (mut table, now) = (Table::default(), Instant::now());
    /// table.update("node-2".to_owned(), HashMap::from([("e-1".into(), 3)]), None, now);
    /// assert_eq!(table.count(&"e-1".into(), "node-1", now), 3);
    /// assert_eq!(table.count(&"e-1".into(), "node-2", now), 0);
    /// assert_eq!(table.count(&"e-1".into(), "node-1", now + Duration::from_secs(1)), 0);
    /// ```
    pub fn count(&self, endpoint: &endpoint::Id, requester: &str, now: Instant) -> u32 {
        let others = self.nodes.iter().filter(|(node, _)| *node != requester);
        let valid = others.filter(|(_, it)| it.is_valid(now));
        let counts = valid.filter_map(|(_, it)| it.counts.get(endpoint).copied());
        counts.fold(self.n_expected(endpoint, requester, now), u32::saturating_add)
    }

    /// Counts a request of `node` that an endpoint has room for, until the node reports whether it
    /// sent it. Without this, all nodes that ask at the same time would be told of the same room.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::load::in_flight::Table;
    /// let (mut table, now) = (Table::default(), Instant::now());
    /// table.expect("node-2", &"e-1".into(), now);
    /// assert_eq!(table.count(&"e-1".into(), "node-1", now), 1);
    /// assert_eq!(table.count(&"e-1".into(), "node-1", now + Duration::from_secs(1)), 0);
    /// ```
    pub fn expect(&mut self, node: &str, endpoint: &endpoint::Id, now: Instant) {
        let expected = self.expected.entry(endpoint.clone()).or_default();
        expected.retain(|(_, at)| is_expected(*at, now));
        if expected.len() < MAX_EXPECTED {
            expected.push((node.to_owned(), now));
        }
    }

    /// No longer expects the `n` requests of `node` that it was first told of: its report contains
    /// those that it sent.
    pub fn settle(&mut self, node: &str, endpoint: &endpoint::Id, n: u32) {
        let Some(expected) = self.expected.get_mut(endpoint) else { return };
        for _ in 0..n {
            let Some(index) = expected.iter().position(|(it, _)| it == node) else { return };
            expected.remove(index);
        }
    }

    fn n_expected(&self, endpoint: &endpoint::Id, requester: &str, now: Instant) -> u32 {
        let expected = self.expected.get(endpoint).into_iter().flatten();
        let n = expected.filter(|(it, at)| it != requester && is_expected(*at, now)).count();
        u32::try_from(n).unwrap_or(u32::MAX)
    }
}

fn is_expected(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < EXPECTED_TIME
}

impl Report {
    fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < EXPIRY
    }
}

/// What an owner states about endpoints in an answer.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// The requests that all nodes except the requester have in flight.
    pub counts: Counts,
    /// The numbers of requests in the answers that the owner itself got.
    pub observed: HashMap<endpoint::Id, Observed>,
    /// The numbers of requests that brittle endpoints are known to take.
    pub limits: Counts,
    /// From which number of tokens on a prompt is long for an endpoint, and the number of requests
    /// with long prompts that it is known to take.
    pub long_prompts: HashMap<endpoint::Id, (u64, u32)>,
}

impl Figures {
    /// The figures of this node for `endpoints`. `requester` is left out of the counts.
    pub fn of(gateway: &Gateway, endpoints: &[endpoint::Id], requester: &str) -> Self {
        let directory = gateway.directory.lock();
        let (mut table, now) = (gateway.in_flight_table.lock(), gateway.now());
        let is_own = gateway.settings.node == requester;
        let count = |table: &Table, id: &endpoint::Id| {
            let own = directory.get(id).filter(|_| !is_own).map_or(0, |it| it.in_flight);
            table.count(id, requester, now).saturating_add(own)
        };
        let limit = |id: &endpoint::Id| Some((id.clone(), directory.brittle_limit(id, now)?));
        // A node that has just started has not received all reports yet.
        let is_known = |id: &&endpoint::Id| {
            gateway.knows_requests() || directory.brittle_limit(id, now).is_none()
        };
        let endpoints: Vec<_> = endpoints.iter().filter(is_known).cloned().collect();
        let counts: Counts = endpoints.iter().map(|id| (id.clone(), count(&table, id))).collect();
        let limits: Counts = endpoints.iter().filter_map(limit).collect();
        let with_room = limits.iter().filter(|(id, limit)| counts.get(*id) < Some(*limit));
        with_room.for_each(|(id, _)| table.expect(requester, id, now));
        let long_prompt =
            |id: &endpoint::Id| Some((id.clone(), directory.long_prompt_limit(id, now)?));
        let long_prompts = endpoints.iter().filter_map(long_prompt).collect();
        let observed = endpoints.iter().filter_map(|id| {
            let observation = directory.get(id)?.observation(now)?;
            observation.is_usable().then(|| (id.clone(), Observed(observation)))
        });
        Self { counts, observed: observed.collect(), limits, long_prompts }
    }

    /// Adds the figures for other endpoints.
    pub fn extend(&mut self, other: Self) {
        self.counts.extend(other.counts);
        self.observed.extend(other.observed);
        self.limits.extend(other.limits);
        self.long_prompts.extend(other.long_prompts);
    }
}

/// Whether the nodes share their numbers of requests in flight at the endpoints of a service.
pub fn is_shared(gateway: &Gateway, directory: &Directory, service: &str) -> bool {
    let contention = gateway.settings.contention;
    if directory.is_brittle(service, gateway.now()) {
        return true;
    }
    occupancy::is_shared(contention, directory.reports_slowdown(service), gateway.n_nodes())
        && gateway.service(service, |it| Some(it.models.is_empty())) == Some(true)
}

/// This node's requests in flight at the endpoints of services that share them; at most `n`
/// endpoints.
pub fn own_counts(gateway: &Gateway, n: usize) -> Counts {
    let directory = gateway.directory.lock();
    let busy = directory.all().filter(|it| 0 < it.in_flight);
    let shared = busy.filter(|it| is_shared(gateway, &directory, &it.entry.service));
    let mut counts: Vec<_> = shared.map(|it| (it.entry.id.clone(), it.in_flight)).collect();
    counts.sort_unstable_by_key(|(_, in_flight)| Reverse(*in_flight));
    counts.truncate(n);
    counts.into_iter().collect()
}

/// An [`Observation`] in a message: the number of requests and the age in ms.
/// Messages contain slowdowns in a field of their own, see [`slowdowns`](super::slowdowns).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observed(pub Observation);

type ObservedFields = (u32, u64);

impl Serialize for Observed {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let Observation { requests, age } = self.0;
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let fields: ObservedFields = (requests, age_ms);
        fields.serialize(serializer)
    }
}

/// Reads counts from a message, without those that are malformed or out of range.
pub fn read_counts<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Counts, D::Error> {
    read_map(deserializer, |it| {
        let count = u32::try_from(it.as_u64()?).ok()?;
        (count <= MAX_COUNT).then_some(count)
    })
}

/// Reads lengths of prompts from a message, without those that are malformed.
pub fn read_lengths<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<HashMap<endpoint::Id, u64>, D::Error> {
    read_map(deserializer, Value::as_u64)
}

/// Reads limits for long prompts from a message, without those that are malformed or out of range.
pub fn read_long_prompts<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<HashMap<endpoint::Id, (u64, u32)>, D::Error> {
    read_map(deserializer, |it| {
        let (min, limit) = serde_json::from_value::<(u64, u32)>(it.clone()).ok()?;
        (limit <= MAX_COUNT).then_some((min, limit))
    })
}

/// Reads observations from a message, without those that are malformed or out of range.
pub fn read_observed<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<HashMap<endpoint::Id, Observed>, D::Error> {
    read_map(deserializer, |it| {
        let (requests, age_ms) = serde_json::from_value::<ObservedFields>(it.clone()).ok()?;
        let observation = Observation { requests, age: Duration::from_millis(age_ms) };
        let is_valid = requests <= MAX_COUNT && observation.is_usable();
        is_valid.then_some(Observed(observation))
    })
}

fn read_map<'de, D: Deserializer<'de>, T>(
    deserializer: D,
    read: impl Fn(&Value) -> Option<T>,
) -> Result<HashMap<endpoint::Id, T>, D::Error> {
    let Value::Object(fields) = Value::deserialize(deserializer)? else {
        log::debug!("ignoring figures of endpoints that are not a map");
        return Ok(HashMap::new());
    };
    let fields = fields.into_iter().filter_map(|(id, value)| {
        let figure = read(&value);
        if figure.is_none() {
            log::debug!("ignoring a malformed figure of endpoint {id}: {value}");
        }
        Some((id.as_str().into(), figure?))
    });
    Ok(fields.collect())
}
