//! Recognizes requests that crash the targets that run them, whatever id they come with.

pub mod fingerprint;

pub use fingerprint::Fingerprint;
