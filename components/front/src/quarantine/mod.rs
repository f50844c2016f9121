//! Requests under which targets ended: found out here, summed by keepers, known to all instances.

pub mod ends;
pub mod keeping;
pub mod kept;
