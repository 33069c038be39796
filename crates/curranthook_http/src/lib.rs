//! HTTP over `hyper` and `async-io`.
//!
//! [`runtime`] starts an executor on a few threads. [`server`] serves a [`server::Handler`] until
//! its [`stop::Stop`] is set and then finishes the requests in progress. [`client`] keeps a
//! connection pool and reports for each failure whether request bytes may have been sent, which
//! decides whether a router may tell its caller that nothing was executed. [`exchange`] makes one
//! small request and reads its whole response. [`intake`] bounds the memory for the bodies of requests.

pub mod body;
pub mod client;
pub mod exchange;
pub mod intake;
pub mod runtime;
pub mod server;
pub mod stop;
pub mod timeout;

pub use body::Body;
pub use exchange::Exchange;
