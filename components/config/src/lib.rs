//! Keeping the configuration: commits to the table service, spreading between instances.

pub mod api;
mod commit;
mod fetching;
pub mod held;
pub mod keeper;
pub mod overrides;
mod overriding;
pub mod pollers;
mod rows;
mod spread;
mod store;

pub use api::{
    Change, ChangeError, Config, Current, Entry, Fault, OverrideError, OverrideOrder, PeerConfig,
    Told, Update,
};
pub use keeper::Keeper;
pub use overrides::Override;
