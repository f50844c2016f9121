//! The HTTP API for callers: authenticates requests, obtains permits from admission, sends the
//! requests to targets and returns streamed or buffered answers.

pub mod admission;
mod attempt;
mod auth;
mod buffered;
mod completion_request;
mod delivery;
mod forward;
mod gateway;
mod generate;
mod handler;
mod idempotency;
mod in_flight;
mod merge;
pub mod metrics;
mod plain;
mod prefix;
mod problem;
mod progress;
mod prompt_parts;
pub mod quarantine;
mod refusals;
mod request;
pub mod resume_handle;
mod send_gate;
mod streams;
mod writer;

pub use admission::{Admission, AdmissionRequest, PermitHandle, WorkOutcome};
pub use gateway::{Gateway, GatewayParts, Takeover};
pub use metrics::Metrics;
pub use quarantine::Quarantine;
