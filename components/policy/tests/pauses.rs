//! The entry while targets want no requests from this instance.

mod support;

use std::time::Duration;

use policy::{Action, Entry, Event, Request, RequestId, ShardRole};
use support::{DATA_CENTRE, SERVICE, limits, shard, target, view};
use types::{Class, Moment, Refusal, ServiceKind, TargetId};
use wire::{Grant, Message, PERMIT_LIFETIME, PermitRequest};

const SECOND: Duration = Duration::from_secs(1);

struct Fixture {
    entry: Entry,
    now: Moment,
    out: Vec<Action>,
}

impl Fixture {
    /// An entry that knows two targets and the owner of their shard.
    fn new() -> Self {
        let mut this = Self {
            entry: Entry::new("me".into(), DATA_CENTRE.into()),
            now: SECOND,
            out: Vec::new(),
        };
        let known = view(vec![target("a", 1), target("b", 1)], limits());
        this.event(Event::ViewChanged(known));
        let role = ShardRole::Follow {
            owner: Some("owner".into()),
            epoch: 1,
        };
        this.event(Event::RoleChanged {
            shard: shard(),
            role,
        });
        this
    }

    fn event(&mut self, event: Event) {
        self.out.clear();
        self.entry.handle(self.now, &event, &mut self.out);
    }

    fn pause(&mut self, target: &str, time: Duration) {
        self.event(Event::TargetPaused {
            target: target.into(),
            incarnation: 1,
            time,
        });
    }

    fn arrive(&mut self, id: RequestId) {
        self.event(Event::Arrived(Request {
            id,
            service: SERVICE.into(),
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
        }));
    }

    fn grant(&mut self, request: &PermitRequest, target: &str) {
        let grant = Grant {
            shard: shard(),
            epoch: 1,
            permit_request: request.permit_request,
            permit: request.permit_request,
            target: target.into(),
            incarnation: 1,
            reserved: 0,
            slots: 1,
            stamp: self.now,
            lifetime: PERMIT_LIFETIME,
            cold: false,
        };
        self.event(Event::Received {
            from: "owner".into(),
            incarnation: 1,
            message: grant.into(),
        });
    }

    fn permit_requests(&self) -> Vec<PermitRequest> {
        let sent = self.out.iter().filter_map(|action| match action {
            Action::Send {
                message: Message::PermitRequest(request),
                ..
            } => Some(request.clone()),
            _ => None,
        });
        sent.collect()
    }

    fn refusals(&self) -> Vec<Refusal> {
        let refusals = self.out.iter().filter_map(|action| match action {
            Action::Refuse { refusal, .. } => Some(refusal.clone()),
            _ => None,
        });
        refusals.collect()
    }

    fn dispatched(&self) -> usize {
        let dispatched = |action: &&Action| matches!(action, Action::Dispatch { .. });
        self.out.iter().filter(dispatched).count()
    }
}

/// Guards against asking an owner, which does not know the pause, for a permit on the target.
#[test]
fn a_pausing_target_is_avoided() {
    let mut fixture = Fixture::new();
    fixture.pause("a", 5 * SECOND);
    fixture.arrive(1);
    let avoid: Vec<TargetId> = vec!["a".into()];
    assert_eq!(fixture.permit_requests()[0].avoid, avoid);
    fixture.now += 6 * SECOND;
    fixture.arrive(2);
    assert!(fixture.permit_requests()[0].avoid.is_empty());
}

/// Guards against sending under a permit that was granted before the target asked for a pause.
#[test]
fn a_permit_is_not_used_while_its_target_pauses() {
    let mut fixture = Fixture::new();
    fixture.arrive(1);
    let request = fixture.permit_requests().remove(0);
    fixture.grant(&request, "a");
    assert_eq!(fixture.dispatched(), 1);
    assert!(fixture.entry.may_send(fixture.now, 1));
    fixture.pause("a", SECOND);
    assert!(!fixture.entry.may_send(fixture.now, 1));

    fixture.arrive(2);
    let request = fixture.permit_requests().remove(0);
    fixture.grant(&request, "a");
    assert_eq!(fixture.dispatched(), 0, "the owner's grant is returned");
    assert_eq!(
        fixture.permit_requests().len(),
        1,
        "and another one requested"
    );
}

/// Guards against holding a request that no target wants, and against sending all callers back at
/// the same moment.
#[test]
fn requests_are_refused_at_once_while_all_targets_pause() {
    let mut fixture = Fixture::new();
    fixture.pause("a", 5 * SECOND);
    fixture.pause("b", 3 * SECOND);
    let mut times = Vec::new();
    for id in 1..=8 {
        fixture.arrive(id);
        assert!(fixture.permit_requests().is_empty());
        let refusal = fixture.refusals().remove(0);
        let after = refusal.retry_after.expect("a time to retry");
        assert!((3 * SECOND..5 * SECOND).contains(&after), "{after:?}");
        times.push(after);
    }
    times.dedup();
    assert!(times.len() > 4, "{times:?}");
}
