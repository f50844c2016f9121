//! Keeping the configuration: commits to the table service, spreading between instances.

pub mod api;
mod commit;
pub mod held;
pub mod keeper;
pub mod pollers;
mod rows;
mod store;

pub use api::{Change, ChangeError, Config, Current, Entry, Fault, PeerConfig, Update};
pub use keeper::Keeper;
