//! Measurements, one module each.

pub mod churn;
pub mod data;
pub mod evidence;
pub mod fleet;
pub mod journal;
pub mod platform;
pub mod spread;
pub mod tables;
