//! The tree: look-ups, inheritance, checks and versions.

mod checks;
mod laws;
mod lookups;
