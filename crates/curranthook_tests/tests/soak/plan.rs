//! What goes wrong when, drawn from a seed.

use std::time::Duration;

use curranthook_standin::{platform::fault, proxy::link};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

/// The routers' VMs.
pub const VMS: [&str; 4] = ["r1", "r2", "r3", "r4"];
/// The engines.
pub const ENGINES: [&str; 4] = ["e1", "e2", "e3", "e4"];
/// The instances of the ledger.
pub const SERVICES: [&str; 2] = ["s1", "s2"];
/// The version that is withdrawn on the way.
pub const WITHDRAWN: &str = "m@2";
/// The mean time between two faults.
const GAP: Duration = Duration::from_millis(700);
/// How long a fault lasts.
const LASTS_MILLIS: std::ops::Range<u64> = 300..3_500;

/// A fault and its time.
#[derive(Debug, Clone)]
pub struct Event {
    /// When it begins, counted from the start.
    pub at: Duration,
    /// When it's mended.
    pub until: Duration,
    /// What it is.
    pub fault: Fault,
}

/// What goes wrong.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// A router is killed; a new one takes its place.
    Kill(&'static str),
    /// A router stands still.
    Freeze(&'static str),
    /// Connections of a link break or go silent.
    Link(String, link::Mode),
    /// One of the platform's services fails.
    Platform(Service, fault::Mode),
    /// An engine fails in some way.
    Engine(&'static str, EngineFault),
    /// An instance of the ledger fails in some way.
    Service(&'static str, ServiceFault),
    /// A version is withdrawn for good.
    Withdraw,
}

/// A service of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Service {
    /// The table.
    Table,
    /// The object store.
    Objects,
}

/// How an engine fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// Breaks answers off.
    Cut,
    /// Answers with other requests' ids.
    Foreign,
    /// Begins and never answers.
    Hang,
    /// Ends streams without the marker.
    NoMarker,
    /// Answers with errors.
    Errors,
    /// Leaves.
    Leaving,
}

/// How an instance of the ledger fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceFault {
    /// Runs calls and never answers.
    HangAfterRun,
    /// Runs calls and answers 500.
    ErrorAfterRun,
    /// Answers with other requests' ids.
    Foreign,
    /// Answers late.
    Late,
    /// Refuses before the start.
    Refuse,
}

/// Draws the faults of a run that lasts for `time`.
pub fn draw(seed: u64, time: Duration) -> Vec<Event> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut events = vec![withdrawal(&mut rng, time)];
    let mut at = GAP;
    while at < time {
        let until = at + Duration::from_millis(rng.random_range(LASTS_MILLIS));
        events.push(Event { at, until, fault: one(&mut rng) });
        at += GAP.mul_f64(rng.random_range(0.2..1.8));
    }
    events.sort_by_key(|it| it.at);
    events
}

fn withdrawal(rng: &mut Pcg64, time: Duration) -> Event {
    let at = time.mul_f64(rng.random_range(0.2..0.5));
    Event { at, until: at, fault: Fault::Withdraw }
}

fn one(rng: &mut Pcg64) -> Fault {
    match rng.random_range(0..12) {
        0 | 1 => Fault::Kill(pick(rng, &VMS)),
        2 => Fault::Freeze(pick(rng, &VMS)),
        3 => Fault::Link(format!("peer/{}", pick(rng, &VMS)), broken(rng)),
        4 => Fault::Link(format!("caller/{}", pick(rng, &VMS)), broken(rng)),
        5 => Fault::Link(format!("platform/{}", pick(rng, &VMS)), broken(rng)),
        6 => Fault::Link(format!("endpoint/{}", pick(rng, &ENGINES)), broken(rng)),
        7 => Fault::Link(format!("endpoint/{}", pick(rng, &SERVICES)), broken(rng)),
        8 | 9 => {
            use fault::Mode::{Down, Lost, Slow};
            let service = pick(rng, &[Service::Table, Service::Objects]);
            Fault::Platform(service, pick(rng, &[Down, Slow, Lost]))
        }
        10 => {
            use EngineFault::{Cut, Errors, Foreign, Hang, Leaving, NoMarker};
            let how = pick(rng, &[Cut, Foreign, Hang, NoMarker, Errors, Leaving]);
            Fault::Engine(pick(rng, &ENGINES), how)
        }
        _ => {
            use ServiceFault::{ErrorAfterRun, Foreign, HangAfterRun, Late, Refuse};
            let how = pick(rng, &[HangAfterRun, ErrorAfterRun, Foreign, Late, Refuse]);
            Fault::Service(pick(rng, &SERVICES), how)
        }
    }
}

fn broken(rng: &mut Pcg64) -> link::Mode {
    use link::Mode::{Cut, OneWayUp, Pause, SilenceAll, SilenceOpen};
    pick(rng, &[Cut, Pause, SilenceOpen, SilenceAll, OneWayUp])
}

/// One of `all`, drawn by `rng`.
pub fn pick<T: Copy>(rng: &mut Pcg64, all: &[T]) -> T {
    all[rng.random_range(0..all.len())]
}
