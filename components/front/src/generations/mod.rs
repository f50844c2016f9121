//! Generations: assignment to an engine, relaying of the stream, and migration between engines.

pub mod active;
pub mod assignment;
pub mod attempts;
pub mod avoidance;
pub mod dispatch;
pub mod evacuation;
pub mod idle;
pub mod migration;
pub mod placement;
pub mod probing;
pub mod recovery;
pub mod relay;
pub mod resumption;
pub mod speeds;
pub mod splitter;
pub mod stopping;
