//! Gets to know the other instances, and tells owners what this one holds.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use placing::{Shard, StateSync};
use timer::{Timer, boot_time};
use types::InstanceId;

use crate::{
    adapters::{Record, Store},
    instances::{
        joining,
        wire::{Message, Reply, Topic},
    },
    quarantine::{aggregation, record},
    state::Front,
    store::timeouts,
};

/// Time between two syncs with the owners.
const SYNC_PERIOD: Duration = Duration::from_millis(700);
/// Rounds of syncs between two in which an instance that holds nothing makes itself heard. Owners
/// hear of ends by notes; this makes up for lost ones, and tells of new members.
const IDLE_ROUNDS: u32 = 3;
/// The first of these rounds: one that has just started knows nothing of requests that crash targets.
const FIRST_ROUND: u32 = 1;
/// Time for a peer to take a sync.
const SYNC_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two looks at the members in the store. Instances also hear of each other from
/// the owners that they sync with.
const MEMBERS_PERIOD: Duration = Duration::from_secs(30);
/// Time until the second look. Where all instances start for the first time, the first look shows
/// some of them only; those that know other parts of all have other owners, and engines are filled
/// twice for as long as that lasts.
const SECOND_LOOK: Duration = Duration::from_millis(1_500);
/// Time in which all instances of a first start are up.
const FIRST_START: Duration = Duration::from_millis(350);
/// Tries to reach an instance that the settings name; all start at about the same time.
const SEED_TRIES: usize = 5;
/// Time before the store is asked again for the members, when it failed.
const MEMBERS_PAUSE: Duration = Duration::from_millis(700);

/// What a look at the members in the store showed.
struct Look {
    /// Other instances are listed.
    others: bool,
    /// This instance is listed as it is.
    lists_me: bool,
}

/// Makes this instance known, and gets to know the others: from the store, or while that is away
/// from instances that the settings name.
pub async fn join(front: Arc<Front>, store: Arc<dyn Store>) {
    let first = look(&front, &store).await;
    match &first {
        Some(look) if !look.others && !front.cfg.seeds.is_empty() => {
            // All start for the first time. Once each has greeted the seeds these know nearly all.
            for seed in front.cfg.seeds.clone() {
                let front = Arc::clone(&front);
                let greeting = async move {
                    // One that is not up yet is greeted again below.
                    let hello = hello(&front, false);
                    let _ = front.peers.exchange(seed, &hello, SYNC_TIMEOUT).await;
                };
                workers::spawn(greeting).detach();
            }
            let front = Arc::clone(&front);
            let asking = async move {
                smol::Timer::after(FIRST_START).await;
                greet_seeds(&front);
            };
            workers::spawn(asking).detach();
        }
        Some(_) => front.peers_known.open(),
        None => {
            // Whoever follows the store must find another source at once.
            front.peers_known.open();
            greet_seeds(&front);
        }
    }
    let listed = first.is_some_and(|look| look.lists_me);
    if !listed {
        announce(&front, &store).await;
    }
    greet(&front);
    let mut pause = SECOND_LOOK;
    loop {
        smol::Timer::after(pause).await;
        // Who was listed before has seen all that were listed with it.
        let is_new = pause == SECOND_LOOK && !listed;
        if (is_new || pause == MEMBERS_PERIOD) && looks_again(&front) {
            look_until_seen(&front, &store).await;
        }
        pause = MEMBERS_PERIOD;
    }
}

fn greet_seeds(front: &Arc<Front>) {
    for seed in front.cfg.seeds.clone() {
        workers::spawn(greet_seed(Arc::clone(front), seed)).detach();
    }
}

async fn announce(front: &Front, store: &Arc<dyn Store>) {
    while store.announce(front.peers.me()).await.is_err() {
        pause_after_failure().await;
    }
}

async fn look_until_seen(front: &Arc<Front>, store: &Arc<dyn Store>) {
    while look(front, store).await.is_none() {
        pause_after_failure().await;
    }
}

async fn pause_after_failure() {
    smol::Timer::after(MEMBERS_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
}

/// Learns the members that are listed in the store; nothing comes of it where the store fails.
async fn look(front: &Arc<Front>, store: &Arc<dyn Store>) -> Option<Look> {
    let news = store
        .read(Topic::Members, timeouts::READ_TIMEOUT)
        .await
        .ok()?;
    let me = front.peers.me();
    let mut look = Look {
        others: false,
        lists_me: false,
    };
    for row in &news.rows {
        let member = match store.decode(Topic::Members, row) {
            Some(Record::Member(member)) => member,
            Some(Record::Quarantined(kept)) => {
                record::apply_stored(front, &kept);
                continue;
            }
            _ => continue,
        };
        if member.id == me.id {
            look.lists_me = member.is_same_except_start(me);
        } else {
            look.others = true;
            front.peers.upsert(member);
        }
    }
    Some(look)
}

/// Whether this instance looks at the members in the store again. Each look has its price, and
/// what one has seen the others hear at their next sync.
fn looks_again(front: &Front) -> bool {
    let owners = front.shards_of_all().map(|shard| front.owners(&shard));
    let orders: Vec<Vec<InstanceId>> = reading_orders(front).into_iter().chain(owners).collect();
    let count = front.peers.count();
    joining::rereads_members(&front.cfg.instance, &orders, count, fastrand::f64())
}

/// Instances in the order in which they read each topic for others.
fn reading_orders(front: &Front) -> [Vec<InstanceId>; 2] {
    [Topic::Operator, Topic::Targets].map(|topic| front.peers.readers(topic))
}

/// Makes this instance known to one that the settings name, and learns of others from it.
pub async fn greet_seed(front: Arc<Front>, seed: SocketAddr) {
    let message = hello(&front, true);
    for _ in 0..SEED_TRIES {
        let reply = front.peers.exchange(seed, &message, SYNC_TIMEOUT).await;
        if let Ok(reply) = reply {
            if let Reply::Members {
                verdicts: words, ..
            } = &reply
            {
                aggregation::apply_verdicts(&front, words);
            }
            learn_members(&front, None, Some(reply));
            front.peers_known.open();
            return;
        }
        smol::Timer::after(MEMBERS_PAUSE).await;
    }
}

/// Makes this instance known to those that may own or read, if it may itself: two that don't know of
/// each other would both take themselves for the owner. All others make themselves known by their
/// syncs.
fn greet(front: &Arc<Front>) {
    let orders = reading_orders(front);
    for peer in joining::peers_to_greet(&front.cfg.instance, &orders) {
        let (front, peer) = (Arc::clone(front), Arc::clone(peer));
        workers::spawn(async move { say_hello(&front, &peer).await }).detach();
    }
}

fn hello(front: &Front, asks: bool) -> Message {
    Message::Hello {
        member: front.peers.me().clone(),
        wants_leaders: asks,
    }
}

async fn say_hello(front: &Front, peer: &InstanceId) {
    let message = hello(front, false);
    // Whether it answers is noted with the peer; there is nothing else to learn from it.
    let _ = front.peers.call(peer, &message, SYNC_TIMEOUT).await;
}

fn learn_members(front: &Front, from: Option<&InstanceId>, reply: Option<Reply>) {
    let Some(Reply::Members {
        members, revision, ..
    }) = reply
    else {
        return;
    };
    for member in members {
        front.peers.upsert(member);
    }
    if let Some(from) = from {
        front.peers.set_revision(from, revision);
    }
}

/// Tells owners from time to time what this instance holds.
pub async fn sync_with_owners(front: Arc<Front>) {
    let mut ticks = Timer::new().every(SYNC_PERIOD);
    let mut round = 0_u32;
    loop {
        ticks.next().await;
        round = round.wrapping_add(1);
        // Beside the syncs: an owner forgets in seconds what it does not hear of.
        for peer in front
            .peers
            .due_for_retry()
            .into_iter()
            .take(joining::GREETED_PER_ORDER)
        {
            let front = Arc::clone(&front);
            workers::spawn(async move { say_hello(&front, &peer).await }).detach();
        }
        for shard in shards(&front) {
            sync_shard(&front, shard, round % IDLE_ROUNDS == FIRST_ROUND).await;
        }
        let targets = front.view.targets();
        front.selector.lock().retain(|id| targets.contains_key(id));
        front
            .rate_limits
            .lock()
            .retain(|id| targets.contains_key(id));
        front
            .rate_allocator
            .lock()
            .retain(|id| targets.contains_key(id));
        let mut owner = front.placement.owner.lock();
        owner.retain_engines(|id| targets.contains_key(id));
    }
}

/// Parts of services' engines whose owners are told: those where something runs for this
/// instance, and one at least of each service, for the owner also tells of other instances.
fn shards(front: &Front) -> BTreeSet<Shard> {
    let running = front.generations.snapshots();
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

/// Tells the owner of a part what this instance holds there; nothing at all is told in some rounds
/// only.
async fn sync_shard(front: &Front, shard: Shard, tells_nothing: bool) {
    let mut runs = front.generations.snapshots();
    runs.retain(|run| run.service == shard.service && shard.contains(&run.target));
    if runs.is_empty() && !tells_nothing {
        return;
    }
    let Some(owner) = front.owners(&shard).into_iter().next() else {
        return;
    };
    let held = StateSync {
        entry: Arc::clone(&front.cfg.instance),
        shard,
        generations: runs,
    };
    if owner == front.cfg.instance {
        front.placement.owner.lock().apply_sync(boot_time(), &held);
        return;
    }
    let message = Message::Sync {
        member: front.peers.me().clone(),
        held,
        known_revision: front.peers.revision_of(&owner),
        quarantine_digest: front.quarantine.lock().digest(boot_time()),
    };
    let reply = front.peers.call(&owner, &message, SYNC_TIMEOUT).await;
    aggregation::reconcile(front, &owner, reply.as_ref()).await;
    learn_members(front, Some(&owner), reply);
}
