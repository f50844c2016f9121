//! Targets in need, which take only so many requests a second from all instances together.

use std::sync::Arc;

use events::{Event, emit};
use timer::boot_time;
use types::{Moment, TargetId};
use view::Target;

use crate::state::Front;

/// Takes what an answer to a request that was sent at `sent` says of its target's rate.
pub fn heard(front: &Front, target: &Target, sent: Moment, rate: Option<f64>) {
    let now = boot_time();
    let word = front.limits.lock().heard(now, sent, &target.id, rate);
    if let Some(word) = word {
        log(&target.id, word.rate);
    }
}

fn log(target: &TargetId, rate: Option<f64>) {
    let target = Arc::clone(target);
    match rate {
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
