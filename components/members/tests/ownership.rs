//! Tests ownership between several instances that exchange heartbeats over an unreliable network.
//!
//! Time advances in steps; a heartbeat arrives one step after it was sent.

use std::{collections::BTreeSet, time::Duration};

use members::{Change, Identity, Input, Membership, timeouts::PAUSE_THRESHOLD};
use proptest::prelude::*;
use types::{Epoch, InstanceId, Member, Moment, ServingState, Shard};
use wire::{Heartbeat, ShardSummary};

const STEP: Duration = Duration::from_millis(50);
/// Number of steps between two heartbeats.
const HEARTBEAT_STEPS: u64 = 4;

struct Instance {
    id: InstanceId,
    members: Membership,
    owns: Option<Epoch>,
    exclusive: bool,
    /// The step at which a paused instance resumes.
    paused_until: u64,
    /// Heartbeats on their way, each with the step of its arrival and the index of its sender.
    inbox: Vec<(u64, usize, Heartbeat)>,
    last_step: Moment,
}

struct Group {
    instances: Vec<Instance>,
    shard: Shard,
    step: u64,
    /// Directions in which all messages are lost, as (sender, receiver).
    cut: BTreeSet<(usize, usize)>,
    exclusive_seen: bool,
}

impl Group {
    fn new(size: usize) -> Self {
        let shard = Shard::new(&"model".into(), &"dc-0".into());
        let listed: Vec<Member> = (0..size).map(member).collect();
        let mut instances = Vec::new();
        for n in 0..size {
            let me = listed[n].clone();
            let identity = Identity {
                id: me.id.clone(),
                data_centre: me.data_centre,
                incarnation: 1,
            };
            let mut members = Membership::new(Moment::ZERO, identity);
            let mut out = Vec::new();
            members.handle(Moment::ZERO, Input::Listed(listed.clone()), &mut out);
            members.handle(
                Moment::ZERO,
                Input::Shards([shard.clone()].into()),
                &mut out,
            );
            instances.push(Instance {
                id: me.id,
                members,
                owns: None,
                exclusive: false,
                paused_until: 0,
                inbox: Vec::new(),
                last_step: Moment::ZERO,
            });
        }
        Self {
            instances,
            shard,
            step: 0,
            cut: BTreeSet::new(),
            exclusive_seen: false,
        }
    }

    fn now(&self) -> Moment {
        STEP * u32::try_from(self.step).expect("the number of steps fits u32")
    }

    fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step += 1;
            for n in 0..self.instances.len() {
                self.step_instance(n);
            }
            self.assert_at_most_one_exclusive();
        }
    }

    fn step_instance(&mut self, n: usize) {
        let (now, step) = (self.now(), self.step);
        if self.instances[n].paused_until > step {
            return;
        }
        let gap = now - self.instances[n].last_step;
        self.instances[n].last_step = now;
        if gap > PAUSE_THRESHOLD {
            self.handle(n, Input::Paused { gap });
        }
        let inbox = std::mem::take(&mut self.instances[n].inbox);
        for (due, from, heartbeat) in inbox {
            if due > step {
                self.instances[n].inbox.push((due, from, heartbeat));
                continue;
            }
            let from = self.instances[from].id.clone();
            self.handle(
                n,
                Input::Heartbeat {
                    from,
                    incarnation: 1,
                    heartbeat,
                },
            );
        }
        self.handle(n, Input::Tick);
        if step % HEARTBEAT_STEPS == 0 {
            self.send(n);
        }
    }

    fn send(&mut self, n: usize) {
        for to in 0..self.instances.len() {
            if to == n || self.cut.contains(&(n, to)) {
                continue;
            }
            let owned = self.summaries(n);
            let to_id = self.instances[to].id.clone();
            let heartbeat = self.instances[n]
                .members
                .heartbeat(self.now(), &to_id, owned, 1);
            let due = self.step + 1;
            self.instances[to].inbox.push((due, n, heartbeat));
        }
    }

    fn summaries(&self, n: usize) -> Vec<ShardSummary> {
        let Some(epoch) = self.instances[n].owns else {
            return Vec::new();
        };
        let shard = self.shard.clone();
        vec![ShardSummary {
            shard,
            epoch,
            granting: true,
            load: 0.0,
            queued: 0,
            wait_ms: 0,
            targets: 1,
        }]
    }

    fn handle(&mut self, n: usize, input: Input) {
        let mut out = Vec::new();
        let now = self.now();
        self.instances[n].members.handle(now, input, &mut out);
        for change in out {
            match change {
                Change::Own {
                    epoch,
                    entries_to_query,
                    shard,
                } => {
                    self.instances[n].owns = Some(epoch);
                    self.instances[n].exclusive = false;
                    self.query(n, &entries_to_query, &shard, epoch);
                }
                Change::Follow { .. } => {
                    self.instances[n].owns = None;
                    self.instances[n].exclusive = false;
                }
                Change::ExclusivityChanged { exclusive, .. } => {
                    self.instances[n].exclusive = exclusive
                }
                _ => {}
            }
        }
    }

    /// Sends a query, which arrives at once wherever the network delivers it.
    fn query(&mut self, n: usize, entries: &[InstanceId], shard: &Shard, epoch: Epoch) {
        for to in 0..self.instances.len() {
            let running = self.instances[to].paused_until <= self.step;
            if to == n
                || self.cut.contains(&(n, to))
                || !running
                || !entries.contains(&self.instances[to].id)
            {
                continue;
            }
            let from = self.instances[n].id.clone();
            self.handle(
                to,
                Input::Queried {
                    from,
                    shard: shard.clone(),
                    epoch,
                },
            );
        }
    }

    fn assert_at_most_one_exclusive(&mut self) {
        // A paused instance may still be marked exclusive, but it can't act on it: its first step
        // after the pause detects the gap.
        let is_active = |i: &&Instance| i.paused_until <= self.step && i.exclusive;
        let exclusive: Vec<_> = self
            .instances
            .iter()
            .filter(is_active)
            .map(|i| i.id.clone())
            .collect();
        assert!(
            exclusive.len() <= 1,
            "two exclusive owners at step {}: {exclusive:?}",
            self.step
        );
        self.exclusive_seen |= !exclusive.is_empty();
    }

    fn owner_count(&self) -> usize {
        self.instances.iter().filter(|i| i.owns.is_some()).count()
    }
}

fn member(n: usize) -> Member {
    Member {
        id: format!("instance-{n}").into(),
        data_centre: format!("dc-{}", n % 3).into(),
        addr: ([127, 0, 0, 1], 1).into(),
        state: ServingState::Live,
    }
}

/// A step of a random scenario.
#[derive(Clone, Debug)]
enum Action {
    Cut(usize, usize),
    CutBothWays(usize, usize),
    /// The instances below an index are partitioned from the others, in both directions.
    Split(usize),
    Heal,
    /// Pauses an instance for a number of steps.
    Pause(usize, u64),
    Run(u64),
}

fn action(size: usize) -> impl Strategy<Value = Action> {
    prop_oneof![
        (0..size, 0..size).prop_map(|(a, b)| Action::Cut(a, b)),
        (0..size, 0..size).prop_map(|(a, b)| Action::CutBothWays(a, b)),
        (1..size).prop_map(Action::Split),
        Just(Action::Heal),
        (0..size, 5_u64..120).prop_map(|(n, steps)| Action::Pause(n, steps)),
        (1_u64..80).prop_map(Action::Run),
    ]
}

fn apply(group: &mut Group, action: &Action) {
    let size = group.instances.len();
    match *action {
        Action::Cut(a, b) => {
            group.cut.insert((a, b));
        }
        Action::CutBothWays(a, b) => {
            group.cut.insert((a, b));
            group.cut.insert((b, a));
        }
        Action::Split(at) => {
            for a in 0..at {
                for b in at..size {
                    group.cut.insert((a, b));
                    group.cut.insert((b, a));
                }
            }
        }
        Action::Heal => group.cut.clear(),
        Action::Pause(n, steps) => group.instances[n].paused_until = group.step + steps,
        Action::Run(steps) => group.run(steps),
    }
}

proptest! {
    // Guards against two exclusive owners of a shard: each would grant as many requests as a cold
    // engine can run, and the engine would crash. The network loses messages in one or both
    // directions, the group is partitioned, and instances are paused and resume. At no time may
    // two instances be exclusive owners, and after all faults are over there must be exactly one
    // owner, and it must be exclusive.
    #[test]
    fn two_instances_are_never_exclusive_owners_at_once(
        size in 3_usize..7,
        actions in proptest::collection::vec(action(7), 1..25),
    ) {
        let mut group = Group::new(size);
        group.run(40);
        for action in &actions {
            let is_in_range = match *action {
                Action::Cut(a, b) | Action::CutBothWays(a, b) => a < size && b < size,
                Action::Split(at) => at < size,
                Action::Pause(n, _) => n < size,
                Action::Heal | Action::Run(_) => true,
            };
            if is_in_range {
                apply(&mut group, action);
            }
            group.run(1);
        }
        group.cut.clear();
        group.run(300);
        prop_assert_eq!(group.owner_count(), 1);
        prop_assert!(group.instances.iter().any(|i| i.exclusive));
    }
}

#[test]
fn a_new_group_elects_one_exclusive_owner() {
    let mut group = Group::new(5);
    group.run(60);
    assert_eq!(group.owner_count(), 1);
    assert!(group.exclusive_seen);
}

#[test]
fn another_instance_takes_over_when_the_owner_is_paused() {
    // Guards against callers that wait for permits of an owner whose machine has stopped. Within
    // two seconds another instance must become the owner.
    let mut group = Group::new(5);
    group.run(60);
    let owner = group
        .instances
        .iter()
        .position(|i| i.owns.is_some())
        .expect("the group has an owner");
    group.instances[owner].paused_until = group.step + 1_000;
    group.run(40);
    let new_owners = group
        .instances
        .iter()
        .enumerate()
        .filter(|(n, i)| *n != owner && i.owns.is_some());
    assert_eq!(new_owners.count(), 1);
}
