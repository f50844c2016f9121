//! Claims under failures: one at a time, at random, and over the real client.

mod common;
mod one;
mod platform;
mod random;
mod sweep;
