//! A multi-threaded executor.

use std::{future::Future, sync::Arc, thread};

use async_executor::Executor;

/// The executor that all tasks of a process run on.
pub type Handle = Arc<Executor<'static>>;

/// Starts an executor on `threads` threads and runs `main` on the calling thread.
///
/// Tasks that are still running when `main` returns are dropped with the process, so `main` must
/// await every task that has to finish.
///
/// ```
/// let n = curranthook_http::runtime::run(2, |ex| async move { ex.spawn(async { 7 }).await });
/// assert_eq!(n, 7);
/// ```
pub fn run<F: Future>(threads: usize, main: impl FnOnce(Handle) -> F) -> F::Output {
    let ex = start(threads);
    async_io::block_on(main(ex))
}

/// Starts an executor on `threads` threads that live as long as the process.
pub fn start(threads: usize) -> Handle {
    let ex: Handle = Arc::new(Executor::new());
    for n in 0..threads.max(1) {
        let ex = Arc::clone(&ex);
        thread::Builder::new()
            .name(format!("worker-{n}"))
            .spawn(move || async_io::block_on(ex.run(std::future::pending::<()>())))
            .expect("failed to spawn an executor thread");
    }
    ex
}
