//! Division of a service's engines into shards, each with its own owner.
//!
//! An owner examines all engines of its shard for every request. With a thousand engines it
//! answered so late that entries considered it dead and placed generations on their own. The shard
//! of an engine follows from its id alone, so entries and owners agree on it without exchanging
//! messages.

use std::{collections::HashMap, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use types::{Moment, ServiceId};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of engines in a shard. A choice among more does not find a better engine.
const MAX_ENGINES_PER_SHARD: usize = 64;

/// How long a service keeps its number of shards after it last had enough engines for it.
/// Replacements start before the engines that they replace stop, so counts swing within seconds,
/// and each change of the number changes all owners.
const SHRINK_DELAY: Duration = Duration::from_secs(30);

/// A shard of a service's engines.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{service} {index}/{count}")]
pub struct Shard {
    /// Service that the engines belong to.
    pub service: ServiceId,
    /// Index of the shard, from 0.
    pub index: u32,
    /// Number of shards of the service. Instances that count differently for a moment assign an
    /// engine to two shards, as they do after a change of owners; the entries' syncs correct it.
    #[serde(rename = "of")]
    pub count: u32,
}

impl Shard {
    /// Shard `index` of `count`.
    #[must_use]
    pub const fn new(service: ServiceId, index: u32, count: u32) -> Self {
        Self {
            service,
            index,
            count,
        }
    }

    /// Number of shards for so many engines. It is a power of two, so that most engines keep their
    /// shard when an engine joins or leaves.
    #[must_use]
    pub fn count_for(engines: usize) -> u32 {
        let count_needed = engines
            .div_ceil(MAX_ENGINES_PER_SHARD)
            .max(1)
            .next_power_of_two();
        u32::try_from(count_needed).unwrap_or(u32::MAX)
    }

    /// Shard that an engine belongs to.
    #[must_use]
    pub fn of_target(service: ServiceId, target: &str, count: u32) -> Self {
        let index = index_of(target, count);
        Self::new(service, index, count)
    }

    /// Whether an engine belongs to the shard.
    #[must_use]
    pub fn contains(&self, target: &str) -> bool {
        self.count <= 1 || index_of(target, self.count) == self.index
    }

    /// The following shard; the first one follows the last.
    #[must_use]
    pub fn next(&self) -> Self {
        let index = (self.index + 1) % self.count.max(1);
        Self::new(self.service.clone(), index, self.count)
    }
}

/// Index from 0 up to, but not including, `count`, derived from the hash of a name.
fn index_of(name: &str, count: u32) -> u32 {
    let index = xxh3_64(name.as_bytes()) % u64::from(count.max(1));
    u32::try_from(index).unwrap_or_default()
}

/// Number of shards of each service. It grows at once, and shrinks after a delay.
#[derive(Debug, Default)]
pub struct ShardCounts {
    /// The number, and when the service last had enough engines for it.
    counts: HashMap<ServiceId, (u32, Moment)>,
}

impl ShardCounts {
    /// Number of shards of a service that has so many engines now.
    pub fn count_for(&mut self, now: Moment, service: &ServiceId, engines: usize) -> u32 {
        let needed = Shard::count_for(engines);
        let (count, last_needed_at) = self.counts.entry(service.clone()).or_insert((needed, now));
        if needed >= *count || last_needed_at.saturating_add(SHRINK_DELAY) <= now {
            *count = needed;
            *last_needed_at = now;
        }
        *count
    }
}
