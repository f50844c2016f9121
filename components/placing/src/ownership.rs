//! Which instance owns a service's account.

use types::InstanceId;
use xxhash_rust::xxh3::xxh3_64;

/// An instance that may own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerCandidate {
    /// The instance.
    pub id: InstanceId,
    /// Its share of processors, in thousandths of a core.
    pub capacity: u32,
}

/// Instances in the order in which they should own `service`: the strongest first, and among
/// equals rendezvous hashing, so that a member that comes or goes moves only what it owns.
///
/// An owner answers every entry's asks. One with a small part of a core answers late, and entries then
/// take it for dead, decide for themselves and overfill engines.
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
