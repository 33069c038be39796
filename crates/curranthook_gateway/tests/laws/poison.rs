//! Crashes of endpoints under one request, each seen by another node.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

use curranthook_gateway::{
    load::owners::Owners,
    poison::{Audience, audience},
};
use curranthook_policy::{
    hash,
    poison::{Entry, Fingerprint, Register, Standing},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::law::{Law, N_NODES};

/// The nodes to which a node passes a record on, and those that add up crashes.
const FANOUT: usize = 8;
const N_JUDGES: usize = 3;
const REQUEST: Fingerprint = [7; 16];
/// The requests in flight at an endpoint that crashes.
const N_BYSTANDERS: u8 = 200;

fn addr(node: usize) -> SocketAddr {
    ([10, 0, (node / 250) as u8, (node % 250) as u8], 7_000).into()
}

/// A fleet that learns of crashes by messages alone, as the store is away.
struct Fleet {
    owners: Owners,
    registers: Vec<Register>,
    rng: StdRng,
    now: Instant,
    n_reports: usize,
    n_passed_on: usize,
    /// The most rounds in which a record has been passed on.
    n_rounds: usize,
}

impl Fleet {
    fn new(n_nodes: usize) -> Self {
        let mut owners = Owners::default();
        (0..n_nodes).for_each(|it| owners.set_node(&format!("node-{it}"), Some(addr(it))));
        let registers = (0..n_nodes).map(|_| Register::new(4_096)).collect();
        let (rng, now) = (StdRng::seed_from_u64(7), Instant::now());
        Self { owners, registers, rng, now, n_reports: 0, n_passed_on: 0, n_rounds: 0 }
    }

    fn standing(&self, node: usize) -> Standing {
        self.registers[node].standing(REQUEST, self.now)
    }

    fn n_of(&self, standing: Standing) -> usize {
        (0..self.registers.len()).filter(|it| self.standing(*it) == standing).count()
    }

    fn judges(&self, request: Fingerprint) -> Vec<usize> {
        let hash = u64::from_be_bytes([request[0]; 8]);
        let judges = self.owners.nearest(hash, N_JUDGES);
        (0..self.registers.len()).filter(|it| judges.contains(&addr(*it))).collect()
    }

    /// An endpoint crashes under a request of `node`, which tells the judges.
    fn crash(&mut self, node: usize, request: Fingerprint, endpoint: u64) {
        let id = format!("engine-{endpoint}").as_str().into();
        let incarnation = hash::pair(endpoint, 1);
        self.registers[node].record_incarnation_crash(request, &id, incarnation, self.now);
        self.report(node, request);
    }

    /// `node` gets an answer to the request, and tells whom it told of the crashes.
    fn answer(&mut self, node: usize) {
        let before = self.standing(node);
        self.registers[node].record_answer(REQUEST, self.now);
        self.report(node, REQUEST);
        if before == Standing::Poison {
            self.pass_on(node);
        }
    }

    fn report(&mut self, node: usize, request: Fingerprint) {
        let entry = self.registers[node].entry(request, self.now).unwrap();
        for judge in self.judges(request) {
            self.n_reports += 1;
            if self.receive(judge, entry.clone()) == Audience::All {
                self.pass_on(judge);
            }
        }
    }

    fn receive(&mut self, node: usize, entry: Entry) -> Audience {
        let (request, now) = (entry.fingerprint, self.now);
        let register = &mut self.registers[node];
        let before = register.standing(request, now);
        register.merge([entry], now);
        let is_decisive = register.entry(request, now).is_some_and(|it| it.is_decisive());
        audience(before, register.standing(request, now), is_decisive)
    }

    fn pass_on(&mut self, node: usize) {
        let mut queue = VecDeque::from([(node, 0)]);
        while let Some((from, round)) = queue.pop_front() {
            let entry = self.registers[from].entry(REQUEST, self.now).unwrap();
            self.n_rounds = self.n_rounds.max(round);
            for _ in 0..FANOUT {
                self.n_passed_on += 1;
                let to = self.rng.random_range(0..self.registers.len());
                if self.receive(to, entry.clone()) == Audience::All {
                    queue.push_back((to, round + 1));
                }
            }
        }
    }
}

/// Guards against crashes that nobody adds up because each is seen by another node, against nodes that
/// tell each other of a request again and again, and against a fleet that takes the longer to know of
/// it the larger it is.
#[test]
fn crashing_request_is_known_to_all_nodes_after_two_crashes() {
    let run = |n_nodes: usize| {
        let (mut fleet, mut n_crashes) = (Fleet::new(n_nodes), 0);
        for node in 0..n_nodes {
            if fleet.standing(node) != Standing::Poison {
                n_crashes += 1;
                fleet.crash(node, REQUEST, n_crashes);
            }
        }
        (n_crashes as usize, fleet)
    };
    Law::Constant.assert(&N_NODES, |n_nodes| run(n_nodes).1.n_reports);
    Law::Constant.assert(&N_NODES, |n_nodes| run(n_nodes).1.n_passed_on / n_nodes);
    Law::Logarithmic.assert(&N_NODES, |n_nodes| run(n_nodes).1.n_rounds);
    for n_nodes in N_NODES {
        let (n_crashes, fleet) = run(n_nodes);
        let n_known = fleet.n_of(Standing::Poison);
        assert!(n_crashes <= 3, "{n_crashes} crashes of {n_nodes} nodes");
        assert!(0.99 * n_nodes as f64 <= n_known as f64, "{n_known} of {n_nodes} nodes know");
        assert!(fleet.n_passed_on <= FANOUT * (n_nodes + N_JUDGES), "{}", fleet.n_passed_on);
    }
}

/// Guards against a sound request that stays refused at nodes that the answer to it doesn't reach, and
/// against nodes that refuse it although they had an answer after the crashes.
#[test]
fn answer_reaches_all_nodes_that_were_told() {
    for n_nodes in N_NODES {
        for is_answered_before in [false, true] {
            let mut fleet = Fleet::new(n_nodes);
            if is_answered_before {
                let later = fleet.now + Duration::from_millis(10);
                fleet.registers[n_nodes / 2].record_answer(REQUEST, later);
            }
            fleet.crash(0, REQUEST, 1);
            fleet.crash(1 % n_nodes, REQUEST, 2);
            if !is_answered_before {
                fleet.answer(n_nodes / 2);
            }
            let n_refusing = fleet.n_of(Standing::Poison);
            assert!(n_refusing as f64 <= 0.01 * n_nodes as f64, "{n_refusing} of {n_nodes} refuse");
        }
    }
}

/// Guards against a crash with many requests in flight, of each of which all nodes are told.
#[test]
fn bystanders_of_a_crash_are_reported_to_judges_only() {
    Law::Constant.assert(&N_NODES, |n_nodes| {
        let mut fleet = Fleet::new(n_nodes);
        (0..N_BYSTANDERS).for_each(|it| fleet.crash(0, [it; 16], 1));
        assert_eq!(fleet.n_passed_on, 0);
        let is_refused =
            |it: &Register| (0..N_BYSTANDERS).any(|request| it.is_poison([request; 16], fleet.now));
        assert!(!fleet.registers.iter().any(is_refused));
        fleet.n_reports
    });
}
