//! A gateway node: forwards callers' requests to endpoints according to configured routes.
//!
//! A request passes through these stages:
//!
//! - [`frontend`]: receives a caller's request, admits it according to the [`document`] in force
//!   and creates a [`job`];
//! - [`startup`]: lets requests wait until the first configuration has been read;
//! - [`job`]: runs attempts until one succeeds, within the [`retry_budget`];
//! - [`rollouts`], [`cascade`], [`selection`], [`placement`]: choose the version, the model and the
//!   endpoint;
//! - [`lease`], [`attempt`]: count the request as load of an endpoint, and make one attempt there;
//!   where callers compete for capacity, a job is refused before if no endpoint can be expected to
//!   serve it;
//!   [`load`] contains what the node knows about the load of endpoints, from its own requests and
//!   from other nodes;
//! - [`permit`]: divides among the nodes the request rate of endpoints that are in [`slow_start`],
//!   announce a [`rate_limit`] or are [`brittle`]; [`retry_schedule`] spreads the `Retry-After` times of refused
//!   callers;
//! - [`forwarding`]: passes the request to another node if this one is cut off from the service;
//! - [`unary`] or [`stream`]: reads the response completely, or forwards it event by event;
//! - [`poison`], [`suspects`]: refuse requests, and parts of prompts, under which endpoints crash.
//!
//! [`placement`], [`cascade`], [`load::latency`], [`load::prefill`], [`load::snapshot`],
//! [`retry_budget`], [`permit`] and [`steps`] make decisions without I/O and without reading a clock. [`replication`]
//! and [`apply`] turn rows of the store into the node's state: [`document`], [`directory`] and
//! [`rollouts`]; [`advertised`] contains what endpoints state about themselves in response headers.
//! [`fleet_writer`] writes the [`fleet`] rows that nodes publish for each other.
//! [`gateway`] contains the state that all modules share, [`serve`] starts and stops the node.
//!
//! Deployments implement the interfaces at the edges: [`dialect::Dialect`] for callers and
//! endpoints, [`store::Store`] and [`store::Decoder`] for the store.

pub mod advertised;
pub mod affinity;
pub mod apply;
pub mod attempt;
pub mod brittle;
pub mod cascade;
pub mod connections;
pub mod dialect;
pub mod directory;
pub mod document;
pub mod entry;
pub mod event;
pub mod fleet;
pub mod fleet_writer;
pub mod forwarding;
pub mod frontend;
pub mod gateway;
pub mod job;
pub mod lease;
pub mod load;
pub mod metrics;
pub mod models;
pub mod permit;
pub mod placement;
pub mod poison;
pub mod rate_limit;
pub mod refusal;
pub mod replication;
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
pub mod suspects;
pub mod unary;
pub mod unknown_headers;

pub use gateway::Gateway;
