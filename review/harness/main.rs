//! The stand-ins and clients of the scripts in `review/`: `cases NAME FOLDER`. Exits with 0 if the
//! rule held, 1 if it was broken and 2 if the case could not run.

#![allow(dead_code)]

mod http;
mod json;
mod leaving;
mod site;
mod store;

use std::path::PathBuf;

fn main() {
    let mut words = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (words.next(), words.next()) else { std::process::exit(2) };
    let folder = PathBuf::from(folder);
    let code = match name.as_str() {
        "leaving" => leaving::run(&folder),
        _ => 2,
    };
    std::process::exit(code);
}
