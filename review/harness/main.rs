//! The stand-ins and clients of the scripts in `review/`: `cases NAME RECORD`. Exits with 0 if the
//! rule held, 1 if it was broken and 2 if the case could not run.

mod http;
mod json;
mod leaving;
mod model;
mod site;
mod store;
mod streams;
mod unavailable;

use std::{path::PathBuf, time::Duration};

use crate::site::Special;

/// How long a preempted request waits: less than the gap after which its client leaves, 8 s.
const PAUSE: Duration = Duration::from_secs(3);

fn main() {
    let mut words = std::env::args().skip(1);
    let (Some(name), Some(record)) = (words.next(), words.next()) else { std::process::exit(2) };
    let record = PathBuf::from(record);
    let code = match name.as_str() {
        "model" => model::run(&record),
        "preempted" => streams::run(&record, Special::Pauses(PAUSE)),
        "unavailable" => unavailable::run(&record),
        "leaving" => leaving::run(&record),
        _ => 2,
    };
    std::process::exit(code);
}
