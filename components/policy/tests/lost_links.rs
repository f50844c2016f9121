//! What becomes of the account when an entry loses its link to a target.

mod support;

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

// As above, and the report shows that nothing runs any more: the place is free again.
#[test]
fn work_whose_link_was_lost_is_forgotten_once_the_target_reports_less() {
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
    assert_eq!(bed.grants().len(), 1);
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
    bed.held("entry", 1, Vec::new());
    assert_eq!(bed.grants().len(), 1);
}
