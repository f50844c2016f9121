//! Tells other instances what they must act on.

use std::{sync::Arc, time::Duration};

use types::InstanceId;

use crate::{instances::wire::Message, state::Front};

/// Time for an instance to take a message.
pub const PATIENCE: Duration = Duration::from_millis(300);
/// Times that an instance is told before it is left to what it hears later.
const TRIES: u32 = 4;
/// Pause between them.
const AGAIN: Duration = Duration::from_millis(500);

/// Tells all others.
pub fn tell_all(front: &Arc<Front>, message: &Message) {
    for peer in front.peers.all() {
        tell(front, peer, message.clone());
    }
}

/// Tells one, again if it does not answer.
pub fn tell(front: &Arc<Front>, peer: InstanceId, message: Message) {
    let front = Arc::clone(front);
    let telling = async move {
        for _ in 0..TRIES {
            if front.peers.call(&peer, &message, PATIENCE).await.is_some() {
                return;
            }
            smol::Timer::after(AGAIN).await;
        }
    };
    workers::spawn(telling).detach();
}
