//! A simultaneous start of hundreds of instances: which peers each greets, which instances reread
//! the members, and whether all agree on one owner in the end.

use std::{collections::BTreeSet, sync::Arc};

use fastrand::Rng;
use front::instances::joining::{GREETED_PER_ORDER, peers_to_greet, rereads_members};
use placing::{OwnerCandidate, rank_owners};
use types::InstanceId;

const STRONG: u32 = 500;
const WEAK: u32 = 120;
const TOPICS: [&str; 3] = ["reader of operator", "reader of targets", "synopsis 0/1"];

fn candidate(number: usize, strong: usize) -> OwnerCandidate {
    OwnerCandidate {
        id: format!("i-{number}").into(),
        capacity: if number < strong { STRONG } else { WEAK },
    }
}

fn orders(all: &[OwnerCandidate]) -> Vec<Vec<InstanceId>> {
    let order = |topic: &&str| rank_owners(topic, all.iter().cloned());
    TOPICS.iter().map(order).collect()
}

/// After a power failure 195 instances know each other from the store. If each greeted some and
/// reread the members, the store and the instances with the most capacity would be busy for
/// seconds.
#[test]
fn few_of_195_instances_that_start_together_greet_peers_or_reread_the_members() {
    let all: Vec<OwnerCandidate> = (0..195).map(|n| candidate(n, 15)).collect();
    let orders = orders(&all);
    let greetings: usize = all
        .iter()
        .map(|c| peers_to_greet(&c.id, &orders).len())
        .sum();
    assert!(greetings <= 15 * 14, "{greetings}");
    let mut rng = Rng::with_seed(1);
    let readers = all
        .iter()
        .filter(|c| rereads_members(&c.id, &orders, all.len(), rng.f64()))
        .count();
    assert!((1..=25).contains(&readers), "{readers}");
}

#[test]
fn in_small_deployments_each_instance_greets_all_and_rereads_the_members() {
    let all: Vec<OwnerCandidate> = (0..7).map(|n| candidate(n, 0)).collect();
    let orders = orders(&all);
    for c in &all {
        assert_eq!(peers_to_greet(&c.id, &orders).len(), 6);
        assert!(rereads_members(&c.id, &orders, all.len(), 0.99));
    }
}

/// The members that one instance knows.
struct Membership {
    /// Listed in the store, greeted, or passed on by others.
    known: BTreeSet<usize>,
    /// Those from which it has received a message.
    seen: BTreeSet<usize>,
}

/// Instances that greet one of three seeds in random order. Each gets the leading members among
/// those that greeted before it. None is listed in the store yet.
fn after_greeting_seeds(count: usize, strong: usize, rng: &mut Rng) -> Vec<Membership> {
    let mut order: Vec<usize> = (0..count).collect();
    rng.shuffle(&mut order);
    let seeds = [0, count / 3, count / 2];
    let membership = |me: usize| {
        let at = order
            .iter()
            .position(|n| *n == me)
            .expect("each instance is in the order");
        let greeted: Vec<OwnerCandidate> =
            order[..at].iter().map(|n| candidate(*n, strong)).collect();
        let heads = orders(&greeted).into_iter().take(2);
        let heads = heads.flat_map(|order| order.into_iter().take(GREETED_PER_ORDER));
        let mut known: BTreeSet<usize> = heads.map(|id| number(&id)).collect();
        known.extend([me, seeds[at % seeds.len()]]);
        if seeds.contains(&me) {
            known.extend(0..count);
        }
        Membership {
            known,
            seen: BTreeSet::new(),
        }
    };
    (0..count).map(membership).collect()
}

fn orders_of(membership: &Membership, strong: usize) -> Vec<Vec<InstanceId>> {
    let known: Vec<OwnerCandidate> = membership
        .known
        .iter()
        .map(|n| candidate(*n, strong))
        .collect();
    orders(&known)
}

fn number(id: &InstanceId) -> usize {
    id[2..].parse().expect("a number")
}

fn record_contact(all: &mut [Membership], at: usize, who: usize) {
    all[at].known.insert(who);
    all[at].seen.insert(who);
}

/// Each instance syncs once with the instance that it takes for the owner.
fn sync(all: &mut [Membership], strong: usize) {
    for me in 0..all.len() {
        let owner = number(&orders_of(&all[me], strong)[2][0]);
        if owner == me {
            continue;
        }
        record_contact(all, owner, me);
        record_contact(all, me, owner);
        let received = all[owner].seen.clone();
        all[me].known.extend(received);
    }
}

fn owners(all: &[Membership], strong: usize) -> BTreeSet<InstanceId> {
    let owner = |membership| Arc::clone(&orders_of(membership, strong)[2][0]);
    all.iter().map(owner).collect()
}

/// When all instances start for the first time, the store lists none, and each knows only some of
/// the others. Two instances that both act as the owner would overfill engines.
#[test]
fn instances_that_know_different_members_at_the_first_start_agree_on_one_owner() {
    for (seed, count, strong) in [
        (1, 40, 0),
        (2, 83, 0),
        (3, 120, 15),
        (4, 195, 15),
        (5, 90, 1),
    ] {
        let mut rng = Rng::with_seed(seed);
        let mut all = after_greeting_seeds(count, strong, &mut rng);
        for me in 0..count {
            let orders = orders_of(&all[me], strong);
            let id = candidate(me, strong).id;
            let peers: Vec<usize> = peers_to_greet(&id, &orders[..2])
                .into_iter()
                .map(number)
                .collect();
            for peer in peers {
                record_contact(&mut all, peer, me);
                record_contact(&mut all, me, peer);
            }
        }
        for _ in 0..2 {
            sync(&mut all, strong);
        }
        for (me, membership) in all.iter_mut().enumerate() {
            let orders = orders_of(membership, strong);
            let id = candidate(me, strong).id;
            if rereads_members(&id, &orders, membership.known.len(), rng.f64()) {
                membership.known.extend(0..count);
            }
        }
        for _ in 0..3 {
            sync(&mut all, strong);
        }
        assert_eq!(owners(&all, strong).len(), 1, "seed {seed}");
    }
}
