//! The executor's threads.

use std::time::Duration;

use curranthook_http::{runtime, timeout};

const TEST_TIMEOUT: Duration = Duration::from_secs(10);
const N_THREADS: usize = 2;

// One request hits a bug and its task panics. Were the thread lost with it, a few such requests
// would leave a process that is alive and answers nobody.
#[test]
fn a_panicking_task_ends_no_executor_thread() {
    let ex = runtime::start(N_THREADS);
    for _ in 0..2 * N_THREADS {
        ex.spawn(async { panic!("a bug") }).detach();
    }
    let result = async_io::block_on(timeout::run(TEST_TIMEOUT, ex.spawn(async { 7 })));
    assert_eq!(result, Ok(7));
}
