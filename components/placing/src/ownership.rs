//! Selects the instance that owns a shard.

use types::InstanceId;
use xxhash_rust::xxh3::xxh3_64;

/// An instance that may own shards.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerCandidate {
    /// Id of the instance.
    pub id: InstanceId,
    /// Processor share of the instance in thousandths of a core.
    pub capacity: u32,
}

/// Orders instances by their precedence as owner of `service`: by capacity, and among equals by
/// rendezvous hashing, so that only the shards of an instance that joins or leaves change owners.
///
/// An owner answers the requests of all entries. With a small share of a core it answers late; the
/// entries then consider it dead, place generations on their own and overfill engines.
#[must_use]
pub fn rank_owners(
    service: &str,
    members: impl IntoIterator<Item = OwnerCandidate>,
) -> Vec<InstanceId> {
    let mut all: Vec<(u32, u64, InstanceId)> = members
        .into_iter()
        .map(|c| {
            (
                c.capacity,
                xxh3_64(format!("{service}\n{}", c.id).as_bytes()),
                c.id,
            )
        })
        .collect();
    all.sort_by(|a, b| b.cmp(a));
    all.into_iter().map(|(.., id)| id).collect()
}
