//! Targets in need, which take only so many requests a second from all instances together.
//!
//! One instance for each target, the first in an order by its id, hands the rate out in slots. Shares of
//! it would be less than a request each where there are as many instances as requests a second.

use std::{sync::Arc, time::Duration};

use events::{Event, emit};
use rates::{RateReport, Reservation};
use timer::boot_time;
use types::{InstanceId, Moment, TargetId};
use view::Target;

use crate::{
    instances::{
        notify::{notify, notify_all},
        wire::{Message, Reply},
    },
    state::Front,
};

/// Time for the coordinator of a rate to answer.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(150);
/// When a caller may come back whose slot nobody could tell of: another instance keeps the rate then.
const RETRY_AFTER_NO_ANSWER: Duration = Duration::from_millis(500);

impl Front {
    /// Whether a target has named a known.
    #[must_use]
    pub fn is_limited(&self, target: &TargetId) -> bool {
        self.rate_limits.lock().rate(target).is_some()
    }
}

/// Takes what an answer to a request that was sent at `sent` says of its target's rate; the coordinator of
/// the rate tells the others.
pub fn observe(front: &Arc<Front>, target: &Target, sent: Moment, rate: Option<f64>) {
    let now = boot_time();
    let report = front
        .rate_limits
        .lock()
        .observe(now, sent, &target.id, rate);
    let Some(report) = report else {
        return;
    };
    log(&report);
    let coordinator = coordinator(front, &target.id);
    let message = Message::RateReport(report);
    if coordinator == front.cfg.instance {
        notify_all(front, &message);
    } else {
        notify(front, coordinator, message);
    }
}

/// Takes another instance's report of a rate; its coordinator tells all.
pub fn apply(front: &Arc<Front>, report: &RateReport) {
    if !front.rate_limits.lock().apply(boot_time(), report) {
        return;
    }
    log(report);
    if coordinator(front, &report.target) == front.cfg.instance {
        notify_all(front, &Message::RateReport(report.clone()));
    }
}

/// Asks for a slot of a target's rate, for a request that can wait for `max_wait`.
pub async fn reserve(front: &Arc<Front>, target: &TargetId, max_wait: Duration) -> Reservation {
    let known = front.rate_limits.lock().report(boot_time(), target);
    let Some(known) = known.filter(|report| report.rate.is_some()) else {
        return Reservation::NOW;
    };
    let coordinator = coordinator(front, target);
    if coordinator == front.cfg.instance {
        return allocate(front, &known, max_wait);
    }
    let message = Message::ReserveRate {
        report: known,
        max_wait,
    };
    match front
        .peers
        .call(&coordinator, &message, RESERVE_TIMEOUT)
        .await
    {
        Some(Reply::Reservation(reservation)) => reservation,
        _ => Reservation::Rejected {
            after: RETRY_AFTER_NO_ANSWER,
        },
    }
}

/// Hands out a slot as the coordinator of a target's rate; the asker tells what it knows of it.
pub fn allocate(front: &Arc<Front>, known: &RateReport, max_wait: Duration) -> Reservation {
    apply(front, known);
    let Some(rate) = front.rate_limits.lock().rate(&known.target) else {
        // The asker has not heard yet that the need is over.
        return Reservation::NOW;
    };
    let mut allocator = front.rate_allocator.lock();
    allocator.reserve(boot_time(), &known.target, rate, max_wait)
}

/// The instance that hands out a target's rate.
fn coordinator(front: &Front, target: &TargetId) -> InstanceId {
    let order = front.peers.owners(&format!("rate of {target}"));
    let first = order.into_iter().next();
    first.unwrap_or_else(|| Arc::clone(&front.cfg.instance))
}

fn log(report: &RateReport) {
    let target = Arc::clone(&report.target);
    match report.rate {
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
