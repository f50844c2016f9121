//! Quarantine of requests that crash targets: crashes are detected here, the evidence is summed up
//! by aggregators, and all instances apply the verdicts.

pub mod aggregation;
pub mod crash_detection;
pub mod parts;
pub mod record;
