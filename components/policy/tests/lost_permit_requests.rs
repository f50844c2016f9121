//! Recovery from permit requests, or answers to them, that are lost between two instances.

mod support;

use std::time::Duration;

use policy::{Action, Entry, Event, Request, ShardRole};
use support::{limits, shard, target, view};
use types::{Class, Moment, ServiceKind};
use wire::Message;

const SECOND: Duration = Duration::from_secs(1);

fn request() -> Request {
    Request {
        id: 1,
        service: support::SERVICE.into(),
        kind: ServiceKind::Model,
        workspace: "signs".into(),
        route: "draft".into(),
        class: Class::Normal,
        deadline: 60 * SECOND,
        idempotent: false,
        prompt_tokens: 100,
        max_output: 400,
        prefix: Vec::new(),
        true_output: None,
    }
}

fn permit_requests(out: &[Action]) -> usize {
    let is_permit_request = |action: &&Action| {
        matches!(
            action,
            Action::Send {
                message: Message::PermitRequest(_),
                ..
            }
        )
    };
    out.iter().filter(is_permit_request).count()
}

/// Advances the time by a second in ticks, and returns the number of permit requests sent.
fn pass_a_second(entry: &mut Entry, now: &mut Moment) -> usize {
    let mut sent = 0;
    for _ in 0..50 {
        *now += SECOND / 50;
        let mut out = Vec::new();
        entry.handle(*now, &Event::Tick, &mut out);
        sent += permit_requests(&out);
    }
    sent
}

// A peer restarts and becomes owner. A permit request sent on a connection to its earlier
// incarnation is lost and never answered. The caller would wait until its deadline although every
// engine is idle. Found by tests/promises_data_centre.rs, in one run of five.
#[test]
fn an_unanswered_permit_request_is_repeated() {
    let mut entry = Entry::new("me".into(), support::DATA_CENTRE.into());
    let mut now = SECOND;
    let mut out = Vec::new();
    let known = view(vec![target("a", 1)], limits());
    entry.handle(now, &Event::ViewChanged(known), &mut out);
    let role = ShardRole::Follow {
        owner: Some("owner".into()),
        epoch: 1,
    };
    let follow = Event::RoleChanged {
        shard: shard(),
        role,
    };
    entry.handle(now, &follow, &mut out);
    out.clear();
    entry.handle(now, &Event::Arrived(request()), &mut out);
    assert_eq!(permit_requests(&out), 1);
    let repeated = pass_a_second(&mut entry, &mut now) + pass_a_second(&mut entry, &mut now);
    assert!(repeated >= 1, "the permit request was not repeated");
    // A long queue is not a loss: repeating requests all the time would only make it longer.
    assert!(repeated <= 2, "{repeated}");
}
