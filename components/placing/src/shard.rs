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
const ENGINES: usize = 64;

/// How long a service keeps its number of parts after it last had the engines for them. Replacements
/// start before the engines that they replace leave, so counts swing within seconds; each change of
/// the number changes all owners.
const KEEP: Duration = Duration::from_secs(30);

/// A part of a service's engines.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{service} {index}/{of}")]
pub struct Shard {
    /// The service.
    pub service: ServiceId,
    /// Which part, from 0.
    pub index: u32,
    /// Parts of the service. Instances that count differently for a moment put an engine into
    /// two accounts, as after a change of owners; what entries say sets it right.
    pub of: u32,
}

impl Shard {
    /// One part of a service.
    #[must_use]
    pub const fn new(service: ServiceId, index: u32, of: u32) -> Self {
        Self { service, index, of }
    }

    /// Parts into which so many engines are divided: a power of two, so that an engine more or
    /// less moves most engines nowhere.
    #[must_use]
    pub fn count(engines: usize) -> u32 {
        let least = engines.div_ceil(ENGINES).max(1).next_power_of_two();
        u32::try_from(least).unwrap_or(u32::MAX)
    }

    /// The part that an engine belongs to.
    #[must_use]
    pub fn with(service: ServiceId, target: &str, of: u32) -> Self {
        let index = place(target, of);
        Self::new(service, index, of)
    }

    /// Whether an engine belongs to it.
    #[must_use]
    pub fn holds(&self, target: &str) -> bool {
        self.of <= 1 || place(target, self.of) == self.index
    }

    /// The part after this one.
    #[must_use]
    pub fn next(&self) -> Self {
        let index = (self.index + 1) % self.of.max(1);
        Self::new(self.service.clone(), index, self.of)
    }
}

/// Where something belongs among so many, by its name.
fn place(name: &str, of: u32) -> u32 {
    let rest = xxh3_64(name.as_bytes()) % u64::from(of.max(1));
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
    pub fn of(&mut self, now: Moment, service: &ServiceId, engines: usize) -> u32 {
        let needed = Shard::count(engines);
        let (count, at) = self.counts.entry(service.clone()).or_insert((needed, now));
        if needed >= *count || at.saturating_add(KEEP) <= now {
            *count = needed;
            *at = now;
        }
        *count
    }
}
