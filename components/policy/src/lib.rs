//! Decisions without I/O: typed events and the time go in, typed actions come out.
//!
//! No socket, no clock, no executor; the only randomness is a seeded generator passed in. The
//! daemon, the tests and the measuring tool drive the same code.

pub mod api;

pub use api::{
    Action, Decide, EngineReport, Event, Request, RequestId, ShardRole, TargetLimits, Used, View,
};
