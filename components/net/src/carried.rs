//! The requests that a connection has carried.
//!
//! A response names its request, not one of its sendings. Once a connection has carried a request, a late copy of
//! the response could be taken for the one to a further sending over the same connection.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The most named requests that a connection carries.
const MAX_REQUESTS: usize = 256;

/// Names of the requests that one connection has carried, as hashes: two names with the same hash only cost a
/// connection.
#[derive(Debug, Default)]
pub struct Carried {
    hashes: Vec<u64>,
}

impl Carried {
    /// Records a request.
    pub fn record(&mut self, name: &str) {
        self.hashes.push(hash(name));
    }

    /// Whether the connection has carried a request.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.hashes.contains(&hash(name))
    }

    /// Whether the connection has carried as many requests as it may.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_REQUESTS
    }
}

fn hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
