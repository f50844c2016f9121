//! The entry: callers' requests, from arrival until a permit lets them be sent.

mod asks;
mod calls;
mod changes;
mod grants;
mod late;
mod machine;
mod pending;
mod permit;
mod refuse;
mod report;
mod shards;

pub use machine::Entry;
pub use permit::PermitKey;
