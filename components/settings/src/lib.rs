//! Settings of one instance, read from YAML.
//!
//! A file is read in three steps: its syntax, by the YAML library; its meaning, against the list
//! of keys in [`mod@keys`], which gathers every fault; and only then into [`Settings`].

pub mod check;
pub mod fault;
pub mod keys;
pub mod load;
pub mod model;
pub mod raw;
pub mod reference;

pub use fault::Fault;
pub use load::{load, parse};
pub use model::{
    Admin, Instance, Limits, Log, LogFormat, LogLevel, Peers, Platform, Settings, Strategy,
};
