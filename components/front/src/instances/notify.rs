//! Tells other instances what they must act on.

use std::{sync::Arc, time::Duration};

use types::InstanceId;

use crate::{instances::wire::Message, state::Front};

/// Time for an instance to take a message.
pub const NOTIFY_TIMEOUT: Duration = Duration::from_millis(300);
/// Times that an instance is told before it is left to what it hears later.
const MAX_ATTEMPTS: u32 = 4;
/// Pause between them.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Tells all others.
pub fn notify_all(front: &Arc<Front>, message: &Message) {
    for peer in front.peers.ids() {
        notify(front, peer, message.clone());
    }
}

/// Tells one, again if it does not answer.
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
