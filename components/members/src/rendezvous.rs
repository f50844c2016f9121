//! Assigns shards to owners by rendezvous hashing.

use types::{DataCentreId, Epoch, Incarnation, InstanceId, Shard};
use xxhash_rust::xxh3::xxh3_64;

/// An instance that may own shards.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the instance.
    pub id: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

/// Picks the owner of a shard. Instances in the data centre of the shard are preferred: an owner
/// close to its targets learns their state sooner, and when a data centre fails, the targets of
/// other data centres keep their owners.
#[must_use]
pub fn pick_owner<'a>(shard: &Shard, candidates: &'a [Candidate]) -> Option<&'a InstanceId> {
    let rank = |c: &&Candidate| (c.data_centre == shard.data_centre, score(shard, &c.id));
    candidates.iter().max_by_key(rank).map(|c| &c.id)
}

fn score(shard: &Shard, id: &InstanceId) -> u64 {
    xxh3_64(format!("{shard}\n{id}").as_bytes())
}

/// The number of low bits of an epoch that differ between instances, so that two instances which
/// start a term at the same time get different epochs.
const TIE_BITS: u32 = 16;

/// Returns the next epoch after `seen` for an incarnation of an instance. Incarnations are numbered
/// by the wall clock in milliseconds, so that a restarted instance which has not received any
/// epoch yet does not reuse one of its previous incarnation.
#[must_use]
pub fn next_epoch(seen: Epoch, me: &InstanceId, incarnation: Incarnation) -> Epoch {
    let tie = xxh3_64(me.as_bytes()) & ((1 << TIE_BITS) - 1);
    let number = (seen >> TIE_BITS).max(incarnation) + 1;
    (number << TIE_BITS) | tie
}
