//! Keeping the configuration: commits to the table service, spreading between instances.

pub mod api;
pub mod cache;
mod commit;
mod fetching;
mod gossip;
pub mod overrides;
mod overriding;
pub mod pollers;
mod rows;
mod store;
pub mod updater;

pub use api::{
    Change, ChangeError, Config, CurrentConfig, Fault, HistoryEntry, OverrideError, OverrideOrder,
    OverrideReport, PeerConfig, Update,
};
pub use overrides::Override;
pub use updater::ConfigUpdater;
