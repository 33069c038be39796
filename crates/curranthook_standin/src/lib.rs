//! Simulators of engines, services and the platform, and a fault-injecting proxy. They are used in
//! tests and never part of the product.
//!
//! Each stand-in is one module with a binary `standin-<module>` in `src/bin`. Each implements
//! [`app::App`], is served by [`program::run`] and is controlled with JSON under `/control/`,
//! the proxy under `/links`.

pub mod app;
pub mod engine;
pub mod fault;
pub mod hash;
pub mod platform;
pub mod program;
pub mod proxy;
pub mod rater;
pub mod service;
