//! Stand-ins for engines, services and the platform, and a fault proxy; never part of the product.
//!
//! Each module is one stand-in, with a program of the same name in `src/bin`. All of them are
//! an [`app::App`] that [`program::run`] serves, and all are driven by JSON under `/control/`.

pub mod app;
pub mod engine;
pub mod fault;
pub mod hash;
pub mod platform;
pub mod program;
pub mod proxy;
pub mod rater;
pub mod service;
