//! Enforces the rate limits that overloaded targets announce for all instances together.
//!
//! For each target one instance, the coordinator, allocates the limit request by request. A fixed
//! share for each instance would be less than one request a second where there are as many
//! instances as requests a second.

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

/// Time for the coordinator to answer.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(150);
/// Retry time for callers if the coordinator does not answer. By then another instance has become
/// the coordinator.
const RETRY_AFTER_NO_ANSWER: Duration = Duration::from_millis(500);

impl Front {
    /// Whether a target has announced a rate limit.
    #[must_use]
    pub fn is_limited(&self, target: &TargetId) -> bool {
        self.rate_limits.lock().rate(target).is_some()
    }
}

/// Records the limit in an answer to a request that was sent at `sent`. If it has changed, reports
/// it to the coordinator, which reports it to all.
pub fn observe(front: &Arc<Front>, target: &Target, sent: Moment, rate: Option<f64>) {
    let now = boot_time();
    let report = front
        .rate_limits
        .lock()
        .observe(now, sent, &target.id, rate);
    let Some(report) = report else {
        return;
    };
    log_limit(&report);
    let coordinator = coordinator(front, &target.id);
    let message = Message::RateReport(report);
    if coordinator == front.cfg.instance {
        notify_all(front, &message);
    } else {
        notify(front, coordinator, message);
    }
}

/// Applies another instance's report of a limit. If it has changed, the coordinator reports it to
/// all.
pub fn apply(front: &Arc<Front>, report: &RateReport) {
    if !front.rate_limits.lock().apply(boot_time(), report) {
        return;
    }
    log_limit(report);
    if coordinator(front, &report.target) == front.cfg.instance {
        notify_all(front, &Message::RateReport(report.clone()));
    }
}

/// Reserves one request of a target's limit, if it can be sent within `max_wait`. Granted at once
/// if the target has no limit.
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

/// Allocates one request of a limit as its coordinator. `known` is the limit as the requesting
/// instance knows it.
pub fn allocate(front: &Arc<Front>, known: &RateReport, max_wait: Duration) -> Reservation {
    apply(front, known);
    let Some(rate) = front.rate_limits.lock().rate(&known.target) else {
        // The limit has ended, and the requesting instance does not know it yet.
        return Reservation::NOW;
    };
    let mut allocator = front.rate_allocator.lock();
    allocator.reserve(boot_time(), &known.target, rate, max_wait)
}

/// The instance that allocates a target's limit.
fn coordinator(front: &Front, target: &TargetId) -> InstanceId {
    let order = front.peers.owners(&format!("rate of {target}"));
    let first = order.into_iter().next();
    first.unwrap_or_else(|| Arc::clone(&front.cfg.instance))
}

fn log_limit(report: &RateReport) {
    let target = Arc::clone(&report.target);
    match report.rate {
        Some(rate) => emit(&Event::TargetLimited {
            target,
            per_1000_s: per_1000_s(rate),
        }),
        None => emit(&Event::TargetUnlimited { target }),
    }
}

/// A rate in requests per 1000 seconds.
fn per_1000_s(rate: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rates are not negative, and saturating a huge one is fine"
    )]
    let per_1000_s = (rate * 1_000.0).round() as u64;
    per_1000_s
}
