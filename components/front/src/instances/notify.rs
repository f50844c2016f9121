//! Sends other instances messages that they must act on, with retries.

use std::{sync::Arc, time::Duration};

use types::InstanceId;

use crate::{instances::wire::Message, state::Front};

/// Time for an instance to acknowledge a message.
pub const NOTIFY_TIMEOUT: Duration = Duration::from_millis(300);
/// Attempts per instance. An instance that misses the message gets its content with later syncs.
const MAX_ATTEMPTS: u32 = 4;
/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Sends a message to all other instances.
pub fn notify_all(front: &Arc<Front>, message: &Message) {
    for peer in front.peers.ids() {
        notify(front, peer, message.clone());
    }
}

/// Sends a message to an instance in the background, and retries if it does not answer.
pub fn notify(front: &Arc<Front>, peer: InstanceId, message: Message) {
    let front = Arc::clone(front);
    let sending = async move {
        for _ in 0..MAX_ATTEMPTS {
            if front
                .peers
                .call(&peer, &message, NOTIFY_TIMEOUT)
                .await
                .is_some()
            {
                return;
            }
            smol::Timer::after(RETRY_PAUSE).await;
        }
    };
    workers::spawn(sending).detach();
}
