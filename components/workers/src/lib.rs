//! The pool of worker threads that runs all tasks of a process.
//!
//! It replaces `smol::spawn`, which takes its number of threads from an environment variable. The
//! number here comes from the settings.

mod latch;

use std::{future::Future, sync::OnceLock, thread};

use smol::{Executor, Task, future};

pub use latch::Latch;

static POOL: OnceLock<Executor<'static>> = OnceLock::new();

/// Default limit on the number of threads; used as the number if that of the cores is unknown.
const MAX_DEFAULT_WORKERS: usize = 4;

/// Starts the pool with this many threads. Only the first call has an effect.
pub fn start(workers: usize) {
    let mut is_first = false;
    POOL.get_or_init(|| {
        is_first = true;
        Executor::new()
    });
    if !is_first {
        return;
    }
    for number in 0..workers.max(1) {
        let name = format!("worker-{number}");
        let run = || {
            if let Some(pool) = POOL.get() {
                smol::block_on(pool.run(future::pending::<()>()));
            }
        };
        // The process can't do anything without its threads.
        thread::Builder::new()
            .name(name)
            .spawn(run)
            .expect("a worker thread starts");
    }
}

/// Runs a task on the pool until it completes or its handle is dropped. `detach` lets it run
/// without the handle.
pub fn spawn<T: Send + 'static>(task: impl Future<Output = T> + Send + 'static) -> Task<T> {
    // The number of cores is looked up in files, which takes longer than the rest.
    if POOL.get().is_none() {
        start(default_workers());
    }
    // `start` has initialized the pool.
    POOL.get().expect("the pool has been started").spawn(task)
}

/// Returns the number of threads for this machine: one per core, at most four.
#[must_use]
pub fn default_workers() -> usize {
    thread::available_parallelism()
        .map_or(MAX_DEFAULT_WORKERS, |n| n.get().min(MAX_DEFAULT_WORKERS))
}
