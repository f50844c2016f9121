//! Random faults: lost and late messages, dead entries, paused and replaced owners, restarted
//! targets. Two owners, three entries and two targets are fakes at the interface.

mod support;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use policy::{Action, EngineReport, Event, Owner, ShardRole, View};
use proptest::{prelude::*, test_runner::Config};
use support::{ask, limits, shard, target, view};
use types::{Epoch, Incarnation, InstanceId, Moment, PermitId};
use wire::{Done, Grant, Held, HeldPermit, Message, Outcome};

const OWNERS: usize = 2;
const ENTRIES: usize = 3;
const TARGETS: usize = 2;
const COLD_LIMIT: u32 = 2;
const WARM_AFTER: u32 = 25;
const TURN: Duration = Duration::from_millis(10);
const HELD_EVERY: u64 = 20;
const REPORT_EVERY: u64 = 20;
const REPORT_LAG: Duration = Duration::from_millis(300);
const SILENCE: Duration = Duration::from_millis(1600);

/// What goes wrong, or goes on, next.
#[derive(Clone, Copy, Debug)]
enum Step {
    Ask { entry: usize, count: u8 },
    Run { turns: u64 },
    Pause { owner: usize, turns: u64 },
    Replace,
    Kill { entry: usize },
    Restart { target: usize },
    Lossy { percent: u8 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        16 => (0..ENTRIES, 1..5_u8).prop_map(|(entry, count)| Step::Ask { entry, count }),
        12 => (1..80_u64).prop_map(|turns| Step::Run { turns }),
        1 => (0..OWNERS, 20..400_u64).prop_map(|(owner, turns)| Step::Pause { owner, turns }),
        1 => Just(Step::Replace),
        2 => (0..ENTRIES).prop_map(|entry| Step::Kill { entry }),
        1 => (0..TARGETS).prop_map(|target| Step::Restart { target }),
        1 => (0..40_u8).prop_map(|percent| Step::Lossy { percent }),
    ]
}

#[derive(Clone, Debug)]
struct InHand {
    grant: Grant,
    sent: bool,
    produced: u64,
}

#[derive(Debug)]
struct Entry {
    incarnation: Incarnation,
    epoch: Epoch,
    next_ask: u64,
    in_hand: BTreeMap<PermitId, InHand>,
    dead_since: Option<Moment>,
}

#[derive(Debug)]
struct Job {
    entry: usize,
    incarnation: Incarnation,
    permit: PermitId,
    left: u64,
}

#[derive(Debug)]
struct Engine {
    incarnation: Incarnation,
    jobs: Vec<Job>,
    finished: u32,
}

struct Process {
    owner: Owner,
    asleep_until: Option<Moment>,
    slept_at: Moment,
    inbox: VecDeque<Event>,
}

#[derive(Clone, Debug)]
struct Mail {
    due: Moment,
    to: Place,
    event: Event,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Place {
    Owner(usize),
    Entry(usize),
}

struct World {
    now: Moment,
    turn: u64,
    rng: fastrand::Rng,
    loss: u8,
    epoch: Epoch,
    leader: usize,
    exclusive_at: Option<Moment>,
    processes: Vec<Process>,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    links: BTreeMap<(Place, Place), VecDeque<Mail>>,
    pending_view: Option<(Moment, View)>,
    used: std::collections::BTreeSet<PermitId>,
}

fn entry_name(entry: usize) -> InstanceId {
    format!("entry-{entry}").into()
}

fn engine_name(engine: usize) -> String {
    format!("engine-{engine}")
}

fn number(name: &str) -> usize {
    name.rsplit('-')
        .next()
        .and_then(|n| n.parse().ok())
        .expect("a numbered name")
}

impl World {
    fn new(seed: u64) -> Self {
        let process = |owner: usize| Process {
            owner: Owner::new(format!("owner-{owner}").into(), 1, seed),
            asleep_until: None,
            slept_at: Moment::ZERO,
            inbox: VecDeque::new(),
        };
        let mut world = Self {
            now: Duration::from_secs(10),
            turn: 0,
            rng: fastrand::Rng::with_seed(seed),
            loss: 0,
            epoch: 0,
            leader: 1,
            exclusive_at: None,
            processes: (0..OWNERS).map(process).collect(),
            entries: (0..ENTRIES)
                .map(|_| Entry {
                    incarnation: 1,
                    epoch: 0,
                    next_ask: 0,
                    in_hand: BTreeMap::new(),
                    dead_since: None,
                })
                .collect(),
            engines: (0..TARGETS)
                .map(|_| Engine {
                    incarnation: 1,
                    jobs: Vec::new(),
                    finished: 0,
                })
                .collect(),
            links: BTreeMap::new(),
            pending_view: None,
            used: std::collections::BTreeSet::new(),
        };
        let view = world.view();
        world.tell_all(&Event::ViewChanged(view));
        world.replace();
        world
    }

    fn view(&self) -> View {
        let mut limits = limits();
        limits.cold_limit = COLD_LIMIT;
        limits.warm_after = WARM_AFTER;
        limits.queue_limit = 64;
        let targets = self.engines.iter().enumerate();
        view(
            targets
                .map(|(at, engine)| target(&engine_name(at), engine.incarnation))
                .collect(),
            limits,
        )
    }

    /// An entry's clock differs from the others' and from the owners'.
    fn clock(&self, entry: usize) -> Moment {
        self.now + Duration::from_secs(1000 * (entry as u64 + 1))
    }

    fn tell_all(&mut self, event: &Event) {
        for owner in 0..OWNERS {
            self.tell(owner, event.clone());
        }
    }

    /// A process that sleeps takes its events when it wakes, after it has noticed the gap.
    fn tell(&mut self, owner: usize, event: Event) {
        if self.processes[owner].asleep_until.is_some() {
            self.processes[owner].inbox.push_back(event);
            return;
        }
        let mut out = Vec::new();
        let now = self.now;
        self.processes[owner].owner.handle(now, &event, &mut out);
        for action in out {
            let Action::Send { to, message } = action else {
                panic!("an owner only sends messages");
            };
            let event = Event::Received {
                from: format!("owner-{owner}").into(),
                incarnation: 1,
                message,
            };
            self.post(Place::Owner(owner), Place::Entry(number(&to)), event);
        }
    }

    /// Sends in order for each pair, late, and sometimes not at all.
    fn post(&mut self, from: Place, to: Place, event: Event) {
        if self.rng.u8(0..100) < self.loss {
            return;
        }
        let due = self.now + Duration::from_millis(self.rng.u64(1..60));
        let link = self.links.entry((from, to)).or_default();
        let due = link.back().map_or(due, |last| due.max(last.due));
        link.push_back(Mail { due, to, event });
    }

    fn post_as(&mut self, entry: usize, to: usize, message: impl Into<Message>) {
        let event = Event::Received {
            from: entry_name(entry),
            incarnation: self.entries[entry].incarnation,
            message: message.into(),
        };
        self.post(Place::Entry(entry), Place::Owner(to), event);
    }

    /// Makes the other process the owner, as its members would: the old one is told at once
    /// where it runs, and the new one counts as alone only then.
    fn replace(&mut self) {
        self.epoch += 1;
        let old = self.leader;
        self.leader = (old + 1) % OWNERS;
        let follow = ShardRole::Follow {
            owner: None,
            epoch: self.epoch,
        };
        self.tell(
            old,
            Event::RoleChanged {
                shard: shard(),
                role: follow,
            },
        );
        let alive = (0..ENTRIES).filter(|&entry| !self.counts_as_gone(entry));
        let own = ShardRole::Own {
            epoch: self.epoch,
            entries_to_query: alive.map(entry_name).collect(),
        };
        self.tell(
            self.leader,
            Event::RoleChanged {
                shard: shard(),
                role: own,
            },
        );
        self.exclusive_at = Some(self.now + Duration::from_millis(50));
    }

    fn counts_as_gone(&self, entry: usize) -> bool {
        let since = self.entries[entry].dead_since;
        since.is_some_and(|since| self.now >= since + SILENCE)
    }

    fn act(&mut self, step: Step) {
        match step {
            Step::Ask { entry, count } => (0..count).for_each(|_| self.ask(entry)),
            Step::Run { turns } => (0..turns).for_each(|_| self.run()),
            Step::Pause { owner, turns } => self.pause(owner, turns),
            Step::Replace => self.replace(),
            Step::Kill { entry } => self.kill(entry),
            Step::Restart { target } => self.restart(target),
            Step::Lossy { percent } => self.loss = percent,
        }
        self.run();
    }

    fn ask(&mut self, entry: usize) {
        if self.entries[entry].dead_since.is_some() {
            return;
        }
        self.entries[entry].next_ask += 1;
        let mut ask = ask(self.entries[entry].next_ask, self.clock(entry));
        ask.within = Duration::from_secs(5);
        self.post_as(entry, self.leader, ask);
    }

    fn pause(&mut self, owner: usize, turns: u64) {
        let process = &mut self.processes[owner];
        if process.asleep_until.is_none() {
            process.slept_at = self.now;
            process.asleep_until = Some(self.now + TURN * turns as u32);
        }
    }

    fn kill(&mut self, entry: usize) {
        let gone = &mut self.entries[entry];
        if gone.dead_since.is_none() {
            gone.dead_since = Some(self.now);
            gone.in_hand.clear();
            self.links.retain(|(_, to), _| *to != Place::Entry(entry));
        }
    }

    fn restart(&mut self, target: usize) {
        let engine = &mut self.engines[target];
        engine.incarnation += 1;
        engine.jobs.clear();
        engine.finished = 0;
        let lag = Duration::from_millis(self.rng.u64(1..1000));
        self.pending_view = Some((self.now + lag, self.view()));
    }

    fn run(&mut self) {
        self.now += TURN;
        self.turn += 1;
        self.wake();
        self.deliver();
        self.work();
        self.revive();
        if self
            .pending_view
            .as_ref()
            .is_some_and(|(at, _)| *at <= self.now)
            && let Some((_, view)) = self.pending_view.take()
        {
            self.tell_all(&Event::ViewChanged(view));
        }
        let leader_awake = self.processes[self.leader].asleep_until.is_none();
        if self.exclusive_at.is_some_and(|at| at <= self.now) && leader_awake {
            self.exclusive_at = None;
            let exclusive = true;
            self.tell(
                self.leader,
                Event::ExclusivityChanged {
                    shard: shard(),
                    exclusive,
                },
            );
        }
        self.tell_all(&Event::Tick);
        if self.turn.is_multiple_of(HELD_EVERY) {
            (0..ENTRIES).for_each(|entry| self.tell_held(entry, self.leader));
        }
        if self.turn.is_multiple_of(REPORT_EVERY) {
            (0..TARGETS).for_each(|target| self.report(target));
        }
    }

    fn wake(&mut self) {
        for owner in 0..OWNERS {
            let due = self.processes[owner].asleep_until;
            if due.is_none_or(|due| due > self.now) {
                continue;
            }
            self.processes[owner].asleep_until = None;
            let gap = self.now - self.processes[owner].slept_at;
            let inbox = std::mem::take(&mut self.processes[owner].inbox);
            self.tell(owner, Event::Paused { gap });
            inbox.into_iter().for_each(|event| self.tell(owner, event));
            if owner == self.leader {
                self.replace();
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due: Vec<Mail> = Vec::new();
        for link in self.links.values_mut() {
            while link.front().is_some_and(|mail| mail.due <= now) {
                due.extend(link.pop_front());
            }
        }
        for mail in due {
            match mail.to {
                Place::Owner(owner) => self.tell(owner, mail.event),
                Place::Entry(entry) => self.entry_gets(entry, mail.event),
            }
        }
    }

    fn entry_gets(&mut self, entry: usize, event: Event) {
        let Event::Received { from, message, .. } = event else {
            return;
        };
        if self.entries[entry].dead_since.is_some() {
            return;
        }
        match message {
            Message::Grant(grant) => self.granted(entry, number(&from), grant),
            Message::Query(query) if query.epoch >= self.entries[entry].epoch => {
                self.entries[entry].epoch = query.epoch;
                self.tell_held(entry, number(&from));
            }
            _ => {}
        }
    }

    /// A third of the permits is used a little later, some of them too late.
    fn granted(&mut self, entry: usize, from: usize, grant: Grant) {
        if grant.epoch < self.entries[entry].epoch {
            return;
        }
        assert!(
            self.used.insert(grant.permit),
            "permit {} granted twice",
            grant.permit
        );
        let permit = grant.permit;
        let in_hand = InHand {
            grant,
            sent: false,
            produced: 0,
        };
        self.entries[entry].in_hand.insert(permit, in_hand);
        if self.rng.u8(0..3) > 0 {
            self.send(entry, from, permit);
        }
    }

    fn send(&mut self, entry: usize, owner: usize, permit: PermitId) {
        let Some(in_hand) = self.entries[entry].in_hand.get_mut(&permit) else {
            return;
        };
        let grant = in_hand.grant.clone();
        in_hand.sent = true;
        let engine = number(&grant.target);
        let lapsed = self.clock(entry) >= grant.stamp + grant.life;
        if lapsed || self.engines[engine].incarnation != grant.incarnation {
            self.give_back(entry, owner, permit, Outcome::Unsent);
            return;
        }
        let left = self.rng.u64(10..300);
        let incarnation = self.entries[entry].incarnation;
        self.engines[engine].jobs.push(Job {
            entry,
            incarnation,
            permit,
            left,
        });
        let engine = &self.engines[engine];
        assert!(
            engine.finished >= WARM_AFTER || engine.jobs.len() <= COLD_LIMIT as usize,
            "a cold target got {:?}; the owners say {:#?}",
            engine.jobs,
            self.dumps()
        );
    }

    fn dumps(&self) -> Vec<Vec<String>> {
        let owners = self.processes.iter();
        owners.map(|p| p.owner.dump(self.now)).collect()
    }

    fn give_back(&mut self, entry: usize, owner: usize, permit: PermitId, outcome: Outcome) {
        let Some(in_hand) = self.entries[entry].in_hand.remove(&permit) else {
            return;
        };
        let done = Done {
            shard: shard(),
            permit,
            target: in_hand.grant.target,
            outcome,
        };
        self.post_as(entry, owner, done);
    }

    /// Everything at the targets goes on, work of dead entries too, and held permits get used.
    fn work(&mut self) {
        for target in 0..TARGETS {
            let engine = &mut self.engines[target];
            engine.jobs.iter_mut().for_each(|job| job.left -= 1);
            let (ended, running) = engine.jobs.drain(..).partition(|job| job.left == 0);
            engine.jobs = running;
            let ended: Vec<Job> = ended;
            engine.finished += ended.len() as u32;
            for job in ended {
                if self.entries[job.entry].incarnation == job.incarnation {
                    let outcome = support::finished(10);
                    self.give_back(job.entry, self.leader, job.permit, outcome);
                }
            }
        }
        for entry in 0..ENTRIES {
            let waiting: Vec<PermitId> = self.entries[entry]
                .in_hand
                .iter()
                .filter(|(_, in_hand)| !in_hand.sent)
                .map(|(permit, _)| *permit)
                .collect();
            for permit in waiting {
                if self.rng.u8(0..20) == 0 {
                    self.send(entry, self.leader, permit);
                }
            }
            self.drop_dead_work(entry);
        }
    }

    /// Work that a restarted target lost fails at its entry.
    fn drop_dead_work(&mut self, entry: usize) {
        let engines = &self.engines;
        let lost: Vec<PermitId> = self.entries[entry]
            .in_hand
            .values()
            .filter(|in_hand| {
                let engine = &engines[number(&in_hand.grant.target)];
                in_hand.sent && engine.incarnation != in_hand.grant.incarnation
            })
            .map(|in_hand| in_hand.grant.permit)
            .collect();
        for permit in lost {
            self.give_back(entry, self.leader, permit, Outcome::Failed);
        }
    }

    /// A dead entry is given up after a while, and comes back in a new life later.
    fn revive(&mut self) {
        for entry in 0..ENTRIES {
            let Some(since) = self.entries[entry].dead_since else {
                continue;
            };
            if self.now == since + SILENCE {
                let peer = entry_name(entry);
                self.tell_all(&Event::PeerGone { peer });
            }
            if self.now >= since + SILENCE * 2 {
                self.entries[entry].dead_since = None;
                self.entries[entry].incarnation += 1;
                self.entries[entry].epoch = self.epoch;
            }
        }
    }

    fn tell_held(&mut self, entry: usize, to: usize) {
        if self.entries[entry].dead_since.is_some() {
            return;
        }
        let stamp = self.clock(entry);
        let fake = &mut self.entries[entry];
        let permits = fake.in_hand.values_mut().map(|in_hand| {
            in_hand.produced += u64::from(in_hand.sent);
            HeldPermit {
                epoch: in_hand.grant.epoch,
                incarnation: in_hand.grant.incarnation,
                ..support::held(
                    in_hand.grant.permit,
                    &in_hand.grant.target,
                    in_hand.produced,
                )
            }
        });
        let held = Held {
            shard: shard(),
            epoch: fake.epoch,
            stamp,
            permits: permits.collect(),
        };
        self.post_as(entry, to, held);
    }

    fn report(&mut self, target: usize) {
        let engine = &self.engines[target];
        let report = EngineReport {
            incarnation: engine.incarnation,
            age: REPORT_LAG,
            running: engine.jobs.len() as u32,
            capacity: 10_000,
            warm: engine.finished >= WARM_AFTER,
            ..EngineReport::default()
        };
        let due = self.now + REPORT_LAG;
        let target = engine_name(target).as_str().into();
        let event = Event::TargetReported { target, report };
        for owner in 0..OWNERS {
            let to = Place::Owner(owner);
            let mail = Mail {
                due,
                to,
                event: event.clone(),
            };
            self.links.entry((to, to)).or_default().push_back(mail);
        }
    }

    /// With all faults over, everything comes to rest and nothing stays on the account.
    fn settle(&mut self) {
        self.loss = 0;
        (0..1500).for_each(|_| self.run());
        let summaries = self.processes[self.leader].owner.summaries(self.now);
        assert_eq!(summaries.len(), 1, "the shard has its owner");
        assert!(
            summaries[0].granting && summaries[0].queued == 0,
            "{summaries:?}"
        );
        let dump = self.processes[self.leader].owner.dump(self.now);
        assert_eq!(summaries[0].load, 0.0, "nothing is left over: {dump:#?}");
    }
}

// Owners are paused and replaced, entries die with work running, targets restart, messages get
// lost and come late, at any moment and together. If permits of two owners or of a dead entry
// added up, a cold target would get more than it bears and all its callers would lose their
// answers; if permits leaked, targets would stand idle for good.
#[test]
fn no_fault_overfills_a_cold_target_or_leaks_a_permit() {
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    proptest!(config, |(seed in any::<u64>(), steps in prop::collection::vec(step(), 50..400))| {
        let mut world = World::new(seed);
        for step in steps {
            world.act(step);
        }
        world.settle();
    });
}
