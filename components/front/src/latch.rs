//! A gate that opens once, for those that wait for something to be known.

use async_channel::{Receiver, Sender, bounded};

/// A gate that opens once.
#[derive(Debug)]
pub struct Latch {
    /// Closed once the gate is open.
    closed: (Sender<()>, Receiver<()>),
}

impl Default for Latch {
    fn default() -> Self {
        Self { closed: bounded(1) }
    }
}

impl Latch {
    /// Opens it; it stays open.
    pub fn open(&self) {
        self.closed.0.close();
    }

    /// Waits until it is open.
    pub async fn wait(&self) {
        // Nothing is ever sent; it fails once the channel is closed.
        let _ = self.closed.1.recv().await;
    }
}
