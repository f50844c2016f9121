//! The administration API of one instance: health, metrics, state dump, and the configuration tree.
//!
//! The node creates an [`AdminApi`] from its [`AdminParts`] and serves it on the admin address with
//! `net::Server`. `docs/admin-api.yml` describes the API. Only health, readiness and metrics are
//! available without an operator's key.

pub mod api;
pub mod auth;
pub mod body;
pub mod data_centre;
pub mod document;
pub mod message;
pub mod metrics;
pub mod parts;
pub mod problem;
pub mod redact;
pub mod route;
pub mod throttle;
pub mod tree_api;

pub use api::AdminApi;
pub use parts::{AdminParts, Dump, Readiness};
