//! The request router of one VM: between clients on one side and model engines and plain services
//! on the other.
//!
//! A request passes through stages, each in its own module:
//!
//! - [`routes`]: maps the path and method of a request to its handler;
//! - [`authenticate`]: identifies the client account;
//! - [`parse`]: reads and validates the request's headers and body;
//! - [`pin`] and [`token`]: the version that the request's session is pinned to;
//! - [`selection`]: selects the version, and whether a cheaper one is tried first;
//! - [`claim`]: at-most-once execution of calls that must not be repeated;
//! - [`dispatch`]: selects an endpoint, and queues requests while all endpoints are busy;
//! - [`attempt`], [`hedge`], [`call`], [`events`], [`completion`]: one attempt at one endpoint, a
//!   hedged second attempt, the retries of a request, the events that an engine sends, and a
//!   completion that is resumed on another endpoint after a failure;
//! - [`bill`]: the cost of a response;
//! - [`chat`], [`service`], [`response`]: handle the two kinds of requests, and refusals.
//!
//! [`router`] holds the state shared by the stages, [`snapshot`] one epoch of the configuration.
//! [`configuration`], [`leaving`], [`stall`] and [`version_health`] are background tasks. [`serve`]
//! starts the router and shuts it down.

pub mod attempt;
pub mod authenticate;
pub mod bill;
pub mod call;
pub mod chat;
pub mod claim;
pub mod completion;
pub mod configuration;
pub mod dispatch;
pub mod events;
pub mod hedge;
pub mod leaving;
pub mod metrics;
pub mod parse;
pub mod pin;
pub mod rating;
pub mod response;
pub mod router;
pub mod routes;
pub mod selection;
pub mod serve;
pub mod service;
pub mod snapshot;
pub mod stall;
pub mod status;
pub mod token;
pub mod version_health;

pub use router::Router;
