//! The load and experiment tool: real instances and stand-ins as processes on one machine,
//! callers in this one.

pub mod caller;
pub mod deployment;
pub mod process;
pub mod sse;
pub mod sweep;
