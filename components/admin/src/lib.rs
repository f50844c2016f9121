//! The administration API of one instance: health, metrics, dump, and the configuration tree.
//!
//! The node gives [`AdminApi::new`] its [`AdminParts`] and serves it on the admin address by
//! `net::Server`.

pub mod api;
pub mod auth;
pub mod body;
pub mod data_centre;
pub mod document;
pub mod message;
pub mod metrics;
pub mod parts;
pub mod problem;
pub mod route;
pub mod scrub;
pub mod throttle;
pub mod tree_api;

pub use api::AdminApi;
pub use parts::{AdminParts, Dump, Readiness};
