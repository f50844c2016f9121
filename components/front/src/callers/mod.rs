//! Requests of callers: admission, refusals, and the shutdown of the instance.

pub mod call;
pub mod drain;
pub mod handler;
pub mod intake;
pub mod intake_limit;
pub mod open_requests;
pub mod refusal;
pub mod retry_after;
pub mod shutdown;
