//! The pool of worker threads that runs every task of a process.
//!
//! `smol::spawn` would take its number of threads from an environment variable; ours comes from
//! the settings.

use std::{future::Future, sync::OnceLock, thread};

use smol::{Executor, Task, future};

static POOL: OnceLock<Executor<'static>> = OnceLock::new();

/// Threads used where nobody said how many.
const DEFAULT_WORKERS: usize = 4;

/// Starts the pool with this many threads. The first call decides; later ones change nothing.
pub fn start(workers: usize) {
    let mut fresh = false;
    POOL.get_or_init(|| {
        fresh = true;
        Executor::new()
    });
    if !fresh {
        return;
    }
    for number in 0..workers.max(1) {
        let name = format!("worker-{number}");
        let run = || {
            if let Some(pool) = POOL.get() {
                smol::block_on(pool.run(future::pending::<()>()));
            }
        };
        // Without its threads the process can do nothing at all: a broken invariant.
        thread::Builder::new()
            .name(name)
            .spawn(run)
            .expect("a worker thread starts");
    }
}

/// Runs a task on the pool until it ends or its handle is dropped; `detach` lets it run on.
pub fn spawn<T: Send + 'static>(task: impl Future<Output = T> + Send + 'static) -> Task<T> {
    start(default_workers());
    // `start` has just filled it.
    POOL.get().expect("the pool has been started").spawn(task)
}

/// The number of threads for this machine: one a core, at most four.
#[must_use]
pub fn default_workers() -> usize {
    thread::available_parallelism().map_or(DEFAULT_WORKERS, |n| n.get().min(DEFAULT_WORKERS))
}
