//! Keeping the configuration: commits to the table service, spreading between instances.

pub mod api;

pub use api::{Change, ChangeError, Config, Current, Entry, Fault, PeerConfig, Update};
