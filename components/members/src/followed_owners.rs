//! The owner that this instance follows for each shard.

use std::collections::BTreeMap;

use types::{Epoch, InstanceId, Shard};
use wire::KnownOwner;

/// The owner that this instance follows for one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowedOwner {
    /// The owner; `None` after it was lost or released the shard.
    pub owner: Option<InstanceId>,
    /// The newest term seen; permits of earlier terms are void.
    pub epoch: Epoch,
}

/// The followed owners of all shards. The term of a shard never decreases.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FollowedOwners {
    by_shard: BTreeMap<Shard, FollowedOwner>,
}

impl FollowedOwners {
    /// Follows an owner if its term is newer than the one seen; returns whether it is.
    pub fn follow(&mut self, shard: &Shard, owner: &InstanceId, epoch: Epoch) -> bool {
        let newer = self.by_shard.get(shard).is_none_or(|f| epoch > f.epoch);
        if newer {
            let followed = FollowedOwner {
                owner: Some(owner.clone()),
                epoch,
            };
            self.by_shard.insert(shard.clone(), followed);
        }
        newer
    }

    /// Returns the newest term seen for a shard, 0 before the first.
    #[must_use]
    pub fn epoch(&self, shard: &Shard) -> Epoch {
        self.by_shard.get(shard).map_or(0, |f| f.epoch)
    }

    /// Returns the owner that is followed for a shard.
    #[must_use]
    pub fn owner(&self, shard: &Shard) -> Option<&InstanceId> {
        self.by_shard.get(shard)?.owner.as_ref()
    }

    /// Stops following an owner for all shards; returns these shards with their terms.
    pub fn remove_owner(&mut self, owner: &InstanceId) -> Vec<(Shard, Epoch)> {
        let mut lost = Vec::new();
        for (shard, followed) in &mut self.by_shard {
            if followed.owner.as_ref() == Some(owner) {
                followed.owner = None;
                lost.push((shard.clone(), followed.epoch));
            }
        }
        lost
    }

    /// Follows an owner that was lost and has returned in the same term.
    pub fn restore(&mut self, shard: &Shard, owner: &InstanceId) {
        if let Some(followed) = self.by_shard.get_mut(shard) {
            followed.owner = Some(owner.clone());
        }
    }

    /// Stops following the owner of a shard, and keeps the term.
    pub fn release(&mut self, shard: &Shard) {
        if let Some(followed) = self.by_shard.get_mut(shard) {
            followed.owner = None;
        }
    }

    /// Returns the shards for which `owner` is followed; sent to it as confirmation.
    #[must_use]
    pub fn known_owners_for(&self, owner: &InstanceId) -> Vec<KnownOwner> {
        let mut known = Vec::new();
        for (shard, followed) in &self.by_shard {
            if followed.owner.as_ref() == Some(owner) {
                known.push(known_owner(shard, followed));
            }
        }
        known
    }

    /// Returns the newest term of each shard that a peer states to own in an older term. Without
    /// being told, the peer would continue to regard itself as the owner although no instance
    /// follows it.
    #[must_use]
    pub fn newer_terms(&self, stated: &BTreeMap<Shard, Epoch>) -> Vec<KnownOwner> {
        let mut newer = Vec::new();
        for (shard, followed) in &self.by_shard {
            if stated
                .get(shard)
                .is_some_and(|epoch| *epoch < followed.epoch)
            {
                newer.push(known_owner(shard, followed));
            }
        }
        newer
    }

    /// Records a newer term whose owner is unknown.
    pub fn record_epoch(&mut self, shard: &Shard, epoch: Epoch) {
        if epoch > self.epoch(shard) {
            self.by_shard
                .insert(shard.clone(), FollowedOwner { owner: None, epoch });
        }
    }

    /// Iterates over all shards for which a term was seen.
    pub fn iter(&self) -> impl Iterator<Item = (&Shard, &FollowedOwner)> {
        self.by_shard.iter()
    }
}

fn known_owner(shard: &Shard, followed: &FollowedOwner) -> KnownOwner {
    KnownOwner {
        shard: shard.clone(),
        epoch: followed.epoch,
        owner: followed.owner.clone(),
    }
}
