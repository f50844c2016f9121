//! What the store keeps of a rollout while it runs: the time of its order, and some evidence. A coordinator
//! goes on from it, and it is written again when the store comes back from an older copy.

use std::{sync::Arc, time::Duration};

use ::rollouts::{Checkpoint, Directive, Order, Outcome, Rollout};
use events::{Event, emit};
use timer::boot_time;
use types::{InstanceId, Moment, ServiceId, millis};

use crate::{
    adapters::StoreError,
    instances::wire::{Message, Reply},
    rollouts::{
        participation::{REPORT_TIMEOUT, coordinator, end},
        record::{RolloutRecord, RolloutState, Standing, StoredRollout},
    },
    state::{Front, unix_millis},
};

/// Time after which a rollout is recorded once more when the store has come back from a copy: by then
/// the operator has written its order again, and the record names the new revision.
const REWRITE_DELAY: Duration = Duration::from_secs(3);
/// Attempts to record a rollout again.
const MAX_REWRITES: u32 = 20;
/// Mean pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// A rollout that this instance begins to coordinate.
struct Start {
    /// When it was ordered.
    ordered_at: Moment,
    /// What an earlier coordinator has stored.
    saved: Option<Checkpoint>,
    /// How long the store took to answer.
    store_latency: Duration,
}

/// Begins to coordinate a rollout: continues one that the store has, or records a new one.
pub(super) async fn begin(front: &Arc<Front>, order: Order, appeared_at: Option<Moment>) {
    let start = match record_start(front, &order, appeared_at).await {
        Ok(Some(start)) => start,
        // It has ended, or another coordinator was faster; the next round tells.
        Ok(None) => {
            pause_after_failure().await;
            return;
        }
        Err(e) => {
            log_store_error(&order.service, &e);
            pause_after_failure().await;
            return;
        }
    };
    let now = boot_time();
    let stored = start.saved.as_ref().map(|saved| &saved.evidence);
    emit(&Event::RolloutCoordinated {
        service: Arc::clone(&order.service),
        version: Arc::clone(&order.to),
        age_ms: millis(now.saturating_sub(start.ordered_at)),
        duration_ms: millis(order.duration),
        stored_answers: stored.map_or(0, ::rollouts::Evidence::new_answers),
    });
    let limits = front.exposure_limits();
    let rollout = Rollout::new(now, order.clone(), limits, start.ordered_at)
        .with_saved(start.saved)
        .with_store_latency(start.store_latency);
    front.rollouts.with(&order.service, |local| {
        if local.order.to == order.to && local.coordinated.is_none() {
            local.coordinated = Some(rollout);
        }
    });
}

/// Records the start of a rollout unless the store or another instance knows it. Returns none if it has
/// ended, or if the record was changed meanwhile.
async fn record_start(
    front: &Arc<Front>,
    order: &Order,
    appeared_at: Option<Moment>,
) -> Result<Option<Start>, StoreError> {
    let asked_at = boot_time();
    let StoredRollout { record, revision } = front.store.read_rollout(&order.service).await?;
    let store_latency = boot_time().saturating_sub(asked_at);
    let standing = record
        .as_ref()
        .map_or(Standing::New, |record| record.standing(order));
    if let Standing::Running { .. } | Standing::New = standing
        && let Some(outcome) = ask_for_end(front, order).await
    {
        end(front, &order.service, &order.to, outcome);
        record_again(front);
        return Ok(None);
    }
    match (standing, record) {
        (Standing::Running { ordered_ms }, _) => {
            let age = Duration::from_millis(unix_millis().saturating_sub(ordered_ms));
            let saved = front.store.read_checkpoint(&order.service).await?;
            Ok(Some(Start {
                ordered_at: boot_time().saturating_sub(age),
                saved: saved.filter(|saved| saved.to == order.to && saved.at_ms >= ordered_ms),
                store_latency,
            }))
        }
        (Standing::Ended(outcome), record) => {
            end(front, &order.service, &order.to, outcome);
            if record.is_some_and(|record| record.order < order.revision) {
                record_again(front);
            }
            Ok(None)
        }
        (Standing::EarlierRunning, Some(mut record)) => {
            // The operator has ordered another version meanwhile. The store may have come back from a copy
            // that lacks the end of this one.
            let end = ask_for_earlier_end(front, &record).await;
            record.state = end.map_or(RolloutState::RolledBack, RolloutState::from);
            front.store.write_rollout(&record, revision).await?;
            Ok(None)
        }
        (Standing::Outdated | Standing::EarlierRunning, _) => Ok(None),
        (Standing::New, _) => {
            let ordered_at = appeared_at.unwrap_or_else(boot_time);
            let age = boot_time().saturating_sub(ordered_at);
            let record = RolloutRecord {
                service: Arc::clone(&order.service),
                to: Arc::clone(&order.to),
                order: order.revision,
                ordered_ms: unix_millis().saturating_sub(millis(age)),
                state: RolloutState::Running,
            };
            let is_written = front.store.write_rollout(&record, revision).await?;
            Ok(is_written.then_some(Start {
                ordered_at,
                saved: None,
                store_latency,
            }))
        }
    }
}

/// Asks the other instances whether they know the end of a rollout: the store may have lost it.
async fn ask_for_end(front: &Arc<Front>, order: &Order) -> Option<Outcome> {
    let me = front.peers.me();
    let (from, started_at) = (Arc::clone(&me.id), me.started_at);
    let report = front.rollouts.with(&order.service, |rollout| {
        rollout.report(boot_time(), from, started_at)
    })?;
    let message = Message::RolloutReport(report);
    let replies = call_all(front, &message, REPORT_TIMEOUT).await;
    replies.into_iter().find_map(|reply| match reply {
        Reply::RolloutDirective(Directive::Ended(outcome)) => Some(outcome),
        _ => None,
    })
}

/// Asks all instances, this one too, how the rollout of an earlier order has ended.
async fn ask_for_earlier_end(front: &Arc<Front>, record: &RolloutRecord) -> Option<Outcome> {
    if let Some(outcome) = front.rollouts.end_of(record) {
        return Some(outcome);
    }
    let message = Message::AskRolloutEnd(record.clone());
    let replies = call_all(front, &message, REPORT_TIMEOUT).await;
    replies.into_iter().find_map(|reply| match reply {
        Reply::RolloutDirective(Directive::Ended(outcome)) => Some(outcome),
        _ => None,
    })
}

/// Sends a message to all other instances at the same time, and collects the replies that come in time.
pub(super) async fn call_all(
    front: &Arc<Front>,
    message: &Message,
    timeout: Duration,
) -> Vec<Reply> {
    let call = |peer: InstanceId| {
        let (front, message) = (Arc::clone(front), message.clone());
        workers::spawn(async move { front.peers.try_call(&peer, &message, timeout).await })
    };
    let calls: Vec<_> = front.peers.ids().into_iter().map(call).collect();
    let mut replies = Vec::new();
    for call in calls {
        replies.extend(call.await);
    }
    replies
}

/// Stores evidence in the background. A failure is no reason to try again: the next checkpoint says more.
pub(super) fn store_checkpoint(front: &Arc<Front>, service: &ServiceId, checkpoint: Checkpoint) {
    let (front, service) = (Arc::clone(front), Arc::clone(service));
    let storing = async move {
        if let Err(e) = front.store.write_checkpoint(&service, &checkpoint).await {
            log_store_error(&service, &e);
        }
    };
    workers::spawn(storing).detach();
}

/// Records again, in the background, the rollouts that this instance coordinates: the store has come
/// back from an older copy, in which an ended one may be under way, or unknown.
pub fn record_again(front: &Arc<Front>) {
    for service in front.rollouts.services() {
        if coordinator(front, &service) == front.cfg.instance {
            workers::spawn(record_service_again(Arc::clone(front), service)).detach();
        }
    }
}

async fn record_service_again(front: Arc<Front>, service: ServiceId) {
    // At once, since the instances that know the end may be lost.
    try_record_again(&front, &service).await;
    smol::Timer::after(REWRITE_DELAY).await;
    try_record_again(&front, &service).await;
}

async fn try_record_again(front: &Front, service: &ServiceId) {
    for _ in 0..MAX_REWRITES {
        let record = front.rollouts.with(service, |rollout| {
            let coordinated_at = rollout.coordinated.as_ref().map(Rollout::ordered_at);
            let age = coordinated_at.map_or(Duration::ZERO, |at| boot_time().saturating_sub(at));
            let outcome = rollout.exposure.outcome();
            let is_known = outcome.is_some() || rollout.coordinated.is_some();
            is_known.then(|| RolloutRecord {
                service: Arc::clone(service),
                to: Arc::clone(&rollout.order.to),
                order: rollout.order.revision,
                ordered_ms: unix_millis().saturating_sub(millis(age)),
                state: outcome.map_or(RolloutState::Running, RolloutState::from),
            })
        });
        let Some(Some(record)) = record else {
            return;
        };
        match write_unless_known(front, &record).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(e) => log_store_error(service, &e),
        }
        pause_after_failure().await;
    }
}

/// Writes a record if it says more than the one that the store has. Returns whether nothing is left to
/// be written.
async fn write_unless_known(front: &Front, record: &RolloutRecord) -> Result<bool, StoreError> {
    let stored = front.store.read_rollout(&record.service).await?;
    if !record.supersedes(stored.record.as_ref()) {
        return Ok(true);
    }
    let record = record.clone().with_later_order(stored.record.as_ref());
    front.store.write_rollout(&record, stored.revision).await
}

pub(super) fn log_store_error(service: &ServiceId, error: &StoreError) {
    emit(&Event::RolloutUnrecorded {
        service: Arc::clone(service),
        reason: error.to_string().into(),
    });
}

pub(super) async fn pause_after_failure() {
    smol::Timer::after(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
}
