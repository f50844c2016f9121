//! Recognizes requests that crash the targets which run them, whatever request ids they carry, and
//! decides when such a request must not be sent to any further target.
//!
//! The crate does no I/O and reads no clock: the current time and each event are passed in, and
//! verdicts to be sent to other instances are returned.

pub mod fingerprint;
pub mod parts;
pub mod state;
pub mod verdict;

pub use fingerprint::Fingerprint;
pub use parts::{Assessment, CountedCrash, PartEvidence, PartQuarantine, PartVerdict, SoundRun};
pub use state::{QuarantineState, Recipients};
pub use verdict::{Evidence, TargetIncarnation, Verdict, VerdictKind};
