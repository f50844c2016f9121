//! What targets and requests cost in the decisions.

use std::{collections::VecDeque, time::Duration};

use policy::{Action, Entry, Event, Owner, ShardRole, TargetLoad};
use types::{Moment, Shard, Target};
use wire::{Done, Grant, Held, Message, Outcome};

use super::{
    fit::{Row, Table},
    meter,
    world::{self, NOW, REQUESTS, STREAMS},
};

const FINISHED: Outcome = Outcome::Finished {
    produced: 210,
    first: Duration::from_millis(300),
    took: Duration::from_secs(12),
};

/// Permits that one `Held` lists.
const LISTED: usize = 64;

/// An owner of one shard whose targets run as many streams as they will at full size.
pub struct Busy {
    owner: Owner,
    shard: Shard,
    targets: Vec<Target>,
    grants: VecDeque<Grant>,
    now: Moment,
    asked: u64,
}

impl Busy {
    pub fn new(targets: usize, streams: usize) -> Self {
        let shard = world::shard(0);
        let targets: Vec<Target> = (0..targets).map(|n| world::target(n, &shard)).collect();
        let mut busy = Self {
            owner: Owner::new(world::instance(0), 1, 1),
            shard,
            grants: VecDeque::new(),
            now: NOW,
            asked: 0,
            targets,
        };
        busy.feed(Event::ViewChanged(world::view(busy.targets.clone())));
        let shard = busy.shard.clone();
        let role = ShardRole::Own {
            epoch: 1 << 57,
            entries_to_query: Vec::new(),
        };
        busy.feed(Event::RoleChanged {
            shard: shard.clone(),
            role,
        });
        busy.feed(Event::ExclusivityChanged {
            shard,
            exclusive: true,
        });
        for _ in 0..busy.targets.len() * streams {
            busy.ask();
        }
        busy
    }

    fn feed(&mut self, event: Event) {
        let mut out = Vec::new();
        self.owner.handle(self.now, &event, &mut out);
        for action in out {
            if let Action::Send {
                message: Message::Grant(grant),
                ..
            } = action
            {
                self.grants.push_back(grant);
            }
        }
    }

    fn take(&mut self, message: Message) {
        let entry = 1 + self.asked as usize % 16;
        self.feed(Event::Received {
            from: world::instance(entry),
            incarnation: 1,
            message,
        });
    }

    fn ask(&mut self) {
        self.asked += 1;
        let ask = world::ask(self.asked, &self.shard, self.now);
        self.take(ask.into());
    }

    /// One ask, and the end of the oldest stream, at the pace of the full size.
    fn turn(&mut self) {
        self.now += Duration::from_secs_f64(1.0 / (REQUESTS * self.targets.len() as f64));
        self.ask();
        let Some(grant) = self.grants.pop_front() else {
            return;
        };
        let done = Done {
            shard: grant.shard,
            permit: grant.permit,
            target: grant.target,
            outcome: FINISHED,
        };
        // The entry is told by the ask's number, as when it was asked for.
        let entry = 1 + grant.permit_request as usize % 16;
        self.feed(Event::Received {
            from: world::instance(entry),
            incarnation: 1,
            message: done.into(),
        });
    }

    fn report(&mut self, number: usize) {
        let report = TargetLoad {
            incarnation: 1,
            age: Duration::from_millis(100),
            running: STREAMS as u32,
            waiting: 0,
            used: 44_000,
            capacity: 10_000_000,
            preemptions: 0,
            warm: true,
        };
        let target = self.targets[number % self.targets.len()].id.clone();
        self.feed(Event::TargetReported { target, report });
    }

    fn held(&mut self) {
        let mine = self
            .grants
            .iter()
            .filter(|g| 1 + g.permit_request as usize % 16 == 1);
        let held = Held {
            shard: self.shard.clone(),
            epoch: 1 << 57,
            stamp: self.now,
            permits: mine.take(LISTED).map(world::held).collect(),
        };
        self.feed(Event::Received {
            from: world::instance(1),
            incarnation: 1,
            message: held.into(),
        });
    }
}

/// What an owner's work costs against the number of targets of its shard.
pub fn owner() -> Table {
    let row = |targets: usize| {
        let mut busy = Busy::new(targets, STREAMS);
        let granted = busy.grants.len();
        let ask = meter::each(|_| busy.turn());
        assert!(
            busy.grants.len() >= granted,
            "asks were not granted, {} of {granted}",
            busy.grants.len()
        );
        let tick = meter::each(|_| busy.feed(Event::Tick));
        let report = meter::each(|n| busy.report(n));
        let held = meter::each(|_| busy.held());
        let view = world::view(busy.targets.clone());
        let changed = meter::each(|_| busy.feed(Event::ViewChanged(view.clone())));
        eprintln!("{targets} targets: {ask:.1} {tick:.1} {report:.1} {held:.1} {changed:.1} us");
        Row {
            x: targets as f64,
            values: vec![ask, tick, report, held, changed],
        }
    };
    Table {
        title: format!(
            "Owner of one shard, {STREAMS} streams a target, {REQUESTS} asks a second a target, held of {LISTED} permits"
        ),
        axis: "targets",
        columns: vec![
            "ask and done us",
            "tick us",
            "report us",
            "held us",
            "view change us",
        ],
        rows: [16, 32, 64, 128, 256, 512, 1024].map(row).to_vec(),
    }
}

/// An entry with requests in flight.
fn entry_with(targets: usize, in_flight: u64) -> (Entry, Vec<Target>) {
    let view = world::spread(targets);
    let mut entry = Entry::new(world::instance(1), world::shard(0).data_centre);
    let mut out = Vec::new();
    entry.handle(NOW, &Event::ViewChanged(view.clone()), &mut out);
    let shard = world::shard(0);
    let owner = world::instance(0);
    let role = ShardRole::Follow {
        owner: Some(owner),
        epoch: 1 << 57,
    };
    entry.handle(NOW, &Event::RoleChanged { shard, role }, &mut out);
    let hosts: Vec<Target> = view
        .targets
        .into_iter()
        .filter(|t| world::shard(0).contains(t))
        .collect();
    for id in 1..=in_flight {
        place(&mut entry, id, id, &hosts);
    }
    (entry, hosts)
}

fn place(entry: &mut Entry, id: u64, ask: u64, hosts: &[Target]) {
    let shard = world::shard(0);
    let mut out = Vec::new();
    entry.handle(NOW, &Event::Arrived(world::request(id, &shard)), &mut out);
    let target = &hosts[id as usize % hosts.len()];
    let message = world::grant(ask, &shard, target, NOW).into();
    let granted = Event::Received {
        from: world::instance(0),
        incarnation: 1,
        message,
    };
    out.clear();
    entry.handle(NOW, &granted, &mut out);
    let placed = out.iter().any(|a| matches!(a, Action::Dispatch { .. }));
    assert!(placed, "request {id} was not placed: {out:?}");
}

/// What an entry's work costs against the number of all targets.
pub fn entry() -> Table {
    const IN_FLIGHT: u64 = 360;
    let row = |targets: usize| {
        let (mut entry, hosts) = entry_with(targets, IN_FLIGHT);
        let mut out = Vec::new();
        let request = meter::each(|n| {
            let id = IN_FLIGHT + 1 + n as u64;
            place(&mut entry, id, id, &hosts);
            assert!(entry.may_send(NOW, id), "a permit in hand can't be used");
            let ended = Event::Ended {
                request: id,
                outcome: FINISHED,
                retry: false,
            };
            entry.handle(NOW, &ended, &mut out);
            out.clear();
        });
        let view = world::spread(targets);
        let changed = meter::each(|_| {
            let changed = Event::ViewChanged(view.clone());
            entry.handle(NOW, &changed, &mut out);
            out.clear();
        });
        let mut now = NOW;
        let tick = meter::each(|_| {
            now += Duration::from_millis(50);
            entry.handle(now, &Event::Tick, &mut out);
            out.clear();
        });
        Row {
            x: targets as f64,
            values: vec![request, tick, changed],
        }
    };
    Table {
        title: format!("Entry with {IN_FLIGHT} requests in flight, targets of all shards"),
        axis: "targets",
        columns: vec!["request us", "tick us", "view change us"],
        rows: [522, 1044, 3000, 6000, 12_000].map(row).to_vec(),
    }
}
