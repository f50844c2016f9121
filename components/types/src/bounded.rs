//! Bounds for numbers that come from outside the process: headers, listings, answers of targets and
//! the store, and messages of other instances.
//!
//! They are applied where a number is decoded. Sums and products of a few bounded numbers stay far
//! below the range of their types.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

/// The greatest count of tokens, events or requests that is taken from outside.
pub const MAX_COUNT: u64 = u32::MAX as u64;
/// The greatest number of requests at one target that is taken from outside.
pub const MAX_REQUESTS: u32 = 1 << 16;
/// The longest time that is taken from outside.
pub const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// A number with an upper bound, to which larger ones are reduced.
pub trait Bounded: Sized {
    /// Reduces the number to its bound.
    #[must_use]
    fn bounded(self) -> Self;
}

impl Bounded for u64 {
    fn bounded(self) -> Self {
        self.min(MAX_COUNT)
    }
}

impl Bounded for u32 {
    fn bounded(self) -> Self {
        self.min(MAX_REQUESTS)
    }
}

impl Bounded for Duration {
    fn bounded(self) -> Self {
        self.min(MAX_TIME)
    }
}

impl<T: Bounded> Bounded for Option<T> {
    fn bounded(self) -> Self {
        self.map(T::bounded)
    }
}

/// Deserializes a number and reduces it to its bound.
///
/// # Errors
/// The source holds no number of this type.
pub fn bounded<'de, D, T>(source: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Bounded + Deserialize<'de>,
{
    T::deserialize(source).map(T::bounded)
}
