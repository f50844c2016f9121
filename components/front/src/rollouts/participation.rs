//! An instance's part in rollouts: it reports its counts to the coordinator, does what that says, and migrates
//! generations off the other versions.

use std::{sync::Arc, time::Duration};

use ::rollouts::{Directive, ExposureLimits, Outcome};
use events::{Event, emit};
use timer::{Timer, boot_time};
use types::{InstanceId, ServiceId, VersionChoice};

use crate::{
    generations::evacuation,
    instances::wire::{Message, Reply},
    rollouts::coordination::{coordinate, receive},
    state::Front,
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
