//! Which owner this instance follows for each shard.

use std::collections::BTreeMap;

use types::{Epoch, InstanceId, Shard};
use wire::KnownOwner;

/// The owner that an instance follows for a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowedOwner {
    /// The owner; `None` once it is lost.
    pub owner: Option<InstanceId>,
    /// The newest term seen; permits of earlier ones are void.
    pub epoch: Epoch,
}

/// All owners followed. A term never goes back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FollowedOwners {
    by_shard: BTreeMap<Shard, FollowedOwner>,
}

impl FollowedOwners {
    /// Follows an owner if its term is newer; tells whether anything changed.
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

    /// The newest term seen for a shard, 0 before the first.
    #[must_use]
    pub fn epoch(&self, shard: &Shard) -> Epoch {
        self.by_shard.get(shard).map_or(0, |f| f.epoch)
    }

    /// The owner followed.
    #[must_use]
    pub fn owner(&self, shard: &Shard) -> Option<&InstanceId> {
        self.by_shard.get(shard)?.owner.as_ref()
    }

    /// Forgets an owner, everywhere; tells which shards have none now.
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

    /// Follows an owner again that was lost and came back in the same term.
    pub fn restore(&mut self, shard: &Shard, owner: &InstanceId) {
        if let Some(followed) = self.by_shard.get_mut(shard) {
            followed.owner = Some(owner.clone());
        }
    }

    /// Forgets a shard's owner but not its term.
    pub fn release(&mut self, shard: &Shard) {
        if let Some(followed) = self.by_shard.get_mut(shard) {
            followed.owner = None;
        }
    }

    /// What this instance tells an owner that it follows.
    #[must_use]
    pub fn known_owners_for(&self, owner: &InstanceId) -> Vec<KnownOwner> {
        let mut claims = Vec::new();
        for (shard, followed) in &self.by_shard {
            if followed.owner.as_ref() == Some(owner) {
                claims.push(known_owner(shard, followed));
            }
        }
        claims
    }

    /// Tells a peer that claims a shard in an outdated term which term is the newest; it would
    /// otherwise believe for good to own what nobody follows it for.
    #[must_use]
    pub fn newer_terms(&self, claimed: &BTreeMap<Shard, Epoch>) -> Vec<KnownOwner> {
        let mut claims = Vec::new();
        for (shard, followed) in &self.by_shard {
            if claimed
                .get(shard)
                .is_some_and(|epoch| *epoch < followed.epoch)
            {
                claims.push(known_owner(shard, followed));
            }
        }
        claims
    }

    /// Takes note of a newer term whose owner is unknown.
    pub fn record_epoch(&mut self, shard: &Shard, epoch: Epoch) {
        if epoch > self.epoch(shard) {
            self.by_shard
                .insert(shard.clone(), FollowedOwner { owner: None, epoch });
        }
    }

    /// All of it.
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
