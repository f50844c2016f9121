//! The callers' HTTP API.

pub mod admission;
mod attempt;
mod auth;
mod call;
mod flight;
mod forward;
mod generate;
mod handler;
mod keyed;
mod linger;
mod merge;
pub mod metrics;
mod pace;
mod parts;
mod plain;
mod prefix;
mod problem;
mod quarantine;
mod refusals;
mod request;
mod streams;
pub mod ticket;
mod whole;
mod writer;

pub use admission::{Admission, Admitted, Ending, Wanted};
pub use metrics::Metrics;
pub use parts::{Gateway, GatewayParts, Takeover};
pub use quarantine::Quarantine;
