//! Placement of generations: by the owner of the shard, or locally if no owner answers.

use std::{sync::Arc, time::Duration};

use async_channel::{Receiver, bounded};
use events::{Event, emit};
use parking_lot::Mutex;
use placing::{
    Engine, GenerationId, GenerationUpdate, Owner, PlacementAnswer, PlacementRequest, Shard,
    ShardCounts, StretchedPauses, Tuning,
};
use timer::boot_time;
use types::{InstanceId, ServiceId, VersionChoice};
use view::Target;

use crate::{
    generations::assignment::DEFAULT_SIZES,
    instances::wire::{Message, Reply},
    state::Front,
};

/// Time for an owner to answer. It normally answers within a millisecond or two, also between data
/// centres; one that does not is stopped, partitioned or overloaded.
const PLACE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for an owner to accept an update.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum probability that a generation completes in time for it to be started by an instance that
/// is stopping. One that does not complete is truncated, while one that is refused is served elsewhere at once.
const MIN_COMPLETION_PROBABILITY: f64 = 0.98;

/// This instance's account of engines. As an owner it keeps the account for all instances;
/// otherwise it uses it for its own generations while no owner answers.
#[derive(Debug)]
pub struct Placement {
    /// The account.
    pub owner: Mutex<Owner>,
    /// Number of shards of each service.
    shard_counts: Mutex<ShardCounts>,
}

impl Placement {
    /// Creates an empty account.
    #[must_use]
    pub fn new(tuning: Tuning) -> Self {
        Self {
            owner: Mutex::new(Owner::new(tuning)),
            shard_counts: Mutex::default(),
        }
    }

    /// The entry that relays a generation to its caller.
    #[must_use]
    pub fn entry_of(&self, generation: &str) -> Option<InstanceId> {
        let owner = self.owner.lock();
        owner
            .generation(generation)
            .map(|generation| Arc::clone(&generation.entry))
    }
}

impl Front {
    /// Requests an engine for a generation.
    pub async fn place(&self, request: &PlacementRequest) -> PlacementAnswer {
        let owner = self.owners(&request.shard).into_iter().next();
        let owner = owner.filter(|owner| {
            self.cfg.decisions.features.owner_placement && *owner != self.cfg.instance
        });
        let Some(owner) = owner else {
            return self.place_locally(request);
        };
        let message = Message::Place(request.clone());
        match self.peers.call(&owner, &message, PLACE_TIMEOUT).await {
            Some(Reply::Placement(answer)) => answer,
            // This very decision may have stopped the owner. It is not handed to another instance,
            // and what the caller declares is left out of the one that is made here.
            _ => self.place_locally(&with_default_sizes(request)),
        }
    }

    /// Whether a generation will probably complete before this instance stops. Otherwise it would
    /// be truncated, and the caller can't ask for the rest; refused at once, it gets a
    /// complete answer from another instance.
    #[must_use]
    pub fn can_complete(&self, request: &PlacementRequest) -> bool {
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
            .completion_probability(request, left)
            >= MIN_COMPLETION_PROBABILITY
    }

    /// Answers a placement request from this instance's own account.
    #[must_use]
    pub fn place_locally(&self, request: &PlacementRequest) -> PlacementAnswer {
        let engines = self.engines_of(&request.shard, &request.versions);
        let mut owner = self.placement.owner.lock();
        let answer = owner.place(boot_time(), request, &engines);
        let stretched = owner.take_stretched_pauses();
        drop(owner);
        if let Some(stretched) = stretched {
            self.metrics.pauses_stretched.inc();
            log_stretched_pauses(&request.generation, &stretched);
        }
        answer
    }

    /// Number of shards into which a service's engines are divided.
    #[must_use]
    pub fn shard_count(&self, service: &ServiceId) -> u32 {
        let engines = self.view.target_count(service);
        let mut counts = self.placement.shard_counts.lock();
        counts.count_for(boot_time(), service, engines)
    }

    /// The shard that an engine belongs to.
    #[must_use]
    pub fn shard_of(&self, service: &ServiceId, target: &str) -> Shard {
        Shard::of_target(Arc::clone(service), target, self.shard_count(service))
    }

    /// The shards of all services that have engines.
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

    /// Instances in the order in which they own a shard.
    #[must_use]
    pub fn owners(&self, shard: &Shard) -> Vec<InstanceId> {
        self.peers.owners(&shard.to_string())
    }

    /// Engines of a shard that can take over the generations of another engine: those with the same
    /// weights, and of the version that a rollout allows.
    #[must_use]
    pub fn migration_destinations(&self, shard: &Shard, source: &Target) -> Vec<Engine> {
        let choice = self.rollouts.destinations(boot_time(), source);
        let mut engines = self.engines_of(shard, &choice);
        engines.retain(|engine| {
            let target = self.view.target(&engine.id);
            target.is_some_and(|target| target.weights == source.weights)
        });
        engines
    }

    /// Engines of a shard that accept work, of the versions of a choice.
    #[must_use]
    pub fn engines_of(&self, shard: &Shard, choice: &VersionChoice) -> Vec<Engine> {
        let rules = self.view.rules();
        let Some(service) = rules.and_then(|rules| rules.service(&shard.service).cloned()) else {
            return Vec::new();
        };
        let Some(kind) = &service.engine else {
            return Vec::new();
        };
        let engine = |target: &Arc<Target>| Engine {
            id: Arc::clone(&target.id),
            data_centre: Arc::clone(&target.data_centre),
            slots: target.slots,
            memory: kind.memory,
            token_copy_time: kind.token_copy_time(),
        };
        let mut usable = self.usable_targets(&service.name, choice);
        usable.retain(|target| shard.contains(&target.id));
        // Engines that have announced a rate limit are used only if there are no others.
        if usable.iter().any(|target| !self.is_limited(&target.id)) {
            usable.retain(|target| !self.is_limited(&target.id));
        }
        usable.iter().map(engine).collect()
    }

    /// Notifies the owner of an engine of what happened to a generation there. If the message is
    /// lost, the next sync makes up for it. The returned channel is closed once the owner has been
    /// notified or can't be.
    pub fn notify_owner(
        front: &Arc<Self>,
        shard: &Shard,
        update: GenerationUpdate,
    ) -> Receiver<()> {
        let (pending, done) = bounded(1);
        // This instance may have placed the generation itself, so its own account is updated too.
        front
            .placement
            .owner
            .lock()
            .apply_update(boot_time(), &update);
        let owner = front.owners(shard).into_iter().next();
        let Some(owner) = owner.filter(|id| *id != front.cfg.instance) else {
            return done;
        };
        let front = Arc::clone(front);
        let sending = async move {
            front.send_update(&owner, update).await;
            drop(pending);
        };
        workers::spawn(sending).detach();
        done
    }

    async fn send_update(&self, owner: &InstanceId, update: GenerationUpdate) {
        let message = Message::GenerationUpdates(vec![update]);
        // The reply carries no information.
        let _ = self.peers.call(owner, &message, UPDATE_TIMEOUT).await;
    }
}

/// The request without the sizes that its caller declares.
fn with_default_sizes(request: &PlacementRequest) -> PlacementRequest {
    PlacementRequest {
        prompt_tokens: DEFAULT_SIZES.prompt_tokens,
        max_tokens: DEFAULT_SIZES.max_tokens,
        length_hint: DEFAULT_SIZES.length_hint,
        ..request.clone()
    }
}

fn log_stretched_pauses(generation: &GenerationId, stretched: &StretchedPauses) {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a percentage"
    )]
    let risk_percent = (stretched.risk * 100.0).round() as u32;
    emit(&Event::PausesStretched {
        id: Arc::clone(generation),
        target: Arc::clone(&stretched.target),
        answers: stretched.answers,
        risk_percent,
    });
}
