//! Lines on their way to the log.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, PoisonError, mpsc},
    time::{Duration, Instant},
};

use events::queue::Queue;

/// A reader that takes nothing until it is let go, as a pipe whose other end stands still.
struct Stuck {
    go: mpsc::Receiver<()>,
    lines: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Fails once the test has let go for good.
        let _ = self.go.recv();
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whoever reads the log stops. A process that waited for it would serve nobody any more; this
/// one goes on, and says later how many lines are missing.
#[test]
fn a_log_that_nobody_reads_stops_nothing() {
    let (go, stuck) = mpsc::channel();
    let lines = Arc::default();
    let reader = Stuck {
        go: stuck,
        lines: Arc::clone(&lines),
    };
    let (mut queue, counts) = Queue::start_with(reader, 10).expect("a thread");
    let from = Instant::now();
    for _ in 0..1_000 {
        queue.write_all(b"x").expect("it never fails");
    }
    assert!(from.elapsed() < Duration::from_secs(1));
    // One line may be with the reader, ten wait.
    let dropped = counts.take_dropped();
    assert!((989..=990).contains(&dropped), "{dropped}");
    assert_eq!(counts.take_dropped(), 0);
    drop(go);
    counts.wait(Duration::from_secs(10));
    let written = lines.lock().unwrap_or_else(PoisonError::into_inner).len();
    assert_eq!(written as u64 + dropped, 1_000);
}
