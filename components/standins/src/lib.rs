//! Stand-ins for the systems that celerystand talks to: the platform, model engines and plain
//! services.
//!
//! Each reproduces the behaviour that celerystand's decisions depend on. Faults are injected over
//! its `/control/...` paths, so that tests and the load tool cause the same failures.

pub mod cli;
pub mod connection;
pub mod control;
pub mod engine;
pub mod fault;
pub mod lifecycle;
pub mod platform;
pub mod service;

pub use connection::StandinHandle;
