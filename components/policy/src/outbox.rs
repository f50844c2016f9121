//! Messages that an owner sends.

use std::time::Duration;

use types::{AskId, InstanceId, Shard};
use wire::{Deny, Message};

use crate::api::Action;

/// Refuses an ask; `None` tells the entry to ask elsewhere.
pub fn deny(
    to: &InstanceId,
    shard: &Shard,
    ask: AskId,
    retry_after: Option<Duration>,
    out: &mut Vec<Action>,
) {
    let deny = Deny {
        shard: shard.clone(),
        ask,
        retry_after,
    };
    send(to, deny.into(), out);
}

/// Sends a message.
pub fn send(to: &InstanceId, message: Message, out: &mut Vec<Action>) {
    out.push(Action::Send {
        to: to.clone(),
        message,
    });
}
