//! Integration tests: real processes behind a fault proxy.
//!
//! A test builds a [`Site`] of processes, makes calls with [`call`] and asserts on what the
//! stand-ins recorded:
//!
//! ```no_run
//! # fn main() -> anyhow::Result<()> {
//! use curranthook_tests::{Site, call::Chat};
//! curranthook_tests::run(async {
//!     let site = Site::builder().engine("e1", &["m@1"]).routers(2).start().await?;
//!     let answer = Chat::new("main", "m", "weigh crate 7").send(&site.router("r1")).await?;
//!     assert!(answer.is_whole());
//!     assert_eq!(site.engine("e1").runs().await?.len(), 1);
//!     Ok(())
//! })
//! # }
//! ```

pub mod bills;
mod binaries;
pub mod call;
pub mod process;
pub mod program;
pub mod site;
pub mod standin;
mod wait;

use std::{
    future::Future,
    sync::{Arc, OnceLock},
};

use curranthook_http::{client::Pool, runtime};
use curranthook_types::clock;

pub use process::Process;
pub use site::Site;
pub use wait::eventually;

/// Runs a test to its end.
pub fn run<F: Future>(test: F) -> F::Output {
    async_io::block_on(test)
}

/// The executor of this test process, for calls at the same time.
pub fn executor() -> &'static runtime::Handle {
    const THREADS: usize = 2;
    static EXECUTOR: OnceLock<runtime::Handle> = OnceLock::new();
    EXECUTOR.get_or_init(|| runtime::start(THREADS))
}

/// Connections for calls that don't matter to the test, such as those to stand-ins.
pub fn pool() -> &'static Arc<Pool> {
    static POOL: OnceLock<Arc<Pool>> = OnceLock::new();
    POOL.get_or_init(|| Arc::new(Pool::new(Arc::clone(executor()), Arc::new(clock::System))))
}
