//! The configuration of an instance: commits to the table service and updates between instances.
//!
//! The version in effect on an instance never decreases, and an accepted change is never reverted
//! by anything but a later accepted change.

pub mod api;
pub mod cache;
mod commit;
mod gossip;
mod override_exchange;
pub mod overrides;
pub mod pollers;
mod rows;
mod store;
mod sync;
pub mod updater;

pub use api::{
    Change, ChangeError, Config, CurrentConfig, Fault, HistoryEntry, OverrideError, OverrideOrder,
    OverrideReport, PeerConfig, Update,
};
pub use overrides::Override;
pub use updater::ConfigUpdater;
