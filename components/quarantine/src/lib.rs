//! Recognizes requests that crash the targets that run them, whatever id they come with, and keeps
//! them from further targets.
//!
//! No I/O and no clock: the time and what happened are arguments, and what other instances should
//! hear is returned.

pub mod fingerprint;
pub mod ledger;
pub mod word;

pub use fingerprint::Fingerprint;
pub use ledger::{Audience, Ledger};
pub use word::{Evidence, Life, Standing, Word};
