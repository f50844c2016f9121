//! Look-ups, inheritance, validation and versions of a tree.

mod checks;
mod laws;
mod lookups;
