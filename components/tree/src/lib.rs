//! The configuration tree: nodes, inheritance, validation and versions.
//!
//! A tree of nodes is validated as a whole. Each accepted change sets or deletes one node and
//! increases the version by one.

pub mod api;
pub mod check;
pub mod delta;
pub mod document;
pub mod knobs;
pub mod path;
pub mod rules;

pub use api::{EffectiveConfig, Knobs, Node, NodePath, RouteRule, Snapshot};
pub use check::{Fault, check};
pub use delta::{Delta, DeltaError};
pub use document::{Document, NodeChange};
pub use knobs::{Origin, origins};
pub use path::ParsedPath;
pub use rules::{DEFAULT_ROUTE, Rules};
