//! What one instance knows of rollouts, and where it lets requests go.

use std::{sync::Arc, time::Duration};

use front::{RolloutRecord, RolloutState, rollouts::local::Rollouts};
use rollouts::{Directive, ExposureLimits, Order, Outcome};
use types::{Moment, ServiceId, ServingState, StoreVersion, VersionChoice};
use view::Target;

const LIMITS: ExposureLimits = ExposureLimits {
    share: 0.1,
    slack: 50.0,
};

fn order(to: &str, revision: u64) -> Order {
    Order {
        service: "titles".into(),
        to: to.into(),
        duration: Duration::from_secs(10),
        revision: StoreVersion::new(1, revision),
    }
}

fn target(id: &str, version: &str) -> Arc<Target> {
    Arc::new(Target {
        id: id.into(),
        service: "titles".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        data_centre: "dc-0".into(),
        slots: 6,
        state: ServingState::Live,
        cold_remaining: Duration::ZERO,
        version: version.into(),
        weights: None,
        started_at: None,
    })
}

const fn at(millis: u64) -> Moment {
    Duration::from_millis(100_000 + millis)
}

fn service() -> ServiceId {
    "titles".into()
}

/// The targets of both versions that a request with this choice may go to.
fn allowed(rollouts: &Rollouts, choice: &VersionChoice) -> Vec<String> {
    let mut targets = vec![target("old", "v1"), target("new", "v2")];
    let listed = targets.clone();
    let has_listed =
        |choice: &VersionChoice| listed.iter().any(|target| choice.allows(&target.version));
    rollouts.filter(&service(), choice, &mut targets, has_listed);
    targets.iter().map(|target| target.id.to_string()).collect()
}

#[test]
fn without_an_order_requests_go_to_all_versions() {
    let rollouts = Rollouts::default();
    assert_eq!(allowed(&rollouts, &VersionChoice::Any), ["old", "new"]);
}

/// Guards against a version that gets its full share before anybody knows that it is under way: from an
/// instance without a directive, and from one that has not seen the order.
#[test]
fn an_ordered_version_gets_nothing_without_a_directive() {
    let rollouts = Rollouts::default();
    assert!(rollouts.order(order("v2", 1), None, LIMITS));
    let (choice, is_exposed) = rollouts.choose(at(0), &service());
    assert!(!is_exposed);
    assert_eq!(allowed(&rollouts, &choice), ["old"]);
    assert_eq!(allowed(&rollouts, &VersionChoice::Any), ["old"]);
}

/// Guards against a version that is used because its targets were listed here before its order
/// arrived.
#[test]
fn a_new_version_waits_until_the_operators_rows_were_read_after_it_was_listed() {
    let rollouts = Rollouts::default();
    rollouts.record_listed(at(0), &target("old", "v1"));
    rollouts.record_listed(at(10), &target("new", "v2"));
    assert_eq!(allowed(&rollouts, &VersionChoice::Any), ["old"]);
    rollouts.confirm_orders(at(10));
    assert_eq!(allowed(&rollouts, &VersionChoice::Any), ["old"]);
    rollouts.confirm_orders(at(11));
    assert_eq!(allowed(&rollouts, &VersionChoice::Any), ["old", "new"]);
}

#[test]
fn after_a_success_requests_go_to_the_new_version_only() {
    let rollouts = Rollouts::default();
    rollouts.order(order("v2", 1), None, LIMITS);
    assert!(rollouts.end(&service(), &"v2".into(), Outcome::Succeeded));
    let (choice, _) = rollouts.choose(at(0), &service());
    assert_eq!(allowed(&rollouts, &choice), ["new"]);
    assert_eq!(allowed(&rollouts, &VersionChoice::Any), ["new"]);
}

/// Guards against a version that comes back into use by another order while its targets still run.
#[test]
fn a_version_that_was_rolled_back_stays_out_during_the_next_rollout() {
    let rollouts = Rollouts::default();
    rollouts.order(order("v2", 1), None, LIMITS);
    rollouts.end(&service(), &"v2".into(), Outcome::RolledBack);
    assert!(rollouts.order(order("v3", 2), None, LIMITS));
    assert_eq!(allowed(&rollouts, &VersionChoice::Any), ["old"]);
    rollouts.order(order("v2", 3), None, LIMITS);
    let directive = Directive::Expose {
        share: 1.0,
        slack: 10.0,
        turn_in: Duration::ZERO,
        migrate_in: Duration::ZERO,
    };
    rollouts.with(&service(), |rollout| {
        rollout.exposure.apply(at(0), directive)
    });
    let (choice, is_exposed) = rollouts.choose(at(1), &service());
    assert!(is_exposed);
    assert_eq!(allowed(&rollouts, &choice), ["new"]);
}

/// Guards against an order that begins anew, with a new deadline, because the operator wrote it twice.
#[test]
fn the_same_order_again_continues_the_rollout() {
    let rollouts = Rollouts::default();
    assert!(rollouts.order(order("v2", 1), Some(at(0)), LIMITS));
    assert!(!rollouts.order(order("v2", 2), Some(at(500)), LIMITS));
    let appeared_at = rollouts.with(&service(), |rollout| rollout.appeared_at);
    assert_eq!(appeared_at, Some(Some(at(0))));
}

/// Guards against an outage at an instance that has not heard of a success, after which the targets of
/// the other versions are gone.
#[test]
fn without_any_other_version_the_new_one_is_used() {
    let rollouts = Rollouts::default();
    rollouts.order(order("v2", 1), None, LIMITS);
    let mut targets = vec![target("new", "v2")];
    rollouts.filter(&service(), &VersionChoice::Any, &mut targets, |_| false);
    assert_eq!(targets.len(), 1);
    rollouts.end(&service(), &"v2".into(), Outcome::RolledBack);
    rollouts.filter(&service(), &VersionChoice::Any, &mut targets, |_| false);
    assert!(targets.is_empty());
}

/// Guards against a second rollout of a version because the operator has written the order again after
/// the store came back from an older copy.
#[test]
fn an_order_that_is_written_again_in_a_later_era_is_the_same_order() {
    let rollouts = Rollouts::default();
    assert!(rollouts.order(order("v2", 50), None, LIMITS));
    rollouts.end(&service(), &"v2".into(), Outcome::Succeeded);
    let mut again = order("v2", 40);
    again.revision = StoreVersion::new(2, 40);
    assert!(!rollouts.order(again, None, LIMITS));
    let outcome = rollouts.with(&service(), |rollout| rollout.exposure.outcome());
    assert_eq!(outcome, Some(Some(Outcome::Succeeded)));
    let mut next = order("v3", 41);
    next.revision = StoreVersion::new(2, 41);
    assert!(rollouts.order(next, None, LIMITS));
}

fn record(era: u64, number: u64, state: RolloutState) -> RolloutRecord {
    RolloutRecord {
        service: service(),
        to: "v2".into(),
        order: StoreVersion::new(era, number),
        ordered_ms: 1,
        state,
    }
}

/// Guards against an end that is taken back by an instance to which the rollout is still under way,
/// after the store came back from an older copy.
#[test]
fn an_end_in_the_store_is_final_and_a_lost_one_is_written_again() {
    let running = record(2, 40, RolloutState::Running);
    let ended = record(2, 40, RolloutState::Succeeded);
    assert!(running.supersedes(None));
    assert!(ended.supersedes(Some(&running)));
    assert!(!running.supersedes(Some(&ended)));
    assert!(!ended.supersedes(Some(&ended)));
    // The record names the revision that the order has in the later era.
    assert!(ended.supersedes(Some(&record(1, 50, RolloutState::Succeeded))));
    let later = record(2, 44, RolloutState::Running);
    assert!(!ended.supersedes(Some(&later)));
}
