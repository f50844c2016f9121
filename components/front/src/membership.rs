//! Gets to know the other instances, and tells owners what this one holds.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use placing::{Shard, Sync};
use timer::{Timer, boot_time};
use types::InstanceId;

use crate::{
    face::{Record, Store},
    patience,
    state::Front,
    wire::{Message, Reply, Topic},
};

/// Time between two syncs with the owners.
const SYNC_PERIOD: Duration = Duration::from_millis(700);
/// Time for a peer to take a sync.
const SYNC_PATIENCE: Duration = Duration::from_millis(300);
/// Time between two looks at the members in the store. Instances also hear of each other from
/// the owners that they sync with.
const MEMBERS_PERIOD: Duration = Duration::from_secs(30);
/// Time between the first two looks. Where all instances start at once, after a loss of power say,
/// the first look shows some of them only; those that know other parts of all have other owners, and
/// engines are filled twice for as long as that lasts.
const SECOND_LOOK: Duration = Duration::from_millis(1_500);
/// How many times as long the next pause is, until they are as long as they stay.
const SECOND_LOOK_GROWS: u32 = 20;
/// Tries to reach an instance that the settings name; all start at about the same time.
const SEED_TRIES: usize = 5;
/// Instances that are greeted at once. At the start, those of each order of readers: as many as there
/// are on a small deployment, so that each of them knows all at once.
const GREETED: usize = 12;
/// Time before the store is asked again for the members, when it failed.
const MEMBERS_PAUSE: Duration = Duration::from_millis(700);

/// Makes this instance known, and gets to know the others: from instances that the settings name,
/// so that it works while the store is away, and from the store.
pub async fn meet(front: Arc<Front>, store: Arc<dyn Store>) {
    for seed in front.cfg.seeds.clone() {
        workers::spawn(greet_seed(Arc::clone(&front), seed)).detach();
    }
    while store.announce(front.peers.me()).await.is_err() {
        smol::Timer::after(MEMBERS_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
    let mut pause = SECOND_LOOK;
    loop {
        let Ok(news) = store.read(Topic::Members, patience::READ).await else {
            smol::Timer::after(MEMBERS_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
            continue;
        };
        for row in &news.rows {
            if let Some(Record::Member(member)) = store.decode(Topic::Members, row) {
                front.peers.learn(member);
            }
        }
        if pause < MEMBERS_PERIOD {
            greet(&front).await;
        }
        smol::Timer::after(pause).await;
        pause = (pause * SECOND_LOOK_GROWS).min(MEMBERS_PERIOD);
    }
}

/// Makes this instance known to one that the settings name, and learns of others from it.
pub async fn greet_seed(front: Arc<Front>, seed: SocketAddr) {
    let message = Message::Hello(front.peers.me().clone());
    for _ in 0..SEED_TRIES {
        let reply = front.peers.exchange(seed, &message, SYNC_PATIENCE).await;
        if let Ok(reply) = reply {
            learn_members(&front, None, Some(reply));
            return;
        }
        smol::Timer::after(MEMBERS_PAUSE).await;
    }
}

/// Makes this instance known: two that don't know of each other would both take themselves for the
/// owner. The first to own and to read are told; all others talk to these and hear of it there.
/// Told by each to all, three hundred instances that start at once had ninety thousand greetings to
/// answer before they served.
async fn greet(front: &Arc<Front>) {
    let topics = [Topic::Operator, Topic::Targets];
    let readers = topics.map(|topic| front.peers.readers(topic));
    let first = readers.iter().flat_map(|all| all.iter().take(GREETED));
    let greeted: BTreeSet<InstanceId> = first.cloned().collect();
    for peer in greeted {
        let front = Arc::clone(front);
        workers::spawn(async move { say_hello(&front, &peer).await }).detach();
    }
}

async fn say_hello(front: &Front, peer: &InstanceId) {
    let message = Message::Hello(front.peers.me().clone());
    let reply = front.peers.call(peer, &message, SYNC_PATIENCE).await;
    learn_members(front, Some(peer), reply);
}

fn learn_members(front: &Front, from: Option<&InstanceId>, reply: Option<Reply>) {
    let Some(Reply::Members { members, mark }) = reply else {
        return;
    };
    for member in members {
        front.peers.learn(member);
    }
    if let Some(from) = from {
        front.peers.told_by(from, mark);
    }
}

/// Tells owners from time to time what this instance holds.
pub async fn sync(front: Arc<Front>) {
    let mut ticks = Timer::new().every(SYNC_PERIOD);
    loop {
        ticks.next().await;
        // Beside the syncs: an owner forgets in seconds what it does not hear of.
        for peer in front.peers.to_try_again().into_iter().take(GREETED) {
            let front = Arc::clone(&front);
            workers::spawn(async move { say_hello(&front, &peer).await }).detach();
        }
        for shard in shards(&front) {
            sync_shard(&front, shard).await;
        }
        let targets = front.view.targets();
        front.choice.lock().retain(|id| targets.contains_key(id));
        let mut owner = front.placement.owner.lock();
        owner.retain(|id| targets.contains_key(id));
    }
}

/// Parts of services' engines whose owners are told: those where something runs for this
/// instance, and one at least of each service, for the owner also tells of other instances.
fn shards(front: &Front) -> BTreeSet<Shard> {
    let running = front.live.running();
    let mut shards: BTreeSet<Shard> = running
        .iter()
        .map(|run| front.shard_of(&run.service, &run.target))
        .collect();
    let Some(rules) = front.view.rules() else {
        return shards;
    };
    for service in rules.services().filter(|service| service.engine.is_some()) {
        if shards.iter().all(|shard| shard.service != service.name) {
            shards.insert(front.shard_of(&service.name, &front.cfg.instance));
        }
    }
    shards
}

async fn sync_shard(front: &Front, shard: Shard) {
    let mut runs = front.live.running();
    runs.retain(|run| run.service == shard.service && shard.holds(&run.target));
    let Some(owner) = front.owners(&shard).into_iter().next() else {
        return;
    };
    let held = Sync {
        entry: Arc::clone(&front.cfg.instance),
        shard,
        runs,
    };
    if owner == front.cfg.instance {
        front.placement.owner.lock().sync(boot_time(), &held);
        return;
    }
    let message = Message::Sync {
        member: front.peers.me().clone(),
        held,
        known: front.peers.mark_of(&owner),
    };
    let reply = front.peers.call(&owner, &message, SYNC_PATIENCE).await;
    learn_members(front, Some(&owner), reply);
}
