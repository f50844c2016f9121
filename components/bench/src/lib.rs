//! The load and experiment tool: real instances and stand-ins as processes on one machine,
//! callers in this one.

pub mod caller;
pub mod chaos;
pub mod cli;
pub mod cost;
pub mod deployment;
pub mod drive;
pub mod fault;
pub mod plan;
pub mod process;
pub mod record;
pub mod report;
pub mod request;
pub mod scenario;
pub mod slopes;
pub mod sse;
pub mod summary;
pub mod sweep;
pub mod verify;
