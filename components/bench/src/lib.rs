//! To be filled.

pub mod sweep;
