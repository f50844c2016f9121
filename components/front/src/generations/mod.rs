//! Generations: a place on an engine, the stream, and moves from engine to engine.

pub mod carry;
pub mod evacuation;
pub mod generation;
pub mod live;
pub mod placement;
pub mod probing;
pub mod relay;
pub mod rescue;
pub mod silence;
pub mod split;
