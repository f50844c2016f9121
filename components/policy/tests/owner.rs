//! The owner's promises, one at a time.

mod support;

use std::time::Duration;

use policy::{Event, ShardRole};
use support::{Bed, ask, finished, held, limits, shard, target, view, warm};
use types::{Class, Standing};
use wire::Message;

#[test]
fn an_ask_is_granted_while_there_is_room_and_waits_otherwise() {
    let mut bed = Bed::owning(view(vec![target("a", 1)], limits()));
    bed.ask("entry", 1);
    assert_eq!(bed.grants().len(), 1);
    bed.ask("entry", 2);
    let grant = bed.grants().remove(0);
    bed.ask("entry", 3);
    assert!(bed.grants().is_empty() && bed.denials().is_empty());
    bed.done("entry", &grant, finished(10));
    assert_eq!(bed.grants()[0].ask, 3);
}

#[test]
fn an_ask_for_a_shard_of_somebody_else_is_sent_on_at_once() {
    let mut bed = Bed::new(view(vec![target("a", 1)], limits()));
    bed.ask("entry", 1);
    assert_eq!(bed.denials(), [(1, None)]);
}

// A cold engine falls over under more than a few requests, and all its callers lose their
// answers. So its bound holds however many ask.
#[test]
fn a_cold_target_never_gets_more_than_its_bound() {
    let mut bed = Bed::owning(view(vec![target("a", 1)], limits()));
    let mut granted = 0;
    for number in 0..8 {
        bed.ask("entry", number);
        granted += bed.grants().len();
    }
    assert_eq!(granted, 2);
}

// Two owners may exist for a moment, each without knowledge of the other's permits. A cold
// target would get twice its bound, so it waits until this owner is known to be alone.
#[test]
fn a_cold_target_gets_nothing_while_another_owner_may_exist() {
    let mut bed = Bed::owning(view(vec![target("a", 1)], limits()));
    bed.exclusive(false);
    bed.ask("entry", 1);
    assert!(bed.grants().is_empty());
    bed.exclusive(true);
    assert_eq!(bed.grants().len(), 1);
}

// After a change of owner the permits of the earlier one still run. A new owner that doesn't
// ask first would fill the targets a second time, and generations would be preempted.
#[test]
fn a_new_owner_grants_nothing_until_every_entry_has_told_what_it_holds() {
    let mut bed = Bed::new(view(vec![target("a", 1)], limits()));
    bed.own(2, &["entry", "other"]);
    let queries = bed.messages().filter(|m| matches!(m, Message::Query(_)));
    assert_eq!(queries.count(), 2);
    bed.exclusive(true);
    bed.ask("entry", 1);
    bed.held("entry", 2, vec![held(70, "a", 5), held(71, "a", 5)]);
    assert!(bed.grants().is_empty());
    bed.held("other", 1, Vec::new());
    assert!(bed.grants().is_empty(), "an answer for an earlier term");
    bed.held("other", 2, Vec::new());
    assert!(bed.grants().is_empty(), "the bound of 2 is used up");
    bed.held("entry", 2, vec![held(71, "a", 9)]);
    assert!(bed.grants().is_empty(), "a permit may still be in use");
    bed.advance(10);
    let mut report = warm();
    report.warm = false;
    report.running = 1;
    bed.report("a", report);
    bed.held("entry", 2, vec![held(71, "a", 9)]);
    assert_eq!(bed.grants().len(), 1);
}

// An entry that died can't answer. QueuedRequest for it for good would leave the shard without
// service, so the wait ends once whatever it could still use has lapsed.
#[test]
fn a_new_owner_waits_no_longer_than_a_permit_lives() {
    let mut bed = Bed::new(view(vec![target("a", 1)], limits()));
    bed.report("a", warm());
    bed.own(2, &["dead"]);
    bed.exclusive(true);
    bed.ask("entry", 1);
    bed.advance(1200);
    assert!(bed.grants().is_empty());
    let ask = ask(2, bed.now);
    bed.message("entry", ask);
    bed.advance(60);
    assert_eq!(bed.grants().len(), 2);
}

// A Done message can get lost on a broken link. The place it held would be lost for good, and
// with time the target would stand idle.
#[test]
fn a_permit_that_its_entry_no_longer_lists_is_taken_off_the_account() {
    let mut bed = Bed::owning(view(vec![target("a", 1)], limits()));
    bed.ask("entry", 1);
    bed.ask("entry", 2);
    bed.ask("entry", 3);
    bed.advance(900);
    bed.held("entry", 1, Vec::new());
    assert!(bed.grants().is_empty(), "the grants may be on their way");
    bed.advance(200);
    bed.held("entry", 1, Vec::new());
    assert_eq!(bed.grants().len(), 1);
}

// The work of a dead entry goes on at the engine for a while. An owner that forgets it at once
// overfills a cold engine.
#[test]
fn work_of_a_lost_entry_counts_until_the_target_reports_less() {
    let mut bed = Bed::owning(view(vec![target("a", 1)], limits()));
    bed.ask("dead", 1);
    bed.ask("dead", 2);
    bed.event(Event::PeerGone {
        peer: "dead".into(),
    });
    bed.ask("entry", 3);
    assert!(bed.grants().is_empty());
    bed.advance(100);
    let mut report = warm();
    report.running = 2;
    bed.report("a", report);
    assert!(bed.grants().is_empty());
    report.running = 1;
    bed.report("a", report);
    assert_eq!(bed.grants().len(), 1);
}

// A dead entry's work of before the term is known only from the target's own count, and a permit
// that was just granted may not be in that count yet. An owner that takes the one for the other
// gives a cold engine one request too many.
#[test]
fn a_report_that_may_lack_the_newest_permits_leaves_no_room_for_strange_work() {
    let mut bed = Bed::new(view(vec![target("a", 1)], limits()));
    bed.own(2, &["dead"]);
    bed.exclusive(true);
    bed.ask("entry", 1);
    bed.advance(1600);
    let cold = |running| policy::EngineReport {
        warm: false,
        running,
        ..warm()
    };
    bed.report("a", cold(1));
    bed.ask("entry", 2);
    bed.event(Event::PeerGone {
        peer: "dead".into(),
    });
    assert_eq!(bed.grants().len(), 1);
    bed.advance(400);
    bed.report("a", cold(1));
    bed.ask("entry", 3);
    assert!(bed.grants().is_empty());
}

// An entry that died before it told what it holds may have left work at a cold target. Until
// the target itself has said what runs there, the bound may be used up.
#[test]
fn a_cold_target_waits_for_its_report_where_an_entry_died_untold() {
    let mut bed = Bed::new(view(vec![target("a", 1)], limits()));
    bed.own(2, &["dead"]);
    bed.exclusive(true);
    bed.event(Event::PeerGone {
        peer: "dead".into(),
    });
    bed.ask("entry", 1);
    assert!(bed.grants().is_empty());
    let cold = policy::EngineReport {
        warm: false,
        ..warm()
    };
    bed.report("a", cold);
    assert_eq!(bed.grants().len(), 1);
}

// Operators see a target that still gets work after it was told to leave: its callers are cut
// when it goes.
#[test]
fn a_leaving_target_gets_no_new_work() {
    let mut leaving = target("a", 1);
    leaving.standing = Standing::Leaving;
    let mut bed = Bed::owning(view(vec![leaving], limits()));
    bed.ask("entry", 1);
    assert!(bed.grants().is_empty());
}

#[test]
fn asks_of_a_data_centre_that_is_out_are_sent_on() {
    let mut bed = Bed::owning(view(vec![target("a", 1)], limits()));
    for number in 1..=3 {
        bed.ask("entry", number);
    }
    let mut view = view(vec![target("a", 1)], limits());
    view.data_centres_out.push(support::DATA_CENTRE.into());
    bed.event(Event::ViewChanged(view));
    assert_eq!(bed.denials(), [(3, None)]);
    bed.ask("entry", 4);
    assert_eq!(bed.denials(), [(4, None)]);
}

// A process that was stopped for a while may have been replaced as owner. What it grants on
// waking would come on top of what the new owner grants.
#[test]
fn a_paused_owner_gives_up_its_shards_first() {
    let mut bed = Bed::owning(view(vec![target("a", 1)], limits()));
    for number in 1..=3 {
        bed.ask("entry", number);
    }
    bed.event(Event::Paused {
        gap: Duration::from_secs(3),
    });
    assert_eq!(bed.denials(), [(3, None)]);
    assert!(bed.owner.summaries(bed.now).is_empty());
    bed.ask("entry", 4);
    assert_eq!(bed.denials(), [(4, None)]);
}

#[test]
fn an_owner_that_is_replaced_sends_everybody_on() {
    let mut bed = Bed::owning(view(vec![target("a", 1)], limits()));
    for number in 1..=4 {
        bed.ask("entry", number);
    }
    bed.event(Event::RoleChanged {
        shard: shard(),
        role: ShardRole::Follow {
            owner: None,
            epoch: 2,
        },
    });
    assert_eq!(bed.denials().len(), 2);
}

// Under overload the queue fills with background work. Callers that wait for an answer right now
// would be turned away because of it.
#[test]
fn a_full_queue_refuses_at_once_and_more_urgent_work_displaces_the_youngest() {
    let mut bed = Bed::owning(view(vec![target("a", 1)], limits()));
    bed.ask("entry", 1);
    bed.ask("entry", 2);
    for number in 10..18 {
        bed.ask_of(Class::Background, number);
        assert!(bed.denials().is_empty());
    }
    bed.ask_of(Class::Background, 19);
    assert!(matches!(bed.denials()[..], [(19, Some(_))]));
    bed.ask_of(Class::Normal, 20);
    assert!(matches!(bed.denials()[..], [(17, Some(_))]));
    bed.ask_of(Class::Urgent, 21);
    assert!(matches!(bed.denials()[..], [(16, Some(_))]));
}

// A broken peer sends figures that no request has. Sums of them must not stop the process: every
// caller of every workspace would lose its stream.
#[test]
fn absurd_figures_in_messages_harm_nobody() {
    let mut bed = Bed::owning(view(vec![target("a", 1)], limits()));
    for number in 1..=3 {
        let mut absurd = ask(number, Duration::MAX);
        absurd.within = Duration::MAX;
        absurd.waited = Duration::MAX;
        absurd.prompt = u64::MAX;
        absurd.max_output = u64::MAX;
        absurd.slots = u32::MAX;
        absurd.class = Class::Background;
        bed.message("broken", absurd);
        assert!(bed.grants().is_empty());
    }
    let absurd = wire::HeldPermit {
        prompt: u64::MAX,
        max_output: u64::MAX,
        slots: u32::MAX,
        ..held(7, "a", u64::MAX)
    };
    for _ in 0..2 {
        bed.held("broken", 1, vec![absurd.clone()]);
        bed.advance(300);
    }
    bed.ask("entry", 4);
    assert!(bed.grants().is_empty(), "the target counts as full");
    bed.event(Event::PeerGone {
        peer: "broken".into(),
    });
    bed.advance(300);
    bed.report("a", warm());
    assert_eq!(bed.grants().len(), 1);
}
