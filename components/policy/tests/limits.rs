//! Cold start, the growth of the limit after it, and the return to cold start.

mod support;

use std::time::Duration;

use policy::{Event, TargetLimits, TargetLoad};
use support::{DATA_CENTRE, Fixture, finished_outcome, limits, target, view, warm_report};
use types::ServingState;
use wire::{Grant, Outcome};

fn large_limits() -> TargetLimits {
    TargetLimits {
        memory_tokens: 1_000_000,
        queue_limit: 1000,
        ..limits()
    }
}

fn large_report(running: u32) -> TargetLoad {
    TargetLoad {
        running,
        capacity: 1_000_000,
        ..warm_report()
    }
}

/// Requests permits until no more are granted, and returns the grants.
fn saturate(fixture: &mut Fixture, number: &mut u64) -> Vec<Grant> {
    let mut grants = Vec::new();
    for _ in 0..40 {
        *number += 1;
        fixture.request_permit("entry", *number);
        grants.extend(fixture.grants());
    }
    grants
}

/// Finishes the work under each permit with a first-token time in ms, and returns the permits
/// granted meanwhile.
fn finish(fixture: &mut Fixture, grants: Vec<Grant>, first: u64) -> Vec<Grant> {
    let mut next = Vec::new();
    for grant in grants {
        let outcome = Outcome::Finished {
            produced: 10,
            first: Duration::from_millis(first),
            took: Duration::from_millis(first + 100),
        };
        fixture.return_permit("entry", &grant, outcome);
        next.extend(fixture.grants());
    }
    next
}

/// A fixture whose only target has become warm and uses its whole limit.
fn warmed_up() -> (Fixture, Vec<Grant>) {
    let mut fixture = Fixture::owning(view(vec![target("a", 1)], large_limits()));
    let mut number = 0;
    let mut grants = saturate(&mut fixture, &mut number);
    assert_eq!(grants.len(), 2);
    for _ in 0..12 {
        grants = finish(&mut fixture, grants, 50);
        number += 40;
        grants.extend(saturate(&mut fixture, &mut number));
    }
    assert!(grants.len() > 8, "{}", grants.len());
    (fixture, grants)
}

#[test]
fn a_cold_target_gets_more_only_after_enough_requests_have_finished() {
    let mut fixture = Fixture::owning(view(vec![target("a", 1)], large_limits()));
    let mut number = 0;
    let first = saturate(&mut fixture, &mut number);
    let second = finish(&mut fixture, first, 50);
    assert_eq!(second.len(), 2, "two of four have finished");
    let third = finish(&mut fixture, second, 50);
    assert!((2..=4).contains(&third.len()), "{}", third.len());
    assert!(third.iter().any(|grant| !grant.cold));
}

// A target's own report takes precedence over the number of finished requests.
#[test]
fn a_target_that_reports_itself_cold_stays_cold() {
    let mut fixture = Fixture::owning(view(vec![target("a", 1)], large_limits()));
    let cold = TargetLoad {
        warm: false,
        ..large_report(0)
    };
    fixture.report_load("a", cold);
    let mut number = 0;
    let mut grants = saturate(&mut fixture, &mut number);
    for _ in 0..6 {
        grants = finish(&mut fixture, grants, 50);
        assert!(grants.iter().all(|grant| grant.cold) && grants.len() == 2);
    }
}

// When the owner changes, targets have long been warm. A new owner that treated them as cold would
// lose most of the capacity for minutes.
#[test]
fn a_new_owner_trusts_a_target_that_reports_itself_warm() {
    let mut fixture = Fixture::new(view(vec![target("a", 1)], large_limits()));
    fixture.report_load("a", large_report(10));
    fixture.become_owner(2, &[]);
    let mut number = 0;
    let grants = saturate(&mut fixture, &mut number);
    assert!(grants.len() >= 9 && !grants[0].cold, "{}", grants.len());
}

// A restarted target is cold, whatever its first report says.
#[test]
fn a_new_incarnation_of_a_target_starts_cold() {
    let (mut fixture, before) = warmed_up();
    fixture.event(Event::ViewChanged(view(
        vec![target("a", 2)],
        large_limits(),
    )));
    let mut granted = fixture.grants();
    // Permits of the earlier incarnation may still be on their way. They count until their entries
    // report them as lost and the new incarnation reports that it runs none of them.
    for grant in &before {
        fixture.return_permit("entry", grant, Outcome::Failed);
        granted.extend(fixture.grants());
    }
    assert!(granted.is_empty());
    fixture.advance(100);
    fixture.report_load(
        "a",
        TargetLoad {
            incarnation: 2,
            ..large_report(0)
        },
    );
    granted.extend(fixture.grants());
    granted.extend(saturate(&mut fixture, &mut 9000));
    assert_eq!(granted.len(), 2);
    assert!(
        granted
            .iter()
            .all(|grant| grant.cold && grant.incarnation == 2)
    );
}

// A restart that the listing does not show yet is seen first in the target's report. Work meant for
// the earlier incarnation would exceed the limit of the cold target.
#[test]
fn a_target_gets_nothing_while_listing_and_report_disagree_about_its_incarnation() {
    let (mut fixture, grants) = warmed_up();
    fixture.report_load(
        "a",
        TargetLoad {
            incarnation: 2,
            ..large_report(0)
        },
    );
    assert!(finish(&mut fixture, grants, 50).is_empty());
}

// A warm target can turn cold without notice, for example when it loses its cache or reloads the
// model. The first-token time shows it before any report, and full load would overload the target.
#[test]
fn slow_first_tokens_put_a_target_back_into_cold_start() {
    let (mut fixture, mut grants) = warmed_up();
    let rest = grants.split_off(2);
    fixture.advance(100);
    assert!(finish(&mut fixture, grants, 3000).len() <= 1);
    let (last, others) = rest.split_at(rest.len() - 2);
    assert!(
        finish(&mut fixture, last.to_vec(), 50).is_empty(),
        "still over the limit"
    );
    let next = finish(&mut fixture, others.to_vec(), 50);
    assert!(next.len() <= 2 && next.iter().all(|grant| grant.cold));
}

#[test]
fn a_target_that_refuses_work_gets_half_as_much_at_once() {
    let (mut fixture, mut grants) = warmed_up();
    let before = grants.len();
    let refused = grants.remove(0);
    fixture.return_permit("entry", &refused, Outcome::Overloaded);
    assert!(fixture.grants().is_empty());
    grants.truncate(before / 2 - 2);
    assert!(finish(&mut fixture, grants, 50).is_empty());
}

// When operators take a data centre out of service and back in, its targets have lost their caches,
// and all the work that returns at once would overload them.
#[test]
fn targets_of_a_data_centre_that_returns_start_cold() {
    let (mut fixture, grants) = warmed_up();
    let mut out = view(vec![target("a", 1)], large_limits());
    out.data_centres_out.push(DATA_CENTRE.into());
    fixture.event(Event::ViewChanged(out));
    for grant in grants {
        fixture.return_permit("entry", &grant, finished_outcome(10));
        assert!(fixture.grants().is_empty());
    }
    fixture.event(Event::ViewChanged(view(
        vec![target("a", 1)],
        large_limits(),
    )));
    fixture.report_load("a", large_report(0));
    let mut number = 9000;
    let granted = saturate(&mut fixture, &mut number);
    assert_eq!(granted.len(), 2);
}

#[test]
fn a_leaving_target_finishes_its_work_and_gets_no_more() {
    let (mut fixture, grants) = warmed_up();
    let mut leaving = target("a", 1);
    leaving.state = ServingState::Leaving;
    fixture.event(Event::ViewChanged(view(
        vec![leaving, target("b", 1)],
        large_limits(),
    )));
    let next = finish(&mut fixture, grants, 50);
    assert!(next.iter().all(|grant| &*grant.target == "b"));
}
