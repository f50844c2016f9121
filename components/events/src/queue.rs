//! A bounded queue between the process and the destination of its log lines.
//!
//! Standard output is often a pipe whose reader may stall. If the process wrote to it directly, the
//! first line that does not fit into the pipe would block it together with all its callers. Lines
//! therefore go into a queue of bounded length that a separate thread writes out; lines that don't
//! fit are dropped and counted.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

/// Maximum number of queued lines: the output of a busy instance in several seconds, one to two
/// megabytes.
const MAX_QUEUED_LINES: usize = 8_192;
/// Interval at which [`QueueCounters::wait`] checks whether all lines are written.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Counters of a queue's lines.
#[derive(Debug, Default)]
pub struct QueueCounters {
    queued: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

impl QueueCounters {
    /// Returns the number of lines that were dropped since the last call, and resets it.
    #[must_use]
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::AcqRel)
    }

    /// Blocks until all queued lines are written or the timeout has elapsed.
    pub fn wait(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while self.written.load(Ordering::Acquire) < self.queued.load(Ordering::Acquire)
            && Instant::now() < deadline
        {
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// The writing end of the queue. Writes never block or fail.
#[derive(Debug)]
pub struct Queue {
    tx: SyncSender<Vec<u8>>,
    counters: Arc<QueueCounters>,
}

impl Queue {
    /// Starts the thread that writes queued lines to `out`.
    ///
    /// # Errors
    /// The writer thread can't be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<(Self, Arc<QueueCounters>)> {
        Self::start_with(out, MAX_QUEUED_LINES)
    }

    /// Starts a queue that holds at most `lines` lines.
    ///
    /// # Errors
    /// The writer thread can't be started.
    pub fn start_with(
        out: impl Write + Send + 'static,
        lines: usize,
    ) -> io::Result<(Self, Arc<QueueCounters>)> {
        let (tx, rx) = sync_channel(lines);
        let counters = Arc::new(QueueCounters::default());
        let shared = Arc::clone(&counters);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_all(out, &rx, &shared))?;
        let queue = Self {
            tx,
            counters: Arc::clone(&counters),
        };
        Ok((queue, counters))
    }
}

impl Write for Queue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.counters.queued.fetch_add(1, Ordering::AcqRel);
        if self.tx.try_send(buf.to_vec()).is_err() {
            self.counters.queued.fetch_sub(1, Ordering::AcqRel);
            self.counters.dropped.fetch_add(1, Ordering::AcqRel);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(mut out: impl Write, rx: &Receiver<Vec<u8>>, counters: &QueueCounters) {
    while let Ok(line) = rx.recv() {
        // A write fails when the reader has gone; the process continues without a log.
        let _ = out.write_all(&line).and_then(|()| out.flush());
        counters.written.fetch_add(1, Ordering::AcqRel);
    }
}
