//! What becomes of the account when an entry loses its link to a target.

mod support;

use policy::Event;
use support::{Bed, limits, target, view};
use wire::{Message, Outcome};

// The link between an entry and an engine dies, the entry gives its permit back as failed, and
// the engine, which keeps generating for a caller that may come back, still runs the work. An
// owner that forgets it at once overfills a cold engine; callers see it fall over.
// Found by `celerystand-bench chaos --seed 2`.
#[test]
fn work_whose_link_was_lost_counts_until_the_target_reports_less() {
    let mut bed = Bed::owning(view(vec![target("a", 1)], limits()));
    bed.ask("entry", 1);
    let first = bed.grants()[0].clone();
    bed.ask("entry", 2);
    bed.done("entry", &first, Outcome::Failed);
    bed.ask("entry", 3);
    assert!(bed.grants().is_empty(), "the lost work may still run");
    bed.advance(1200);
    bed.held("entry", 1, Vec::new());
    bed.ask("entry", 4);
    bed.advance(100);
    let mut report = support::warm();
    report.running = 2;
    bed.report("a", report);
    assert!(bed.grants().len() <= 1, "one of the two still runs");
}

/// Two permits on the account of a target that bears two: one whose link was lost, and one whose
/// work has been heard to run. The target then reports that one of them runs.
fn one_lost_and_one_running() -> (Bed, u64) {
    let mut bed = Bed::owning(view(vec![target("a", 1)], limits()));
    bed.ask("entry", 1);
    let first = bed.grants()[0].clone();
    bed.ask("entry", 2);
    let second = bed.grants()[0].clone();
    bed.done("entry", &first, Outcome::Failed);
    bed.ask("entry", 3);
    assert!(bed.grants().is_empty());
    bed.held("entry", 1, vec![support::held(second.permit, "a", 5)]);
    bed.advance(100);
    let mut report = support::warm();
    report.running = 1;
    bed.report("a", report);
    assert!(bed.grants().is_empty(), "it may be either of the two");
    (bed, second.permit)
}

// As above, and the report shows that only the other work runs, which its entry still lists when
// the report is old: the place is free again.
#[test]
fn work_whose_link_was_lost_is_forgotten_once_the_target_reports_less() {
    let (mut bed, running) = one_lost_and_one_running();
    bed.advance(250);
    bed.held("entry", 1, vec![support::held(running, "a", 9)]);
    bed.advance(10);
    assert_eq!(bed.grants().len(), 1);
}

// The other work has ended before the report, and the message that says so got lost. An owner
// that takes it for the one that the report counts forgets the lost work that still runs, and a
// cold engine gets one request more than it bears.
// Found by a random run: PROPTEST_RNG_SEED=99 PROPTEST_CASES=30000, tests/faults.rs.
#[test]
fn work_whose_end_was_not_heard_of_is_not_taken_for_running() {
    let (mut bed, _) = one_lost_and_one_running();
    bed.advance(1000);
    bed.held("entry", 1, Vec::new());
    assert_eq!(bed.grants().len(), 1, "the place of the work that ended");
    bed.ask("entry", 4);
    assert!(bed.grants().is_empty(), "the lost work may still run");
}

// A new owner asks an entry what it holds and the message is lost, because links between
// instances start later than ownership. Cold targets would then never get work from this owner,
// and callers would wait until their deadline though everything is well.
// Found by tests/path.rs, one run in ten.
#[test]
fn a_lost_query_is_asked_again() {
    let mut bed = Bed::new(view(vec![target("a", 1)], limits()));
    bed.own(1, &["entry"]);
    bed.exclusive(true);
    bed.ask("entry", 1);
    assert!(bed.grants().is_empty());
    let mut asked_again = false;
    for _ in 0..5 {
        bed.advance(100);
        asked_again |= bed.messages().any(|m| matches!(m, Message::Query(_)));
    }
    assert!(asked_again);
    bed.report("a", support::warm());
    assert!(bed.grants().is_empty());
    bed.held("entry", 1, Vec::new());
    assert_eq!(bed.grants().len(), 1);
}

// An engine dies and comes back at the same address. An entry that has a permit of before sends
// its request just then: the new life takes it, and no engine can tell whom a permit was for.
// An owner that forgets such permits grants the new life's whole bound on top of them, and the
// cold engine falls over, again and again.
// Found by `celerystand-bench chaos --seed 2`.
#[test]
fn permits_of_a_former_life_count_until_they_are_given_back() {
    let mut bed = Bed::owning(view(vec![target("a", 1)], limits()));
    bed.ask("entry", 1);
    let first = bed.grants()[0].clone();
    bed.ask("entry", 2);
    bed.event(Event::ViewChanged(view(vec![target("a", 2)], limits())));
    bed.ask("entry", 3);
    assert!(bed.grants().is_empty(), "two may still be on their way");
    bed.done("entry", &first, Outcome::Unsent);
    assert_eq!(bed.grants().len(), 1);
}

// As above, and the work has begun: the list lags, so it may have begun in the new life. Only
// its entry knows that it died.
#[test]
fn work_under_a_permit_of_a_former_life_counts_until_its_entry_gives_it_back() {
    let mut bed = Bed::owning(view(vec![target("a", 1)], limits()));
    bed.ask("entry", 1);
    let first = bed.grants()[0].clone();
    bed.held("entry", 1, vec![support::held(first.permit, "a", 5)]);
    bed.event(Event::ViewChanged(view(vec![target("a", 2)], limits())));
    bed.ask("entry", 2);
    assert_eq!(bed.grants().len(), 1);
    bed.ask("entry", 3);
    assert!(bed.grants().is_empty());
    bed.done("entry", &first, Outcome::Cancelled { produced: 5 });
    assert_eq!(bed.grants().len(), 1);
}

// As above, and the owner changes too: the new one hears of the permit from the entry only.
#[test]
fn a_new_owner_counts_permits_of_a_former_life_that_it_hears_of() {
    let mut bed = Bed::new(view(vec![target("a", 2)], limits()));
    bed.own(1, &["entry"]);
    bed.exclusive(true);
    let held = [support::held(1, "a", 0), support::held(2, "a", 7)];
    bed.held("entry", 1, held.to_vec());
    bed.ask("entry", 3);
    assert!(bed.grants().is_empty());
}

// An instance dies while a generation that it began runs on a cold engine. It comes back and owns
// the engine's shard again; nobody can tell it of that work, since the only one who knew was its
// former life. If it grants the engine's whole bound at once, the engine falls over.
// Found by `celerystand-bench chaos --seed 32 --minutes 0.4
// --faults kill-instance,crash-service,cold-service`.
#[test]
fn a_new_owner_gives_a_cold_target_nothing_before_it_has_reported() {
    let mut bed = Bed::new(view(vec![target("a", 1)], limits()));
    bed.own(1, &["entry"]);
    bed.exclusive(true);
    bed.held("entry", 1, Vec::new());
    bed.ask("entry", 1);
    bed.ask("entry", 2);
    assert!(bed.grants().is_empty());
    bed.advance(200);
    let mut report = support::warm();
    report.warm = false;
    report.running = 1;
    bed.report("a", report);
    assert_eq!(bed.grants().len(), 1, "one of the two places is taken");
}

// A warm service dies and is back at the same address, cold, before the platform's list says so.
// Blocks of places that are granted for the warm one meanwhile reach the cold one, which falls
// over. That its connections were refused is the first sign that anybody has.
// Found by `celerystand-bench chaos --seed 32 --minutes 0.4
// --faults kill-instance,crash-service,cold-service`.
#[test]
fn a_target_that_refuses_connections_gets_no_more_than_a_cold_one_until_it_reports() {
    let mut bed = Bed::new(view(vec![target("a", 1)], limits()));
    let mut report = support::warm();
    report.running = 6;
    bed.report("a", report);
    bed.own(1, &[]);
    let mut granted = Vec::new();
    for number in 1..=4 {
        bed.ask("entry", number);
        granted.extend(bed.grants());
    }
    assert_eq!(granted.len(), 4, "it is warm");
    bed.done("entry", &granted[0], Outcome::Unreachable);
    bed.ask("entry", 5);
    assert!(bed.grants().is_empty(), "three of two places are taken");
    bed.advance(300);
    report.age = std::time::Duration::from_millis(400);
    bed.report("a", report);
    assert!(bed.grants().is_empty(), "a report of before");
    report.age = std::time::Duration::ZERO;
    bed.report("a", report);
    assert_eq!(bed.grants().len(), 1, "it is warm all the same");
}
