//! The administration API over HTTP, as operators and monitoring use it.

mod state;
mod support;
mod tree;
