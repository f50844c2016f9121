//! Rendezvous hashing: who should own a shard.

use types::{DataCentreId, Epoch, Incarnation, InstanceId, Shard};
use xxhash_rust::xxh3::xxh3_64;

/// An instance that may own shards.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The instance.
    pub id: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

/// Picks a shard's owner. Instances of the shard's own data centre go first: an owner near its
/// targets sees them sooner, and a data centre that is lost takes owner and targets together
/// instead of leaving other data centres' targets without an owner.
#[must_use]
pub fn pick_owner<'a>(shard: &Shard, candidates: &'a [Candidate]) -> Option<&'a InstanceId> {
    let rank = |c: &&Candidate| (c.data_centre == shard.data_centre, score(shard, &c.id));
    candidates.iter().max_by_key(rank).map(|c| &c.id)
}

fn score(shard: &Shard, id: &InstanceId) -> u64 {
    xxh3_64(format!("{shard}\n{id}").as_bytes())
}

/// Bits of an epoch that tell apart two instances which start a term at the same time.
const TIE_BITS: u32 = 16;

/// The next term after `seen`, for a life of an instance. Lives are numbered by the wall clock in
/// milliseconds, so that a restarted instance that has heard nothing yet does not start a term
/// that its former life had; the low bits tell apart two instances that start a term at once.
#[must_use]
pub fn next_epoch(seen: Epoch, me: &InstanceId, incarnation: Incarnation) -> Epoch {
    let tie = xxh3_64(me.as_bytes()) & ((1 << TIE_BITS) - 1);
    let number = (seen >> TIE_BITS).max(incarnation) + 1;
    (number << TIE_BITS) | tie
}
