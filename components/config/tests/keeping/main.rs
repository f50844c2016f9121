//! Keeping the configuration under failures, one at a time and at random.

mod common;
mod keeper;
mod random;
