//! The callers' HTTP API.

pub mod admission;

pub use admission::{Admission, Admitted};
