//! Parts of a service's engines, each with an account and an owner of its own.
//!
//! An owner looks at all engines of its account for each ask. With an account of a thousand engines it
//! answers so late that entries take it for dead and decide for themselves. Which engine belongs to which part follows from its id alone, so that
//! entries and owners agree without talking about it.

use std::{collections::HashMap, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use types::{Moment, ServiceId};
use xxhash_rust::xxh3::xxh3_64;

/// Engines of one part at most; a choice among more finds no better engine.
const MAX_ENGINES_PER_SHARD: usize = 64;

/// How long a service keeps its number of parts after it last had the engines for them. Replacements
/// start before the engines that they replace leave, so counts swing within seconds; each change of
/// the number changes all owners.
const SHRINK_DELAY: Duration = Duration::from_secs(30);

/// A part of a service's engines.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{service} {index}/{count}")]
pub struct Shard {
    /// The service.
    pub service: ServiceId,
    /// Which part, from 0.
    pub index: u32,
    /// Parts of the service. Instances that count differently for a moment put an engine into
    /// two accounts, as after a change of owners; what entries say sets it right.
    #[serde(rename = "of")]
    pub count: u32,
}

impl Shard {
    /// One part of a service.
    #[must_use]
    pub const fn new(service: ServiceId, index: u32, count: u32) -> Self {
        Self {
            service,
            index,
            count,
        }
    }

    /// Parts into which so many engines are divided: a power of two, so that an engine more or
    /// less moves most engines nowhere.
    #[must_use]
    pub fn count_for(engines: usize) -> u32 {
        let least = engines
            .div_ceil(MAX_ENGINES_PER_SHARD)
            .max(1)
            .next_power_of_two();
        u32::try_from(least).unwrap_or(u32::MAX)
    }

    /// The part that an engine belongs to.
    #[must_use]
    pub fn of_target(service: ServiceId, target: &str, count: u32) -> Self {
        let index = index_of(target, count);
        Self::new(service, index, count)
    }

    /// Whether an engine belongs to it.
    #[must_use]
    pub fn contains(&self, target: &str) -> bool {
        self.count <= 1 || index_of(target, self.count) == self.index
    }

    /// The part after this one.
    #[must_use]
    pub fn next(&self) -> Self {
        let index = (self.index + 1) % self.count.max(1);
        Self::new(self.service.clone(), index, self.count)
    }
}

/// Where something belongs among so many, by its name.
fn index_of(name: &str, count: u32) -> u32 {
    let rest = xxh3_64(name.as_bytes()) % u64::from(count.max(1));
    u32::try_from(rest).unwrap_or_default()
}

/// How many parts each service has: it grows at once and shrinks late.
#[derive(Debug, Default)]
pub struct ShardCounts {
    /// The number, and when there were last engines enough for it.
    counts: HashMap<ServiceId, (u32, Moment)>,
}

impl ShardCounts {
    /// Parts of a service that has so many engines now.
    pub fn count_for(&mut self, now: Moment, service: &ServiceId, engines: usize) -> u32 {
        let needed = Shard::count_for(engines);
        let (count, at) = self.counts.entry(service.clone()).or_insert((needed, now));
        if needed >= *count || at.saturating_add(SHRINK_DELAY) <= now {
            *count = needed;
            *at = now;
        }
        *count
    }
}
