//! Versions of the platform's store.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A version of the platform's store. The store may come back from an older copy; it then counts on
/// from the version of the copy, in the next era. A number alone therefore means nothing: in another
/// era the same number stands for another state. Versions of a later era are later.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("{number} of era {era}")]
pub struct StoreVersion {
    /// The era; it rises with each return from a copy.
    pub era: u64,
    /// The version within the era.
    pub number: u64,
}

impl StoreVersion {
    /// A version of an era.
    #[must_use]
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}
