//! The entry: callers' requests, from arrival until a permit lets them be sent.

mod calls;
mod grants;
mod machine;
mod pending;
mod permit;
mod refuse;
mod report;
mod shards;

pub use machine::Entry;
pub use permit::PermitKey;
