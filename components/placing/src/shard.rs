//! Parts of a service's engines, each with an account and an owner of its own.
//!
//! An owner looks at all engines of its account for each ask. With an account of a thousand engines it
//! answers so late that entries take it for dead and decide for themselves. Which engine belongs to which part follows from its id alone, so that
//! entries and owners agree without talking about it.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use types::ServiceId;
use xxhash_rust::xxh3::xxh3_64;

/// Engines of one part at most; a choice among more finds no better engine.
const ENGINES: usize = 64;

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
