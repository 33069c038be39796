//! A panicking task must not end the executor thread that it runs on.

use std::time::Duration;

use curranthook_http::{runtime, timeout};

const TEST_TIMEOUT: Duration = Duration::from_secs(10);
const N_THREADS: usize = 2;

// A request triggers a bug and its task panics. If the panic ended the executor thread, a few such
// requests would leave a process that runs but serves no requests.
#[test]
fn a_panicking_task_ends_no_executor_thread() {
    let ex = runtime::start(N_THREADS);
    for _ in 0..2 * N_THREADS {
        ex.spawn(async { panic!("a bug") }).detach();
    }
    let result = async_io::block_on(timeout::run(TEST_TIMEOUT, ex.spawn(async { 7 })));
    assert_eq!(result, Ok(7));
}
