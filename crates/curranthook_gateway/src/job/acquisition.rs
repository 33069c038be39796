//! Acquires the lease of an attempt: asks peers about the load of endpoints, and selects one.

use std::time::Duration;

use async_io::Timer;
use curranthook_policy::hash;
use curranthook_types::endpoint;

use super::Job;
use crate::{
    document::RetryPolicy,
    lease::Lease,
    load::{
        in_flight,
        reports::{self, PeerState, Query},
    },
    models::Candidate,
    permit::lending,
    refusal::{Reason, Refusal},
    rollouts::{Basis, Rule},
    selection::{self, Criteria, TargetModel, Unavailable},
};

/// The `Retry-After` while no endpoint is reachable: about the time until a reachable endpoint is
/// discovered.
const RETRY_AFTER_NO_ENDPOINT: Duration = Duration::from_millis(700);

/// The number of times that peers are queried for a reachable endpoint before one is selected, and for
/// endpoints with room.
const MAX_QUERY_ROUNDS: usize = 3;

/// The divisor of a request's time that yields how much of it is left when the request is refused, as
/// nobody states whether endpoints have room. The caller may use it for a retry.
const MAX_QUERY_TIME_DIVISOR: u32 = 2;

impl Job {
    /// Acquires a lease for the next attempt at the best endpoint.
    pub(super) async fn acquire_lease(&mut self) -> Result<Lease, Refusal> {
        let rule = self.version_rule();
        let peer_state = self.peer_state.take();
        let criteria = self.criteria(&rule, self.models.current());
        self.check_memory()?;
        let mut peer_state = match peer_state {
            Some(peer_state) => peer_state,
            None => self.query_peers(&criteria).await,
        };
        let lease = self.place(&criteria, &mut peer_state).await?;
        peer_state.settle(&self.gateway);
        let lease = lease.map_err(|e| match e {
            Unavailable::NoEndpoint => self.no_endpoint_refusal(&criteria),
            Unavailable::Full => self.full_refusal(),
        })?;
        if let Some(prefix_hash) = criteria.prefix_hash {
            lease.record_prefix(prefix_hash);
        }
        self.version_basis = self.version_basis(&rule, &lease);
        Ok(lease)
    }

    /// Places the request at an endpoint: by what `peer_state` tells, by what the owners of further
    /// endpoints add to it, or under a permit that another node lends. Refuses it if the endpoint is
    /// not expected to serve it.
    async fn place(
        &self,
        criteria: &Criteria<'_>,
        peer_state: &mut PeerState,
    ) -> Result<Result<Lease, Unavailable>, Refusal> {
        let decided = self.check_capacity(criteria, peer_state).await?;
        let mut lease = Lease::acquire(&self.gateway, &decided, peer_state);
        let (mut n_rounds, until) = (1, self.time_left() / MAX_QUERY_TIME_DIVISOR);
        while matches!(lease, Err(Unavailable::Full)) {
            let is_asked = if n_rounds < MAX_QUERY_ROUNDS {
                self.query_others(criteria, peer_state).await
            } else {
                until < self.time_left() && self.query_unanswered(criteria, peer_state).await
            };
            if !is_asked {
                break;
            }
            n_rounds += 1;
            lease = Lease::acquire(&self.gateway, &decided, peer_state);
        }
        if lease.is_ok() {
            return Ok(lease);
        }
        let request = &self.request.head.id;
        let Some(endpoint) = lending::borrow(&self.gateway, request, &decided, peer_state).await
        else {
            return Ok(lease);
        };
        let criteria = Criteria { borrowed: Some(&endpoint), ..decided };
        let decided = self.check_capacity(&criteria, peer_state).await?;
        Ok(Lease::acquire(&self.gateway, &decided, peer_state))
    }

    /// What the choice of the lease's version is based on, during a rollout.
    fn version_basis(&self, rule: &Rule, lease: &Lease) -> Option<Basis> {
        let now = self.gateway.store_time();
        let basis = {
            let rollouts = self.gateway.rollouts.lock();
            rollouts.basis(&self.service, rule, &lease.version, now)?
        };
        if basis.last_resort {
            self.gateway.metrics.record_last_resort(basis.rule);
        }
        Some(Basis {
            concentrated: lease.is_concentrated,
            session: format!("{:016x}", self.session_hash()),
            ..basis
        })
    }

    /// The versions that the request may be sent to now.
    pub(super) fn version_rule(&self) -> Rule {
        let knowledge = self.gateway.rollout_knowledge();
        let rollouts = self.gateway.rollouts.lock();
        let rule = rollouts.rule(&self.service, self.session_hash(), knowledge);
        // A loaded endpoint is more likely to reject a request, or to fail it once more.
        let is_at_most_once = matches!(self.route.retry_policy, RetryPolicy::AtMostOnce);
        let has_failed = !self.tried_endpoints.is_empty();
        if is_at_most_once || has_failed { rule.spread() } else { rule }
    }

    /// The refusal of a request that no endpoint can take.
    fn no_endpoint_refusal(&self, criteria: &Criteria<'_>) -> Refusal {
        let Some(throttled) = selection::throttled(&self.gateway, criteria) else {
            return self.refusal(Reason::NoEndpoint).with_retry_after(RETRY_AFTER_NO_ENDPOINT);
        };
        let (n_nodes, now) = (self.gateway.n_nodes(), self.gateway.now());
        let after_pause = throttled.resumes_at.map(|it| it.saturating_duration_since(now));
        // Callers may be at few nodes, which then send more than an equal part.
        let used = self.gateway.directory.lock().permit_usage(&self.service, now);
        let own_rate = (throttled.rate / n_nodes as f64).max(used.min(throttled.rate));
        let own_rate = Some(own_rate).filter(|it| 0.0 < *it);
        let after_interval =
            own_rate.map(|it| self.gateway.retry_schedule.lock().reserve(&self.service, it, now));
        let retry_after = after_pause.into_iter().chain(after_interval).min();
        self.refusal(Reason::Throttled)
            .with_retry_after(retry_after.unwrap_or(RETRY_AFTER_NO_ENDPOINT))
    }

    /// Queries peers about the load of the endpoints that may take the request. Returns an empty
    /// state in a small fleet, where each node reports its load to all others without being
    /// queried.
    pub(super) async fn query_peers(&self, criteria: &Criteria<'_>) -> PeerState {
        let mut peer_state = PeerState::default();
        for _ in 0..MAX_QUERY_ROUNDS {
            let shortlist = selection::shortlist(&self.gateway, criteria);
            if shortlist.is_empty() {
                return PeerState::default();
            }
            peer_state = self.query_owners(shortlist, criteria).await;
            if peer_state.unreachable.is_empty() {
                break;
            }
            let now = self.gateway.now();
            let mut directory = self.gateway.directory.lock();
            peer_state.unreachable.iter().for_each(|it| directory.eject(it, now));
            // One reachable endpoint is enough.
            if peer_state.waiting.keys().any(|it| !peer_state.unreachable.contains(it)) {
                break;
            }
        }
        peer_state
    }

    /// Queries the owners of endpoints that `peer_state` does not cover, as those that it covers have
    /// no room, and adds what they answer. Returns whether there are any.
    async fn query_others(&self, criteria: &Criteria<'_>, peer_state: &mut PeerState) -> bool {
        let in_flight = self.counts_requests();
        let is_covered = |it: &&endpoint::Id| !in_flight || peer_state.knows_room(it);
        let covered = peer_state.waiting.keys().filter(is_covered).chain(&peer_state.unreachable);
        let tried: Vec<_> = covered.chain(criteria.tried).cloned().collect();
        let others = Criteria { tried: &tried, prefix_hash: None, ..*criteria };
        let mut endpoints = selection::shortlist(&self.gateway, &others);
        endpoints.retain(|it| !tried.contains(it));
        if endpoints.is_empty() {
            return false;
        }
        let asked = peer_state.asked.clone();
        let time_left = Some(self.time_left());
        let query = Query { endpoints, in_flight, asked, time_left, ..Query::default() };
        peer_state.extend(reports::query(&self.gateway, query).await);
        let now = self.gateway.now();
        peer_state.eject_unreachable(&mut self.gateway.directory.lock(), now);
        true
    }

    /// Queries the owners of brittle endpoints of which nobody has stated yet how many requests they
    /// take. Returns whether there are any.
    ///
    /// An owner that is busy answers later, and one that does not answer is replaced by the next one.
    async fn query_unanswered(&self, criteria: &Criteria<'_>, peer_state: &mut PeerState) -> bool {
        let (time_left, started) = (self.time_left(), self.gateway.now());
        let mut endpoints = {
            let directory = self.gateway.directory.lock();
            let is_unanswered = |it: &&endpoint::Id| {
                !peer_state.knows_room(it)
                    && !peer_state.unreachable.contains(it)
                    && !criteria.tried.contains(it)
                    && directory.brittle_limit(it, started).is_some()
            };
            peer_state.asked.iter().filter(is_unanswered).cloned().collect::<Vec<_>>()
        };
        endpoints.sort_unstable();
        endpoints.dedup();
        if endpoints.is_empty() {
            return false;
        }
        let asked = peer_state.asked.clone();
        let query = Query {
            endpoints,
            in_flight: true,
            asked,
            time_left: Some(time_left),
            ..Query::default()
        };
        let answer_timeout = query.required_answer_timeout();
        peer_state.extend(reports::query(&self.gateway, query).await);
        let now = self.gateway.now();
        peer_state.eject_unreachable(&mut self.gateway.directory.lock(), now);
        if !peer_state.asked.iter().any(|it| peer_state.knows_room(it)) {
            // No owner could be asked, or it does not know the requests yet.
            let elapsed = now.saturating_duration_since(started);
            Timer::after(answer_timeout.saturating_sub(elapsed)).await;
        }
        true
    }

    /// Whether load owners are asked for the number of requests at endpoints.
    pub(super) fn counts_requests(&self) -> bool {
        in_flight::is_shared(&self.gateway, &self.gateway.directory.lock(), &self.service)
    }

    async fn query_owners(
        &self,
        shortlist: Vec<endpoint::Id>,
        criteria: &Criteria<'_>,
    ) -> PeerState {
        let query = Query {
            endpoints: shortlist,
            prefix_hash: criteria.prefix_hash,
            in_flight: self.counts_requests(),
            ..Query::default()
        };
        let mut peer_state = reports::query(&self.gateway, query).await;
        let is_unreported = |it: &endpoint::Id| !peer_state.waiting.contains_key(it);
        let holders = peer_state.holders.iter().flatten();
        let unreported: Vec<_> = holders.filter(|it| is_unreported(it)).cloned().collect();
        if !unreported.is_empty() {
            let in_flight = self.counts_requests();
            let query = Query { endpoints: unreported, in_flight, ..Query::default() };
            peer_state.extend(reports::query(&self.gateway, query).await);
        }
        peer_state
    }

    /// The selection criteria if `model` is to answer.
    pub(super) fn criteria<'a>(
        &'a self,
        rule: &'a Rule,
        model: Option<&Candidate>,
    ) -> Criteria<'a> {
        let name = model.map_or("", |it| it.name.as_str());
        Criteria {
            service: &self.service,
            rule,
            tried: &self.tried_endpoints,
            prefix_hash: selection::prefix_hash(self.request.prefix_hash(), name),
            prefix_tokens: self.request.prefix_tokens(),
            prompt_tokens: self.request.prompt_tokens(),
            model: model.map(|it| TargetModel {
                relative_price: it.relative_price,
                latency: self.latency(it),
            }),
            priority: model.and_then(|it| self.contended_priority(it)),
            borrowed: None,
            at_most_once: matches!(self.route.retry_policy, RetryPolicy::AtMostOnce),
            time_left: self.time_left(),
            salt: hash::bytes(self.request.head.id.as_bytes()),
        }
    }
}
