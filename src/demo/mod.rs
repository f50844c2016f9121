//! The demonstration behind `celerystand try`: one instance and stand-ins for all that it talks
//! to, in one process.

pub mod call;
pub mod place;
pub mod show;
pub mod surroundings;

pub use place::Place;
pub use surroundings::Surroundings;

/// Bearer key of the demonstration's one workspace.
pub const CALLER_KEY: &str = "try-caller";
/// Bearer key of the operator.
pub const OPERATOR_KEY: &str = "try-operator";
/// Name of the data centre.
pub const DATA_CENTRE: &str = "north";
/// Name of the instance.
pub const INSTANCE: &str = "entry-1";
/// Name of the model's service.
pub const MODEL: &str = "drafts";
/// Name of the plain service.
pub const PLAIN: &str = "orders";
