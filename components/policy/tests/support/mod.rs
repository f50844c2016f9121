//! Test fixture: an owner with one shard, and entries simulated by the tests.
#![allow(dead_code)] // each test file uses its become_owner part

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use policy::{Action, Event, Owner, ShardRole, TargetLimits, TargetLoad, View};
use types::{
    Class, Epoch, Incarnation, InstanceId, Moment, PermitId, PermitRequestId, ServiceId,
    ServiceKind, ServingState, Shard, Target, TargetId, Tokens,
};
use wire::{Done, Grant, Held, HeldPermit, Message, Outcome, PermitRequest};

/// The service used by all tests.
pub const SERVICE: &str = "drafts";
/// The data centre used by all tests.
pub const DATA_CENTRE: &str = "east";

/// Time in ms after which an owner no longer waits for a cold target's first report.
pub const COLD_REPORT_TIMEOUT: u64 = 3001;

/// The shard used by all tests.
pub fn shard() -> Shard {
    Shard::new(&ServiceId::from(SERVICE), &DATA_CENTRE.into())
}

/// A live target of the shard.
pub fn target(id: &str, incarnation: Incarnation) -> Target {
    Target {
        id: id.into(),
        service: SERVICE.into(),
        data_centre: DATA_CENTRE.into(),
        addr: "127.0.0.1:9".parse().expect("an address"),
        incarnation,
        state: ServingState::Live,
    }
}

/// Limits with room for a few requests.
pub fn limits() -> TargetLimits {
    TargetLimits {
        kind: ServiceKind::Model,
        cold_limit: 2,
        warm_limit: 16,
        memory_tokens: 10_000,
        warm_after: 4,
        queue_limit: 8,
        retry_percent: 10,
    }
}

/// A view of the given targets.
pub fn view(targets: Vec<Target>, limits: TargetLimits) -> View {
    View {
        targets,
        limits: BTreeMap::from([(ServiceId::from(SERVICE), Arc::new(limits))]),
        data_centres_out: Vec::new(),
        instances: 0,
    }
}

/// A permit request of normal class.
pub fn permit_request(number: PermitRequestId, stamp: Moment) -> PermitRequest {
    PermitRequest {
        shard: shard(),
        permit_request: number,
        stamp,
        kind: ServiceKind::Model,
        class: Class::Normal,
        workspace: "signs".into(),
        route: "draft".into(),
        deadline_left: Duration::from_secs(60),
        waited: Duration::ZERO,
        prompt_tokens: 100,
        max_output: 400,
        slots: 1,
        prefix: Vec::new(),
        avoid: Vec::new(),
    }
}

/// An owner under test, with the actions of the last event.
pub struct Fixture {
    /// The owner.
    pub owner: Owner,
    /// The current time.
    pub now: Moment,
    /// Actions of the last event.
    pub out: Vec<Action>,
}

impl Fixture {
    /// Starts an owner that knows its view and owns no shard.
    pub fn new(view: View) -> Self {
        let mut fixture = Self {
            owner: Owner::new("me".into(), 1, 7),
            now: Duration::from_secs(1),
            out: Vec::new(),
        };
        fixture.event(Event::ViewChanged(view));
        fixture
    }

    /// Starts an owner of the shard in term 1 that has no entries to query and no longer waits for
    /// its targets' first reports.
    pub fn owning(view: View) -> Self {
        let mut fixture = Self::new(view);
        fixture.become_owner(1, &[]);
        fixture.exclusive(true);
        fixture.advance(COLD_REPORT_TIMEOUT);
        fixture
    }

    /// Passes an event to the owner.
    pub fn event(&mut self, event: Event) {
        self.out.clear();
        self.owner.handle(self.now, &event, &mut self.out);
    }

    /// Advances the time and sends a tick.
    pub fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.event(Event::Tick);
    }

    /// Makes it the owner of the shard.
    pub fn become_owner(&mut self, epoch: Epoch, entries_to_query: &[&str]) {
        let entries_to_query = entries_to_query
            .iter()
            .map(|&name| InstanceId::from(name))
            .collect();
        self.event(Event::RoleChanged {
            shard: shard(),
            role: ShardRole::Own {
                epoch,
                entries_to_query,
            },
        });
    }

    /// Sets whether it is the only owner, so that cold targets may get work.
    pub fn exclusive(&mut self, exclusive: bool) {
        self.event(Event::ExclusivityChanged {
            shard: shard(),
            exclusive,
        });
    }

    /// Sends a message from an entry in its first incarnation.
    pub fn message(&mut self, from: &str, message: impl Into<Message>) {
        self.event(Event::Received {
            from: from.into(),
            incarnation: 1,
            message: message.into(),
        });
    }

    /// Sends a permit request of normal class, stamped now.
    pub fn request_permit(&mut self, from: &str, number: PermitRequestId) {
        let permit_request = permit_request(number, self.now);
        self.message(from, permit_request);
    }

    /// Sends a permit request of a class from the entry named `entry`.
    pub fn request_permit_of_class(&mut self, class: Class, number: PermitRequestId) {
        let mut permit_request = permit_request(number, self.now);
        permit_request.class = class;
        self.message("entry", permit_request);
    }

    /// Sends a target's load report, made just now.
    pub fn report_load(&mut self, id: &str, report: TargetLoad) {
        self.event(Event::TargetReported {
            target: id.into(),
            report,
        });
    }

    /// Returns a permit.
    pub fn return_permit(&mut self, from: &str, grant: &Grant, outcome: Outcome) {
        let done = Done {
            shard: shard(),
            permit: grant.permit,
            target: grant.target.clone(),
            outcome,
        };
        self.message(from, done);
    }

    /// Reports the permits that an entry holds, stamped now.
    pub fn report_held(&mut self, from: &str, epoch: Epoch, permits: Vec<HeldPermit>) {
        let held = Held {
            shard: shard(),
            epoch,
            stamp: self.now,
            permits,
        };
        self.message(from, held);
    }

    /// The grants of the last event.
    pub fn grants(&self) -> Vec<Grant> {
        self.messages()
            .filter_map(|message| match message {
                Message::Grant(grant) => Some(grant.clone()),
                _ => None,
            })
            .collect()
    }

    /// The denials of the last event: id of the permit request and retry delay.
    pub fn denials(&self) -> Vec<(PermitRequestId, Option<Duration>)> {
        self.messages()
            .filter_map(|message| match message {
                Message::Deny(deny) => Some((deny.permit_request, deny.retry_after)),
                _ => None,
            })
            .collect()
    }

    /// All messages of the last event.
    pub fn messages(&self) -> impl Iterator<Item = &Message> {
        self.out.iter().filter_map(|action| match action {
            Action::Send { message, .. } => Some(message),
            _ => None,
        })
    }
}

/// An entry's report of one permit that it holds.
pub fn held_permit(permit: PermitId, id: &str, produced: Tokens) -> HeldPermit {
    HeldPermit {
        permit,
        epoch: 1,
        target: TargetId::from(id),
        incarnation: 1,
        class: Class::Normal,
        workspace: "signs".into(),
        route: "draft".into(),
        prompt_tokens: 100,
        max_output: 400,
        produced,
        slots: 1,
        answer_started: produced > 0,
    }
}

/// The outcome of a generation that finished.
pub fn finished_outcome(produced: Tokens) -> Outcome {
    Outcome::Finished {
        produced,
        first: Duration::from_millis(50),
        took: Duration::from_millis(50 + 20 * produced),
    }
}

/// A report of a warm target that runs nothing.
pub fn warm_report() -> TargetLoad {
    TargetLoad {
        incarnation: 1,
        capacity: 10_000,
        warm: true,
        ..TargetLoad::default()
    }
}
