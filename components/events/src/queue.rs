//! A queue between the process and the place where its log lines go.
//!
//! Standard output is often a pipe, and whoever reads it may stop. A process that writes to it
//! itself then stands still with all its callers at the first line that does not fit. So lines
//! pass a queue of bounded length, and a thread of its own writes them; what does not fit is
//! dropped and counted.

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

/// Lines that may wait: some seconds of a busy instance, a megabyte or two.
const LINES: usize = 8_192;
/// Time between two looks at whether all is written.
const POLL: Duration = Duration::from_millis(5);

/// Counts of a queue.
#[derive(Debug, Default)]
pub struct Counts {
    queued: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

impl Counts {
    /// Lines that were dropped so far and not yet told of; telling sets it back.
    #[must_use]
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::AcqRel)
    }

    /// Waits until all lines are written, at most this long.
    pub fn wait(&self, patience: Duration) {
        let until = Instant::now() + patience;
        while self.written.load(Ordering::Acquire) < self.queued.load(Ordering::Acquire)
            && Instant::now() < until
        {
            thread::sleep(POLL);
        }
    }
}

/// The end of the queue that lines go into. It never waits.
#[derive(Debug)]
pub struct Queue {
    tx: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

impl Queue {
    /// Starts a queue to a writer.
    ///
    /// # Errors
    /// The thread that writes does not start.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<(Self, Arc<Counts>)> {
        Self::start_with(out, LINES)
    }

    /// Starts a queue of so many lines.
    ///
    /// # Errors
    /// The thread that writes does not start.
    pub fn start_with(
        out: impl Write + Send + 'static,
        lines: usize,
    ) -> io::Result<(Self, Arc<Counts>)> {
        let (tx, rx) = sync_channel(lines);
        let counts = Arc::new(Counts::default());
        let shared = Arc::clone(&counts);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_all(out, &rx, &shared))?;
        let queue = Self {
            tx,
            counts: Arc::clone(&counts),
        };
        Ok((queue, counts))
    }
}

impl Write for Queue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.counts.queued.fetch_add(1, Ordering::AcqRel);
        if self.tx.try_send(buf.to_vec()).is_err() {
            self.counts.queued.fetch_sub(1, Ordering::AcqRel);
            self.counts.dropped.fetch_add(1, Ordering::AcqRel);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(mut out: impl Write, rx: &Receiver<Vec<u8>>, counts: &Counts) {
    while let Ok(line) = rx.recv() {
        // Nobody reads any more; the process serves on without a log.
        let _ = out.write_all(&line).and_then(|()| out.flush());
        counts.written.fetch_add(1, Ordering::AcqRel);
    }
}
