//! Requests under which targets ended: found out here, summed by keepers, known to all instances.

pub mod aggregation;
pub mod crash_detection;
pub mod record;
