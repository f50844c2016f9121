//! The queue of log lines.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, PoisonError, mpsc},
    time::{Duration, Instant},
};

use events::queue::Queue;

/// A writer that blocks until it is released, as a pipe whose reader has stalled.
struct BlockedWriter {
    release: mpsc::Receiver<()>,
    lines: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Fails once the test has dropped the sender, which releases all writes.
        let _ = self.release.recv();
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against blocking on a stalled reader of the log: the process would stop serving. Writes
/// have to return at once, and the dropped lines have to be counted.
#[test]
fn a_stalled_reader_does_not_block_writes() {
    let (release, released) = mpsc::channel();
    let lines = Arc::default();
    let writer = BlockedWriter {
        release: released,
        lines: Arc::clone(&lines),
    };
    let (mut queue, counters) = Queue::start_with(writer, 10).expect("a thread");
    let started_at = Instant::now();
    for _ in 0..1_000 {
        queue.write_all(b"x").expect("it never fails");
    }
    assert!(started_at.elapsed() < Duration::from_secs(1));
    // Ten lines are queued, and one more may have been taken by the blocked writer.
    let dropped = counters.take_dropped();
    assert!((989..=990).contains(&dropped), "{dropped}");
    assert_eq!(counters.take_dropped(), 0);
    drop(release);
    counters.wait(Duration::from_secs(10));
    let written = lines.lock().unwrap_or_else(PoisonError::into_inner).len();
    assert_eq!(written as u64 + dropped, 1_000);
}
