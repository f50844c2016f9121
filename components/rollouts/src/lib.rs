//! Moves a service's traffic to another version of its targets, as far as that version has shown
//! that it is good.
//!
//! Each instance counts the answers of both versions. One instance for each service, the
//! coordinator, sums the counts, decides how much the new version may get, and ends the rollout. The
//! crate does no I/O and reads no clock: the current time and each event are passed in.

pub mod checkpoint;
pub mod evidence;
pub mod exposure;
pub mod fault;
pub mod order;
pub mod rollout;

pub use checkpoint::Checkpoint;
pub use evidence::{Answer, Evidence};
pub use exposure::Exposure;
pub use fault::{Fault, Measure, find_fault};
pub use order::{Directive, ExposureLimits, Order, Outcome};
pub use rollout::{Basis, Fleet, Reason, Report, Rollout, Verdict};
