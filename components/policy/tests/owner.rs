//! Guarantees of the owner.

mod support;

use std::time::Duration;

use policy::{Event, ShardRole};
use support::{
    Fixture, finished_outcome, held_permit, limits, permit_request, shard, target, view,
    warm_report,
};
use types::{Class, ServingState};
use wire::Message;

#[test]
fn a_permit_request_is_granted_while_there_is_room_and_waits_otherwise() {
    let mut fixture = Fixture::owning(view(vec![target("a", 1)], limits()));
    fixture.request_permit("entry", 1);
    assert_eq!(fixture.grants().len(), 1);
    fixture.request_permit("entry", 2);
    let grant = fixture.grants().remove(0);
    fixture.request_permit("entry", 3);
    assert!(fixture.grants().is_empty() && fixture.denials().is_empty());
    fixture.return_permit("entry", &grant, finished_outcome(10));
    assert_eq!(fixture.grants()[0].permit_request, 3);
}

#[test]
fn a_permit_request_for_a_shard_of_another_owner_is_denied_at_once() {
    let mut fixture = Fixture::new(view(vec![target("a", 1)], limits()));
    fixture.request_permit("entry", 1);
    assert_eq!(fixture.denials(), [(1, None)]);
}

// A cold engine fails under more than a few requests, and all its callers lose their answers. Its
// limit therefore holds however many permits are requested.
#[test]
fn a_cold_target_never_gets_more_than_its_limit() {
    let mut fixture = Fixture::owning(view(vec![target("a", 1)], limits()));
    let mut granted = 0;
    for number in 0..8 {
        fixture.request_permit("entry", number);
        granted += fixture.grants().len();
    }
    assert_eq!(granted, 2);
}

// Two owners may exist for a moment, neither knowing the other's permits. A cold target would get
// twice its limit, so it gets nothing until this owner is known to be the only one.
#[test]
fn a_cold_target_gets_nothing_while_another_owner_may_exist() {
    let mut fixture = Fixture::owning(view(vec![target("a", 1)], limits()));
    fixture.exclusive(false);
    fixture.request_permit("entry", 1);
    assert!(fixture.grants().is_empty());
    fixture.exclusive(true);
    assert_eq!(fixture.grants().len(), 1);
}

// After a change of ownership, work under the earlier owner's permits still runs. A new owner that
// does not query the entries would fill the targets a second time, and generations would be
// preempted.
#[test]
fn a_new_owner_grants_nothing_until_every_entry_has_reported_its_permits() {
    let mut fixture = Fixture::new(view(vec![target("a", 1)], limits()));
    fixture.become_owner(2, &["entry", "other"]);
    let queries = fixture
        .messages()
        .filter(|m| matches!(m, Message::Query(_)));
    assert_eq!(queries.count(), 2);
    fixture.exclusive(true);
    fixture.request_permit("entry", 1);
    fixture.report_held(
        "entry",
        2,
        vec![held_permit(70, "a", 5), held_permit(71, "a", 5)],
    );
    assert!(fixture.grants().is_empty());
    fixture.report_held("other", 1, Vec::new());
    assert!(fixture.grants().is_empty(), "an answer for an earlier term");
    fixture.report_held("other", 2, Vec::new());
    assert!(fixture.grants().is_empty(), "the limit of 2 is used up");
    fixture.report_held("entry", 2, vec![held_permit(71, "a", 9)]);
    assert!(fixture.grants().is_empty(), "a permit may still be in use");
    fixture.advance(10);
    let mut report = warm_report();
    report.warm = false;
    report.running = 1;
    fixture.report_load("a", report);
    fixture.report_held("entry", 2, vec![held_permit(71, "a", 9)]);
    assert_eq!(fixture.grants().len(), 1);
}

// An entry that died can't answer. Waiting for it for ever would leave the shard without service,
// so the wait ends once all permits that it could still use have expired.
#[test]
fn a_new_owner_waits_no_longer_than_a_permits_lifetime() {
    let mut fixture = Fixture::new(view(vec![target("a", 1)], limits()));
    fixture.report_load("a", warm_report());
    fixture.become_owner(2, &["dead"]);
    fixture.exclusive(true);
    fixture.request_permit("entry", 1);
    fixture.advance(1200);
    assert!(fixture.grants().is_empty());
    let request = permit_request(2, fixture.now);
    fixture.message("entry", request);
    fixture.advance(60);
    assert_eq!(fixture.grants().len(), 2);
}

// A `Done` message can be lost on a broken connection. The slot would stay occupied for ever, and
// in time the target would be idle.
#[test]
fn a_permit_that_its_entry_no_longer_lists_is_removed_from_the_account() {
    let mut fixture = Fixture::owning(view(vec![target("a", 1)], limits()));
    fixture.request_permit("entry", 1);
    fixture.request_permit("entry", 2);
    fixture.request_permit("entry", 3);
    fixture.advance(900);
    fixture.report_held("entry", 1, Vec::new());
    assert!(
        fixture.grants().is_empty(),
        "the grants may be on their way"
    );
    fixture.advance(200);
    fixture.report_held("entry", 1, Vec::new());
    assert_eq!(fixture.grants().len(), 1);
}

// The work of a dead entry goes on at the engine for a while. An owner that forgets it at once
// overfills a cold engine.
#[test]
fn work_of_a_lost_entry_counts_until_the_target_reports_less() {
    let mut fixture = Fixture::owning(view(vec![target("a", 1)], limits()));
    fixture.request_permit("dead", 1);
    fixture.request_permit("dead", 2);
    fixture.event(Event::PeerGone {
        peer: "dead".into(),
    });
    fixture.request_permit("entry", 3);
    assert!(fixture.grants().is_empty());
    fixture.advance(100);
    let mut report = warm_report();
    report.running = 2;
    fixture.report_load("a", report);
    assert!(fixture.grants().is_empty());
    report.running = 1;
    fixture.report_load("a", report);
    assert_eq!(fixture.grants().len(), 1);
}

// A dead entry's work of an earlier term shows only in the target's own count, which may not
// include a permit that was just granted. An owner that mistakes one for the other gives a cold
// engine one request too many.
#[test]
fn a_report_that_may_lack_the_newest_permits_does_not_hide_unknown_work() {
    let mut fixture = Fixture::new(view(vec![target("a", 1)], limits()));
    fixture.become_owner(2, &["dead"]);
    fixture.exclusive(true);
    fixture.request_permit("entry", 1);
    fixture.advance(1600);
    let cold = |running| policy::TargetLoad {
        warm: false,
        running,
        ..warm_report()
    };
    fixture.report_load("a", cold(1));
    fixture.request_permit("entry", 2);
    fixture.event(Event::PeerGone {
        peer: "dead".into(),
    });
    assert_eq!(fixture.grants().len(), 1);
    fixture.advance(400);
    fixture.report_load("a", cold(1));
    fixture.request_permit("entry", 3);
    assert!(fixture.grants().is_empty());
}

// An entry that died before it reported its permits may have left work on a cold target. Until the
// target has reported what it runs, its limit may be used up.
#[test]
fn a_cold_target_waits_for_its_report_if_an_entry_died_without_reporting() {
    let mut fixture = Fixture::new(view(vec![target("a", 1)], limits()));
    fixture.become_owner(2, &["dead"]);
    fixture.exclusive(true);
    fixture.event(Event::PeerGone {
        peer: "dead".into(),
    });
    fixture.request_permit("entry", 1);
    assert!(fixture.grants().is_empty());
    let cold = policy::TargetLoad {
        warm: false,
        ..warm_report()
    };
    fixture.report_load("a", cold);
    assert_eq!(fixture.grants().len(), 1);
}

// A leaving target must get no more work: its callers lose their answers when it goes.
#[test]
fn a_leaving_target_gets_no_new_work() {
    let mut leaving = target("a", 1);
    leaving.state = ServingState::Leaving;
    let mut fixture = Fixture::owning(view(vec![leaving], limits()));
    fixture.request_permit("entry", 1);
    assert!(fixture.grants().is_empty());
}

#[test]
fn permit_requests_for_a_data_centre_out_of_service_are_denied() {
    let mut fixture = Fixture::owning(view(vec![target("a", 1)], limits()));
    for number in 1..=3 {
        fixture.request_permit("entry", number);
    }
    let mut view = view(vec![target("a", 1)], limits());
    view.data_centres_out.push(support::DATA_CENTRE.into());
    fixture.event(Event::ViewChanged(view));
    assert_eq!(fixture.denials(), [(3, None)]);
    fixture.request_permit("entry", 4);
    assert_eq!(fixture.denials(), [(4, None)]);
}

// A process that was suspended for a while may have been replaced as owner. Permits that it grants
// on waking would come on top of those of the new owner.
#[test]
fn a_paused_owner_gives_up_its_shards_first() {
    let mut fixture = Fixture::owning(view(vec![target("a", 1)], limits()));
    for number in 1..=3 {
        fixture.request_permit("entry", number);
    }
    fixture.event(Event::Paused {
        gap: Duration::from_secs(3),
    });
    assert_eq!(fixture.denials(), [(3, None)]);
    assert!(fixture.owner.summaries(fixture.now).is_empty());
    fixture.request_permit("entry", 4);
    assert_eq!(fixture.denials(), [(4, None)]);
}

#[test]
fn a_replaced_owner_denies_all_queued_requests() {
    let mut fixture = Fixture::owning(view(vec![target("a", 1)], limits()));
    for number in 1..=4 {
        fixture.request_permit("entry", number);
    }
    fixture.event(Event::RoleChanged {
        shard: shard(),
        role: ShardRole::Follow {
            owner: None,
            epoch: 2,
        },
    });
    assert_eq!(fixture.denials().len(), 2);
}

// Under overload the queue fills with background work, which must not keep out callers that wait
// for an immediate answer.
#[test]
fn a_full_queue_refuses_at_once_and_more_urgent_work_evicts_the_latest() {
    let mut fixture = Fixture::owning(view(vec![target("a", 1)], limits()));
    fixture.request_permit("entry", 1);
    fixture.request_permit("entry", 2);
    for number in 10..18 {
        fixture.request_permit_of_class(Class::Background, number);
        assert!(fixture.denials().is_empty());
    }
    fixture.request_permit_of_class(Class::Background, 19);
    assert!(matches!(fixture.denials()[..], [(19, Some(_))]));
    fixture.request_permit_of_class(Class::Normal, 20);
    assert!(matches!(fixture.denials()[..], [(17, Some(_))]));
    fixture.request_permit_of_class(Class::Urgent, 21);
    assert!(matches!(fixture.denials()[..], [(16, Some(_))]));
}

// A faulty peer sends numbers that no request has. Their sums must not overflow and end the
// process, which would break every stream.
#[test]
fn absurd_numbers_in_messages_are_capped() {
    let mut fixture = Fixture::owning(view(vec![target("a", 1)], limits()));
    for number in 1..=3 {
        let mut absurd = permit_request(number, Duration::MAX);
        absurd.deadline_left = Duration::MAX;
        absurd.waited = Duration::MAX;
        absurd.prompt_tokens = u64::MAX;
        absurd.max_output = u64::MAX;
        absurd.slots = u32::MAX;
        absurd.class = Class::Background;
        fixture.message("broken", absurd);
        assert!(fixture.grants().is_empty());
    }
    let absurd = wire::HeldPermit {
        prompt_tokens: u64::MAX,
        max_output: u64::MAX,
        slots: u32::MAX,
        ..held_permit(7, "a", u64::MAX)
    };
    for _ in 0..2 {
        fixture.report_held("broken", 1, vec![absurd.clone()]);
        fixture.advance(300);
    }
    fixture.request_permit("entry", 4);
    assert!(fixture.grants().is_empty(), "the target counts as full");
    fixture.event(Event::PeerGone {
        peer: "broken".into(),
    });
    fixture.advance(300);
    fixture.report_load("a", warm_report());
    assert_eq!(fixture.grants().len(), 1);
}
