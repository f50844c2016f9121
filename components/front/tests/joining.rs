//! Hundreds of instances that start together: who greets whom, who looks again, and whether all
//! agree in the end.

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

/// After a loss of power two hundred instances know each other from their listings. If each greeted
/// some and looked again, the store and the strongest would be called for seconds.
#[test]
fn few_of_two_hundred_that_start_together_greet_or_look_again() {
    let all: Vec<OwnerCandidate> = (0..195).map(|n| candidate(n, 15)).collect();
    let orders = orders(&all);
    let greetings: usize = all
        .iter()
        .map(|c| peers_to_greet(&c.id, &orders).len())
        .sum();
    assert!(greetings <= 15 * 14, "{greetings}");
    let mut rng = Rng::with_seed(1);
    let lookers = all
        .iter()
        .filter(|c| rereads_members(&c.id, &orders, all.len(), rng.f64()))
        .count();
    assert!((1..=25).contains(&lookers), "{lookers}");
}

#[test]
fn on_few_instances_each_greets_all_and_looks_again() {
    let all: Vec<OwnerCandidate> = (0..7).map(|n| candidate(n, 0)).collect();
    let orders = orders(&all);
    for c in &all {
        assert_eq!(peers_to_greet(&c.id, &orders).len(), 6);
        assert!(rereads_members(&c.id, &orders, all.len(), 0.99));
    }
}

/// What one instance knows of the others.
struct Knowing {
    /// Listed, greeted, or told.
    known: BTreeSet<usize>,
    /// Of those, the ones that it heard itself.
    heard: BTreeSet<usize>,
}

/// Instances that greet three seeds one after the other, and are told who leads among those that
/// greeted these before. They are listed only later.
fn told_by_seeds(count: usize, strong: usize, rng: &mut Rng) -> Vec<Knowing> {
    let mut order: Vec<usize> = (0..count).collect();
    rng.shuffle(&mut order);
    let seeds = [0, count / 3, count / 2];
    let knowing = |me: usize| {
        let at = order.iter().position(|n| *n == me).expect("it is there");
        let greeted: Vec<OwnerCandidate> =
            order[..at].iter().map(|n| candidate(*n, strong)).collect();
        let heads = orders(&greeted).into_iter().take(2);
        let heads = heads.flat_map(|order| order.into_iter().take(GREETED_PER_ORDER));
        let mut known: BTreeSet<usize> = heads.map(|id| number(&id)).collect();
        known.extend([me, seeds[at % seeds.len()]]);
        if seeds.contains(&me) {
            known.extend(0..count);
        }
        Knowing {
            known,
            heard: BTreeSet::new(),
        }
    };
    (0..count).map(knowing).collect()
}

fn orders_of(view: &Knowing, strong: usize) -> Vec<Vec<InstanceId>> {
    let known: Vec<OwnerCandidate> = view.known.iter().map(|n| candidate(*n, strong)).collect();
    orders(&known)
}

fn number(id: &InstanceId) -> usize {
    id[2..].parse().expect("a number")
}

fn hear(all: &mut [Knowing], at: usize, who: usize) {
    all[at].known.insert(who);
    all[at].heard.insert(who);
}

/// One sync of each instance with the owner that it knows.
fn sync(all: &mut [Knowing], strong: usize) {
    for me in 0..all.len() {
        let owner = number(&orders_of(&all[me], strong)[2][0]);
        if owner == me {
            continue;
        }
        hear(all, owner, me);
        hear(all, me, owner);
        let told = all[owner].heard.clone();
        all[me].known.extend(told);
    }
}

fn owners(all: &[Knowing], strong: usize) -> BTreeSet<InstanceId> {
    let owner = |view| Arc::clone(&orders_of(view, strong)[2][0]);
    all.iter().map(owner).collect()
}

/// At the very first start the list in the store is empty, and instances know those that greeted the
/// seeds before them. Two that take themselves for the owner would fill engines twice.
#[test]
fn instances_that_know_different_parts_at_a_first_start_agree_on_one_owner() {
    for (seed, count, strong) in [
        (1, 40, 0),
        (2, 83, 0),
        (3, 120, 15),
        (4, 195, 15),
        (5, 90, 1),
    ] {
        let mut rng = Rng::with_seed(seed);
        let mut all = told_by_seeds(count, strong, &mut rng);
        for me in 0..count {
            let orders = orders_of(&all[me], strong);
            let id = candidate(me, strong).id;
            let peers: Vec<usize> = peers_to_greet(&id, &orders[..2])
                .into_iter()
                .map(number)
                .collect();
            for peer in peers {
                hear(&mut all, peer, me);
                hear(&mut all, me, peer);
            }
        }
        for _ in 0..2 {
            sync(&mut all, strong);
        }
        for (me, view) in all.iter_mut().enumerate() {
            let orders = orders_of(view, strong);
            let id = candidate(me, strong).id;
            if rereads_members(&id, &orders, view.known.len(), rng.f64()) {
                view.known.extend(0..count);
            }
        }
        for _ in 0..3 {
            sync(&mut all, strong);
        }
        assert_eq!(owners(&all, strong).len(), 1, "seed {seed}");
    }
}
