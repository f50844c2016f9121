//! The configuration under failures: single ones and random sequences.

mod cache;
mod common;
mod overrides;
mod random;
mod updater;
mod wire;
