//! Cold start, the ramp after it, and the way back.

mod support;

use std::time::Duration;

use policy::{EngineReport, Event, TargetLimits};
use support::{Bed, DATA_CENTRE, finished, limits, target, view, warm};
use types::Standing;
use wire::{Grant, Outcome};

fn wide() -> TargetLimits {
    TargetLimits {
        memory_tokens: 1_000_000,
        queue_limit: 1000,
        ..limits()
    }
}

fn roomy(running: u32) -> EngineReport {
    EngineReport {
        running,
        capacity: 1_000_000,
        ..warm()
    }
}

/// Asks until nothing more is granted, and gives the permits.
fn saturate(bed: &mut Bed, number: &mut u64) -> Vec<Grant> {
    let mut grants = Vec::new();
    for _ in 0..40 {
        *number += 1;
        bed.ask("entry", *number);
        grants.extend(bed.grants());
    }
    grants
}

/// Lets each permit in turn come back with a first-token time; gives those granted meanwhile.
fn finish(bed: &mut Bed, grants: Vec<Grant>, first: u64) -> Vec<Grant> {
    let mut next = Vec::new();
    for grant in grants {
        let outcome = Outcome::Finished {
            produced: 10,
            first: Duration::from_millis(first),
            took: Duration::from_millis(first + 100),
        };
        bed.done("entry", &grant, outcome);
        next.extend(bed.grants());
    }
    next
}

/// A bed whose one target has become warm and uses its whole limit.
fn warmed_up() -> (Bed, Vec<Grant>) {
    let mut bed = Bed::owning(view(vec![target("a", 1)], wide()));
    let mut number = 0;
    let mut grants = saturate(&mut bed, &mut number);
    assert_eq!(grants.len(), 2);
    for _ in 0..12 {
        grants = finish(&mut bed, grants, 50);
        number += 40;
        grants.extend(saturate(&mut bed, &mut number));
    }
    assert!(grants.len() > 8, "{}", grants.len());
    (bed, grants)
}

#[test]
fn a_cold_target_gets_more_only_after_enough_requests_have_finished() {
    let mut bed = Bed::owning(view(vec![target("a", 1)], wide()));
    let mut number = 0;
    let first = saturate(&mut bed, &mut number);
    let second = finish(&mut bed, first, 50);
    assert_eq!(second.len(), 2, "two of four have finished");
    let third = finish(&mut bed, second, 50);
    assert!((2..=4).contains(&third.len()), "{}", third.len());
    assert!(third.iter().any(|grant| !grant.cold));
}

// The target itself may know better than the count of what finished.
#[test]
fn a_target_that_says_it_is_cold_stays_cold() {
    let mut bed = Bed::owning(view(vec![target("a", 1)], wide()));
    let cold = EngineReport {
        warm: false,
        ..roomy(0)
    };
    bed.report("a", cold);
    let mut number = 0;
    let mut grants = saturate(&mut bed, &mut number);
    for _ in 0..6 {
        grants = finish(&mut bed, grants, 50);
        assert!(grants.iter().all(|grant| grant.cold) && grants.len() == 2);
    }
}

// After a change of owner the targets have been warm for long. A new owner that treated them as
// cold would throw most of the service away for minutes.
#[test]
fn a_new_owner_believes_a_target_that_reports_itself_warm() {
    let mut bed = Bed::new(view(vec![target("a", 1)], wide()));
    bed.report("a", roomy(10));
    bed.own(2, &[]);
    let mut number = 0;
    let grants = saturate(&mut bed, &mut number);
    assert!(grants.len() >= 9 && !grants[0].cold, "{}", grants.len());
}

// A target that was replaced is cold whatever its first report says.
#[test]
fn a_new_life_of_a_target_starts_cold() {
    let (mut bed, before) = warmed_up();
    bed.event(Event::ViewChanged(view(vec![target("a", 2)], wide())));
    let mut granted = bed.grants();
    // Permits of the former life may still be on their way, so they count until their entries
    // have told that they are lost and the new life reports that it has none of them.
    for grant in &before {
        bed.done("entry", grant, Outcome::Failed);
        granted.extend(bed.grants());
    }
    assert!(granted.is_empty());
    bed.advance(100);
    bed.report(
        "a",
        EngineReport {
            incarnation: 2,
            ..roomy(0)
        },
    );
    granted.extend(bed.grants());
    granted.extend(saturate(&mut bed, &mut 9000));
    assert_eq!(granted.len(), 2);
    assert!(
        granted
            .iter()
            .all(|grant| grant.cold && grant.incarnation == 2)
    );
}

// A restart that the list doesn't show yet is seen in the target's report first. Work for the
// earlier life would go to a cold target past its bound.
#[test]
fn a_target_gets_nothing_while_list_and_report_disagree_about_its_life() {
    let (mut bed, grants) = warmed_up();
    bed.report(
        "a",
        EngineReport {
            incarnation: 2,
            ..roomy(0)
        },
    );
    assert!(finish(&mut bed, grants, 50).is_empty());
}

// A warmed target can turn cold without warning: caches are lost, or the model is loaded anew.
// It shows in the first-token time before any report, and full load would make it fall over.
#[test]
fn a_jump_of_the_first_token_time_puts_a_target_back_to_cold() {
    let (mut bed, mut grants) = warmed_up();
    let rest = grants.split_off(2);
    bed.advance(100);
    assert!(finish(&mut bed, grants, 3000).len() <= 1);
    let (last, most) = rest.split_at(rest.len() - 2);
    assert!(
        finish(&mut bed, last.to_vec(), 50).is_empty(),
        "over the bound still"
    );
    let next = finish(&mut bed, most.to_vec(), 50);
    assert!(next.len() <= 2 && next.iter().all(|grant| grant.cold));
}

#[test]
fn a_target_that_refuses_work_gets_half_as_much_at_once() {
    let (mut bed, mut grants) = warmed_up();
    let before = grants.len();
    let refused = grants.remove(0);
    bed.done("entry", &refused, Outcome::Overloaded);
    assert!(bed.grants().is_empty());
    grants.truncate(before / 2 - 2);
    assert!(finish(&mut bed, grants, 50).is_empty());
}

// Operators take a data centre out and back in. Its targets lost what they had cached, and all
// the work that comes back at once would overfill them.
#[test]
fn targets_of_a_data_centre_that_returns_start_cold() {
    let (mut bed, grants) = warmed_up();
    let mut out = view(vec![target("a", 1)], wide());
    out.data_centres_out.push(DATA_CENTRE.into());
    bed.event(Event::ViewChanged(out));
    for grant in grants {
        bed.done("entry", &grant, finished(10));
        assert!(bed.grants().is_empty());
    }
    bed.event(Event::ViewChanged(view(vec![target("a", 1)], wide())));
    bed.report("a", roomy(0));
    let mut number = 9000;
    let granted = saturate(&mut bed, &mut number);
    assert_eq!(granted.len(), 2);
}

#[test]
fn a_leaving_target_finishes_its_work_and_gets_no_more() {
    let (mut bed, grants) = warmed_up();
    let mut leaving = target("a", 1);
    leaving.standing = Standing::Leaving;
    bed.event(Event::ViewChanged(view(
        vec![leaving, target("b", 1)],
        wide(),
    )));
    let next = finish(&mut bed, grants, 50);
    assert!(next.iter().all(|grant| &*grant.target == "b"));
}
