//! The configuration tree: nodes as written, what is in force, versions.

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
pub use document::{Document, Step};
pub use knobs::{Origin, origins};
pub use path::ParsedPath;
pub use rules::{DEFAULT_ROUTE, Rules};
