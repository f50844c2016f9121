//! The load and experiment tool: real instances and stand-ins as processes on one machine,
//! callers in this one.

pub mod caller;
pub mod chaos;
pub mod cli;
pub mod cost;
pub mod deployment;
pub mod drive;
pub mod fault;
pub mod process;
pub mod report;
pub mod scenario;
pub mod sse;
pub mod summary;
pub mod sweep;
pub mod verify;
