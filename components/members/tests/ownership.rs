//! Ownership between several memberships that exchange heartbeats over bad links.

use std::{collections::BTreeSet, time::Duration};

use members::{Change, Identity, Input, Membership, timeouts::PAUSE_THRESHOLD};
use proptest::prelude::*;
use types::{Epoch, InstanceId, Member, Moment, ServingState, Shard};
use wire::{Heartbeat, ShardSummary};

const STEP: Duration = Duration::from_millis(50);
/// Every fourth step is a heartbeat.
const HEARTBEAT_STEPS: u64 = 4;

struct Instance {
    id: InstanceId,
    members: Membership,
    owns: Option<Epoch>,
    exclusive: bool,
    frozen_until: u64,
    inbox: Vec<(u64, usize, Heartbeat)>,
    last_step: Moment,
}

struct Group {
    instances: Vec<Instance>,
    shard: Shard,
    step: u64,
    /// Links that lose everything, as (sender, receiver).
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
                frozen_until: 0,
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
        STEP * u32::try_from(self.step).expect("few steps")
    }

    fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step += 1;
            for n in 0..self.instances.len() {
                self.step_one(n);
            }
            self.check();
        }
    }

    fn step_one(&mut self, n: usize) {
        let (now, step) = (self.now(), self.step);
        if self.instances[n].frozen_until > step {
            return;
        }
        let gap = now - self.instances[n].last_step;
        self.instances[n].last_step = now;
        if gap > PAUSE_THRESHOLD {
            self.feed(n, Input::Paused { gap });
        }
        let inbox = std::mem::take(&mut self.instances[n].inbox);
        for (due, from, heartbeat) in inbox {
            if due > step {
                self.instances[n].inbox.push((due, from, heartbeat));
                continue;
            }
            let from = self.instances[from].id.clone();
            self.feed(
                n,
                Input::Heartbeat {
                    from,
                    incarnation: 1,
                    heartbeat,
                },
            );
        }
        self.feed(n, Input::Tick);
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

    fn feed(&mut self, n: usize, input: Input) {
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

    /// A query arrives at once at those whose link works.
    fn query(&mut self, n: usize, ask: &[InstanceId], shard: &Shard, epoch: Epoch) {
        for to in 0..self.instances.len() {
            let awake = self.instances[to].frozen_until <= self.step;
            if to == n
                || self.cut.contains(&(n, to))
                || !awake
                || !ask.contains(&self.instances[to].id)
            {
                continue;
            }
            let from = self.instances[n].id.clone();
            self.feed(
                to,
                Input::Queried {
                    from,
                    shard: shard.clone(),
                    epoch,
                },
            );
        }
    }

    fn check(&mut self) {
        // A frozen owner does nothing until it has noticed; what counts is who can act.
        let awake = |i: &&Instance| i.frozen_until <= self.step && i.exclusive;
        let exclusive: Vec<_> = self
            .instances
            .iter()
            .filter(awake)
            .map(|i| i.id.clone())
            .collect();
        assert!(
            exclusive.len() <= 1,
            "two exclusive owners at step {}: {exclusive:?}",
            self.step
        );
        self.exclusive_seen |= !exclusive.is_empty();
    }

    fn owners(&self) -> usize {
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

#[derive(Clone, Debug)]
enum Trouble {
    Cut(usize, usize),
    CutBothWays(usize, usize),
    /// The first instances up to a number lose all links to the rest.
    Split(usize),
    Heal,
    Freeze(usize, u64),
    Run(u64),
}

fn trouble(size: usize) -> impl Strategy<Value = Trouble> {
    prop_oneof![
        (0..size, 0..size).prop_map(|(a, b)| Trouble::Cut(a, b)),
        (0..size, 0..size).prop_map(|(a, b)| Trouble::CutBothWays(a, b)),
        (1..size).prop_map(Trouble::Split),
        Just(Trouble::Heal),
        (0..size, 5_u64..120).prop_map(|(n, steps)| Trouble::Freeze(n, steps)),
        (1_u64..80).prop_map(Trouble::Run),
    ]
}

fn apply(group: &mut Group, trouble: &Trouble) {
    let size = group.instances.len();
    match *trouble {
        Trouble::Cut(a, b) => {
            group.cut.insert((a, b));
        }
        Trouble::CutBothWays(a, b) => {
            group.cut.insert((a, b));
            group.cut.insert((b, a));
        }
        Trouble::Split(at) => {
            for a in 0..at {
                for b in at..size {
                    group.cut.insert((a, b));
                    group.cut.insert((b, a));
                }
            }
        }
        Trouble::Heal => group.cut.clear(),
        Trouble::Freeze(n, steps) => group.instances[n].frozen_until = group.step + steps,
        Trouble::Run(steps) => group.run(steps),
    }
}

proptest! {
    // Links are cut one way or both, the group splits, instances freeze and wake. A caller
    // would notice two owners at once as engines in cold start that fall over. At no time may
    // two instances be sure of owning the shard alone, and once all is well again there is
    // exactly one owner, and it is sure.
    #[test]
    fn two_instances_are_never_exclusive_owners_at_once(
        size in 3_usize..7,
        troubles in proptest::collection::vec(trouble(7), 1..25),
    ) {
        let mut group = Group::new(size);
        group.run(40);
        for trouble in &troubles {
            let fits = match *trouble {
                Trouble::Cut(a, b) | Trouble::CutBothWays(a, b) => a < size && b < size,
                Trouble::Split(at) => at < size,
                Trouble::Freeze(n, _) => n < size,
                Trouble::Heal | Trouble::Run(_) => true,
            };
            if fits {
                apply(&mut group, trouble);
            }
            group.run(1);
        }
        group.cut.clear();
        group.run(300);
        prop_assert_eq!(group.owners(), 1);
        prop_assert!(group.instances.iter().any(|i| i.exclusive));
    }
}

#[test]
fn a_fresh_group_settles_on_one_exclusive_owner() {
    let mut group = Group::new(5);
    group.run(60);
    assert_eq!(group.owners(), 1);
    assert!(group.exclusive_seen);
}

#[test]
fn another_instance_takes_over_when_the_owner_is_frozen() {
    // The owner's machine stops for a while. Callers would wait for permits from it; within
    // two seconds another instance has to hand them out.
    let mut group = Group::new(5);
    group.run(60);
    let owner = group
        .instances
        .iter()
        .position(|i| i.owns.is_some())
        .expect("an owner");
    group.instances[owner].frozen_until = group.step + 1_000;
    group.run(40);
    let takers = group
        .instances
        .iter()
        .enumerate()
        .filter(|(n, i)| *n != owner && i.owns.is_some());
    assert_eq!(takers.count(), 1);
}
