//! Reports to the coordinator of a rollout, and the coordinator's decisions.
//!
//! The coordinator is the first instance in an order that depends on the service. Its account is soft:
//! the reports of all instances rebuild it. What must survive is in the store: see [`super::records`] and
//! [`super::verdicts`].

use std::{sync::Arc, time::Duration};

use ::rollouts::{Directive, ExposureLimits, Fleet, Order, Outcome, Report};
use events::{Event, emit};
use timer::{Timer, boot_time};
use types::{InstanceId, Moment, ServiceId, VersionChoice, millis};

use crate::{
    generations::evacuation,
    instances::wire::{Message, Reply},
    rollouts::{
        record::RolloutRecord,
        records::{begin, store_checkpoint},
        verdicts::{Decision, write_verdict},
    },
    state::{Front, unix_millis},
};

/// Period of the coordinator's decisions.
const DECISION_PERIOD: Duration = Duration::from_millis(100);
/// Decisions between two reports of an instance.
const REPORT_INTERVAL: u32 = 3;
/// Time for the coordinator to answer a report.
pub(super) const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

impl Front {
    /// The bound on requests to a version under way.
    #[must_use]
    pub fn exposure_limits(&self) -> ExposureLimits {
        let bounds = self.bounds.read();
        ExposureLimits {
            share: bounds.exposure_share,
            slack: bounds.exposure_slack,
        }
    }
}

/// Takes part in rollouts from the first order on; does not return.
pub async fn run(front: Arc<Front>) {
    front.rollouts.first_order.wait().await;
    let mut ticks = Timer::new().every(DECISION_PERIOD);
    // Reports of instances that got the order at the same moment are spread.
    let mut round = fastrand::u32(..REPORT_INTERVAL);
    loop {
        ticks.next().await;
        round = round.wrapping_add(1);
        for service in front.rollouts.services() {
            take_part(&front, &service, round.is_multiple_of(REPORT_INTERVAL));
        }
        front.rollouts.retain(|service, choice| {
            let targets = front.view.targets();
            let mut of_service = targets.values().filter(|target| target.service == *service);
            of_service.all(|target| choice.allows(&target.version))
        });
    }
}

fn take_part(front: &Arc<Front>, service: &ServiceId, reports: bool) {
    let now = boot_time();
    let starts_migration = front.rollouts.with(service, |rollout| {
        let starts = !rollout.is_migrating && rollout.exposure.migrates(now);
        rollout.is_migrating |= starts;
        starts
    });
    if starts_migration == Some(true) {
        migrate_off_old(front, service);
    }
    let has_ended = front
        .rollouts
        .with(service, |rollout| rollout.exposure.outcome().is_some());
    if has_ended != Some(false) {
        return;
    }
    let coordinator = coordinator(front, service);
    if coordinator == front.cfg.instance {
        coordinate(front, service, now);
    }
    if reports {
        workers::spawn(report(Arc::clone(front), Arc::clone(service), coordinator)).detach();
    }
}

/// The instance that coordinates a service's rollouts.
pub(super) fn coordinator(front: &Front, service: &ServiceId) -> InstanceId {
    let order = front.peers.owners(&format!("rollout of {service}"));
    let first = order.into_iter().next();
    first.unwrap_or_else(|| Arc::clone(&front.cfg.instance))
}

/// Reports this instance's counts, and applies what the coordinator says.
async fn report(front: Arc<Front>, service: ServiceId, coordinator: InstanceId) {
    let me = front.peers.me();
    let (from, started_at) = (Arc::clone(&me.id), me.started_at);
    let report = front.rollouts.with(&service, |rollout| {
        rollout.report(boot_time(), from, started_at)
    });
    let Some(report) = report else {
        return;
    };
    let version = Arc::clone(&report.order.to);
    let directive = if coordinator == front.cfg.instance {
        receive(&front, report)
    } else {
        let message = Message::RolloutReport(report);
        match front
            .peers
            .call(&coordinator, &message, REPORT_TIMEOUT)
            .await
        {
            Some(Reply::RolloutDirective(directive)) => Some(directive),
            _ => None,
        }
    };
    let Some(directive) = directive else {
        return;
    };
    if let Directive::Ended(outcome) = directive {
        end(&front, &service, &version, outcome);
        return;
    }
    front.rollouts.with(&service, |rollout| {
        if rollout.order.to == version {
            rollout.exposure.apply(boot_time(), directive);
        }
    });
}

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

fn coordinate(front: &Arc<Front>, service: &ServiceId, now: Moment) {
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

/// Applies the end of a rollout here.
pub(super) fn end(front: &Front, service: &ServiceId, version: &Arc<str>, outcome: Outcome) {
    if front.rollouts.end(service, version, outcome) {
        emit(&Event::RolloutEnded {
            service: Arc::clone(service),
            version: Arc::clone(version),
            outcome: outcome.to_string().into(),
        });
    }
}

/// Migrates the generations that this instance accounts for off engines of the other versions: they
/// are stopped when the rollout succeeds.
fn migrate_off_old(front: &Arc<Front>, service: &ServiceId) {
    let choice = front
        .rollouts
        .with(service, |rollout| {
            VersionChoice::Only(Arc::clone(&rollout.order.to))
        })
        .unwrap_or_default();
    for target in front.view.targets().values() {
        if target.service == *service && !choice.allows(&target.version) {
            let evacuation = evacuation::evacuate_replaced(Arc::clone(front), Arc::clone(target));
            workers::spawn(evacuation).detach();
        }
    }
}
