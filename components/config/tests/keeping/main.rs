//! Keeping the configuration under failures, one at a time and at random.

mod common;
mod held;
mod keeper;
mod overrides;
mod random;
mod wire;
