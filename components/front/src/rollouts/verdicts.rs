//! The verdict on a rollout: written under a condition, so that two coordinators can't give two, and told to
//! all instances.

use std::{sync::Arc, time::Duration};

use ::rollouts::{Basis, Outcome, Reason};
use events::{Event, emit};
use types::millis;

use crate::{
    adapters::StoreError,
    instances::{notify::notify_all, wire::Message},
    rollouts::{
        participation::end,
        record::{RolloutRecord, RolloutState, StoredRollout},
        records::{call_all, log_store_error, pause_after_failure},
    },
    state::Front,
};

/// Time for an instance to confirm that it sends nothing more to a version. One that does not answer
/// stops when its last directive lapses.
const SUSPEND_TIMEOUT: Duration = Duration::from_millis(250);

/// A verdict that is to be written.
pub(super) struct Decision {
    pub record: RolloutRecord,
    pub reason: Reason,
    pub basis: Basis,
}

/// Writes a verdict until the store has it or another one, and tells all instances which. Before a
/// rollback is written, the version gets no further requests: who reads it may take its targets away.
pub(super) async fn write_verdict(front: &Arc<Front>, decision: Decision) {
    let Decision {
        record,
        reason,
        basis,
    } = decision;
    if record.state == RolloutState::RolledBack {
        suspend_everywhere(front, &record).await;
    }
    let mut attempts = 0;
    let outcome = loop {
        match try_write_verdict(front, &record).await {
            Ok(Some(outcome)) => break outcome,
            // The record was changed meanwhile, which is hardly the case twice in a row.
            Ok(None) if attempts == 0 => {}
            Ok(None) => pause_after_failure().await,
            Err(e) => {
                log_store_error(&record.service, &e);
                pause_after_failure().await;
            }
        }
        attempts += 1;
    };
    emit(&Event::RolloutDecided {
        service: Arc::clone(&record.service),
        version: Arc::clone(&record.to),
        outcome: outcome.to_string().into(),
        reason: reason.to_string().into(),
        answers: basis.new_answers,
        failures: basis.new_failures,
        old_answers: basis.old_answers,
        account_age_ms: millis(basis.account_age),
        order_age_ms: millis(basis.order_age),
        is_complete: basis.is_complete,
    });
    end(front, &record.service, &record.to, outcome);
    notify_all(
        front,
        &Message::RolloutEnded {
            service: Arc::clone(&record.service),
            version: Arc::clone(&record.to),
            outcome,
        },
    );
}

/// Has all instances stop sending to a version, and waits for those that answer.
async fn suspend_everywhere(front: &Arc<Front>, record: &RolloutRecord) {
    front.rollouts.suspend(&record.service, &record.to);
    let message = Message::RolloutSuspended {
        service: Arc::clone(&record.service),
        version: Arc::clone(&record.to),
    };
    call_all(front, &message, SUSPEND_TIMEOUT).await;
}

/// Writes a verdict unless the store has one. Returns the one that it has then; none if the record was
/// changed meanwhile.
async fn try_write_verdict(
    front: &Front,
    record: &RolloutRecord,
) -> Result<Option<Outcome>, StoreError> {
    let StoredRollout {
        record: stored,
        revision,
    } = front.store.read_rollout(&record.service).await?;
    if let Some(stored) = &stored {
        if record.is_of_same_order(stored) {
            if let Some(outcome) = stored.state.outcome() {
                return Ok(Some(outcome));
            }
        } else if stored.order > record.order {
            // A later order has taken the place of this one.
            return Ok(Some(Outcome::RolledBack));
        }
    }
    let record = record.clone().with_later_order(stored.as_ref());
    let is_written = front.store.write_rollout(&record, revision).await?;
    Ok(record.state.outcome().filter(|_| is_written))
}
