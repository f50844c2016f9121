//! Small stand-ins for what celerystand talks to: the platform, model engines, plain services.
//!
//! Each keeps the behaviour that celerystand's decisions depend on, and takes faults over its
//! `/control/...` paths, so that tests and the load tool produce the same failures.

pub mod cli;
pub mod connection;
pub mod control;
pub mod engine;
pub mod fault;
pub mod lifecycle;
pub mod platform;
pub mod service;

pub use connection::StandinHandle;
