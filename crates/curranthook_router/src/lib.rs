//! One VM's router: callers on one side, model engines and plain services on the other.
//!
//! A request is a value that passes stages, each a module with one job:
//!
//! - [`routes`]: from the caller's connection to the right stage;
//! - [`authenticate`]: which client account calls;
//! - [`parse`]: what is asked, read and checked;
//! - [`pin`] and [`token`]: the version that the session is on;
//! - [`selection`]: which version to ask, and whether a cheaper one first;
//! - [`claim`]: the right to send a call that may not be repeated;
//! - [`dispatch`]: which endpoint takes it, and who waits;
//! - [`attempt`], [`hedge`], [`call`], [`events`], [`completion`]: one attempt, a second one beside
//!   it, the attempts of a request, what an engine sends, and the answer as a stream that doesn't
//!   break off;
//! - [`bill`]: what it cost;
//! - [`chat`], [`service`], [`response`]: the two kinds of requests, put together.
//!
//! [`router`] holds what the stages share, [`snapshot`] one epoch of the configuration.
//! [`configuration`], [`leaving`], [`stall`] and [`version_health`] are the tasks beside the requests.
//! [`serve`] starts and ends it all.

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
