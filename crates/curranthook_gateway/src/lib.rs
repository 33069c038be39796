//! One node that passes callers' requests through to endpoints, by routes.
//!
//! A request is a value that passes stages:
//!
//! - [`front`]: from the caller's connection to a [`job`], by the [`document`] in force;
//! - [`starting`]: the wait for the first configuration;
//! - [`job`]: the attempts at it, within the [`budget`] for repeats;
//! - [`rollouts`], [`cascade`], [`offer`], [`place`]: which version, model and endpoint take it;
//! - [`lease`], [`attempt`]: the place at an endpoint, and one attempt there; [`load_reports`] tells what
//!   other nodes sent there, by the [`load_table`] or, in a large fleet, by its [`load_owners`];
//! - [`permit`]: what endpoints in [`slow_start`] or with a [`rate_limit`] take from the whole fleet; [`returns`]
//!   tells refused callers when to come back;
//! - [`unary`] or [`stream`]: the answer, read whole or passed on event by event.
//!
//! [`place`], [`cascade`], [`pace`], [`prefill`], [`budget`], [`permit`] and [`steps`] decide without I/O or a clock. [`watch`] and
//! [`apply`] turn rows of the store into what the node believes: [`document`], [`directory`] and
//! [`rollouts`]; what endpoints say of themselves in answers is [`advertised`]. In a large fleet changes reach most nodes by a tree of [`relays`]; [`peers`] is
//! how nodes ask each other, and stands in for the store while that is away; [`outage`] tells
//! whether it's away from all. [`fleet_writer`] writes what the
//! nodes tell each other in [`fleet`] rows. [`gateway`] holds what all of them share, [`serve`]
//! starts and ends it.
//!
//! At the borders stand [`dialect::Dialect`] (callers and endpoints), [`store::Store`] and
//! [`store::Decoder`]; a deployment implements them.

pub mod advertised;
pub mod affinity;
pub mod apply;
pub mod attempt;
pub mod cascade;
pub mod connections;
pub mod dialect;
pub mod directory;
pub mod document;
pub mod entry;
pub mod event;
pub mod fleet;
pub mod fleet_writer;
pub mod frontend;
pub mod gateway;
pub mod job;
pub mod latency;
pub mod lease;
pub mod load_owners;
pub mod load_reports;
pub mod load_table;
pub mod metrics;
pub mod mirror;
pub mod models;
pub mod outage;
pub mod peers;
pub mod permit;
pub mod placement;
pub mod prefill;
pub mod rate_limit;
pub mod refusal;
pub mod relays;
pub mod request;
pub mod retry_budget;
pub mod retry_schedule;
pub mod rollouts;
pub mod selection;
pub mod serve;
pub mod settings;
pub mod signal;
pub mod slow_start;
pub mod splitter;
pub mod startup;
pub mod steps;
pub mod store;
pub mod stream;
pub mod unary;
pub mod unknown_headers;
pub mod watch;

pub use gateway::Gateway;
