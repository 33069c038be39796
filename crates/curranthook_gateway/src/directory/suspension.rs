//! Endpoints that get no requests because another one seems to have their address.
//!
//! The rows of the store state which endpoints exist. What a node observes itself only suspends an
//! endpoint beside its row. After a pause, which grows, one request goes there as a probe; a response
//! of the endpoint ends the suspension.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use curranthook_types::endpoint;

use super::{Directory, Tracked};
use crate::entry::Entry;

/// The first pause, and the longest. For about the first, the entry of a crashed endpoint stays
/// listed beside that of its successor.
const PAUSE_RANGE: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(60));
/// How long after its last response an endpoint certainly has its address: an address is assigned
/// anew only some seconds after its endpoint has ended.
const ADDRESS_HELD: Duration = Duration::from_secs(2);

/// Why an endpoint is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Another endpoint responded at its address.
    OtherInstance,
    /// It rejected a request as misdirected, without naming itself, that another endpoint accepted.
    Contradicted,
    /// An endpoint with a later start is listed at its address.
    NewerEntry,
}

impl Cause {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::OtherInstance => "other_instance",
            Self::Contradicted => "contradicted",
            Self::NewerEntry => "newer_entry",
        }
    }
}

/// The beginning or the end of a suspension.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transition {
    /// The endpoint.
    pub endpoint: endpoint::Id,
    /// Whether the suspension begins, for this long, or ends.
    pub length: Option<Duration>,
    /// What began or ended it.
    pub cause: &'static str,
}

/// An endpoint's suspension.
#[derive(Debug, Clone, Copy)]
pub(super) struct Suspension {
    cause: Cause,
    pause: Duration,
    /// When the next probe may be sent.
    until: Instant,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No request is sent.
    Paused,
    /// The next request is a probe.
    Due,
    /// The probe was sent, and no other request is.
    Probing,
}

impl Suspension {
    fn new(cause: Cause, now: Instant) -> Self {
        let pause = PAUSE_RANGE.0;
        Self { cause, pause, until: now + pause, phase: Phase::Paused }
    }

    /// Whether a request may be sent as a probe.
    pub(super) fn is_due(&self) -> bool {
        self.phase == Phase::Due
    }
}

/// The endpoints that are listed at each address, by their start. Those that are known not to be
/// there are left out.
#[derive(Debug, Default)]
pub(super) struct Addresses {
    listed: HashMap<SocketAddr, BTreeSet<(u64, endpoint::Id)>>,
    /// The services of the configuration; none before there is one. Entries of other services are of
    /// other writers, and say nothing about endpoints.
    services: Option<HashSet<String>>,
    suspended: HashSet<endpoint::Id>,
    next_probe: Option<Instant>,
    transitions: Vec<Transition>,
}

impl Addresses {
    fn key(&self, entry: &Entry) -> Option<(u64, endpoint::Id)> {
        let is_known = self.services.as_ref().is_none_or(|it| it.contains(&entry.service));
        Some((entry.started_ms.filter(|_| is_known)?, entry.id.clone()))
    }

    fn remove(&mut self, entry: &Entry) {
        let Some(started_ms) = entry.started_ms else { return };
        let Some(listed) = self.listed.get_mut(&entry.addr) else { return };
        listed.remove(&(started_ms, entry.id.clone()));
        if listed.is_empty() {
            self.listed.remove(&entry.addr);
        }
    }

    /// The endpoints that started last of those listed at an address.
    fn newest(&self, addr: SocketAddr) -> Vec<endpoint::Id> {
        let Some(listed) = self.listed.get(&addr) else { return Vec::new() };
        let newest = listed.last().map(|it| it.0);
        let ids = listed.iter().rev().take_while(|it| Some(it.0) == newest);
        ids.map(|it| it.1.clone()).collect()
    }
}

impl Directory {
    /// Sets the names of the services in the configuration.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use curranthook_gateway::directory::Directory;
    /// let mut directory = Directory::default();
    /// directory.set_services(["engines"].into_iter(), Instant::now());
    /// assert!(directory.take_transitions().is_empty());
    /// ```
    pub fn set_services<'a>(&mut self, services: impl Iterator<Item = &'a str>, now: Instant) {
        let services = Some(services.map(str::to_owned).collect());
        if services == self.addresses.services {
            return;
        }
        self.addresses.services = services;
        self.addresses.listed.clear();
        let mut ids: Vec<_> = self.endpoints.keys().cloned().collect();
        ids.sort_unstable();
        for id in ids {
            self.end_suspension(&id, Some(Cause::NewerEntry), "services");
            let is_suspended = self.endpoints.get(&id).is_some_and(|it| it.suspension.is_some());
            if !is_suspended {
                self.list(&id, now);
            }
        }
    }

    /// The suspensions that began or ended since the last call.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.addresses.transitions)
    }

    /// Adds an endpoint to those at its address, which suspends the ones that started before the last.
    pub(super) fn list(&mut self, id: &endpoint::Id, now: Instant) {
        let Some(it) = self.endpoints.get(id) else { return };
        let (addr, Some(key)) = (it.entry.addr, self.addresses.key(&it.entry)) else { return };
        let started_ms = key.0;
        let before = self.addresses.newest(addr);
        self.addresses.listed.entry(addr).or_default().insert(key);
        let newest_before = before.first().and_then(|it| self.endpoints.get(it)?.entry.started_ms);
        match newest_before {
            Some(newest) if started_ms < newest => self.begin(id, Cause::NewerEntry, now),
            Some(newest) if newest < started_ms => {
                before.iter().for_each(|it| self.begin(it, Cause::NewerEntry, now));
            }
            _ => {}
        }
    }

    /// Removes an entry from those at its address, which ends the suspensions because of it.
    pub(super) fn unlist(&mut self, entry: &Entry) {
        self.addresses.remove(entry);
        for id in self.addresses.newest(entry.addr) {
            self.end_suspension(&id, Some(Cause::NewerEntry), "entry");
        }
    }

    pub(super) fn forget_suspension(&mut self, id: &endpoint::Id) {
        self.addresses.suspended.remove(id);
    }

    /// Suspends an endpoint because of `cause`, or prolongs its suspension if that was found by a
    /// probe.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use curranthook_gateway::directory::{Cause, Directory};
    /// let mut directory = Directory::default();
    /// directory.suspend(&"engine-1".into(), Cause::OtherInstance, Instant::now());
    /// assert!(directory.take_transitions().is_empty(), "it isn't listed");
    /// ```
    pub fn suspend(&mut self, id: &endpoint::Id, cause: Cause, now: Instant) {
        let Some(it) = self.endpoints.get(id) else { return };
        let held_until = it.responded_at.map(|at| at + ADDRESS_HELD);
        if cause == Cause::Contradicted && held_until.is_some_and(|until| now < until) {
            return;
        }
        let entry = it.entry.clone();
        self.begin(id, cause, now);
        self.unlist(&entry);
    }

    fn begin(&mut self, id: &endpoint::Id, cause: Cause, now: Instant) {
        let Some(it) = self.endpoints.get_mut(id) else { return };
        let suspension = match it.suspension {
            None => Suspension::new(cause, now),
            Some(known) if known.phase == Phase::Probing && cause != Cause::NewerEntry => {
                let pause = (known.pause * 2).min(PAUSE_RANGE.1);
                Suspension { cause, pause, until: now + pause, phase: Phase::Paused }
            }
            Some(known) if known.cause == Cause::NewerEntry && cause != Cause::NewerEntry => {
                Suspension { cause, ..known }
            }
            Some(_) => return,
        };
        it.suspension = Some(suspension);
        let next = self.addresses.next_probe;
        self.addresses.next_probe = next.into_iter().chain([suspension.until]).min();
        self.addresses.suspended.insert(id.clone());
        let (endpoint, length) = (id.clone(), Some(suspension.pause));
        let cause = suspension.cause.name();
        self.addresses.transitions.push(Transition { endpoint, length, cause });
    }

    /// Ends the suspension of an endpoint, only one of `kind` if that is set.
    fn end_suspension(&mut self, id: &endpoint::Id, kind: Option<Cause>, cause: &'static str) {
        let Some(it) = self.endpoints.get_mut(id) else { return };
        let is_of_kind = |it: &Suspension| kind.is_none_or(|kind| it.cause == kind);
        if it.suspension.take_if(|it| is_of_kind(it)).is_some() {
            self.addresses.suspended.remove(id);
            let endpoint = id.clone();
            self.addresses.transitions.push(Transition { endpoint, length: None, cause });
        }
    }

    /// Records that an endpoint responded at `addr`. It has that address, so endpoints that are listed
    /// there with a later start have not.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use curranthook_gateway::directory::Directory;
    /// let (mut directory, addr) = (Directory::default(), ([127, 0, 0, 1], 7_000).into());
    /// directory.record_response(&"engine-1".into(), addr, Instant::now());
    /// assert!(directory.take_transitions().is_empty());
    /// ```
    pub fn record_response(&mut self, id: &endpoint::Id, addr: SocketAddr, now: Instant) {
        let Some(it) = self.endpoints.get_mut(id).filter(|it| it.entry.addr == addr) else {
            return;
        };
        it.responded_at = Some(now);
        if it.suspension.is_none() {
            return;
        }
        let started_ms = it.entry.started_ms;
        self.end_suspension(id, None, "response");
        while let Some(newer) = self.addresses.newest(addr).into_iter().find(|it| it != id) {
            let newer_started_ms = self.endpoints.get(&newer).and_then(|it| it.entry.started_ms);
            if newer_started_ms <= started_ms {
                break;
            }
            self.suspend(&newer, Cause::OtherInstance, now);
        }
        self.list(id, now);
    }

    /// Makes those suspended endpoints available for a probe whose pauses are over.
    pub(super) fn release_probes(&mut self, now: Instant) {
        if self.addresses.next_probe.is_none_or(|at| now < at) {
            return;
        }
        let mut next = None;
        for id in &self.addresses.suspended {
            let tracked = self.endpoints.get_mut(id).and_then(|it| it.suspension.as_mut());
            let Some(it) = tracked.filter(|it| it.phase != Phase::Due) else { continue };
            if it.until <= now {
                it.phase = Phase::Due;
            } else {
                next = next.into_iter().chain([it.until]).min();
            }
        }
        self.addresses.next_probe = next;
    }

    /// Records that a request is sent to an endpoint, which is a probe if the endpoint is suspended.
    pub(super) fn record_probe(&mut self, id: &endpoint::Id, now: Instant) {
        let tracked = self.endpoints.get_mut(id).and_then(|it| it.suspension.as_mut());
        let Some(it) = tracked.filter(|it| it.is_due()) else { return };
        (it.phase, it.until) = (Phase::Probing, now + it.pause);
        let next = self.addresses.next_probe;
        self.addresses.next_probe = next.into_iter().chain([it.until]).min();
    }
}

impl Tracked {
    /// Whether the endpoint accepts new requests and isn't suspended, or may be probed.
    pub fn is_available(&self) -> bool {
        self.is_ready() && self.suspension.is_none_or(|it| it.is_due())
    }
}
