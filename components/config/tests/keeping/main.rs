//! Keeping the configuration under failures, one at a time and at random.

mod cache;
mod common;
mod overrides;
mod random;
mod updater;
mod wire;
