//! A latch that tasks wait for and that is opened once.

use async_channel::{Receiver, Sender, bounded};

/// A latch that is opened once and stays open.
#[derive(Debug)]
pub struct Latch {
    /// A channel that nothing is sent on; closed when the latch opens.
    channel: (Sender<()>, Receiver<()>),
}

impl Default for Latch {
    fn default() -> Self {
        Self {
            channel: bounded(1),
        }
    }
}

impl Latch {
    /// Opens the latch and wakes all that wait.
    pub fn open(&self) {
        self.channel.0.close();
    }

    /// Waits until the latch is open.
    pub async fn wait(&self) {
        // Returns an error once the channel is closed.
        let _ = self.channel.1.recv().await;
    }
}
