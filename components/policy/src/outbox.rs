//! Actions that send an owner's messages.

use std::time::Duration;

use types::{InstanceId, PermitRequestId, Shard};
use wire::{Deny, Message};

use crate::api::Action;

/// Denies a permit request. With `None` for `retry_after` the entry requests a permit elsewhere.
pub fn deny(
    to: &InstanceId,
    shard: &Shard,
    permit_request: PermitRequestId,
    retry_after: Option<Duration>,
    out: &mut Vec<Action>,
) {
    let deny = Deny {
        shard: shard.clone(),
        permit_request,
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
