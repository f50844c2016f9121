//! Targets in need, which take only so many requests a second from all instances together.
//!
//! One instance for each target, the first in an order by its id, hands the rate out in slots. Shares of
//! it would be less than a request each where there are as many instances as requests a second.

use std::{sync::Arc, time::Duration};

use events::{Event, emit};
use rates::{Slot, Word};
use timer::boot_time;
use types::{InstanceId, Moment, TargetId};
use view::Target;

use crate::{
    instances::{
        telling::{tell, tell_all},
        wire::{Message, Reply},
    },
    state::Front,
};

/// Time for the keeper of a rate to answer.
const ASK_PATIENCE: Duration = Duration::from_millis(150);
/// When a caller may come back whose slot nobody could tell of: another instance keeps the rate then.
const UNANSWERED: Duration = Duration::from_millis(500);

impl Front {
    /// Whether a target has named a limit.
    #[must_use]
    pub fn is_limited(&self, target: &TargetId) -> bool {
        self.limits.lock().rate(target).is_some()
    }
}

/// Takes what an answer to a request that was sent at `sent` says of its target's rate; the keeper of
/// the rate tells the others.
pub fn heard(front: &Arc<Front>, target: &Target, sent: Moment, rate: Option<f64>) {
    let now = boot_time();
    let word = front.limits.lock().heard(now, sent, &target.id, rate);
    let Some(word) = word else {
        return;
    };
    log(&word);
    let keeper = keeper(front, &target.id);
    let message = Message::Limit(word);
    if keeper == front.cfg.instance {
        tell_all(front, &message);
    } else {
        tell(front, keeper, message);
    }
}

/// Takes another instance's word of a rate; its keeper tells all.
pub fn learn(front: &Arc<Front>, word: &Word) {
    if !front.limits.lock().learn(boot_time(), word) {
        return;
    }
    log(word);
    if keeper(front, &word.target) == front.cfg.instance {
        tell_all(front, &Message::Limit(word.clone()));
    }
}

/// Asks for a slot of a target's rate, for a request that can wait for `patience`.
pub async fn slot(front: &Arc<Front>, target: &TargetId, patience: Duration) -> Slot {
    let known = front.limits.lock().word(boot_time(), target);
    let Some(limit) = known.filter(|word| word.rate.is_some()) else {
        return Slot::NOW;
    };
    let keeper = keeper(front, target);
    if keeper == front.cfg.instance {
        return take(front, &limit, patience);
    }
    let message = Message::Slot { limit, patience };
    match front.peers.call(&keeper, &message, ASK_PATIENCE).await {
        Some(Reply::Slot(slot)) => slot,
        _ => Slot::Full { after: UNANSWERED },
    }
}

/// Hands out a slot as the keeper of a target's rate; the asker tells what it knows of it.
pub fn take(front: &Arc<Front>, limit: &Word, patience: Duration) -> Slot {
    learn(front, limit);
    let Some(rate) = front.limits.lock().rate(&limit.target) else {
        // The asker has not heard yet that the need is over.
        return Slot::NOW;
    };
    let mut slots = front.slots.lock();
    slots.take(boot_time(), &limit.target, rate, patience)
}

/// The instance that hands out a target's rate.
fn keeper(front: &Front, target: &TargetId) -> InstanceId {
    let order = front.peers.owners(&format!("rate of {target}"));
    let first = order.into_iter().next();
    first.unwrap_or_else(|| Arc::clone(&front.cfg.instance))
}

fn log(word: &Word) {
    let target = Arc::clone(&word.target);
    match word.rate {
        Some(rate) => emit(&Event::TargetLimited {
            target,
            per_1000_s: thousandfold(rate),
        }),
        None => emit(&Event::TargetUnlimited { target }),
    }
}

fn thousandfold(rate: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "no rate is negative, and one too large is as good as the largest"
    )]
    let thousandfold = (rate * 1_000.0).round() as u64;
    thousandfold
}
