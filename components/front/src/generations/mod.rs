//! Generations: a place on an engine, the stream, and moves from engine to engine.

pub mod active;
pub mod dispatch;
pub mod evacuation;
pub mod idle;
pub mod migration;
pub mod placement;
pub mod probing;
pub mod recovery;
pub mod relay;
pub mod splitter;
