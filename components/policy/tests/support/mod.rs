//! An owner with one shard and entries played by hand.
#![allow(dead_code)] // each test file uses its own part

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use policy::{Action, EngineReport, Event, Owner, ShardRole, TargetLimits, View};
use types::{
    AskId, Class, Epoch, Incarnation, InstanceId, Moment, PermitId, ServiceId, ServiceKind, Shard,
    Standing, Target, TargetId, Tokens,
};
use wire::{Ask, Done, Grant, Held, HeldPermit, Message, Outcome};

/// The service that all tests use.
pub const SERVICE: &str = "drafts";
/// The data centre that all tests use.
pub const DATA_CENTRE: &str = "east";

/// Milliseconds after which an owner no longer waits for a cold target's first report.
pub const COLD_REPORT_TIMEOUT: u64 = 3001;

/// The one shard.
pub fn shard() -> Shard {
    Shard::new(&ServiceId::from(SERVICE), &DATA_CENTRE.into())
}

/// One of its targets.
pub fn target(id: &str, incarnation: Incarnation) -> Target {
    Target {
        id: id.into(),
        service: SERVICE.into(),
        data_centre: DATA_CENTRE.into(),
        addr: "127.0.0.1:9".parse().expect("an address"),
        incarnation,
        standing: Standing::Live,
    }
}

/// Limits that leave room for a few requests.
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

/// A view of some targets.
pub fn view(targets: Vec<Target>, limits: TargetLimits) -> View {
    View {
        targets,
        limits: BTreeMap::from([(ServiceId::from(SERVICE), Arc::new(limits))]),
        data_centres_out: Vec::new(),
        instances: 0,
    }
}

/// An ordinary ask.
pub fn ask(number: AskId, stamp: Moment) -> Ask {
    Ask {
        shard: shard(),
        ask: number,
        stamp,
        kind: ServiceKind::Model,
        class: Class::Normal,
        workspace: "signs".into(),
        route: "draft".into(),
        within: Duration::from_secs(60),
        waited: Duration::ZERO,
        prompt: 100,
        max_output: 400,
        slots: 1,
        prefix: Vec::new(),
        avoid: Vec::new(),
    }
}

/// An owner under test and what it answered last.
pub struct Bed {
    /// The owner.
    pub owner: Owner,
    /// The time.
    pub now: Moment,
    /// Actions of the last event.
    pub out: Vec<Action>,
}

impl Bed {
    /// Starts an owner that knows its view and owns nothing.
    pub fn new(view: View) -> Self {
        let mut bed = Self {
            owner: Owner::new("me".into(), 1, 7),
            now: Duration::from_secs(1),
            out: Vec::new(),
        };
        bed.event(Event::ViewChanged(view));
        bed
    }

    /// Starts an owner of the shard, in term 1, that has to ask nobody and has waited for its
    /// targets' reports as long as it does.
    pub fn owning(view: View) -> Self {
        let mut bed = Self::new(view);
        bed.own(1, &[]);
        bed.exclusive(true);
        bed.advance(COLD_REPORT_TIMEOUT);
        bed
    }

    /// Hands an event to the owner.
    pub fn event(&mut self, event: Event) {
        self.out.clear();
        self.owner.handle(self.now, &event, &mut self.out);
    }

    /// Lets time pass.
    pub fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.event(Event::Tick);
    }

    /// Makes it own the shard.
    pub fn own(&mut self, epoch: Epoch, entries_to_query: &[&str]) {
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

    /// Says whether cold targets may get work.
    pub fn exclusive(&mut self, exclusive: bool) {
        self.event(Event::ExclusivityChanged {
            shard: shard(),
            exclusive,
        });
    }

    /// A message of an entry in its first life.
    pub fn message(&mut self, from: &str, message: impl Into<Message>) {
        self.event(Event::Received {
            from: from.into(),
            incarnation: 1,
            message: message.into(),
        });
    }

    /// An ordinary ask, stamped now.
    pub fn ask(&mut self, from: &str, number: AskId) {
        let ask = ask(number, self.now);
        self.message(from, ask);
    }

    /// An ask of a class, of the entry named `entry`.
    pub fn ask_of(&mut self, class: Class, number: AskId) {
        let mut ask = ask(number, self.now);
        ask.class = class;
        self.message("entry", ask);
    }

    /// A target's report, taken just now.
    pub fn report(&mut self, id: &str, report: EngineReport) {
        self.event(Event::TargetReported {
            target: id.into(),
            report,
        });
    }

    /// Gives a permit back.
    pub fn done(&mut self, from: &str, grant: &Grant, outcome: Outcome) {
        let done = Done {
            shard: shard(),
            permit: grant.permit,
            target: grant.target.clone(),
            outcome,
        };
        self.message(from, done);
    }

    /// Tells what an entry holds, stamped now.
    pub fn held(&mut self, from: &str, epoch: Epoch, permits: Vec<HeldPermit>) {
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

    /// The refusals of the last event: ask and time to come back.
    pub fn denials(&self) -> Vec<(AskId, Option<Duration>)> {
        self.messages()
            .filter_map(|message| match message {
                Message::Deny(deny) => Some((deny.ask, deny.retry_after)),
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

/// What an entry says of a permit it holds.
pub fn held(permit: PermitId, id: &str, produced: Tokens) -> HeldPermit {
    HeldPermit {
        permit,
        epoch: 1,
        target: TargetId::from(id),
        incarnation: 1,
        class: Class::Normal,
        workspace: "signs".into(),
        route: "draft".into(),
        prompt: 100,
        max_output: 400,
        produced,
        slots: 1,
        seen: produced > 0,
    }
}

/// A generation that ended well.
pub fn finished(produced: Tokens) -> Outcome {
    Outcome::Finished {
        produced,
        first: Duration::from_millis(50),
        took: Duration::from_millis(50 + 20 * produced),
    }
}

/// A report of a warm target with nothing running.
pub fn warm() -> EngineReport {
    EngineReport {
        incarnation: 1,
        capacity: 10_000,
        warm: true,
        ..EngineReport::default()
    }
}
