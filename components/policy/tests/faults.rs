//! Random faults: lost and delayed messages, entries that die, owners that are paused and replaced,
//! targets that restart. Two owners run against fakes of three entries and two targets.

mod support;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use policy::{Action, Event, Owner, ShardRole, TargetLoad, View};
use proptest::{prelude::*, test_runner::Config};
use support::{limits, permit_request, shard, target, view};
use types::{Epoch, Incarnation, InstanceId, Moment, PermitId};
use wire::{Done, Grant, Held, HeldPermit, Message, Outcome};

const OWNERS: usize = 2;
const ENTRIES: usize = 3;
const TARGETS: usize = 2;
const COLD_LIMIT: u32 = 2;
const WARM_AFTER: u32 = 25;
const TICK: Duration = Duration::from_millis(10);
const HELD_REPORT_TICKS: u64 = 20;
const LOAD_REPORT_TICKS: u64 = 20;
const REPORT_LAG: Duration = Duration::from_millis(300);
const ENTRY_LOSS_TIMEOUT: Duration = Duration::from_millis(1600);

/// A fault, or some work and time between faults.
#[derive(Clone, Copy, Debug)]
enum Step {
    RequestPermits { entry: usize, count: u8 },
    Advance { ticks: u64 },
    PauseOwner { owner: usize, ticks: u64 },
    ReplaceOwner,
    KillEntry { entry: usize },
    RestartTarget { target: usize },
    SetLoss { percent: u8 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        16 => (0..ENTRIES, 1..5_u8).prop_map(|(entry, count)| Step::RequestPermits { entry, count }),
        12 => (1..80_u64).prop_map(|ticks| Step::Advance { ticks }),
        1 => (0..OWNERS, 20..400_u64).prop_map(|(owner, ticks)| Step::PauseOwner { owner, ticks }),
        1 => Just(Step::ReplaceOwner),
        2 => (0..ENTRIES).prop_map(|entry| Step::KillEntry { entry }),
        1 => (0..TARGETS).prop_map(|target| Step::RestartTarget { target }),
        1 => (0..40_u8).prop_map(|percent| Step::SetLoss { percent }),
    ]
}

#[derive(Clone, Debug)]
struct HeldGrant {
    grant: Grant,
    sent: bool,
    produced: u64,
}

#[derive(Debug)]
struct Entry {
    incarnation: Incarnation,
    epoch: Epoch,
    last_permit_request: u64,
    held_grants: BTreeMap<PermitId, HeldGrant>,
    dead_since: Option<Moment>,
}

#[derive(Debug)]
struct Job {
    entry: usize,
    incarnation: Incarnation,
    permit: PermitId,
    remaining_ticks: u64,
}

#[derive(Debug)]
struct Engine {
    incarnation: Incarnation,
    jobs: Vec<Job>,
    finished: u32,
}

struct Process {
    owner: Owner,
    suspended_until: Option<Moment>,
    suspended_at: Moment,
    inbox: VecDeque<Event>,
}

#[derive(Clone, Debug)]
struct Delivery {
    due_at: Moment,
    to: Node,
    event: Event,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Node {
    Owner(usize),
    Entry(usize),
}

struct Simulation {
    now: Moment,
    tick: u64,
    rng: fastrand::Rng,
    loss_percent: u8,
    epoch: Epoch,
    current_owner: usize,
    exclusive_from: Option<Moment>,
    processes: Vec<Process>,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    links: BTreeMap<(Node, Node), VecDeque<Delivery>>,
    pending_view: Option<(Moment, View)>,
    granted_permits: std::collections::BTreeSet<PermitId>,
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

impl Simulation {
    fn new(seed: u64) -> Self {
        let process = |owner: usize| Process {
            owner: Owner::new(format!("owner-{owner}").into(), 1, seed),
            suspended_until: None,
            suspended_at: Moment::ZERO,
            inbox: VecDeque::new(),
        };
        let mut simulation = Self {
            now: Duration::from_secs(10),
            tick: 0,
            rng: fastrand::Rng::with_seed(seed),
            loss_percent: 0,
            epoch: 0,
            current_owner: 1,
            exclusive_from: None,
            processes: (0..OWNERS).map(process).collect(),
            entries: (0..ENTRIES)
                .map(|_| Entry {
                    incarnation: 1,
                    epoch: 0,
                    last_permit_request: 0,
                    held_grants: BTreeMap::new(),
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
            granted_permits: std::collections::BTreeSet::new(),
        };
        let view = simulation.view();
        simulation.handle_at_all_owners(&Event::ViewChanged(view));
        simulation.replace_owner();
        simulation
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

    /// Clocks differ between entries, and from those of the owners.
    fn clock(&self, entry: usize) -> Moment {
        self.now + Duration::from_secs(1000 * (entry as u64 + 1))
    }

    fn handle_at_all_owners(&mut self, event: &Event) {
        for owner in 0..OWNERS {
            self.handle_at_owner(owner, event.clone());
        }
    }

    /// A suspended process handles its events on waking, after it has noticed the pause.
    fn handle_at_owner(&mut self, owner: usize, event: Event) {
        if self.processes[owner].suspended_until.is_some() {
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
            self.send_event(Node::Owner(owner), Node::Entry(number(&to)), event);
        }
    }

    /// Delivers in order on each link, with a delay, and loses some events.
    fn send_event(&mut self, from: Node, to: Node, event: Event) {
        if self.rng.u8(0..100) < self.loss_percent {
            return;
        }
        let due_at = self.now + Duration::from_millis(self.rng.u64(1..60));
        let link = self.links.entry((from, to)).or_default();
        let due_at = link.back().map_or(due_at, |last| due_at.max(last.due_at));
        link.push_back(Delivery { due_at, to, event });
    }

    fn send_message(&mut self, entry: usize, to: usize, message: impl Into<Message>) {
        let event = Event::Received {
            from: entry_name(entry),
            incarnation: self.entries[entry].incarnation,
            message: message.into(),
        };
        self.send_event(Node::Entry(entry), Node::Owner(to), event);
    }

    /// Makes the other process the owner, as membership would: the old owner learns of it at once
    /// if it runs, and the new one becomes exclusive a little later.
    fn replace_owner(&mut self) {
        self.epoch += 1;
        let old = self.current_owner;
        self.current_owner = (old + 1) % OWNERS;
        let follow = ShardRole::Follow {
            owner: None,
            epoch: self.epoch,
        };
        self.handle_at_owner(
            old,
            Event::RoleChanged {
                shard: shard(),
                role: follow,
            },
        );
        let alive = (0..ENTRIES).filter(|&entry| !self.is_reported_gone(entry));
        let own = ShardRole::Own {
            epoch: self.epoch,
            entries_to_query: alive.map(entry_name).collect(),
        };
        self.handle_at_owner(
            self.current_owner,
            Event::RoleChanged {
                shard: shard(),
                role: own,
            },
        );
        self.exclusive_from = Some(self.now + Duration::from_millis(50));
    }

    fn is_reported_gone(&self, entry: usize) -> bool {
        let since = self.entries[entry].dead_since;
        since.is_some_and(|since| self.now >= since + ENTRY_LOSS_TIMEOUT)
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::RequestPermits { entry, count } => {
                (0..count).for_each(|_| self.request_permit(entry))
            }
            Step::Advance { ticks } => (0..ticks).for_each(|_| self.advance()),
            Step::PauseOwner { owner, ticks } => self.pause_owner(owner, ticks),
            Step::ReplaceOwner => self.replace_owner(),
            Step::KillEntry { entry } => self.kill_entry(entry),
            Step::RestartTarget { target } => self.restart_target(target),
            Step::SetLoss { percent } => self.loss_percent = percent,
        }
        self.advance();
    }

    fn request_permit(&mut self, entry: usize) {
        if self.entries[entry].dead_since.is_some() {
            return;
        }
        self.entries[entry].last_permit_request += 1;
        let mut permit_request =
            permit_request(self.entries[entry].last_permit_request, self.clock(entry));
        permit_request.deadline_left = Duration::from_secs(5);
        self.send_message(entry, self.current_owner, permit_request);
    }

    fn pause_owner(&mut self, owner: usize, ticks: u64) {
        let process = &mut self.processes[owner];
        if process.suspended_until.is_none() {
            process.suspended_at = self.now;
            process.suspended_until = Some(self.now + TICK * ticks as u32);
        }
    }

    fn kill_entry(&mut self, entry: usize) {
        let dead = &mut self.entries[entry];
        if dead.dead_since.is_none() {
            dead.dead_since = Some(self.now);
            dead.held_grants.clear();
            self.links.retain(|(_, to), _| *to != Node::Entry(entry));
        }
    }

    fn restart_target(&mut self, target: usize) {
        let engine = &mut self.engines[target];
        engine.incarnation += 1;
        engine.jobs.clear();
        engine.finished = 0;
        let lag = Duration::from_millis(self.rng.u64(1..1000));
        self.pending_view = Some((self.now + lag, self.view()));
    }

    fn advance(&mut self) {
        self.now += TICK;
        self.tick += 1;
        self.resume();
        self.deliver();
        self.advance_work();
        self.restart_dead_entries();
        if self
            .pending_view
            .as_ref()
            .is_some_and(|(at, _)| *at <= self.now)
            && let Some((_, view)) = self.pending_view.take()
        {
            self.handle_at_all_owners(&Event::ViewChanged(view));
        }
        let owner_runs = self.processes[self.current_owner].suspended_until.is_none();
        if self.exclusive_from.is_some_and(|at| at <= self.now) && owner_runs {
            self.exclusive_from = None;
            let exclusive = true;
            self.handle_at_owner(
                self.current_owner,
                Event::ExclusivityChanged {
                    shard: shard(),
                    exclusive,
                },
            );
        }
        self.handle_at_all_owners(&Event::Tick);
        if self.tick.is_multiple_of(HELD_REPORT_TICKS) {
            (0..ENTRIES).for_each(|entry| self.report_held(entry, self.current_owner));
        }
        if self.tick.is_multiple_of(LOAD_REPORT_TICKS) {
            (0..TARGETS).for_each(|target| self.report_load(target));
        }
    }

    fn resume(&mut self) {
        for owner in 0..OWNERS {
            let due_at = self.processes[owner].suspended_until;
            if due_at.is_none_or(|due_at| due_at > self.now) {
                continue;
            }
            self.processes[owner].suspended_until = None;
            let gap = self.now - self.processes[owner].suspended_at;
            let inbox = std::mem::take(&mut self.processes[owner].inbox);
            self.handle_at_owner(owner, Event::Paused { gap });
            inbox
                .into_iter()
                .for_each(|event| self.handle_at_owner(owner, event));
            if owner == self.current_owner {
                self.replace_owner();
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due: Vec<Delivery> = Vec::new();
        for link in self.links.values_mut() {
            while link.front().is_some_and(|delivery| delivery.due_at <= now) {
                due.extend(link.pop_front());
            }
        }
        for delivery in due {
            match delivery.to {
                Node::Owner(owner) => self.handle_at_owner(owner, delivery.event),
                Node::Entry(entry) => self.handle_at_entry(entry, delivery.event),
            }
        }
    }

    fn handle_at_entry(&mut self, entry: usize, event: Event) {
        let Event::Received { from, message, .. } = event else {
            return;
        };
        if self.entries[entry].dead_since.is_some() {
            return;
        }
        match message {
            Message::Grant(grant) => self.handle_grant(entry, number(&from), grant),
            Message::Query(query) if query.epoch >= self.entries[entry].epoch => {
                self.entries[entry].epoch = query.epoch;
                self.report_held(entry, number(&from));
            }
            _ => {}
        }
    }

    /// Two thirds of the permits are used at once, the others later, some of them after they
    /// expired.
    fn handle_grant(&mut self, entry: usize, from: usize, grant: Grant) {
        if grant.epoch < self.entries[entry].epoch {
            return;
        }
        assert!(
            self.granted_permits.insert(grant.permit),
            "permit {} was granted twice",
            grant.permit
        );
        let permit = grant.permit;
        let held_grant = HeldGrant {
            grant,
            sent: false,
            produced: 0,
        };
        self.entries[entry].held_grants.insert(permit, held_grant);
        if self.rng.u8(0..3) > 0 {
            self.use_permit(entry, from, permit);
        }
    }

    fn use_permit(&mut self, entry: usize, owner: usize, permit: PermitId) {
        let Some(held_grant) = self.entries[entry].held_grants.get_mut(&permit) else {
            return;
        };
        let grant = held_grant.grant.clone();
        held_grant.sent = true;
        let engine = number(&grant.target);
        let expired = self.clock(entry) >= grant.stamp + grant.lifetime;
        if expired || self.engines[engine].incarnation != grant.incarnation {
            self.return_permit(entry, owner, permit, Outcome::Unsent);
            return;
        }
        let remaining_ticks = self.rng.u64(10..300);
        let incarnation = self.entries[entry].incarnation;
        self.engines[engine].jobs.push(Job {
            entry,
            incarnation,
            permit,
            remaining_ticks,
        });
        let engine = &self.engines[engine];
        assert!(
            engine.finished >= WARM_AFTER || engine.jobs.len() <= COLD_LIMIT as usize,
            "a cold target got {:?}; dumps of the owners: {:#?}",
            engine.jobs,
            self.dumps()
        );
    }

    fn dumps(&self) -> Vec<Vec<String>> {
        let owners = self.processes.iter();
        owners.map(|p| p.owner.dump(self.now)).collect()
    }

    fn return_permit(&mut self, entry: usize, owner: usize, permit: PermitId, outcome: Outcome) {
        let Some(held_grant) = self.entries[entry].held_grants.remove(&permit) else {
            return;
        };
        let done = Done {
            shard: shard(),
            permit,
            target: held_grant.grant.target,
            outcome,
        };
        self.send_message(entry, owner, done);
    }

    /// Advances the work on all targets, that of dead entries included, and uses some held permits.
    fn advance_work(&mut self) {
        for target in 0..TARGETS {
            let engine = &mut self.engines[target];
            engine
                .jobs
                .iter_mut()
                .for_each(|job| job.remaining_ticks -= 1);
            let (ended, running) = engine
                .jobs
                .drain(..)
                .partition(|job| job.remaining_ticks == 0);
            engine.jobs = running;
            let ended: Vec<Job> = ended;
            engine.finished += ended.len() as u32;
            for job in ended {
                if self.entries[job.entry].incarnation == job.incarnation {
                    let outcome = support::finished_outcome(10);
                    self.return_permit(job.entry, self.current_owner, job.permit, outcome);
                }
            }
        }
        for entry in 0..ENTRIES {
            let unused: Vec<PermitId> = self.entries[entry]
                .held_grants
                .iter()
                .filter(|(_, held_grant)| !held_grant.sent)
                .map(|(permit, _)| *permit)
                .collect();
            for permit in unused {
                if self.rng.u8(0..20) == 0 {
                    self.use_permit(entry, self.current_owner, permit);
                }
            }
            self.fail_lost_work(entry);
        }
    }

    /// Work lost with a restarted target fails at its entry.
    fn fail_lost_work(&mut self, entry: usize) {
        let engines = &self.engines;
        let lost: Vec<PermitId> = self.entries[entry]
            .held_grants
            .values()
            .filter(|held_grant| {
                let engine = &engines[number(&held_grant.grant.target)];
                held_grant.sent && engine.incarnation != held_grant.grant.incarnation
            })
            .map(|held_grant| held_grant.grant.permit)
            .collect();
        for permit in lost {
            self.return_permit(entry, self.current_owner, permit, Outcome::Failed);
        }
    }

    /// A dead entry is reported as gone after `ENTRY_LOSS_TIMEOUT`, and returns in a new
    /// incarnation later.
    fn restart_dead_entries(&mut self) {
        for entry in 0..ENTRIES {
            let Some(since) = self.entries[entry].dead_since else {
                continue;
            };
            if self.now == since + ENTRY_LOSS_TIMEOUT {
                let peer = entry_name(entry);
                self.handle_at_all_owners(&Event::PeerGone { peer });
            }
            if self.now >= since + ENTRY_LOSS_TIMEOUT * 2 {
                self.entries[entry].dead_since = None;
                self.entries[entry].incarnation += 1;
                self.entries[entry].epoch = self.epoch;
            }
        }
    }

    fn report_held(&mut self, entry: usize, to: usize) {
        if self.entries[entry].dead_since.is_some() {
            return;
        }
        let stamp = self.clock(entry);
        let fake = &mut self.entries[entry];
        let permits = fake.held_grants.values_mut().map(|held_grant| {
            held_grant.produced += u64::from(held_grant.sent);
            HeldPermit {
                epoch: held_grant.grant.epoch,
                incarnation: held_grant.grant.incarnation,
                ..support::held_permit(
                    held_grant.grant.permit,
                    &held_grant.grant.target,
                    held_grant.produced,
                )
            }
        });
        let held = Held {
            shard: shard(),
            epoch: fake.epoch,
            stamp,
            permits: permits.collect(),
        };
        self.send_message(entry, to, held);
    }

    fn report_load(&mut self, target: usize) {
        let engine = &self.engines[target];
        let report = TargetLoad {
            incarnation: engine.incarnation,
            age: REPORT_LAG,
            running: engine.jobs.len() as u32,
            capacity: 10_000,
            warm: engine.finished >= WARM_AFTER,
            ..TargetLoad::default()
        };
        let due_at = self.now + REPORT_LAG;
        let target = engine_name(target).as_str().into();
        let event = Event::TargetReported { target, report };
        for owner in 0..OWNERS {
            let to = Node::Owner(owner);
            let delivery = Delivery {
                due_at,
                to,
                event: event.clone(),
            };
            self.links.entry((to, to)).or_default().push_back(delivery);
        }
    }

    /// Without further faults all work ends, and no permit stays in the accounts.
    fn run_until_idle(&mut self) {
        self.loss_percent = 0;
        (0..1500).for_each(|_| self.advance());
        let summaries = self.processes[self.current_owner].owner.summaries(self.now);
        assert_eq!(summaries.len(), 1, "the shard has its owner");
        assert!(
            summaries[0].granting && summaries[0].queued == 0,
            "{summaries:?}"
        );
        let dump = self.processes[self.current_owner].owner.dump(self.now);
        assert_eq!(summaries[0].load, 0.0, "no permit is left over: {dump:#?}");
    }
}

// Guards against permits of two owners, or of a dead entry and its successor, adding up, so that a
// cold target gets more than its limit and its callers lose their answers; and against permits that
// are never returned, so that targets stay idle. Faults occur at any time and in combination.
#[test]
fn no_fault_overfills_a_cold_target_or_leaks_a_permit() {
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    proptest!(config, |(seed in any::<u64>(), steps in prop::collection::vec(step(), 50..400))| {
        let mut simulation = Simulation::new(seed);
        for step in steps {
            simulation.apply(step);
        }
        simulation.run_until_idle();
    });
}
