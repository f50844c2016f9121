//! What becomes of a request whose ask, or the answer to it, is lost between two instances.

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

fn asks(out: &[Action]) -> usize {
    let is_ask = |action: &&Action| {
        matches!(
            action,
            Action::Send {
                message: Message::Ask(_),
                ..
            }
        )
    };
    out.iter().filter(is_ask).count()
}

/// Lets a second pass in ticks; counts the asks that are sent.
fn pass(entry: &mut Entry, now: &mut Moment) -> usize {
    let mut sent = 0;
    for _ in 0..50 {
        *now += SECOND / 50;
        let mut out = Vec::new();
        entry.handle(*now, &Event::Tick, &mut out);
        sent += asks(&out);
    }
    sent
}

// A peer is started anew and becomes owner. The ask goes out on a connection to its former life
// and is lost; nobody will ever answer it. The caller waits in silence until its time is over,
// although every engine is idle.
// Found by tests/promises_data_centre.rs, one run in five.
#[test]
fn an_ask_that_nobody_answers_is_made_again() {
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
    assert_eq!(asks(&out), 1);
    let again = pass(&mut entry, &mut now) + pass(&mut entry, &mut now);
    assert!(again >= 1, "nobody was asked again");
    // A long line is no loss: asking anew all the time would only make it longer.
    assert!(again <= 2, "{again}");
}
