//! Gets to know the other instances, and tells owners what this one holds.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use placing::Sync;
use timer::{Timer, boot_time};
use types::{InstanceId, ServiceId};

use crate::{
    face::{Record, Store},
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
/// Tries to reach an instance that the settings name; all start at about the same time.
const SEED_TRIES: usize = 5;
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
    let mut greeted = false;
    loop {
        let Ok(news) = store.read(Topic::Members).await else {
            smol::Timer::after(MEMBERS_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
            continue;
        };
        for row in &news.rows {
            if let Some(Record::Member(member)) = store.decode(Topic::Members, row) {
                front.peers.learn(member);
            }
        }
        if !greeted {
            greet(&front).await;
            greeted = true;
        }
        smol::Timer::after(MEMBERS_PERIOD).await;
    }
}

/// Makes this instance known to one that the settings name, and learns of others from it.
pub async fn greet_seed(front: Arc<Front>, seed: SocketAddr) {
    let message = Message::Hello(front.peers.me().clone());
    for _ in 0..SEED_TRIES {
        let reply = front.peers.exchange(seed, &message, SYNC_PATIENCE).await;
        if let Ok(reply) = reply {
            learn_members(&front, Some(reply));
            return;
        }
        smol::Timer::after(MEMBERS_PAUSE).await;
    }
}

/// Makes this instance known to all that it knows: two that don't know of each other would both
/// take themselves for the owner.
async fn greet(front: &Arc<Front>) {
    for peer in front.peers.all() {
        let front = Arc::clone(front);
        workers::spawn(async move { say_hello(&front, &peer).await }).detach();
    }
}

async fn say_hello(front: &Front, peer: &InstanceId) {
    let message = Message::Hello(front.peers.me().clone());
    let reply = front.peers.call(peer, &message, SYNC_PATIENCE).await;
    learn_members(front, reply);
}

fn learn_members(front: &Front, reply: Option<Reply>) {
    if let Some(Reply::Members(members)) = reply {
        for member in members {
            front.peers.learn(member);
        }
    }
}

/// Tells owners from time to time what this instance holds.
pub async fn sync(front: Arc<Front>) {
    let mut ticks = Timer::new().every(SYNC_PERIOD);
    loop {
        ticks.next().await;
        for peer in front.peers.to_try_again() {
            say_hello(&front, &peer).await;
        }
        for service in services(&front) {
            sync_service(&front, &service).await;
        }
        let targets = front.view.targets();
        front.choice.lock().retain(|id| targets.contains_key(id));
        let mut owner = front.placement.owner.lock();
        owner.retain(|id| targets.contains_key(id));
    }
}

/// Services whose engines have an owner.
fn services(front: &Front) -> Vec<ServiceId> {
    let Some(rules) = front.view.rules() else {
        return Vec::new();
    };
    rules
        .services()
        .filter(|service| service.engine.is_some())
        .map(|service| Arc::clone(&service.name))
        .collect()
}

async fn sync_service(front: &Front, service: &ServiceId) {
    let mut runs = front.live.running();
    runs.retain(|running| running.service == *service);
    let held = Sync {
        entry: Arc::clone(&front.cfg.instance),
        runs,
    };
    let Some(owner) = front.peers.owners(service).into_iter().next() else {
        return;
    };
    if owner == front.cfg.instance {
        front.placement.owner.lock().sync(boot_time(), &held);
        return;
    }
    let member = front.peers.me().clone();
    let message = Message::Sync { member, held };
    let reply = front.peers.call(&owner, &message, SYNC_PATIENCE).await;
    learn_members(front, reply);
}
