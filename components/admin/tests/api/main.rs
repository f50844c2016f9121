//! The administration API as operators and monitoring see it.

mod state;
mod support;
mod tree;
