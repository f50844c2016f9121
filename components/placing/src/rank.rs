//! Which instance owns a service's account.

use types::InstanceId;
use xxhash_rust::xxh3::xxh3_64;

/// Instances in the order in which they should own `service`: rendezvous hashing, so that a
/// member that comes or goes moves only the services that it owns.
#[must_use]
pub fn ranked(service: &str, members: impl IntoIterator<Item = InstanceId>) -> Vec<InstanceId> {
    let mut all: Vec<(u64, InstanceId)> = members
        .into_iter()
        .map(|id| (xxh3_64(format!("{service}\n{id}").as_bytes()), id))
        .collect();
    all.sort_by(|a, b| b.cmp(a));
    all.into_iter().map(|(_, id)| id).collect()
}
