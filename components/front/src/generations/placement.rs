//! Engines for generations: asks the owner, or decides itself.

use std::{sync::Arc, time::Duration};

use async_channel::{Receiver, bounded};
use parking_lot::Mutex;
use placing::{
    Engine, GenerationUpdate, Owner, PlacementAnswer, PlacementRequest, Shard, ShardCounts, Tuning,
};
use timer::boot_time;
use types::{InstanceId, ServiceId};

use crate::{
    instances::wire::{Message, Reply},
    state::Front,
};

/// Time for an owner to answer. It answers at once, within a millisecond or two between data
/// centres; one that does not is stopped, cut off or drowned.
const ASK_PATIENCE: Duration = Duration::from_millis(150);
/// Time for a note to be taken.
const NOTE_PATIENCE: Duration = Duration::from_millis(300);
/// The least chance to end in time with which a generation is begun by an instance that stops.
/// Half of the drafts are longer than a stop, and nearly all short ones end well within it.
const FINISH_CHANCE: f64 = 0.9;
/// Owners that are asked before an instance decides for itself.
const OWNERS_ASKED: usize = 2;

/// The account that this instance keeps: as owner for all, else for itself while no owner answers.
#[derive(Debug)]
pub struct Placement {
    /// The account.
    pub owner: Mutex<Owner>,
    /// Parts of each service's engines.
    counts: Mutex<ShardCounts>,
}

impl Placement {
    /// Starts with an empty account.
    #[must_use]
    pub fn new(tuning: Tuning) -> Self {
        Self {
            owner: Mutex::new(Owner::new(tuning)),
            counts: Mutex::default(),
        }
    }

    /// The entry that holds a generation's caller.
    #[must_use]
    pub fn entry_of(&self, run: &str) -> Option<InstanceId> {
        let owner = self.owner.lock();
        owner.generation(run).map(|run| Arc::clone(&run.entry))
    }
}

impl Front {
    /// Asks for an engine.
    pub async fn place(&self, ask: &PlacementRequest) -> PlacementAnswer {
        let asked = if self.cfg.decisions.features.owner_placement {
            OWNERS_ASKED
        } else {
            0
        };
        for owner in self.owners(&ask.shard).into_iter().take(asked) {
            if owner == self.cfg.instance {
                break;
            }
            let message = Message::Ask(ask.clone());
            if let Some(Reply::Answer(answer)) =
                self.peers.call(&owner, &message, ASK_PATIENCE).await
            {
                return answer;
            }
        }
        self.place_locally(ask)
    }

    /// Whether a generation would probably end before this instance does. One that is begun just
    /// before a planned stop is cut in the middle, and its caller can't ask for it again; told at
    /// once, the caller gets all of it elsewhere.
    #[must_use]
    pub fn can_finish(&self, ask: &PlacementRequest) -> bool {
        let Some(left) = self
            .shutdown
            .time_left()
            .filter(|_| self.cfg.decisions.features.drain_offload)
        else {
            return true;
        };
        self.placement
            .owner
            .lock()
            .completion_probability(ask, left)
            >= FINISH_CHANCE
    }

    /// Answers an ask from this instance's own account.
    #[must_use]
    pub fn place_locally(&self, ask: &PlacementRequest) -> PlacementAnswer {
        let engines = self.engines_of(&ask.shard);
        self.placement
            .owner
            .lock()
            .place(boot_time(), ask, &engines)
    }

    /// Parts into which a service's engines are divided.
    #[must_use]
    pub fn shard_count(&self, service: &ServiceId) -> u32 {
        let engines = self.view.count_of(service);
        let mut counts = self.placement.counts.lock();
        counts.count_for(boot_time(), service, engines)
    }

    /// The part that an engine belongs to.
    #[must_use]
    pub fn shard_of(&self, service: &ServiceId, target: &str) -> Shard {
        Shard::of_target(Arc::clone(service), target, self.shard_count(service))
    }

    /// Parts of the engines of all services that have some.
    pub fn shards_of_all(&self) -> impl Iterator<Item = Shard> + use<> {
        let rules = self.view.rules();
        let services = rules.iter().flat_map(|rules| rules.services());
        let with_engines = services.filter(|service| service.engine.is_some());
        let shards = with_engines.flat_map(|service| {
            let of = self.shard_count(&service.name);
            (0..of).map(move |index| Shard::new(Arc::clone(&service.name), index, of))
        });
        shards.collect::<Vec<Shard>>().into_iter()
    }

    /// Instances in the order in which they own a part of a service's engines.
    #[must_use]
    pub fn owners(&self, shard: &Shard) -> Vec<InstanceId> {
        self.peers.owners(&shard.to_string())
    }

    /// Engines of a part that may get work.
    #[must_use]
    pub fn engines_of(&self, shard: &Shard) -> Vec<Engine> {
        let rules = self.view.rules();
        let Some(service) = rules.and_then(|rules| rules.service(&shard.service).cloned()) else {
            return Vec::new();
        };
        let Some(kind) = &service.engine else {
            return Vec::new();
        };
        let engine = |target: &Arc<view::Target>| Engine {
            id: Arc::clone(&target.id),
            data_centre: Arc::clone(&target.data_centre),
            slots: target.slots,
            memory: kind.memory,
            token_copy: kind.token_copy(),
        };
        let mut inside = self.usable_targets(&service);
        inside.retain(|target| shard.contains(&target.id));
        // Those in need are passed over while there are others.
        if inside.iter().any(|target| !self.is_limited(&target.id)) {
            inside.retain(|target| !self.is_limited(&target.id));
        }
        inside.iter().map(engine).collect()
    }

    /// Tells the owner of an engine what happened to a generation there. The word may get lost; the
    /// next sync makes up for it. What is returned is closed once the owner was told, or can't be.
    pub fn notify_owner(front: &Arc<Self>, shard: &Shard, note: GenerationUpdate) -> Receiver<()> {
        let (told, done) = bounded(1);
        // This instance may have decided for itself; its own account must forget it too.
        front
            .placement
            .owner
            .lock()
            .apply_update(boot_time(), &note);
        let owner = front.owners(shard).into_iter().next();
        let Some(owner) = owner.filter(|id| *id != front.cfg.instance) else {
            return done;
        };
        let front = Arc::clone(front);
        let tell = async move {
            front.tell(&owner, note).await;
            drop(told);
        };
        workers::spawn(tell).detach();
        done
    }

    async fn tell(&self, owner: &InstanceId, note: GenerationUpdate) {
        let message = Message::Notes(vec![note]);
        // An answer says nothing beyond that it was taken.
        let _ = self.peers.call(owner, &message, NOTE_PATIENCE).await;
    }
}
