//! The demonstration behind `celerystand try`: one instance and stand-ins for everything that it
//! communicates with, in one process.

pub mod call;
pub mod instance;
pub mod show;
pub mod stand_ins;

pub use instance::InstanceAddrs;
pub use stand_ins::StandIns;

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
