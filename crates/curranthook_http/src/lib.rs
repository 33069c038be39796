//! HTTP over `hyper` and `async-io`.
//!
//! [`runtime`] starts an executor on a few threads. [`server`] serves a [`server::Handler`]
//! until its [`stop::Stop`] is set and then finishes what is under way. [`client`] keeps a pool
//! of connections and says of each failure whether bytes may have gone out, which decides what
//! a router may tell its caller. [`exchange`] is the short way to make one small call.

pub mod body;
pub mod client;
pub mod exchange;
pub mod runtime;
pub mod server;
pub mod stop;
pub mod timeout;

pub use body::Body;
pub use exchange::Exchange;
