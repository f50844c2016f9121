//! Order of service, and the choice of the target.

mod support;

use std::time::Duration;

use policy::{TargetLimits, TargetLoad};
use support::{
    Fixture, finished_outcome, held_permit, limits, permit_request, target, view, warm_report,
};
use types::{Class, ServiceKind};
use wire::{Grant, Message, PermitRequest};

/// One warm target with four slots.
fn warm_target_with_four_slots() -> Fixture {
    let limits = TargetLimits {
        warm_limit: 4,
        queue_limit: 100,
        ..limits()
    };
    let mut fixture = Fixture::owning(view(vec![target("a", 1)], limits));
    fixture.report_load(
        "a",
        TargetLoad {
            running: 4,
            ..warm_report()
        },
    );
    fixture
}

/// Fills all slots of the only target and returns the grants.
fn fill(fixture: &mut Fixture) -> Vec<Grant> {
    let mut grants = Vec::new();
    for number in 1..=4 {
        fixture.request_permit("entry", number);
        grants.extend(fixture.grants());
    }
    assert_eq!(grants.len(), 4);
    grants
}

fn modified_request(
    fixture: &Fixture,
    number: u64,
    modify: impl FnOnce(&mut PermitRequest),
) -> PermitRequest {
    let mut request = permit_request(number, fixture.now);
    modify(&mut request);
    request
}

/// Ids of the permit requests that are granted as the given permits are returned one by one.
fn granted_after_each(fixture: &mut Fixture, grants: &[Grant]) -> Vec<u64> {
    let mut order = Vec::new();
    for grant in grants {
        fixture.return_permit("entry", grant, finished_outcome(10));
        order.extend(fixture.grants().iter().map(|grant| grant.permit_request));
    }
    order
}

#[test]
fn requests_are_ordered_by_class_then_deadline_then_arrival() {
    let mut fixture = warm_target_with_four_slots();
    let grants = fill(&mut fixture);
    let requests = [
        (10, Class::Background, 5),
        (11, Class::Normal, 50),
        (12, Class::Normal, 20),
        (13, Class::Urgent, 60),
    ];
    for (number, class, within) in requests {
        let request = modified_request(&fixture, number, |request| {
            request.class = class;
            request.deadline_left = Duration::from_secs(within);
        });
        fixture.message("entry", request);
    }
    // One slot is reserved for urgent work now, so the urgent request is granted first.
    assert_eq!(granted_after_each(&mut fixture, &grants), [13, 12, 11]);
}

// If requests were ordered by count or by arrival, a hundred long drafts sent at once by one
// workspace would delay the short questions of all others.
#[test]
fn workspaces_share_by_tokens_and_not_by_count() {
    let mut fixture = warm_target_with_four_slots();
    let mut grants = fill(&mut fixture);
    for number in 100..120 {
        let long = modified_request(&fixture, number, |request| {
            request.workspace = "films".into();
            request.prompt_tokens = 4000;
        });
        fixture.message("entry", long);
    }
    for number in 200..210 {
        let short = modified_request(&fixture, number, |request| request.prompt_tokens = 50);
        fixture.message("entry", short);
    }
    let mut order = Vec::new();
    while order.len() < 12 {
        let grant = grants.remove(0);
        fixture.return_permit("entry", &grant, finished_outcome(10));
        for grant in fixture.grants() {
            order.push(grant.permit_request);
            grants.push(grant);
        }
    }
    let short = order.iter().filter(|&&number| number >= 200).count();
    assert!(short >= 8, "{order:?}");
}

// Background work that is always served last never finishes while other work keeps arriving.
#[test]
fn background_work_that_has_waited_long_counts_as_normal() {
    let mut fixture = warm_target_with_four_slots();
    let grants = fill(&mut fixture);
    let old = modified_request(&fixture, 10, |request| {
        request.class = Class::Background;
        request.waited = Duration::from_secs(30);
        request.deadline_left = Duration::from_secs(10);
    });
    fixture.message("entry", old);
    fixture.advance(10);
    fixture.request_permit("entry", 11);
    assert_eq!(granted_after_each(&mut fixture, &grants), [10, 11]);
}

// Small requests fit into every gap. If they were always granted first, a request that needs much
// of an engine's memory would never find room.
#[test]
fn a_big_request_is_not_starved_by_small_ones() {
    let limits = TargetLimits {
        warm_limit: 64,
        queue_limit: 1000,
        ..limits()
    };
    let mut fixture = Fixture::owning(view(vec![target("a", 1)], limits));
    let mut report = warm_report();
    report.running = 64;
    fixture.report_load("a", report);
    let small = |fixture: &Fixture, number| {
        modified_request(fixture, number, |request| {
            request.workspace = "small".into()
        })
    };
    let mut running = Vec::new();
    for number in 0..40 {
        let request = small(&fixture, number);
        fixture.message("entry", request);
        running.extend(fixture.grants());
    }
    let big = modified_request(&fixture, 1000, |request| request.prompt_tokens = 8000);
    fixture.message("entry", big);
    let mut next = 2000;
    for _ in 0..400 {
        if !running.is_empty() {
            let grant = running.remove(0);
            fixture.return_permit("entry", &grant, finished_outcome(10));
            running.extend(fixture.grants());
        }
        next += 1;
        let request = small(&fixture, next);
        fixture.message("entry", request);
        running.extend(fixture.grants());
        if running.iter().any(|grant| grant.permit_request == 1000) {
            return;
        }
    }
    panic!("the big request still waits");
}

// Urgent calls must not wait behind work that can, so a part of each limit is reserved for them as
// long as there is urgent work.
#[test]
fn the_last_slots_are_reserved_for_urgent_work() {
    let mut fixture = warm_target_with_four_slots();
    fixture.request_permit_of_class(Class::Urgent, 1);
    for number in 2..=9 {
        fixture.request_permit_of_class(Class::Background, number);
    }
    fixture.request_permit_of_class(Class::Urgent, 10);
    assert_eq!(fixture.grants().len(), 1);
}

#[test]
fn a_prompt_goes_where_its_prefix_is_cached_unless_that_target_is_much_fuller() {
    let limits = TargetLimits {
        warm_limit: 64,
        ..limits()
    };
    let targets = vec![target("a", 1), target("b", 1), target("c", 1)];
    let mut fixture = Fixture::owning(view(targets, limits));
    for id in ["a", "b", "c"] {
        let mut report = warm_report();
        report.running = 64;
        fixture.report_load(id, report);
    }
    let mut targets = Vec::new();
    for number in 0..24 {
        let request = modified_request(&fixture, number, |request| {
            request.prompt_tokens = 300;
            request.prefix = vec![1, 2, 3];
        });
        fixture.message("entry", request);
        targets.extend(fixture.grants().into_iter().map(|grant| grant.target));
    }
    assert_eq!(targets.len(), 24);
    assert_eq!(targets[0], targets[1]);
    let counts = ["a", "b", "c"].map(|id| targets.iter().filter(|target| ***target == *id).count());
    assert!(counts.iter().all(|&count| count >= 4), "{counts:?}");
}

// An engine that runs out of memory preempts a generation, and its caller sees the answer stall.
// Work of which the caller has seen no token is revoked first, background before normal.
#[test]
fn unseen_background_work_is_revoked_at_a_target_that_runs_out_of_memory() {
    let mut fixture = warm_target_with_four_slots();
    fixture.request_permit("entry", 1);
    let normal = fixture.grants().remove(0);
    fixture.request_permit_of_class(Class::Background, 2);
    let background = fixture.grants().remove(0);
    fixture.request_permit_of_class(Class::Background, 3);
    let answering = fixture.grants().remove(0);
    fixture.advance(300);
    let background_held = |grant: &Grant, produced| wire::HeldPermit {
        class: Class::Background,
        ..held_permit(grant.permit, "a", produced)
    };
    let permits = vec![
        held_permit(normal.permit, "a", 0),
        background_held(&background, 0),
        background_held(&answering, 9),
    ];
    fixture.report_held("entry", 1, permits);
    let full = TargetLoad {
        used: 9_800,
        running: 3,
        ..warm_report()
    };
    fixture.report_load("a", full);
    let revoked: Vec<u64> = fixture
        .messages()
        .filter_map(|message| match message {
            Message::Revoke(revoke) => Some(revoke.permit),
            _ => None,
        })
        .collect();
    assert_eq!(revoked, [background.permit]);
    fixture.request_permit("entry", 4);
    assert!(
        fixture.grants().is_empty(),
        "nothing is admitted to the target now"
    );
}

#[test]
fn blocks_of_plain_calls_are_shared_fairly_between_entries() {
    let limits = TargetLimits {
        kind: ServiceKind::Plain,
        warm_limit: 16,
        ..limits()
    };
    let mut fixture = Fixture::owning(view(vec![target("a", 1)], limits));
    let mut report = warm_report();
    report.running = 16;
    fixture.report_load("a", report);
    let block_request = |fixture: &Fixture, number| {
        modified_request(fixture, number, |request| {
            request.kind = ServiceKind::Plain;
            request.slots = 8;
            request.prompt_tokens = 0;
            request.max_output = 0;
        })
    };
    let mut slots = std::collections::BTreeMap::new();
    for number in 1..=2 {
        for entry in ["one", "two"] {
            let request = block_request(&fixture, number);
            fixture.message(entry, request);
            for grant in fixture.grants() {
                *slots.entry(entry).or_insert(0) += grant.slots;
            }
        }
    }
    assert_eq!(slots["one"] + slots["two"], 16);
    assert!(slots["two"] >= 7, "{slots:?}");
}

// A caller that can't be served in time is refused on arrival, with a correct retry delay, instead
// of at the end of its deadline.
#[test]
fn a_permit_request_that_cannot_be_served_in_time_is_denied_at_once() {
    let mut fixture = warm_target_with_four_slots();
    let mut grants = fill(&mut fixture);
    for number in 10..40 {
        fixture.request_permit("entry", number);
    }
    for number in 50..62 {
        fixture.advance(500);
        fixture.request_permit("entry", number);
        let grant = grants.remove(0);
        fixture.return_permit("entry", &grant, finished_outcome(10));
        grants.extend(fixture.grants());
    }
    let short_deadline = modified_request(&fixture, 90, |request| {
        request.deadline_left = Duration::from_secs(2)
    });
    fixture.message("entry", short_deadline);
    let denials = fixture.denials();
    let [(90, Some(after))] = denials[..] else {
        panic!("{denials:?}");
    };
    assert!(
        after > Duration::from_secs(4) && after < Duration::from_secs(20),
        "{after:?}"
    );
    let long_deadline = modified_request(&fixture, 91, |request| {
        request.deadline_left = Duration::from_secs(60)
    });
    fixture.message("entry", long_deadline);
    assert!(fixture.denials().is_empty());
}

// If the rate of grants drops, some of the queued requests can't be served in time. Refused only at
// their deadline, they would have waited for nothing.
#[test]
fn a_queued_request_is_denied_as_soon_as_it_cannot_be_served_in_time() {
    let mut fixture = warm_target_with_four_slots();
    let mut grants = fill(&mut fixture);
    for number in 10..40 {
        fixture.request_permit("entry", number);
    }
    let mut refused = 0;
    for number in 50..58 {
        for _ in 0..20 {
            fixture.advance(250);
            refused += fixture.denials().len();
        }
        fixture.request_permit("entry", number);
        let grant = grants.remove(0);
        fixture.return_permit("entry", &grant, finished_outcome(10));
        grants.extend(fixture.grants());
    }
    // At one grant in 5 s and with deadlines of 60 s, a third of the thirty is refused long before
    // its deadline.
    assert!((8..30).contains(&refused), "{refused}");
}
