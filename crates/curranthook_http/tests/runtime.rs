//! The executor's threads.

use std::time::Duration;

use curranthook_http::{runtime, timeout};

const LIMIT: Duration = Duration::from_secs(10);
const N_THREADS: usize = 2;

// One request hits a bug and its task panics. Were the thread lost with it, a few such requests
// would leave a process that is alive and answers nobody.
#[test]
fn a_task_that_panics_takes_no_thread_with_it() {
    let ex = runtime::start(N_THREADS);
    for _ in 0..2 * N_THREADS {
        ex.spawn(async { panic!("a bug") }).detach();
    }
    let answer = async_io::block_on(timeout::run(LIMIT, ex.spawn(async { 7 })));
    assert_eq!(answer, Ok(7));
}
