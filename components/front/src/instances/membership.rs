//! Membership: discovers the other instances, and syncs this instance's generations with the owners
//! of their engines.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use events::{Event, emit};
use placing::{Shard, ShareChange, StateSync};
use timer::{Timer, boot_time};
use types::{InstanceId, ServiceId, TargetId};

use crate::{
    adapters::{Record, Store},
    generations::speeds,
    instances::{
        joining,
        wire::{Message, Reply, Topic},
    },
    quarantine::{aggregation, record},
    state::Front,
    store::timeouts,
};

/// Period of the syncs with owners.
const SYNC_PERIOD: Duration = Duration::from_millis(700);
/// An instance without generations syncs only every so many periods. This repairs lost updates on
/// ended generations, and spreads new members.
const IDLE_SYNC_INTERVAL: u32 = 3;
/// The first period in which an idle instance syncs: one that has just started needs the verdicts
/// on requests that crash targets.
const FIRST_IDLE_SYNC: u32 = 1;
/// Time for a peer to answer a sync or a hello.
const SYNC_TIMEOUT: Duration = Duration::from_millis(300);
/// Period of the reads of the members from the store. Instances also discover each other through
/// the owners that they sync with.
const MEMBERS_PERIOD: Duration = Duration::from_secs(30);
/// Time until the second read. When all instances start for the first time, the first read shows
/// only some of them. Instances that know different members disagree on owners, and engines are
/// overfilled for as long as that lasts.
const SECOND_READ_DELAY: Duration = Duration::from_millis(1_500);
/// Time within which all instances are up when they start together for the first time.
const FIRST_START_TIME: Duration = Duration::from_millis(350);
/// Attempts to reach a seed, which may be starting at the same time.
const MAX_SEED_ATTEMPTS: usize = 5;
/// Mean pause after a failed call to the store or a seed.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// What a read of the members from the store showed.
struct StoredMembers {
    /// Other instances are listed.
    has_others: bool,
    /// This instance is listed with its current address, capacity and data centre.
    has_me: bool,
}

/// Announces this instance and discovers the others: through the store, or through the seeds in the
/// settings while the store is unavailable. Then rereads the members from time to time.
pub async fn join(front: Arc<Front>, store: Arc<dyn Store>) {
    let first = read_members(&front, &store).await;
    match &first {
        Some(stored) if !stored.has_others && !front.cfg.seeds.is_empty() => {
            // All instances start for the first time. Each announces itself to the seeds now, and
            // asks them for the others once the seeds know nearly all.
            for seed in front.cfg.seeds.clone() {
                let front = Arc::clone(&front);
                let greeting = async move {
                    // A seed that is not up yet is contacted again below.
                    let hello = hello(&front, false);
                    let _ = front.peers.exchange(seed, &hello, SYNC_TIMEOUT).await;
                };
                workers::spawn(greeting).detach();
            }
            let front = Arc::clone(&front);
            let delayed = async move {
                smol::Timer::after(FIRST_START_TIME).await;
                greet_seeds(&front);
            };
            workers::spawn(delayed).detach();
        }
        Some(_) => front.peers_known.open(),
        None => {
            // The store is unavailable: its followers must turn to another source at once.
            front.peers_known.open();
            greet_seeds(&front);
        }
    }
    let was_listed = first.is_some_and(|stored| stored.has_me);
    if !was_listed {
        announce(&front, &store).await;
    }
    greet_peers(&front);
    let mut pause = SECOND_READ_DELAY;
    loop {
        smol::Timer::after(pause).await;
        // An instance that was listed before has already read the others that were.
        let is_new = pause == SECOND_READ_DELAY && !was_listed;
        if (is_new || pause == MEMBERS_PERIOD) && should_reread_members(&front) {
            read_members_until_success(&front, &store).await;
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

async fn read_members_until_success(front: &Arc<Front>, store: &Arc<dyn Store>) {
    while read_members(front, store).await.is_none() {
        pause_after_failure().await;
    }
}

async fn pause_after_failure() {
    smol::Timer::after(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
}

/// Reads the members and the quarantine records from the store and applies them; none if the store
/// fails.
async fn read_members(front: &Arc<Front>, store: &Arc<dyn Store>) -> Option<StoredMembers> {
    let update = store
        .read(Topic::Members, timeouts::READ_TIMEOUT)
        .await
        .ok()?;
    let me = front.peers.me();
    let mut stored = StoredMembers {
        has_others: false,
        has_me: false,
    };
    for row in &update.rows {
        let member = match store.decode(Topic::Members, row) {
            Some(Record::Member(member)) => member,
            Some(Record::Quarantined(record)) => {
                record::apply_stored(front, &record);
                continue;
            }
            _ => continue,
        };
        if member.id == me.id {
            stored.has_me = member.is_same_except_start(me);
        } else {
            stored.has_others = true;
            front.peers.upsert(member);
        }
    }
    Some(stored)
}

/// Whether this instance rereads the members from the store. Each read has a cost, and what one
/// instance has read reaches the others with their next syncs.
fn should_reread_members(front: &Front) -> bool {
    let owners = front.shards_of_all().map(|shard| front.owners(&shard));
    let orders: Vec<Vec<InstanceId>> = reader_orders(front).into_iter().chain(owners).collect();
    let count = front.peers.count();
    joining::rereads_members(&front.cfg.instance, &orders, count, fastrand::f64())
}

/// The instances in the order in which they read each topic from the store.
fn reader_orders(front: &Front) -> [Vec<InstanceId>; 2] {
    [Topic::Operator, Topic::Targets].map(|topic| front.peers.readers(topic))
}

/// Introduces this instance to a seed, and applies the members and verdicts that the seed returns.
pub async fn greet_seed(front: Arc<Front>, seed: SocketAddr) {
    let message = hello(&front, true);
    for _ in 0..MAX_SEED_ATTEMPTS {
        let reply = front.peers.exchange(seed, &message, SYNC_TIMEOUT).await;
        if let Ok(reply) = reply {
            if let Reply::Members { verdicts, .. } = &reply {
                aggregation::apply_verdicts(&front, verdicts);
            }
            apply_members(&front, None, Some(reply));
            front.peers_known.open();
            return;
        }
        smol::Timer::after(RETRY_PAUSE).await;
    }
}

/// If this instance may be an owner or a reader, introduces it to the others that may: two that
/// don't know of each other would both act as the owner. All other instances become known by their
/// syncs.
fn greet_peers(front: &Arc<Front>) {
    let orders = reader_orders(front);
    for peer in joining::peers_to_greet(&front.cfg.instance, &orders) {
        let (front, peer) = (Arc::clone(front), Arc::clone(peer));
        workers::spawn(async move { greet_peer(&front, &peer).await }).detach();
    }
}

fn hello(front: &Front, wants_leaders: bool) -> Message {
    Message::Hello {
        member: front.peers.me().clone(),
        wants_leaders,
    }
}

async fn greet_peer(front: &Front, peer: &InstanceId) {
    let message = hello(front, false);
    // `call` records whether the peer answers; the reply carries nothing else.
    let _ = front.peers.call(peer, &message, SYNC_TIMEOUT).await;
}

fn apply_members(front: &Front, from: Option<&InstanceId>, reply: Option<Reply>) {
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

/// Periodically syncs this instance's generations with the owners of their engines, and removes
/// targets that are no longer listed from the shared state.
pub async fn sync_with_owners(front: Arc<Front>) {
    let mut ticks = Timer::new().every(SYNC_PERIOD);
    let mut round = 0_u32;
    loop {
        ticks.next().await;
        round = round.wrapping_add(1);
        // Not awaited: owners drop generations that are not synced for seconds, so an unresponsive
        // peer must not delay the syncs.
        for peer in front
            .peers
            .due_for_retry()
            .into_iter()
            .take(joining::GREETED_PER_ORDER)
        {
            let front = Arc::clone(&front);
            workers::spawn(async move { greet_peer(&front, &peer).await }).detach();
        }
        for shard in shards_to_sync(&front) {
            sync_shard(&front, shard, round % IDLE_SYNC_INTERVAL == FIRST_IDLE_SYNC).await;
        }
        let targets = front.view.targets();
        let mut selector = front.selector.lock();
        selector.retain(|id| targets.contains_key(id));
        front.metrics.set_slow_targets(selector.slow_count());
        drop(selector);
        front.brittle.lock().retain(|id| targets.contains_key(id));
        front
            .avoided_engines
            .lock()
            .retain(|id| targets.contains_key(id));
        front
            .paths
            .lock()
            .retain(boot_time(), |id| targets.contains_key(id));
        let known: BTreeSet<InstanceId> = front.peers.ids().into_iter().collect();
        front.relays.lock().retain(|id| known.contains(id));
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
        let decisions = owner.take_share_decisions();
        let changes = owner.take_share_changes(boot_time());
        drop(owner);
        front.metrics.count_share_decisions(decisions);
        changes.into_iter().for_each(log_share_change);
        speeds::report(&front);
    }
}

fn log_share_change(change: ShareChange) {
    let service = change.shard.service;
    let workspace = change.workspace;
    emit(&if change.is_above {
        Event::WorkspaceAboveShare {
            service,
            shard: change.shard.index,
            workspace,
            served_percent: change.served_percent,
            others: change.others,
        }
    } else {
        Event::WorkspaceWithinShare {
            service,
            shard: change.shard.index,
            workspace,
        }
    });
}

/// The shards to sync: those in which this instance has generations, and at least one of each
/// service, since the owner also returns other instances.
fn shards_to_sync(front: &Front) -> BTreeSet<Shard> {
    let generations = front.generations.snapshots();
    let mut shards: BTreeSet<Shard> = generations
        .iter()
        .map(|it| front.shard_of(&it.service, &it.target))
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

/// Syncs this instance's generations in a shard with its owner; if there are none, only if
/// `even_if_idle`.
async fn sync_shard(front: &Front, shard: Shard, even_if_idle: bool) {
    let of_shard = |service: &ServiceId, target: &TargetId| {
        *service == shard.service && shard.contains(target)
    };
    let generations = front.generations.report(of_shard);
    if generations.is_empty() && !even_if_idle {
        return;
    }
    let Some(owner) = front.owners(&shard).into_iter().next() else {
        return;
    };
    let state = StateSync {
        entry: Arc::clone(&front.cfg.instance),
        shard,
        generations,
    };
    if owner == front.cfg.instance {
        front.placement.owner.lock().apply_sync(boot_time(), &state);
        return;
    }
    let message = Message::Sync {
        member: front.peers.me().clone(),
        state,
        known_revision: front.peers.revision_of(&owner),
        quarantine_digest: aggregation::digest(front),
    };
    let reply = front.peers.call(&owner, &message, SYNC_TIMEOUT).await;
    aggregation::reconcile(front, &owner, reply.as_ref()).await;
    apply_members(front, Some(&owner), reply);
}
