//! Claims under failures: single ones, random sequences, and over the real client.

mod common;
mod failures;
mod platform;
mod random;
mod sweep;
