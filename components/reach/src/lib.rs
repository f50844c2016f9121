//! Which targets one instance reaches by itself, and through which other instances it reaches the
//! rest. No I/O and no clock.
//!
//! A failed connection has the same look whether the target is down or the path to it is cut. What
//! tells them apart is another instance that reaches the target. Until one has said so, a failure is
//! an observation of this instance alone, and nothing is concluded from it for others.

pub mod absence;
pub mod paths;
pub mod relays;

pub use absence::{ABSENCE_TIME, Absence};
pub use paths::{Path, Paths, Regained};
pub use relays::Relays;
