//! Services whose endpoints fail if they have to reject more than some requests per second.
//!
//! Addresses a fleet whose nodes each cause a rejection of their own: no node sees the requests of
//! the others, so a full endpoint, or an idle one that is found by all at once, gets more requests
//! than it can reject. While the endpoints of a service state that they are brittle, a node sends
//! one only a request that it is known to have room for, by the requests that all nodes have there
//! (see [`in_flight`](crate::load::in_flight)). Attempts without that knowledge share a rate.

pub mod limit;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::rate_limit::RateLimit;

/// How long a statement is valid after an endpoint made it. Each answer repeats it.
const STATEMENT_EXPIRY: Duration = Duration::from_secs(6);
/// How old the last statement that nodes told each other is when they tell a newer one.
const REFRESH_AGE: Duration = Duration::from_secs(2);

/// The time in which all nodes have learned of the first statement, and report their requests.
/// Endpoints let fewer requests wait only later.
const SPREAD_TIME: Duration = Duration::from_secs(1);

/// The share of the rejections that an endpoint can bear which attempts without known room may
/// cause.
const ATTEMPT_SHARE: f64 = 0.5;
/// The part of the slots that stays free for requests that nodes send at the same time.
const RESERVED_PART: u32 = 8;
/// The smallest number of rejections per second that an endpoint is taken to bear.
const MIN_REJECTIONS: f64 = 0.01;
/// How long a node's requests may be missing in what other nodes know of it.
const REPORT_DELAY: Duration = Duration::from_millis(20);

/// What the endpoints of a service state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statement {
    /// The rejections per second that each endpoint can bear, from all nodes together.
    pub max_rejections: f64,
    /// When an endpoint last stated it.
    pub at: Instant,
    /// When the first of the endpoints stated it.
    pub since: Instant,
}

impl Statement {
    fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < STATEMENT_EXPIRY
    }
}

/// The statements of all services, as known to a node.
#[derive(Debug, Default)]
pub struct Statements {
    services: HashMap<String, Known>,
}

#[derive(Debug)]
struct Known {
    statement: Statement,
    /// The last statement that this node told others or was told.
    told: Option<Statement>,
}

impl Statements {
    /// Records a statement. Returns whether other nodes are to be told, as they may not know it.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::brittle::{Statement, Statements};
    /// let (mut it, now, s) = (Statements::default(), Instant::now(), Duration::from_secs(1));
    /// let statement = |at| Statement { max_rejections: 4.0, at, since: now };
    /// assert!(it.record("engines", statement(now)));
    /// assert!(!it.record("engines", statement(now + s)), "they were told a second ago");
    /// assert!(it.record("engines", statement(now + 3 * s)));
    /// assert_eq!(it.max_rejections("engines", now + 4 * s), Some(4.0));
    /// assert_eq!(it.max_rejections("engines", now + 60 * s), None);
    /// ```
    pub fn record(&mut self, service: &str, statement: Statement) -> bool {
        if !self.services.contains_key(service) {
            let known = Known { statement, told: None };
            self.services.insert(service.to_owned(), known);
        }
        let Some(known) = self.services.get_mut(service) else { return false };
        let since = match known.statement.is_valid(statement.at) {
            true => known.statement.since.min(statement.since),
            false => statement.since,
        };
        if known.statement.at <= statement.at {
            known.statement = statement;
        }
        known.statement.since = since;
        let statement = known.statement;
        let is_told = known.told.is_some_and(|it| {
            it.max_rejections == statement.max_rejections && statement.at < it.at + REFRESH_AGE
        });
        if !is_told {
            known.told = Some(statement);
        }
        !is_told
    }

    /// Whether any statement of a service was recorded, valid or not.
    pub fn contains(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Whether some nodes may not know yet that the endpoints of a service are brittle.
    pub fn is_spreading(&self, service: &str, now: Instant) -> bool {
        let statement = self.services.get(service).map(|it| it.statement);
        statement.is_some_and(|it| now.saturating_duration_since(it.since) < SPREAD_TIME)
    }

    /// The valid statements, by service.
    pub fn valid(&self, now: Instant) -> impl Iterator<Item = (&str, Statement)> {
        let all = self.services.iter().map(|(service, it)| (service.as_str(), it.statement));
        all.filter(move |(_, it)| it.is_valid(now))
    }

    /// The rejections per second that each endpoint of a service can bear; none if its endpoints
    /// state none.
    pub fn max_rejections(&self, service: &str, now: Instant) -> Option<f64> {
        let statement = self.services.get(service)?.statement;
        statement.is_valid(now).then(|| statement.max_rejections.max(MIN_REJECTIONS))
    }
}

/// The attempts per second that all nodes together may make at an endpoint that is not known to
/// have room.
///
/// ```
/// # use curranthook_gateway::brittle;
/// assert!(brittle::attempt_rate(4.0) < 4.0);
/// ```
pub fn attempt_rate(max_rejections: f64) -> f64 {
    ATTEMPT_SHARE * max_rejections
}

/// This node's part in what all nodes together may send to a brittle endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Share {
    /// The attempts without known room.
    pub attempts: RateLimit,
    /// The node's rank among the nodes that report their requests to each other, and their number.
    /// In a large fleet, load owners count requests before they are sent, so the number is 1.
    pub rank: (u32, u32),
    /// When the first of the requests was sent that others may not know of, and their number.
    unreported: Option<(Instant, u32)>,
}

impl Share {
    /// A share of `rate` attempts per second, with no permit yet.
    pub fn new(rate: f64) -> Self {
        Self { attempts: RateLimit::without_burst(rate), rank: (0, 1), unreported: None }
    }

    /// Sets the node's rank among the nodes that divide the room, and their number.
    pub fn with_rank(self, rank: u32, n_nodes: u32) -> Self {
        Self { rank: (rank, n_nodes), ..self }
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, now: Instant) {
        let n = self.unreported(now);
        let since = self.unreported.filter(|_| 0 < n).map_or(now, |(since, _)| since);
        self.unreported = Some((since, n + 1));
    }

    /// Whether this node may send one more request to an endpoint that has room for `free` more.
    /// The nodes divide the room, as each of them sees it.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use curranthook_gateway::brittle::Share;
    /// let now = Instant::now();
    /// let has_part = |rank| Share::new(2.0).with_rank(rank, 4).has_part_of(2, now);
    /// assert_eq!((0..4).filter(|it| has_part(*it)).count(), 2);
    /// ```
    pub fn has_part_of(&self, free: u32, now: Instant) -> bool {
        let (rank, n_nodes) = (self.rank.0, self.rank.1.max(1));
        let n_sent = self.unreported(now);
        let before = free.saturating_add(n_sent);
        let part = before / n_nodes + u32::from(rank < before % n_nodes);
        0 < free && n_sent < part
    }

    fn unreported(&self, now: Instant) -> u32 {
        let recent = |(since, _): &(Instant, u32)| now < *since + REPORT_DELAY;
        self.unreported.filter(recent).map_or(0, |(_, n)| n)
    }
}
