//! Callers' requests: taking them in, refusing them, and the end of an instance's life.

pub mod call;
pub mod drain;
pub mod handler;
pub mod open_requests;
pub mod refusal;
pub mod retry_after;
pub mod shutdown;
