//! The configuration tree: nodes as written, what is in force, versions.

pub mod api;

pub use api::{InForce, Knobs, Node, NodePath, RouteRule, Snapshot};
