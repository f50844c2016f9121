//! The coordinator of a rollout: it collects the reports of all instances, and decides.
//!
//! The coordinator is the first instance in an order that depends on the service. Its account is soft:
//! the reports of all instances rebuild it. What must survive is in the store: see [`super::records`] and
//! [`super::verdicts`].

use std::sync::Arc;

use ::rollouts::{Directive, Fleet, Order, Report};
use timer::boot_time;
use types::{Moment, ServiceId, millis};

use crate::{
    rollouts::{
        record::RolloutRecord,
        records::{begin, store_checkpoint},
        verdicts::{Decision, write_verdict},
    },
    state::{Front, unix_millis},
};

/// Applies an instance's report, and tells it what to do; none if this instance does not coordinate
/// the rollout.
pub fn receive(front: &Front, report: Report) -> Option<Directive> {
    let service = Arc::clone(&report.order.service);
    let fleet = fleet(front, &report.order);
    front.rollouts.with(&service, |rollout| {
        if rollout.order.to != report.order.to {
            return None;
        }
        if let Some(outcome) = rollout.exposure.outcome() {
            let is_same = rollout.order.is_same_as(&report.order);
            return is_same.then_some(Directive::Ended(outcome));
        }
        let coordinated = rollout.coordinated.as_mut()?;
        let (now, from) = (boot_time(), Arc::clone(&report.from));
        coordinated.report(now, report);
        Some(coordinated.directive(now, &from, fleet))
    })?
}

/// Numbers of targets of the new version and of the others.
fn fleet(front: &Front, order: &Order) -> Fleet {
    let mut fleet = Fleet::default();
    for target in front.view.targets().values() {
        if target.service != order.service {
            continue;
        }
        if target.version != order.to {
            fleet.old += 1;
        } else if front.view.accepts_work(target) {
            fleet.new += 1;
        }
    }
    fleet
}

/// What the coordinator has to do next.
enum Task {
    /// Find out from the store and the other instances whether the rollout is known.
    Begin(Order, Option<Moment>),
    /// Write the verdict.
    End(Decision),
}

/// Decides on a rollout, and begins or ends it in the store.
pub(super) fn coordinate(front: &Arc<Front>, service: &ServiceId, now: Moment) {
    let order = front
        .rollouts
        .with(service, |rollout| rollout.order.clone());
    let Some(order) = order else {
        return;
    };
    let fleet = fleet(front, &order);
    let task = front.rollouts.with(service, |rollout| {
        if rollout.is_recording {
            return None;
        }
        let task = match &mut rollout.coordinated {
            None => Task::Begin(rollout.order.clone(), rollout.appeared_at),
            Some(coordinated) => {
                if rollout.is_withdrawn {
                    coordinated.withdraw();
                }
                let Some(verdict) = coordinated.decide(now, fleet).cloned() else {
                    let checkpoint = coordinated.checkpoint(now, unix_millis())?;
                    store_checkpoint(front, service, checkpoint);
                    return None;
                };
                let basis = coordinated.basis(now);
                let age = millis(now.saturating_sub(coordinated.ordered_at()));
                let record = RolloutRecord {
                    service: Arc::clone(&order.service),
                    to: Arc::clone(&order.to),
                    order: rollout.order.revision,
                    ordered_ms: unix_millis().saturating_sub(age),
                    state: verdict.outcome.into(),
                };
                Task::End(Decision {
                    record,
                    reason: verdict.reason,
                    basis,
                })
            }
        };
        rollout.is_recording = true;
        Some(task)
    });
    let Some(Some(task)) = task else {
        return;
    };
    let (front, service) = (Arc::clone(front), Arc::clone(service));
    let recording = async move {
        match task {
            Task::Begin(order, appeared_at) => begin(&front, order, appeared_at).await,
            Task::End(decision) => write_verdict(&front, decision).await,
        }
        front
            .rollouts
            .with(&service, |rollout| rollout.is_recording = false);
    };
    workers::spawn(recording).detach();
}
