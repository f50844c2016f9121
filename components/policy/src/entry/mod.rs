//! The entry: handles callers' requests from arrival until a permit allows them to be sent.

mod deadlines;
mod held_report;
mod machine;
mod owner_messages;
mod pending;
mod permit;
mod permit_requests;
mod plain_calls;
mod refusals;
mod shard_directory;
mod view_changes;

pub use machine::Entry;
pub use permit::PermitKey;
